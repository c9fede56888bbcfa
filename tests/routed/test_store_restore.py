"""Fleets whose store comes back from an older copy, with revisions given out again."""

import asyncio
from collections.abc import Callable

import pytest

from tests.lib.simulated_fleet import FleetMember, SimulatedFleet
from tests.lib.simulated_time import run_simulated
from tests.lib.store_restore import Restore, restore_store, writing_upstreams

# Instances by data centre, and the time within which a change must be in force.
SMALL = ({"a": 5, "b": 5, "c": 4}, 2.0)
GROWN = ({"a": 48, "b": 46, "c": 42}, 2.5)
# Instances need not follow changes in time until this long after the restore.
CONTACT_S = 3.0
SETTLE_S = 20.0

Sizes = tuple[dict[str, int], float]


def make_fleet(sizes: Sizes, *, seed: int = 1) -> SimulatedFleet:
    instances, limit_s = sizes
    bounds = {"config_apply_s": limit_s, "drain_s": limit_s, "contact_s": CONTACT_S}
    return SimulatedFleet(sizes=instances, bounds=bounds, seed=seed)


async def configure_and_wait(fleet: SimulatedFleet, *, limit_s: float) -> list[str]:
    """Write a configuration; return the instances that have it late."""
    configured_at_s = fleet.configure(5)
    await asyncio.sleep(SETTLE_S)
    delays_s = fleet.delays_s(5, since_s=configured_at_s)
    return [name for name, delay_s in delays_s.items() if delay_s > limit_s]


def late_after_restore(
    sizes: Sizes, restore: Restore, *, after_s: float, names_era: bool = True
) -> list[str]:
    """Return the instances that have a configuration late.

    Parameters
    ----------
    sizes : tuple
        Instances by data centre, and the limit of a configuration in seconds.
    restore : Restore
        How the store comes back.
    after_s : float
        Time from then to the configuration.
    names_era : bool
        Whether instances name an era to each other.
    """

    async def run() -> list[str]:
        fleet = make_fleet(sizes, seed=2)
        fleet.names_era = names_era
        async with fleet.running(), writing_upstreams(fleet):
            await asyncio.sleep(0.1)
            fleet.configure(3)
            await asyncio.sleep(2.0)
            await restore_store(fleet, restore)
            await asyncio.sleep(after_s)
            limit_s = max(sizes[1], CONTACT_S - after_s)
            return await configure_and_wait(fleet, limit_s=limit_s)

    return run_simulated(run())


# Guards against instances that stand at a revision of a history that the store has
# lost: they wait for numbers that are given out again, and miss what these mean now.
@pytest.mark.parametrize("after_s", [0.02, 0.3, 1.0])
@pytest.mark.parametrize("lost_revisions", [6, 20])
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_a_change_after_a_restore_of_the_store_is_in_force_in_time(
    sizes: Sizes, lost_revisions: int, after_s: float
) -> None:
    restore = Restore(lost_revisions=lost_revisions)
    assert late_after_restore(sizes, restore, after_s=after_s) == []


# Guards against missing a restore while builds that name no era are replaced.
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_a_change_after_a_restore_is_in_force_in_time_beside_older_builds(
    sizes: Sizes,
) -> None:
    restore = Restore(lost_revisions=6)
    late = late_after_restore(sizes, restore, after_s=0.3, names_era=False)
    assert late == []


# Guards against instances that mix items of two histories.
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_all_instances_know_the_same_upstreams_after_a_restore(sizes: Sizes) -> None:
    async def run() -> tuple[set[frozenset[str]], set[str]]:
        fleet = make_fleet(sizes, seed=2)
        fleet.register_upstream("leaves")
        async with fleet.running(), writing_upstreams(fleet):
            await asyncio.sleep(2.0)
            await restore_store(fleet, Restore(lost_revisions=6))
            fleet.remove_upstream("leaves")
            fleet.register_upstream("joins")
            await asyncio.sleep(SETTLE_S)
            known = {frozenset(m.upstream_names()) for m in fleet.members}
            return known, fleet.upstream_names()

    known, registered = run_simulated(run())
    assert known == {frozenset(registered)}
    assert "joins" in registered and "leaves" not in registered


# Guards against fleets that fall apart as the store has lost their registrations.
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_all_instances_are_registered_soon_after_a_restore(sizes: Sizes) -> None:
    async def run() -> tuple[int, int, int]:
        fleet = make_fleet(sizes)
        empty = fleet.store.copy()
        async with fleet.running():
            fleet.store.down = True
            await asyncio.sleep(0.5)
            calls = fleet.store.calls
            fleet.store.restore(empty)
            fleet.store.down = False
            await asyncio.sleep(CONTACT_S)
            registered = fleet.registered_instances()
            calls = fleet.store.calls - calls
            await asyncio.sleep(SETTLE_S)
            return registered, fleet.registered_instances(), calls

    soon, later, calls = run_simulated(run())
    count = sum(sizes[0].values())
    assert (soon, later) == (count, count)
    # A read, a lease and a registration each, and some watches and retries.
    assert calls < 8 * count


