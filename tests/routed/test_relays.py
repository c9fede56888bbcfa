"""Which instances follow the store, and what they tell the others."""

import pytest

from borageramp_core import HistoryLostError
from borageramp_core.routing import Instance, RelayPlan
from borageramp_entry._internal.routed.feed import (
    ChangeLog,
    pack_change,
    unpack_change,
)
from borageramp_entry._internal.store.base import Change, Item
from tests.lib.routed import AWAY, HERE, make_instance


def make_fleet(here: int, away: int) -> list[Instance]:
    return [
        *(make_instance(f"h{i}", data_centre=HERE) for i in range(here)),
        *(make_instance(f"a{i}", data_centre=AWAY) for i in range(away)),
    ]


def make_plan(own: Instance, fleet: list[Instance]) -> RelayPlan:
    plan = RelayPlan(own=own)
    plan.update(fleet)
    return plan


def make_change(revision: int, *written: str, deleted: tuple[str, ...] = ()) -> Change:
    items = tuple(
        Item(key=key, value=f"{key}@{revision}".encode(), revision=revision)
        for key in written
    )
    return Change(written=items, deleted=deleted, revision=revision)


def test_one_instance_of_each_data_centre_follows_the_store() -> None:
    fleet = make_fleet(9, 5)
    relays = [i for i in fleet if make_plan(i, fleet).is_relay]
    assert sorted(i.data_centre for i in relays) == [HERE, AWAY]


def test_all_ask_the_same_instances_those_of_their_data_centre_first() -> None:
    fleet = make_fleet(9, 5)
    relays = {i.name for i in fleet if make_plan(i, fleet).is_relay}
    for instance in fleet:
        others = make_plan(instance, fleet).others
        assert {i.name for i in others} == relays - {instance.name}
        if instance.name not in relays:
            assert others[0].data_centre == instance.data_centre


def test_a_large_data_centre_has_several_that_share_the_others() -> None:
    fleet = make_fleet(100, 0)
    plans = {i.name: make_plan(i, fleet) for i in fleet}
    assert sum(p.is_relay for p in plans.values()) == 7
    first = [p.others[0].name for p in plans.values() if not p.is_relay]
    assert max(first.count(name) for name in set(first)) <= 25


def test_an_instance_that_knows_no_other_follows_the_store() -> None:
    own = make_instance("h0")
    assert RelayPlan(own=own).is_relay
    assert make_plan(own, []).is_relay and make_plan(own, []).others == ()


def test_the_log_tells_the_last_state_of_each_item() -> None:
    log = ChangeLog()
    log.reset(10)
    log.append(make_change(11, "a", "b"))
    log.append(make_change(13, "a", deleted=("b",)))
    log.append(make_change(15, "b"))
    told = log.since(11)
    assert {i.key: i.revision for i in told.written} == {"a": 13, "b": 15}
    assert told.deleted == () and told.revision == 15
    assert log.since(15).written == ()


def test_the_log_says_what_it_no_longer_has() -> None:
    log = ChangeLog()
    log.reset(10)
    with pytest.raises(HistoryLostError):
        log.since(9)
    for revision in range(11, 2000):
        log.append(make_change(revision, "a"))
    with pytest.raises(HistoryLostError):
        log.since(10)
    assert [i.revision for i in log.since(1998).written] == [1999]


def test_changes_pass_unaltered() -> None:
    change = Change(
        written=(Item(key="a", value=b"\x00\xff", revision=7),),
        deleted=("b",),
        revision=9,
    )
    assert unpack_change(pack_change(change)) == change
