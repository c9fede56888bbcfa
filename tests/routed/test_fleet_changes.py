"""Time in which a simulated fleet puts changes of the store in force."""

import asyncio
import random
from collections.abc import Callable

import pytest

from tests.lib.simulated_fleet import SimulatedFleet
from tests.lib.simulated_time import run_simulated

# Instances by data centre, and the time within which a change must be in force.
SMALL = ({"a": 5, "b": 5, "c": 4}, 2.0)
GROWN = ({"a": 48, "b": 46, "c": 42}, 2.5)
EVACUATION_LIMIT_S = 5.0
# A fault that hides changes counts as over this long after it ended.
CONTACT_S = 3.0
# Longest time that most instances stay silent; longer than their leases.
SILENCE_S = 12.0
SILENT_BEFORE_S = (0.05, 1.0)

Sizes = tuple[dict[str, int], float]
Silence = Callable[[SimulatedFleet], None]


def make_fleet(sizes: Sizes) -> SimulatedFleet:
    """Return a fleet with the settings of a deployment of that size."""
    instances, limit_s = sizes
    bounds = {"config_apply_s": limit_s, "drain_s": limit_s, "contact_s": CONTACT_S}
    return SimulatedFleet(sizes=instances, bounds=bounds)


def play_changes(sizes: Sizes, silence: Silence, *, before_s: float) -> list[float]:
    """Return the delays of a configuration and an evacuation, over their limits.

    Parameters
    ----------
    sizes : tuple
        Instances by data centre, and the limit of a configuration in seconds.
    silence : callable
        Makes a part of the fleet silent.
    before_s : float
        Time from then to the changes.
    """
    limit_s = sizes[1]

    async def run() -> list[float]:
        fleet = make_fleet(sizes)
        async with fleet.running():
            silence(fleet)
            await asyncio.sleep(before_s)
            changed_at_s = fleet.configure(5)
            fleet.evacuate("a")
            await asyncio.sleep(SILENCE_S)
            delays = (
                (fleet.delays_s(5, since_s=changed_at_s), limit_s),
                (fleet.delays_s("a", since_s=changed_at_s), EVACUATION_LIMIT_S),
            )
            return [d for by, most_s in delays for d in by.values() if d > most_s]

    return run_simulated(run())


def freeze_relays(fleet: SimulatedFleet) -> None:
    fleet.silent = {m.name for m in fleet.relays()}


def cut_off_relays(fleet: SimulatedFleet) -> None:
    fleet.accepts_connections = False
    freeze_relays(fleet)


def freeze_some_relays(fleet: SimulatedFleet) -> None:
    """Leave two relays of one data centre."""
    relays = sorted(m.name for m in fleet.relays())
    fleet.silent = set(relays[:-2])


def do_nothing(fleet: SimulatedFleet) -> None:
    pass


@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_changes_are_in_force_in_time_while_all_instances_run(sizes: Sizes) -> None:
    assert play_changes(sizes, do_nothing, before_s=0.5) == []


# Guards against instances that go round silent relays and never ask the store: they
# serve an old configuration and use a data centre that is being emptied.
@pytest.mark.parametrize("before_s", SILENT_BEFORE_S)
@pytest.mark.parametrize("silence", [freeze_relays, cut_off_relays, freeze_some_relays])
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_changes_are_in_force_in_time_behind_silent_relays(
    sizes: Sizes, silence: Silence, before_s: float
) -> None:
    assert play_changes(sizes, silence, before_s=before_s) == []


# Guards against relays that answer, renew their leases, and have missed changes for up
# to half a minute, as the answer to their watch was lost.
@pytest.mark.parametrize("before_s", SILENT_BEFORE_S)
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_changes_are_in_force_in_time_when_watches_are_not_answered(
    sizes: Sizes, before_s: float
) -> None:
    async def run() -> float:
        fleet = make_fleet(sizes)
        async with fleet.running():
            fleet.store.lose_pending_watches()
            await asyncio.sleep(before_s)
            changed_at_s = fleet.configure(5)
            await asyncio.sleep(SILENCE_S)
            return max(fleet.delays_s(5, since_s=changed_at_s).values())

    assert run_simulated(run()) < max(sizes[1], CONTACT_S - before_s)


# Guards against relays that fail being taken for an outage of the store, in which an
# upstream that is gone is kept for a while.
@pytest.mark.parametrize("before_s", SILENT_BEFORE_S)
@pytest.mark.parametrize("silence", [freeze_relays, cut_off_relays])
@pytest.mark.parametrize("sizes", [SMALL, GROWN], ids=["small", "grown"])
def test_an_upstream_that_is_gone_is_dropped_in_time_behind_silent_relays(
    sizes: Sizes, silence: Silence, before_s: float
) -> None:
    async def run() -> float:
        fleet = make_fleet(sizes)
        fleet.register_upstream("u1")
        async with fleet.running():
            silence(fleet)
            await asyncio.sleep(before_s)
            removed_at_s = fleet.remove_upstream("u1")
            await asyncio.sleep(SILENCE_S)
            return max(fleet.removal_delays_s(since_s=removed_at_s).values())

    assert run_simulated(run()) < sizes[1]


# Each step of a change takes up to its limit, and any part of the fleet is silent.
@pytest.mark.parametrize("seed", range(12))
def test_changes_are_in_force_in_time_whatever_each_step_takes(seed: int) -> None:
    rng = random.Random(seed)
    sizes = GROWN if seed % 4 == 0 else SMALL

    def silence(fleet: SimulatedFleet) -> None:
        fleet.link_delay_s = rng.choice((0.001, 0.1, 0.29)) / 2
        fleet.store.call_delay_s = rng.choice((0.004, 0.05))
        fleet.accepts_connections = rng.random() < 0.5
        share = rng.choice((0.5, 0.8, 0.95))
        fleet.silent = {m.name for m in fleet.members if rng.random() < share}
        # Relays gather this change when the next ones come.
        fleet.configure(4)

    before_s = rng.uniform(0.0, 2.0)
    assert play_changes(sizes, silence, before_s=before_s) == []


def test_an_outage_of_the_store_does_not_multiply_calls() -> None:
    async def run() -> int:
        fleet = make_fleet(GROWN)
        async with fleet.running():
            fleet.store.down = True
            before = fleet.store.calls
            await asyncio.sleep(8.0)
            return fleet.store.calls - before

    # Beside renewals, each instance asks the store twice, and relays a few times more.
    assert run_simulated(run()) < 3 * sum(GROWN[0].values())
