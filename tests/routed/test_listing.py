"""The place of an instance on the list, and what others make of that list."""

import asyncio
import random
from typing import Any

import pytest

from borageramp_core import StoreUnavailableError
from borageramp_core.routing import Instance
from borageramp_entry._internal.routed import instance_directory as module
from borageramp_entry._internal.routed.instance_directory import InstanceDirectory
from borageramp_entry._internal.routed.instance_registration import (
    InstanceRegistrationTask,
    compute_lease_s,
)
from tests.lib.routed import make_instance
from tests.lib.simulated_time import run_simulated


class Store:
    """Counts calls; all fail while it is down."""

    def __init__(self) -> None:
        self.down = False
        self.calls = 0

    async def _call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("down")

    async def grant_lease(self, ttl_s: float) -> int:
        await self._call()
        return 7

    async def keep_lease(self, lease_id: int) -> bool:
        await self._call()
        return True

    async def commit(self, commits: Any) -> list[Any]:
        await self._call()
        return []


def calls_of(*, is_relay: bool, down: bool, lease_s: float, length_s: float) -> int:
    """Return the calls that one instance makes in a time once it is listed."""

    async def run() -> int:
        any_store: Any = Store()
        listing = InstanceRegistrationTask(
            store=any_store,
            instance=make_instance(),
            lease_s=lease_s,
            ready=lambda: True,
            is_relay=lambda: is_relay,
            on_store_checked=lambda answered: None,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(listing.run())
        await asyncio.sleep(0.05)
        any_store.down = down
        before = any_store.calls
        await asyncio.sleep(length_s)
        task.cancel()
        return int(any_store.calls - before)

    return run_simulated(run())


@pytest.mark.parametrize("contact_s", [3.0, 4.0])
@pytest.mark.parametrize("gather_s", [0.8, 1.2])
def test_a_lease_lapses_in_time_for_the_directory(
    contact_s: float, gather_s: float
) -> None:
    absence_s = contact_s + 3.0
    lease_s = compute_lease_s(absence_s=absence_s, gather_s=gather_s)
    # What follows the end of a lease: others hear of it, and ask once.
    assert lease_s + gather_s + module.CHECK_TIMEOUT_S < absence_s
    assert lease_s > 3.0


def test_a_lease_is_never_too_short_to_renew() -> None:
    assert compute_lease_s(absence_s=0.5, gather_s=2.0) >= 1.0


def test_renewals_are_two_in_a_lease_and_more_where_others_ask() -> None:
    assert calls_of(is_relay=False, down=False, lease_s=1.0, length_s=1.1) == 2
    assert calls_of(is_relay=True, down=False, lease_s=9.0, length_s=1.1) == 2
    assert calls_of(is_relay=False, down=False, lease_s=9.0, length_s=1.1) == 0


def test_an_outage_is_no_storm_of_calls() -> None:
    # Three a second each would be 940 a second at 313 instances.
    assert calls_of(is_relay=False, down=True, lease_s=0.2, length_s=3.0) <= 5


# Time within which an instance has to act on what the store tells, from the end of
# a cut, and what the first answer of another instance takes of it at most.
CONTACT_S = 3.0
FIRST_CHANGES_S = 0.7
CONNECT_TIMEOUT_S = 0.5


def time_to_contact_s(*, cut_s: float, seed: int) -> float:
    """Return the time from the end of a cut until the store has answered."""

    class CutOff(Store):
        async def _call(self) -> None:
            if self.down:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                raise StoreUnavailableError("cut off")

    async def run() -> float:
        now = asyncio.get_running_loop().time
        answered_at_s: list[float] = []
        any_store: Any = CutOff()
        listing = InstanceRegistrationTask(
            store=any_store,
            instance=make_instance(),
            lease_s=4.0,
            ready=lambda: True,
            is_relay=lambda: False,
            on_store_checked=lambda ok: answered_at_s.append(now()) if ok else None,
            rng=random.Random(seed),
        )
        task = asyncio.ensure_future(listing.run())
        await asyncio.sleep(0.05)
        any_store.down = True
        await asyncio.sleep(cut_s)
        any_store.down = False
        back_at_s = now()
        await asyncio.sleep(10.0)
        task.cancel()
        return next(at_s for at_s in answered_at_s if at_s >= back_at_s) - back_at_s

    return run_simulated(run())


@pytest.mark.parametrize("cut_s", [4.0, 8.0, 12.0])
def test_the_end_of_a_cut_is_noticed_in_time(cut_s: float) -> None:
    """An upstream that left meanwhile must not get requests once it is over."""
    times_s = [time_to_contact_s(cut_s=cut_s, seed=seed) for seed in range(60)]
    assert max(times_s) < CONTACT_S - FIRST_CHANGES_S


def test_news_of_others_does_not_repeat_a_place_that_is_not_seen_yet() -> None:
    async def run() -> list[int]:
        store: Any = Store()
        listing = InstanceRegistrationTask(
            store=store,
            instance=make_instance("own"),
            lease_s=9.0,
            ready=lambda: True,
            is_relay=lambda: False,
            on_store_checked=lambda answered: None,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(listing.run())
        counts = []
        for names in ({"i1"}, {"i1", "i2"}, {"own"}, {"i1"}):
            await asyncio.sleep(0.02)
            listing.on_instances_changed(names)
            await asyncio.sleep(0.02)
            counts.append(store.calls)
        task.cancel()
        return counts

    registered, again, seen, lost = run_simulated(run())
    assert registered == again == seen
    assert lost > seen


def test_whoever_begins_to_follow_the_store_renews_at_once() -> None:
    """Others ask it then, and it answers only while in contact."""

    async def run() -> int:
        store: Any = Store()
        following: list[bool] = []
        listing = InstanceRegistrationTask(
            store=store,
            instance=make_instance("own"),
            lease_s=9.0,
            ready=lambda: True,
            is_relay=lambda: bool(following),
            on_store_checked=lambda answered: None,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(listing.run())
        await asyncio.sleep(0.02)
        before = store.calls
        following.append(True)
        listing.renew_now()
        await asyncio.sleep(1.1)
        task.cancel()
        return int(store.calls - before)

    assert run_simulated(run()) == 3


def make_list(
    others: int, *, age_s: float = 0.0
) -> tuple[InstanceDirectory, list[Any]]:
    """Return the list of an instance, and the names of those it asks."""
    asked: list[Any] = []

    class Listing(InstanceDirectory):
        async def _is_ready(self, instance: Instance) -> bool:
            asked.append(instance.name)
            return instance.name != "dead"

    listing = Listing(
        own=make_instance("own"),
        ready_path=b"/ready",
        store_age_s=lambda: age_s,
        rng=random.Random(1),
    )
    listing.update(make_instance(f"i{i}") for i in range(others))
    return listing, asked


def leave(listing: InstanceDirectory, *left: str, others: int) -> None:
    """Take in that some have left, and let the list do its checks."""

    async def run() -> None:
        task = asyncio.ensure_future(listing.run())
        await asyncio.sleep(0)
        listing.update(
            make_instance(f"i{i}") for i in range(others) if f"i{i}" not in left
        )
        await asyncio.sleep(0.05)
        task.cancel()

    run_simulated(run())


def names(listing: InstanceDirectory) -> set[str]:
    return {i.name for i in listing.usable(own_ready=True)}


def test_one_that_leaves_a_short_list_is_asked_at_once_and_stays_if_well() -> None:
    listing, asked = make_list(5)
    leave(listing, "i3", others=5)
    assert asked == ["i3"]
    assert names(listing) == {"own", "i0", "i1", "i2", "i3", "i4"}


def test_one_that_leaves_a_long_list_is_not_named() -> None:
    listing, asked = make_list(100)
    leave(listing, *(f"i{i}" for i in range(30)), others=100)
    # Asked by all others at once, it would have no time for callers.
    assert len(asked) <= 2
    assert len(names(listing)) == 71


def test_when_most_of_a_long_list_lapse_they_are_asked() -> None:
    listing, asked = make_list(100)
    leave(listing, *(f"i{i}" for i in range(90)), others=100)
    assert len(asked) > 2
    assert len(names(listing)) == 101


def test_without_news_of_the_store_those_that_lapsed_stay() -> None:
    listing, _ = make_list(100, age_s=10.0)
    leave(listing, "i3", others=100)
    assert "i3" in names(listing)
