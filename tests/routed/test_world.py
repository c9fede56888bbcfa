"""Merging of store items into the fleet state, without reverting to older ones."""

import pytest

from borageramp_core.routing import (
    EvacuatedDataCentre,
    FleetState,
    MalformedItem,
    StateItem,
)
from tests.lib.routed import make_config, make_instance, make_registration


def test_an_older_configuration_is_rejected() -> None:
    fleet_state = FleetState()
    assert fleet_state.put("op/config", make_config(5))
    assert not fleet_state.put("op/config", make_config(4))
    assert fleet_state.config is not None and fleet_state.config.version == 5


def test_removing_the_configuration_keeps_it_in_force() -> None:
    fleet_state = FleetState()
    fleet_state.put("op/config", make_config(5))
    fleet_state.replace({}, after_outage=False, now_s=0.0)
    assert fleet_state.config is not None


def test_registrations_that_lapsed_in_an_outage_stay_for_a_while() -> None:
    fleet_state = FleetState()
    fleet_state.put("servers/u1", make_registration())
    fleet_state.replace({}, after_outage=True, now_s=10.0)
    assert len(list(fleet_state.registrations())) == 1
    assert fleet_state.drop_missing(older_than_s=2.0, now_s=11.9) == []
    assert fleet_state.drop_missing(older_than_s=2.0, now_s=12.0) == ["servers/u1"]
    assert list(fleet_state.registrations()) == []


def test_a_registration_that_returns_is_not_dropped() -> None:
    fleet_state = FleetState()
    fleet_state.put("servers/u1", make_registration())
    fleet_state.replace({}, after_outage=True, now_s=10.0)
    fleet_state.put("servers/u1", make_registration())
    assert fleet_state.drop_missing(older_than_s=2.0, now_s=20.0) == []


def test_removals_without_an_outage_apply_at_once() -> None:
    fleet_state = FleetState()
    fleet_state.put("servers/u1", make_registration())
    fleet_state.replace({}, after_outage=False, now_s=10.0)
    assert list(fleet_state.registrations()) == []


def test_a_malformed_item_registers_no_upstream() -> None:
    fleet_state = FleetState()
    fleet_state.put("servers/u1", make_registration())
    fleet_state.put("servers/u1", MalformedItem(problem="not JSON"))
    assert list(fleet_state.registrations()) == []


def test_evacuated_data_centres() -> None:
    fleet_state = FleetState()
    fleet_state.put("op/evacuate/north", EvacuatedDataCentre(data_centre="north"))
    assert fleet_state.evacuated_data_centres() == {"north"}
    fleet_state.remove("op/evacuate/north", now_s=0.0)
    assert fleet_state.evacuated_data_centres() == frozenset()


def make_state_with_restored_upstream(*, restored_at_s: float = 10.0) -> FleetState:
    """Return a state in which an upstream was gone at 9 s, and is there again."""
    fleet_state = FleetState()
    fleet_state.put("u", make_registration(started_ms=5))
    fleet_state.remove("u", now_s=9.0)
    older = {"u": make_registration(started_ms=5)}
    fleet_state.replace(older, after_outage=False, restored=True, now_s=restored_at_s)
    return fleet_state


def is_leaving(fleet_state: FleetState) -> bool:
    (registration,) = fleet_state.registrations()
    return registration.leaving


# Guards against using a data centre that is being emptied, or a fleet that falls apart,
# while what a restored store has lost is written again.
@pytest.mark.parametrize(
    "item",
    [EvacuatedDataCentre(data_centre="north"), make_instance(), make_registration()],
    ids=["evacuation", "instance", "upstream"],
)
def test_items_that_a_restored_store_has_lost_stay_for_a_while(item: StateItem) -> None:
    fleet_state = FleetState()
    fleet_state.put("key", item)
    fleet_state.replace({}, after_outage=False, restored=True, now_s=10.0)
    assert fleet_state.get("key") == item
    assert fleet_state.drop_missing(older_than_s=2.0, now_s=12.0) == ["key"]
    assert fleet_state.get("key") is None


@pytest.mark.parametrize(
    "item", [EvacuatedDataCentre(data_centre="north"), make_instance()]
)
def test_only_registrations_stay_after_an_outage(item: StateItem) -> None:
    fleet_state = FleetState()
    fleet_state.put("key", item)
    fleet_state.replace({}, after_outage=True, now_s=10.0)
    assert fleet_state.get("key") is None


# Guards against requests to an upstream that left, as an older copy says it is ready.
def test_an_upstream_that_was_leaving_is_so_after_a_restore() -> None:
    fleet_state = FleetState()
    fleet_state.put("u", make_registration(leaving=True, started_ms=5))
    older = {"u": make_registration(started_ms=5)}
    fleet_state.replace(older, after_outage=False, restored=True, now_s=10.0)
    assert is_leaving(fleet_state)
    fleet_state.drop_missing(older_than_s=2.0, now_s=20.0)
    assert is_leaving(fleet_state)
    fleet_state.put("u", make_registration(started_ms=6))
    assert not is_leaving(fleet_state)


def test_another_start_of_an_upstream_that_was_leaving_is_used() -> None:
    fleet_state = FleetState()
    fleet_state.put("u", make_registration(leaving=True, started_ms=5))
    listing = {"u": make_registration(started_ms=6)}
    fleet_state.replace(listing, after_outage=False, restored=True, now_s=10.0)
    assert not is_leaving(fleet_state)


# Guards against requests to an upstream that is gone, as an older copy still has it.
def test_an_upstream_that_was_gone_is_not_used_soon_after_a_restore() -> None:
    fleet_state = make_state_with_restored_upstream()
    assert is_leaving(fleet_state)
    assert not fleet_state.release_doubted(older_than_s=2.0, now_s=11.9)
    assert fleet_state.release_doubted(older_than_s=2.0, now_s=12.0)
    assert not is_leaving(fleet_state)


def test_an_upstream_that_was_gone_is_used_once_it_is_written_again() -> None:
    fleet_state = make_state_with_restored_upstream()
    fleet_state.put("u", make_registration(started_ms=5))
    assert not is_leaving(fleet_state)
    assert not fleet_state.release_doubted(older_than_s=2.0, now_s=20.0)


def test_an_upstream_that_was_gone_long_ago_is_used_after_a_restore() -> None:
    fleet_state = make_state_with_restored_upstream(restored_at_s=100.0)
    assert not is_leaving(fleet_state)


def test_an_older_configuration_of_a_restored_store_is_rejected() -> None:
    fleet_state = FleetState()
    fleet_state.put("op/config", make_config(5))
    older = {"op/config": make_config(4)}
    fleet_state.replace(older, after_outage=False, restored=True, now_s=10.0)
    assert fleet_state.config is not None and fleet_state.config.version == 5


def test_an_upstream_that_a_restored_store_removes_again_is_gone_at_once() -> None:
    fleet_state = make_state_with_restored_upstream()
    assert not fleet_state.retain_missing("u", now_s=10.5)


# Guards against an upstream that gets nothing for good, as a second restore forgets
# that it was only doubted.
def test_an_upstream_that_was_gone_is_used_some_time_after_two_restores() -> None:
    fleet_state = make_state_with_restored_upstream()
    again = {"u": make_registration(started_ms=5)}
    fleet_state.replace(again, after_outage=False, restored=True, now_s=10.5)
    assert is_leaving(fleet_state)
    assert not fleet_state.release_doubted(older_than_s=2.0, now_s=12.0)
    assert fleet_state.release_doubted(older_than_s=2.0, now_s=12.5)
    assert not is_leaving(fleet_state)
