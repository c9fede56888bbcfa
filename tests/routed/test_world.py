"""What the store told, merged so that nothing goes back."""

from borageramp_core.routing import DataCentreOut, Unreadable, World
from tests.lib.routed import make_config, make_registration


def test_an_older_configuration_never_comes_back() -> None:
    world = World()
    assert world.put("op/config", make_config(5))
    assert not world.put("op/config", make_config(4))
    assert world.config is not None and world.config.version == 5


def test_removing_the_configuration_keeps_it_in_force() -> None:
    world = World()
    world.put("op/config", make_config(5))
    world.replace({}, after_outage=False, now_s=0.0)
    assert world.config is not None


def test_registrations_that_lapsed_in_an_outage_stay_for_a_while() -> None:
    world = World()
    world.put("servers/u1", make_registration())
    world.replace({}, after_outage=True, now_s=10.0)
    assert len(list(world.registrations())) == 1
    assert world.drop_missing(older_than_s=2.0, now_s=11.9) == []
    assert world.drop_missing(older_than_s=2.0, now_s=12.0) == ["servers/u1"]
    assert list(world.registrations()) == []


def test_a_registration_that_returns_is_not_dropped() -> None:
    world = World()
    world.put("servers/u1", make_registration())
    world.replace({}, after_outage=True, now_s=10.0)
    world.put("servers/u1", make_registration())
    assert world.drop_missing(older_than_s=2.0, now_s=20.0) == []


def test_calm_removals_count_at_once() -> None:
    world = World()
    world.put("servers/u1", make_registration())
    world.replace({}, after_outage=False, now_s=10.0)
    assert list(world.registrations()) == []


def test_an_unreadable_item_names_no_upstream() -> None:
    world = World()
    world.put("servers/u1", make_registration())
    world.put("servers/u1", Unreadable(problem="not JSON"))
    assert list(world.registrations()) == []


def test_data_centres_out() -> None:
    world = World()
    world.put("op/evacuate/north", DataCentreOut(data_centre="north"))
    assert world.data_centres_out() == {"north"}
    world.remove("op/evacuate/north")
    assert world.data_centres_out() == frozenset()
