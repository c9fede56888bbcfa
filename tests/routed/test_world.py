"""Merging of store items into the fleet state, without reverting to older ones."""

from borageramp_core.routing import EvacuatedDataCentre, FleetState, MalformedItem
from tests.lib.routed import make_config, make_registration


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
    fleet_state.remove("op/evacuate/north")
    assert fleet_state.evacuated_data_centres() == frozenset()
