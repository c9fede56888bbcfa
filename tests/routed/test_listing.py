"""Registration of an instance, and the instance directory built by others."""

import asyncio
import random
from collections.abc import Callable
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
    """Counts calls, which all fail while ``down`` is set."""

    def __init__(self) -> None:
        self.down = False
        self.calls = 0
        self.era = 1
        self.leases: list[int] = []
        self.written_under: list[int] = []

    async def _call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("down")

    async def grant_lease(self, ttl_s: float) -> int:
        await self._call()
        # A restored store gives identifiers out again.
        self.leases.append(7)
        return 7

    async def keep_lease(self, lease_id: int) -> bool:
        await self._call()
        return True

    async def commit(self, commits: Any) -> list[Any]:
        await self._call()
        self.written_under += [put.lease_id for c in commits for put in c.puts]
        return []


def count_calls(*, is_relay: bool, down: bool, lease_s: float, length_s: float) -> int:
    """Return how many store calls a registered instance makes in ``length_s``."""

    async def run() -> int:
        any_store: Any = Store()
        registration_task = InstanceRegistrationTask(
            store=any_store,
            instance=make_instance(),
            lease_s=lease_s,
            ready=lambda: True,
            is_relay=lambda: is_relay,
            on_store_checked=lambda answered: None,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(registration_task.run())
        await asyncio.sleep(0.05)
        any_store.down = down
        before = any_store.calls
        await asyncio.sleep(length_s)
        task.cancel()
        return int(any_store.calls - before)

    return run_simulated(run())


def play_restore(*, during_call: str) -> tuple[list[int], list[int]]:
    """Return the leases granted and those written under, with a restore between.

    Parameters
    ----------
    during_call : str
        Method of the store whose answer is the first in the new era.
    """

    class RestoredStore(Store):
        async def _call(self) -> None:
            await super()._call()
            await asyncio.sleep(0.01)

    async def run() -> tuple[list[int], list[int]]:
        any_store: Any = RestoredStore()
        registration_task = InstanceRegistrationTask(
            store=any_store,
            instance=make_instance(),
            lease_s=1.0,
            ready=lambda: True,
            is_relay=lambda: False,
            on_store_checked=lambda answered: None,
            rng=random.Random(1),
        )
        original = getattr(any_store, during_call)

        async def restore_and_answer(*args: Any) -> Any:
            any_store.era = 2
            return await original(*args)

        if during_call != "keep_lease":
            setattr(any_store, during_call, restore_and_answer)
        task = asyncio.ensure_future(registration_task.run())
        await asyncio.sleep(0.1)
        if during_call == "keep_lease":
            setattr(any_store, during_call, restore_and_answer)
        await asyncio.sleep(1.5)
        task.cancel()
        return any_store.leases, any_store.written_under

    return run_simulated(run())


# Guards against renewing a lease that a restored store has given to another instance.
@pytest.mark.parametrize("during_call", ["grant_lease", "commit", "keep_lease"])
def test_an_instance_registers_under_a_new_lease_after_a_restore(
    during_call: str,
) -> None:
    leases, written_under = play_restore(during_call=during_call)
    assert len(leases) == 2
    assert len(written_under) == 2


@pytest.mark.parametrize("contact_s", [3.0, 4.0])
@pytest.mark.parametrize("gather_s", [0.8, 1.2])
def test_a_lease_lapses_in_time_for_the_directory(
    contact_s: float, gather_s: float
) -> None:
    absence_s = contact_s + 3.0
    lease_s = compute_lease_s(absence_s=absence_s, gather_s=gather_s)
    # After a lease ends, others receive the change and check the instance once.
    assert lease_s + gather_s + module.CHECK_TIMEOUT_S < absence_s
    assert lease_s > 3.0


def test_a_lease_is_never_too_short_to_renew() -> None:
    assert compute_lease_s(absence_s=0.5, gather_s=2.0) >= 1.0


def test_a_lease_is_renewed_twice_and_more_often_by_a_relay() -> None:
    assert count_calls(is_relay=False, down=False, lease_s=1.0, length_s=1.1) == 2
    assert count_calls(is_relay=True, down=False, lease_s=9.0, length_s=1.1) == 2
    assert count_calls(is_relay=False, down=False, lease_s=9.0, length_s=1.1) == 0


def test_an_outage_does_not_multiply_calls() -> None:
    # Three calls/s per instance would be 940 calls/s at 313 instances.
    assert count_calls(is_relay=False, down=True, lease_s=0.2, length_s=3.0) <= 5


# An instance must act on changes of the store within CONTACT_LIMIT_S after an outage;
# the first answer of another instance takes up to MAX_FIRST_CHANGES_S of that.
CONTACT_LIMIT_S = 3.0
MAX_FIRST_CHANGES_S = 0.7
CONNECT_TIMEOUT_S = 0.5


def time_to_contact_s(*, outage_s: float, seed: int) -> float:
    """Return the time from the end of an outage to the next answer of the store."""

    class UnreachableStore(Store):
        async def _call(self) -> None:
            if self.down:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                raise StoreUnavailableError("cut off")

    async def run() -> float:
        now = asyncio.get_running_loop().time
        answered_at_s: list[float] = []
        any_store: Any = UnreachableStore()
        registration_task = InstanceRegistrationTask(
            store=any_store,
            instance=make_instance(),
            lease_s=4.0,
            ready=lambda: True,
            is_relay=lambda: False,
            on_store_checked=lambda ok: answered_at_s.append(now()) if ok else None,
            rng=random.Random(seed),
        )
        task = asyncio.ensure_future(registration_task.run())
        await asyncio.sleep(0.05)
        any_store.down = True
        await asyncio.sleep(outage_s)
        any_store.down = False
        outage_ended_at_s = now()
        await asyncio.sleep(10.0)
        task.cancel()
        return (
            next(at_s for at_s in answered_at_s if at_s >= outage_ended_at_s)
            - outage_ended_at_s
        )

    return run_simulated(run())


@pytest.mark.parametrize("outage_s", [4.0, 8.0, 12.0])
def test_the_end_of_an_outage_is_detected_in_time(outage_s: float) -> None:
    """An upstream that left in an outage must get no requests after it."""
    times_s = [time_to_contact_s(outage_s=outage_s, seed=seed) for seed in range(60)]
    assert max(times_s) < CONTACT_LIMIT_S - MAX_FIRST_CHANGES_S


def test_changes_of_others_do_not_repeat_a_registration_not_yet_seen() -> None:
    async def run() -> list[int]:
        store: Any = Store()
        registration_task = InstanceRegistrationTask(
            store=store,
            instance=make_instance("own"),
            lease_s=9.0,
            ready=lambda: True,
            is_relay=lambda: False,
            on_store_checked=lambda answered: None,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(registration_task.run())
        counts = []
        for names in ({"i1"}, {"i1", "i2"}, {"own"}, {"i1"}):
            await asyncio.sleep(0.02)
            registration_task.on_instances_changed(names)
            await asyncio.sleep(0.02)
            counts.append(store.calls)
        task.cancel()
        return counts

    registered, again, seen, lost = run_simulated(run())
    assert registered == again == seen
    assert lost > seen


def test_a_new_relay_renews_its_lease_immediately() -> None:
    """A relay is polled by others and answers only while in contact."""

    async def run() -> int:
        store: Any = Store()
        following: list[bool] = []
        registration_task = InstanceRegistrationTask(
            store=store,
            instance=make_instance("own"),
            lease_s=9.0,
            ready=lambda: True,
            is_relay=lambda: bool(following),
            on_store_checked=lambda answered: None,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(registration_task.run())
        await asyncio.sleep(0.02)
        before = store.calls
        following.append(True)
        registration_task.renew_now()
        await asyncio.sleep(1.1)
        task.cancel()
        return int(store.calls - before)

    assert run_simulated(run()) == 3


DEAD = {"i4"}
LEASE_S = 4.0


def make_directory(
    others: int, *, age_s: float = 0.0, on_gone: Callable[[], None] = lambda: None
) -> tuple[InstanceDirectory, list[Any]]:
    """Return a directory, and the names of the instances that it checks."""
    checked: list[Any] = []

    class StubDirectory(InstanceDirectory):
        async def _is_ready(self, instance: Instance) -> bool:
            checked.append(instance.name)
            return instance.name not in DEAD

    directory = StubDirectory(
        own=make_instance("own"),
        ready_path=b"/ready",
        lease_s=LEASE_S,
        store_age_s=lambda: age_s,
        on_gone=on_gone,
        rng=random.Random(1),
        clock=lambda: 0.0,
    )
    directory.update(make_instance(f"i{i}") for i in range(others))
    return directory, checked


def remove_instances(directory: InstanceDirectory, *removed: str, others: int) -> None:
    """Remove some instances and run the checks of the directory."""

    async def run() -> None:
        task = asyncio.ensure_future(directory.run())
        await asyncio.sleep(0)
        directory.update(
            make_instance(f"i{i}") for i in range(others) if f"i{i}" not in removed
        )
        await asyncio.sleep(0.05)
        task.cancel()

    run_simulated(run())


def usable_names(directory: InstanceDirectory) -> set[str]:
    return {i.name for i in directory.usable(own_ready=True)}


def test_an_instance_removed_from_a_short_list_is_checked_and_kept_if_ready() -> None:
    directory, checked = make_directory(5)
    remove_instances(directory, "i3", others=5)
    assert checked == ["i3"]
    assert usable_names(directory) == {"own", "i0", "i1", "i2", "i3", "i4"}


def test_an_instance_removed_from_a_long_list_is_not_usable() -> None:
    directory, checked = make_directory(100)
    remove_instances(directory, *(f"i{i}" for i in range(30)), others=100)
    # Checks by all others at once would leave an instance no time for callers.
    assert len(checked) <= 2
    assert len(usable_names(directory)) == 71


def test_instances_are_checked_when_most_of_a_long_list_lapse() -> None:
    directory, checked = make_directory(100)
    remove_instances(directory, *(f"i{i}" for i in range(90)), others=100)
    assert len(checked) > 2
    # Which ones are checked is random; one of them is not ready.
    assert len(usable_names(directory)) == 101 - len(DEAD & set(checked))


def test_lapsed_instances_are_kept_while_the_store_is_out_of_contact() -> None:
    directory, _ = make_directory(100, age_s=10.0)
    remove_instances(directory, "i3", others=100)
    assert "i3" in usable_names(directory)


# Guards against shares of a rate that stay with an instance that is gone.
def test_shares_are_dealt_out_anew_when_a_lapsed_instance_is_gone() -> None:
    seen: list[frozenset[str]] = []
    directory, _ = make_directory(5, on_gone=lambda: seen.append(directory.names()))
    remove_instances(directory, "i3", "i4", others=5)
    assert seen == [frozenset({"own", "i0", "i1", "i2", "i3"})]
