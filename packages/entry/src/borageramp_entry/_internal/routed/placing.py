"""Finds upstreams for the requests of one service, in their order."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from borageramp_core.routing import (
    AdmissionQueue,
    PlacementChoice,
    PlacementRequirements,
    ServicePool,
    UpstreamView,
    WaitPolicy,
)
from borageramp_entry._internal.routed.prober import Probe, Prober

__all__ = ["Placer", "Seeker"]

# Upstreams asked before a request is placed, and when none of these is good.
PROBES = (3, 4)
# Longest wait for their answers.
PROBE_WAIT_S = 0.02
# Time after which waiting requests look for room again.
STEP_S = 0.015
# Time after which those that will be late look again: many of them would find
# each free slot before those that can be in time.
LATE_STEP_S = 0.06
# More places than this are looked for in one round only if the last was found.
MISSES_A_ROUND = 2


@dataclass(kw_only=True, slots=True)
class Seeker:
    """A request that seeks an upstream.

    Attributes
    ----------
    wait_policy : WaitPolicy
        How it waits.
    rank : int
        Priority; 0 is the highest.
    excluded : frozenset of str
        Upstreams that have had it.
    fresh_only : bool
        Whether it goes only to an upstream that has just reported.
    """

    wait_policy: WaitPolicy
    rank: int
    excluded: frozenset[str]
    fresh_only: bool

    def requirements(self, *, now_s: float) -> PlacementRequirements:
        """Return what it accepts now."""
        return self.wait_policy.requirements(excluded=self.excluded, now_s=now_s)


class Placer:
    """Places the requests of one service.

    A request that finds no room waits in line. One task looks for room for
    all of them, so that the cost of waiting doesn't grow with their number.

    Parameters
    ----------
    pool : ServicePool
        The upstreams.
    prober : Prober
        Asks them for their load.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        pool: ServicePool,
        prober: Prober,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.pool = pool
        self._prober = prober
        self._rng = rng
        self._clock = clock
        self._queue: AdmissionQueue[
            tuple[Seeker, asyncio.Future[PlacementChoice | None]]
        ] = AdmissionQueue()
        self._serving: asyncio.Task[None] | None = None
        self._late_looked_at_s = float("-inf")

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    async def place(self, seeker: Seeker, *, wait: bool) -> PlacementChoice | None:
        """Place a request; ``None`` if it finds no room.

        Parameters
        ----------
        seeker : Seeker
            The request.
        wait : bool
            Whether it waits for room.
        """
        self.pool.shortlist.on_request(now_s=self._clock())
        if not self._is_behind(seeker):
            chosen = await self._find(seeker)
            if chosen is not None:
                return chosen
        now_s = self._clock()
        if not wait or now_s >= seeker.wait_policy.wait_until_s:
            return None
        if not self.pool.can_serve(seeker.requirements(now_s=now_s), now_s=now_s):
            return None
        return await self._wait(seeker)

    def _is_behind(self, seeker: Seeker) -> bool:
        """Tell whether requests wait that go before this one."""
        now_s = self._clock()
        if seeker.wait_policy.is_late(now_s=now_s):
            return bool(self._queue) or self.pool.is_full(now_s=now_s)
        return self._queue.has_ahead(rank=seeker.rank, now_s=now_s)

    async def _wait(self, seeker: Seeker) -> PlacementChoice | None:
        placed: asyncio.Future[PlacementChoice | None]
        placed = asyncio.get_running_loop().create_future()
        self._push(seeker, placed)
        if self._serving is None or self._serving.done():
            self._serving = asyncio.ensure_future(self._serve())
        try:
            return await placed
        except asyncio.CancelledError:
            # It may have been given a place in the same instant.
            if placed.done() and not placed.cancelled():
                self._give_back(placed.result())
            raise

    def _push(
        self, seeker: Seeker, placed: "asyncio.Future[PlacementChoice | None]"
    ) -> None:
        latest_start_s = seeker.wait_policy.latest_start_s
        self._queue.push(
            (seeker, placed), rank=seeker.rank, latest_start_s=latest_start_s
        )

    def _give_back(self, chosen: PlacementChoice | None) -> None:
        if chosen is not None:
            self.pool.undo_start(chosen.view)

    async def _serve(self) -> None:
        while self._queue:
            await asyncio.sleep(STEP_S * (0.5 + self._rng.random()))
            await self._round()

    async def _round(self) -> None:
        misses = 0
        now_s = self._clock()
        late_may_look = now_s - self._late_looked_at_s >= LATE_STEP_S
        for seeker, placed in self._queue.pop_all(now_s=now_s):
            if placed.done():
                continue
            chosen = None
            is_late = seeker.wait_policy.is_late(now_s=now_s)
            if misses < MISSES_A_ROUND and (late_may_look or not is_late):
                if is_late:
                    self._late_looked_at_s = now_s
                chosen = await self._find(seeker)
                misses += chosen is None
            self._settle(seeker, placed, chosen)

    def _settle(
        self,
        seeker: Seeker,
        placed: "asyncio.Future[PlacementChoice | None]",
        chosen: PlacementChoice | None,
    ) -> None:
        if placed.done():
            self._give_back(chosen)
        elif chosen is not None or self._clock() >= seeker.wait_policy.wait_until_s:
            placed.set_result(chosen)
        else:
            self._push(seeker, placed)

    async def _find(self, seeker: Seeker) -> PlacementChoice | None:
        wider = False
        for count in PROBES:
            if await self._look(seeker, count=count):
                return self._choose(seeker)
            # None is good, so that more are compared, also for the next requests.
            wider = self.pool.shortlist.widen(now_s=self._clock())
        chosen = self._choose(seeker)
        if chosen is None and wider:
            await self._look(seeker, count=PROBES[-1])
            chosen = self._choose(seeker)
        now_s = self._clock()
        if chosen is None and not seeker.wait_policy.is_late(now_s=now_s):
            self.pool.on_no_capacity(now_s=now_s)
        return chosen

    async def _look(self, seeker: Seeker, *, count: int) -> bool:
        """Ask some upstreams for their load; tell whether a good one is known."""
        now_s = self._clock()
        requirements = seeker.requirements(now_s=now_s)
        if self.pool.has_good(requirements, now_s=now_s):
            return True
        views = self.pool.probe_targets(requirements, count=count, now_s=now_s)
        await self._ask(views, requirements)
        now_s = self._clock()
        return self.pool.has_good(seeker.requirements(now_s=now_s), now_s=now_s)

    def _choose(self, seeker: Seeker) -> PlacementChoice | None:
        now_s = self._clock()
        requirements = seeker.requirements(now_s=now_s)
        chosen = self.pool.choose(requirements, now_s=now_s, fresh_only=True)
        if chosen is None and not seeker.fresh_only:
            chosen = self.pool.choose(requirements, now_s=now_s)
        if chosen is None or not self.pool.start_request(chosen.view, now_s=now_s):
            return None
        return chosen

    async def _ask(
        self, views: list[UpstreamView], requirements: PlacementRequirements
    ) -> None:
        """Wait until one of the upstreams asked is good, or all have answered."""
        probes = self._prober.start(views)
        if not probes:
            return
        enough = asyncio.get_running_loop().create_future()
        left = len(probes)

        def answered(probe: Probe) -> None:
            nonlocal left
            left -= 1
            if not enough.done() and (left == 0 or self._is_good(probe, requirements)):
                enough.set_result(None)

        for probe in probes:
            probe.add_done_callback(answered)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PROBE_WAIT_S):
                await enough

    def _is_good(self, probe: Probe, requirements: PlacementRequirements) -> bool:
        if probe.cancelled() or probe.exception() is not None:
            return False
        return self.pool.is_good(probe.result(), requirements, now_s=self._clock())
