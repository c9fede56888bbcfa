"""What the directory names after an outage of the store in which leases are paused."""

import asyncio
import random
from collections.abc import Callable

import pytest

from borageramp_core.routing import Instance
from borageramp_entry._internal.routed.instance_directory import InstanceDirectory
from tests.lib.routed import make_instance
from tests.lib.simulated_time import run_simulated

LEASE_S = 4.0
# Time after its end from which an instance is no longer to be named, and time after an
# outage from which instances are held to it.
ABSENCE_S = 6.0
CONTACT_S = 3.0
CALM_S = 5.0
CHECK_DURATION_S = 0.002


class OutageFleet:
    """A directory through an outage, and the instances that it knows.

    Parameters
    ----------
    count : int
        Other instances.
    outage_s : float
        Length of the outage, which begins at ``CALM_S``.
    seed : int
        Seed of the directory.
    """

    def __init__(self, count: int, *, outage_s: float, seed: int = 1) -> None:
        self._clock = asyncio.get_running_loop().time
        self._returns_at_s = CALM_S + outage_s
        self.dead: set[str] = set()
        self.unreached: set[str] = set()
        self.checked = 0
        self.instances = [make_instance(f"i{i}") for i in range(count)]
        fleet = self

        class StubDirectory(InstanceDirectory):
            async def _is_ready(self, instance: Instance) -> bool:
                fleet.checked += 1
                await asyncio.sleep(CHECK_DURATION_S)
                return instance.name not in fleet.dead | fleet.unreached

        self.directory = StubDirectory(
            own=make_instance("own"),
            ready_path=b"/ready",
            lease_s=LEASE_S,
            store_age_s=self._store_age_s,
            on_gone=lambda: None,
            rng=random.Random(seed),
            clock=self._clock,
        )
        self.directory.update(self.instances)

    def _store_age_s(self) -> float:
        now_s = self._clock()
        return now_s - CALM_S if CALM_S <= now_s < self._returns_at_s else 0.0

    def named(self) -> set[str]:
        """Return the instances that a caller is given now."""
        return {i.name for i in self.directory.usable(own_ready=True)} - {"own"}

    async def play(
        self, *, until_s: float, step: Callable[[float], None] = lambda now_s: None
    ) -> None:
        """Run the checks of the directory; call ``step`` ten times a second."""
        task = asyncio.ensure_future(self.directory.run())
        while (now_s := self._clock()) < until_s:
            if now_s >= self._returns_at_s + LEASE_S:
                # The leases of those that are gone have run out.
                left = [i for i in self.instances if i.name not in self.dead]
                self.directory.update(left)
            step(now_s)
            await asyncio.sleep(0.1)
        task.cancel()


# Guards against callers that are sent to an instance that was lost in an outage, as its
# paused lease goes on when the store is back.
@pytest.mark.parametrize("outage_s", [2.5, 4.0, 8.0])
@pytest.mark.parametrize("count", [2, 13, 135, 312])
def test_an_instance_lost_in_an_outage_is_not_named_after_it(
    count: int, outage_s: float
) -> None:
    named_at_s: list[float] = []

    async def test(seed: int) -> None:
        fleet = OutageFleet(count, outage_s=outage_s, seed=seed)
        lost_at_s = CALM_S + 0.1
        judged_from_s = max(lost_at_s + ABSENCE_S, CALM_S + outage_s + CONTACT_S)

        def step(now_s: float) -> None:
            if now_s >= lost_at_s:
                fleet.dead.add("i1")
            if now_s >= judged_from_s and "i1" in fleet.named():
                named_at_s.append(now_s)
            assert len(fleet.named()) >= min(count - 1, 8)

        await fleet.play(until_s=CALM_S + outage_s + 10.0, step=step)

    for seed in range(5):
        run_simulated(test(seed))
    assert named_at_s == []


# Guards against checks of whole fleets by each instance.
@pytest.mark.parametrize("count", [13, 135, 312])
def test_checks_are_bounded_and_end_after_the_outage(count: int) -> None:
    async def test() -> None:
        fleet = OutageFleet(count, outage_s=8.0)
        checked: dict[int, int] = {}
        await fleet.play(
            until_s=30.0, step=lambda now_s: checked.update({int(now_s): fleet.checked})
        )
        assert fleet.checked <= 16 * 15
        assert checked[4] == 0 and checked[29] == checked[22]
        assert fleet.named() == {i.name for i in fleet.instances}

    run_simulated(test())


def test_an_instance_that_answers_again_is_named_again() -> None:
    async def test() -> None:
        fleet = OutageFleet(5, outage_s=8.0)

        def step(now_s: float) -> None:
            fleet.unreached = {"i2"} if now_s < 10.0 else set()

        await fleet.play(until_s=9.5, step=step)
        assert "i2" not in fleet.named()
        await fleet.play(until_s=11.5, step=step)
        assert "i2" in fleet.named()

    run_simulated(test())


def test_an_instance_that_renewed_its_lease_is_named_though_not_reached_from_here() -> (
    None
):
    async def test() -> None:
        fleet = OutageFleet(5, outage_s=8.0)
        fleet.unreached = {"i2"}
        await fleet.play(until_s=CALM_S + 8.0 + 3.0)
        assert "i2" not in fleet.named()
        await fleet.play(until_s=CALM_S + 8.0 + 8.0)
        assert "i2" in fleet.named()

    run_simulated(test())
