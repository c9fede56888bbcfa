"""Probes of upstreams that give this entry no news by themselves.

Only the owner of an upstream probes it, and tells peers what it learns, so the
budget holds over the fleet and not for each entry.
"""

import asyncio
import heapq
import json
from collections.abc import Callable, Iterable

from twisted.internet.interfaces import IReactorTime
from twisted.web.client import Agent, readBody

from borageramp_core import (
    ConfigurationSnapshot,
    LoadReport,
    Ownership,
    TokenBucket,
    Upstream,
)
from borageramp_entry._internal.reporting import Reporter
from borageramp_entry._internal.serving.endpoints import (
    EndpointFactory,
    upstream_url,
)
from borageramp_entry._internal.serving.placement import PlacementTask

__all__ = ["ProbeTask", "parse_health"]

HEALTH_PATH = "/health"
STATUS_OK = 200
TIMEOUT_S = 1.0
STEP_S = 0.05
MAX_BODY_BYTES = 4096
# Two entries may take themselves for the owner while views differ.
OWNER_SHARE = 0.5


def parse_health(body: bytes) -> LoadReport | None:
    """Read the answer to a probe; ``None`` if it makes no sense."""
    try:
        raw = json.loads(body[:MAX_BODY_BYTES])
        return LoadReport(
            in_flight=int(raw["in_flight"]),
            slots=int(raw.get("slots", 0)),
            start_id=str(raw.get("start_id", "")),
            leaving=bool(raw.get("leaving", False)),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


class ProbeTask:
    """Probes the upstreams that this entry owns, within the budget.

    Parameters
    ----------
    reactor : IReactorTime
        The running reactor.
    snapshot : callable
        Returns the configuration in force.
    ownership : Ownership
        Owners of upstreams.
    tasks : callable
        Returns the placement tasks.
    may_serve : callable
        Tells whether this entry may take work; a cut-off entry probes nothing.
    reporter : Reporter
        Counts probes.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        reactor: IReactorTime,
        snapshot: Callable[[], ConfigurationSnapshot],
        ownership: Ownership,
        tasks: Callable[[], Iterable[PlacementTask]],
        may_serve: Callable[[], bool],
        reporter: Reporter,
        clock: Callable[[], float],
    ) -> None:
        factory = EndpointFactory(reactor=reactor, connect_timeout_s=TIMEOUT_S)
        self._agent = Agent.usingEndpointFactory(reactor, factory)
        self._snapshot = snapshot
        self._ownership = ownership
        self._tasks = tasks
        self._may_serve = may_serve
        self._reporter = reporter
        self._clock = clock
        # When each upstream that this entry owns is due, as a heap.
        self._due: list[tuple[float, str]] = []
        self._owned: dict[str, tuple[PlacementTask, Upstream]] = {}
        self._seen: tuple[int, int] = (-1, -1)
        self._bucket = TokenBucket(rate_hz=0.0, burst=1.0, now_s=clock())
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            if self._may_serve():
                self._probe_due()
            await asyncio.sleep(STEP_S)

    def _probe_due(self) -> None:
        now_s = self._clock()
        seen = (self._ownership.version, self._snapshot().revision)
        if seen != self._seen:
            self._seen = seen
            self._find_owned(now_s=now_s)
        entries = max(1, len(self._ownership.members))
        self._bucket.rate_hz = self._snapshot().probe_rate_hz * OWNER_SHARE / entries
        while self._due and self._due[0][0] <= now_s:
            if not self._consider(now_s=now_s):
                return

    def _find_owned(self, *, now_s: float) -> None:
        """Find the upstreams to probe; a new one waits for a whole interval."""
        member = self._ownership.member
        before = self._owned
        self._owned = {
            upstream.id: (task, upstream)
            for task in self._tasks()
            for upstream in task.balancer.service.upstreams
            if self._ownership.owner(upstream.id, now_s=now_s) == member
        }
        kept = [(due, name) for due, name in self._due if name in self._owned]
        # The former owner may just have probed.
        new = [
            (now_s + upstream.probe_interval_s / OWNER_SHARE, name)
            for name, (_, upstream) in self._owned.items()
            if name not in before
        ]
        self._due = kept + new
        heapq.heapify(self._due)

    def _consider(self, *, now_s: float) -> bool:
        """Look at the first that is due; tell whether the budget allowed it."""
        _, name = self._due[0]
        task, upstream = self._owned[name]
        interval_s = upstream.probe_interval_s / OWNER_SHARE
        if self._wants_probe(task, upstream, now_s=now_s):
            if not self._bucket.take(now_s=now_s):
                return False
            self._start(task, upstream)
        heapq.heapreplace(self._due, (now_s + interval_s, name))
        return True

    def _wants_probe(
        self, task: PlacementTask, upstream: Upstream, *, now_s: float
    ) -> bool:
        load = task.balancer.loads.get(upstream.id)
        if load is None or not self._ownership.owns(upstream.id, now_s=now_s):
            return False
        return now_s - load.reported_at_s > upstream.probe_interval_s

    def _start(self, task: PlacementTask, upstream: Upstream) -> None:
        self._reporter.metrics.probed(service=upstream.service)
        probe = asyncio.ensure_future(self._probe(task, upstream))
        self._running.add(probe)
        probe.add_done_callback(self._running.discard)

    async def _probe(self, task: PlacementTask, upstream: Upstream) -> None:
        url = upstream_url(upstream, HEALTH_PATH)
        loop = asyncio.get_running_loop()
        try:
            asked = self._agent.request(b"GET", url).asFuture(loop)
            async with asyncio.timeout(TIMEOUT_S):
                response = await asked
                body = await readBody(response).asFuture(loop)
        except Exception:
            # The health endpoint may mislead; only requests eject.
            return
        if response.code != STATUS_OK:
            return
        report = parse_health(body)
        if report is not None:
            task.on_probe(upstream, report)
