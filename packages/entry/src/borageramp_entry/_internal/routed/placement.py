"""Placement of the requests of a service on upstreams, in order of priority."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from borageramp_core.routing import (
    AdmissionQueue,
    PlacementChoice,
    PlacementRequirements,
    Reach,
    ServicePool,
    UpstreamView,
    WaitPolicy,
)
from borageramp_entry._internal.routed.prober import Prober, ProbeTask
from borageramp_entry._internal.routed.rollouts.registry import RequestVersions

__all__ = ["PendingPlacement", "Placer"]

# Upstreams probed before a request is placed, and again if none of these is good.
PROBE_COUNTS = (3, 4)
# Longest wait for the answers to these probes.
MAX_PROBE_WAIT_S = 0.02
# Mean interval between searches for capacity for queued requests.
QUEUE_POLL_INTERVAL_S = 0.015
# Interval for queued requests that will be late: if there are many, they would
# otherwise take each free slot before those that can be in time.
LATE_POLL_INTERVAL_S = 0.06
# Failed searches after which the rest of the queue waits for the next pass.
MAX_FAILURES_PER_PASS = 2


@dataclass(kw_only=True, slots=True)
class PendingPlacement:
    """A request that has yet to be placed on an upstream.

    Attributes
    ----------
    wait_policy : WaitPolicy
        How long it waits, and which upstreams it accepts meanwhile.
    rank : int
        Priority; 0 is the highest.
    share_class : int
        Order within the rank, by the use of the workspace's quota.
    excluded : frozenset of str
        Identifiers of upstreams that already had an attempt.
    fresh_only : bool
        Whether it goes only to an upstream with a fresh load report.
    versions : RequestVersions or None
        Version that it may go to; ``None`` for any.
    steady_only : bool
        Whether it goes only to a warm upstream without a rate limit, and never takes
        the last slot.
    """

    wait_policy: WaitPolicy
    rank: int
    excluded: frozenset[str]
    fresh_only: bool
    versions: RequestVersions | None = None
    steady_only: bool = False
    share_class: int = 0

    @property
    def has_fallback(self) -> bool:
        """Whether another version takes it if there is no capacity."""
        return self.versions is not None and self.versions.has_fallback

    def requirements(self, *, now_s: float) -> PlacementRequirements:
        """Return the requirements that an upstream has to meet now."""
        requirements = self.wait_policy.requirements(
            excluded=self.excluded, now_s=now_s
        )
        if self.steady_only:
            reserved_slots = max(1, requirements.reserved_slots)
            requirements = replace(
                requirements, steady_only=True, reserved_slots=reserved_slots
            )
        eligible = None if self.versions is None else self.versions.eligible()
        if eligible is None:
            return requirements
        return replace(requirements, eligible=eligible)


class Placer:
    """Places the requests of one service on upstreams.

    A request that finds no capacity is queued. One task searches for capacity
    for the whole queue, so that the cost of waiting doesn't grow with its length.

    Parameters
    ----------
    pool : ServicePool
        Upstreams of the service.
    prober : Prober
        Probes upstreams for their load.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.
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
            tuple[PendingPlacement, asyncio.Future[PlacementChoice | None]]
        ] = AdmissionQueue()
        self._queue_task: asyncio.Task[None] | None = None
        self._late_polled_at_s = float("-inf")

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    async def place(
        self, pending: PendingPlacement, *, wait: bool
    ) -> PlacementChoice | None:
        """Place a request; return ``None`` if no upstream has capacity.

        Parameters
        ----------
        pending : PendingPlacement
            The request.
        wait : bool
            Whether the request may be queued until there is capacity.
        """
        self.pool.shortlist.on_request(now_s=self._clock())
        if pending.versions is not None and pending.has_fallback:
            # Queued requests wait for the old version: this one passes none of them.
            choice = await self._find_upstream(pending)
            if choice is not None:
                return choice
            pending.versions.use_old()
        choice = await self._place_now(pending)
        if choice is not None:
            return choice
        if not wait or not self._may_wait(pending, queued=self.queued_count):
            return None
        return await self._wait_in_queue(pending)

    async def _place_now(self, pending: PendingPlacement) -> PlacementChoice | None:
        """Place a request unless others go before it or there is no capacity."""
        if self._must_queue(pending):
            return None
        return await self._find_upstream(pending)

    def _may_wait(self, pending: PendingPlacement, *, queued: int) -> bool:
        """Return whether a request may be served by waiting behind others."""
        now_s = self._clock()
        policy = pending.wait_policy
        if self.pool.reachability.reach(now_s=now_s) is Reach.NONE:
            return False
        return now_s < policy.wait_until_s and self.pool.can_serve(
            pending.requirements(now_s=now_s),
            max_wait_s=policy.in_time_wait_s(now_s=now_s),
            queued=queued,
            now_s=now_s,
        )

    def _must_queue(self, pending: PendingPlacement) -> bool:
        """Return whether other requests go before this one."""
        now_s = self._clock()
        if pending.wait_policy.is_late(now_s=now_s):
            return bool(self._queue) or self.pool.is_full(now_s=now_s)
        return self._queue.has_ahead(
            rank=pending.rank, share_class=pending.share_class, now_s=now_s
        )

    async def _wait_in_queue(self, pending: PendingPlacement) -> PlacementChoice | None:
        future: asyncio.Future[PlacementChoice | None]
        future = asyncio.get_running_loop().create_future()
        self._enqueue(pending, future)
        if self._queue_task is None or self._queue_task.done():
            self._queue_task = asyncio.ensure_future(self._process_queue())
        try:
            return await future
        except asyncio.CancelledError:
            # An upstream may have been assigned just before the cancellation.
            if future.done() and not future.cancelled():
                self._release(future.result())
            raise

    def _enqueue(
        self,
        pending: PendingPlacement,
        future: "asyncio.Future[PlacementChoice | None]",
    ) -> None:
        latest_start_s = pending.wait_policy.latest_start_s
        self._queue.push(
            (pending, future),
            rank=pending.rank,
            share_class=pending.share_class,
            latest_start_s=latest_start_s,
        )

    def _release(self, choice: PlacementChoice | None) -> None:
        if choice is not None:
            self.pool.undo_start(choice.view)

    async def _process_queue(self) -> None:
        while self._queue:
            await asyncio.sleep(QUEUE_POLL_INTERVAL_S * (0.5 + self._rng.random()))
            await self._process_queue_once()

    async def _process_queue_once(self) -> None:
        failures = 0
        now_s = self._clock()
        late_poll_due = now_s - self._late_polled_at_s >= LATE_POLL_INTERVAL_S
        for pending, future in self._queue.pop_all(now_s=now_s):
            if future.done():
                continue
            choice = None
            is_late = pending.wait_policy.is_late(now_s=now_s)
            if failures < MAX_FAILURES_PER_PASS and (late_poll_due or not is_late):
                if is_late:
                    self._late_polled_at_s = now_s
                choice = await self._find_upstream(pending)
                failures += choice is None
            self._resolve_or_requeue(pending, future, choice)

    def _resolve_or_requeue(
        self,
        pending: PendingPlacement,
        future: "asyncio.Future[PlacementChoice | None]",
        choice: PlacementChoice | None,
    ) -> None:
        if future.done():
            self._release(choice)
        elif choice is not None or not self._may_wait(pending, queued=0):
            future.set_result(choice)
        else:
            self._enqueue(pending, future)

    async def _find_upstream(self, pending: PendingPlacement) -> PlacementChoice | None:
        widened = False
        for count in PROBE_COUNTS:
            if await self._probe_candidates(pending, count=count):
                return self._choose_and_reserve(pending)
            # None is good: compare more upstreams, for the next requests as well.
            widened = self.pool.shortlist.widen(now_s=self._clock())
        choice = self._choose_and_reserve(pending)
        if choice is None and widened:
            await self._probe_candidates(pending, count=PROBE_COUNTS[-1])
            choice = self._choose_and_reserve(pending)
        now_s = self._clock()
        late = pending.wait_policy.is_late(now_s=now_s)
        if choice is None and not late and not pending.has_fallback:
            self.pool.on_no_capacity(now_s=now_s)
        return choice

    async def _probe_candidates(self, pending: PendingPlacement, *, count: int) -> bool:
        """Probe some upstreams if needed; return whether a good one is known."""
        now_s = self._clock()
        requirements = pending.requirements(now_s=now_s)
        if self.pool.has_good(requirements, now_s=now_s):
            return True
        views = self.pool.probe_targets(requirements, count=count, now_s=now_s)
        await self._probe_until_good(views, requirements)
        now_s = self._clock()
        return self.pool.has_good(pending.requirements(now_s=now_s), now_s=now_s)

    def _choose_and_reserve(self, pending: PendingPlacement) -> PlacementChoice | None:
        now_s = self._clock()
        requirements = pending.requirements(now_s=now_s)
        choice = self.pool.choose(requirements, now_s=now_s, fresh_only=True)
        if choice is None and not pending.fresh_only:
            choice = self.pool.choose(requirements, now_s=now_s)
        if choice is None or not self.pool.start_request(choice.view, now_s=now_s):
            return None
        return choice

    async def _probe_until_good(
        self, views: list[UpstreamView], requirements: PlacementRequirements
    ) -> None:
        """Probe upstreams until one is found to be good or all have answered."""
        probes = self._prober.start(views)
        if not probes:
            return
        settled = asyncio.get_running_loop().create_future()
        outstanding = len(probes)

        def on_probe_done(probe: ProbeTask) -> None:
            nonlocal outstanding
            outstanding -= 1
            if not settled.done() and (
                outstanding == 0 or self._is_good_probe(probe, requirements)
            ):
                settled.set_result(None)

        for probe in probes:
            probe.add_done_callback(on_probe_done)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_PROBE_WAIT_S):
                await settled

    def _is_good_probe(
        self, probe: ProbeTask, requirements: PlacementRequirements
    ) -> bool:
        if probe.cancelled() or probe.exception() is not None:
            return False
        return self.pool.is_good(probe.result(), requirements, now_s=self._clock())