async def count_instances(
    fleet: SimulatedFleet, holds: Callable[[FleetMember], bool], *, for_s: float
) -> int:
    """Return for how many instances something ever held in a time."""
    seen: set[str] = set()
    for _ in range(int(for_s / 0.05)):
        seen |= {m.name for m in fleet.members if holds(m)}
        await asyncio.sleep(0.05)
    return len(seen)


# Guards against using a data centre that is being emptied, until operators write that
# again.
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_an_evacuation_that_a_restored_store_has_lost_stays_in_force(
    sizes: Sizes,
) -> None:
    async def run() -> tuple[int, int]:
        fleet = make_fleet(sizes)
        async with fleet.running():
            copy = fleet.store.copy()
            fleet.evacuate("a")
            await asyncio.sleep(2.0)
            fleet.store.restore(copy)

            def uses(member: FleetMember) -> bool:
                return "a" not in member.evacuated_data_centres()

            used = await count_instances(fleet, uses, for_s=1.5)
            fleet.evacuate("a")
            used += await count_instances(fleet, uses, for_s=4.0)
            fleet.store.remove("op/evacuate/a")
            await asyncio.sleep(3.0)
            return used, sum(uses(m) for m in fleet.members)

    assert run_simulated(run()) == (0, sum(sizes[0].values()))


# Guards against requests to upstreams that leave or are gone, as an older copy of the
# store says otherwise.
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_upstreams_that_left_before_a_restore_are_not_used_after_it(
    sizes: Sizes,
) -> None:
    async def run() -> tuple[int, set[frozenset[str]]]:
        fleet = make_fleet(sizes)
        for name in ("leaving", "gone", "stays"):
            fleet.register_upstream(name)
        async with fleet.running():
            copy = fleet.store.copy()
            fleet.register_upstream("leaving", leaving=True)
            fleet.remove_upstream("gone")
            await asyncio.sleep(2.0)
            fleet.store.restore(copy)

            def uses(member: FleetMember) -> bool:
                return bool(member.usable_upstreams() - {"stays"})

            used = await count_instances(fleet, uses, for_s=1.5)
            fleet.register_upstream("leaving", leaving=True)
            fleet.remove_upstream("gone")
            used += await count_instances(fleet, uses, for_s=4.0)
            return used, {frozenset(m.upstream_names()) for m in fleet.members}

    used, known = run_simulated(run())
    assert used == 0
    assert known == {frozenset({"leaving", "stays"})}


# Guards against a store that many instances ask for everything at the same moment.
def test_reads_after_a_restore_are_spread() -> None:
    async def run() -> list[float]:
        fleet = make_fleet(GROWN)
        async with fleet.running():
            copy = fleet.store.copy()
            fleet.configure(3)
            await asyncio.sleep(2.0)
            fleet.store.read_times_s.clear()
            fleet.store.restore(copy)
            await asyncio.sleep(CONTACT_S)
            return fleet.store.read_times_s

    times_s = run_simulated(run())
    count = sum(GROWN[0].values())
    assert count <= len(times_s) < 1.5 * count
    most = max(sum(0.0 <= t - at_s < 0.05 for t in times_s) for at_s in times_s)
    assert most < count / 3


@pytest.mark.parametrize("gap_s", [0.05, 0.4, 0.9])
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_changes_are_in_force_in_time_after_two_restores_within_a_second(
    sizes: Sizes, gap_s: float
) -> None:
    async def run() -> list[str]:
        fleet = make_fleet(sizes)
        async with fleet.running(), writing_upstreams(fleet):
            copy = fleet.store.copy()
            await asyncio.sleep(3.0)
            fleet.store.restore(copy)
            await asyncio.sleep(gap_s)
            fleet.store.restore(copy)
            return await configure_and_wait(fleet, limit_s=CONTACT_S)

    assert run_simulated(run()) == []


@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_instances_that_were_cut_off_in_a_restore_follow_once_they_are_back(
    sizes: Sizes,
) -> None:
    async def run() -> list[str]:
        fleet = make_fleet(sizes)
        async with fleet.running(), writing_upstreams(fleet):
            copy = fleet.store.copy()
            await asyncio.sleep(2.0)
            fleet.cut_from_store = {m.name for m in fleet.members[::2]}
            await asyncio.sleep(0.5)
            fleet.store.restore(copy)
            await asyncio.sleep(4.0)
            fleet.cut_from_store = set()
            return await configure_and_wait(fleet, limit_s=CONTACT_S)

    assert run_simulated(run()) == []
