"""The entries of the fleet, and the addresses that callers get."""

import random

from borageramp_core import (
    ClaimTable,
    DataCentre,
    Lifecycle,
    ListedEntry,
    Membership,
    Snapshot,
    choose_addresses,
)
from tests.lib.builders import make_entry, make_key


def make_membership(*names: str, now_s: float = 10.0) -> Membership:
    own = make_entry("me")
    membership = Membership(own=own, timeout_s=2.0)
    membership.own.serving = True
    entries = [make_entry(name) for name in names]
    membership.update_listed([own, *entries])
    for entry in entries:
        hear(membership, entry, now_s=now_s)
    return membership


def hear(
    membership: Membership,
    entry: ListedEntry,
    *,
    now_s: float,
    serving: bool = True,
    leaving: bool = False,
) -> None:
    membership.record_status(
        entry,
        revision=1,
        serving=serving,
        leaving=leaving,
        in_flight=0,
        now_s=now_s,
    )


def addresses(
    membership: Membership, *, where: str = "north", out: str = "", now_s: float = 10.0
) -> list[str]:
    centres = {out: DataCentre(name=out, state=Lifecycle.OUT)} if out else {}
    answer = choose_addresses(
        membership=membership,
        snapshot=Snapshot(revision=1, data_centres=centres),
        data_centre=where,
        ttl_s=1.0,
        rng=random.Random(1),
        now_s=now_s,
    )
    return [a.address for a in answer.addresses]


def test_addresses_of_the_nearest_data_centre_come_first() -> None:
    membership = make_membership("a")
    hear(membership, make_entry("s", data_centre="south"), now_s=10.0)
    assert addresses(membership, where="south")[0] == "s:1"
    assert set(addresses(membership)) == {"me:1", "a:1", "s:1"}


def test_entries_that_cannot_serve_are_left_out() -> None:
    membership = make_membership("a", "b", "c")
    hear(membership, make_entry("a"), now_s=10.0, leaving=True)
    hear(membership, make_entry("b"), now_s=10.0, serving=False)
    assert set(addresses(membership)) == {"me:1", "c:1"}
    assert addresses(membership, now_s=13.0) == ["me:1"]
    assert addresses(membership, out="north") == []


def test_replaced_incarnation_is_dropped() -> None:
    membership = make_membership("a")
    membership.update_listed([make_entry("me"), make_entry("a", incarnation="a-2")])
    assert membership.get("a-1") is None
    assert membership.voters() == {"me-1", "a-2"}


def test_leaving_entry_still_votes_but_owns_nothing() -> None:
    membership = make_membership("a")
    hear(membership, make_entry("a"), now_s=10.0, leaving=True)
    assert membership.voters() == {"me-1", "a-1"}
    assert membership.owners() == {"me-1"}


def test_keys_follow_their_successors() -> None:
    membership = make_membership("a", "b")
    membership.update_successions("a-1", ["old"])
    membership.update_successions("b-1", ["old", "a-1"])
    owner = membership.key_owner("old")
    assert owner is not None and owner.listed.name == "b"


def test_succession_ends_when_it_is_no_longer_told() -> None:
    membership = make_membership("a")
    membership.update_successions("a-1", ["old"])
    membership.update_successions("a-1", [])
    assert membership.key_owner("old") is None


def test_successor_forgets_an_incarnation_after_the_window() -> None:
    table = ClaimTable(incarnation="me", started_at_s=0.0, window_s=100.0)
    table.adopt("old", clock_ms=0, claims=[], last=True, now_s=1.0)
    table.admit(make_key(incarnation="old"), digest="d", now_s=1.0)
    table.mark_unknown(make_key(incarnation="old"))
    table.expire(now_s=50.0)
    assert table.adopted_incarnations() == ["old"]
    table.expire(now_s=150.0)
    assert table.adopted_incarnations() == []
