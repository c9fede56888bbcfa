"""Probes of the load of upstreams, sent right before requests are placed."""

import asyncio
from collections.abc import Callable, Collection

from borageramp_core import TokenBucket
from borageramp_core.routing import AnswerKind, UpstreamView
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.serving.upstreams import TryFailedError, UpstreamClient

__all__ = ["ProbeTask", "Prober"]

ProbeTask = asyncio.Task[UpstreamView]

# An upstream with a load report no older than this isn't probed.
MAX_RECENT_REPORT_AGE_S = 0.004
# Health endpoints answer at once; a slower one counts as unresponsive.
PROBE_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 0.15
# Share of the bound on probes that is used, and seconds of it available as a burst.
RATE_SHARE = 0.85
BURST_S = 3.0


class Prober:
    """Probes upstreams within this entry's share of the bound on probes.

    Parameters
    ----------
    client : UpstreamClient
        Connections to upstreams.
    pools : PoolRegistry
        Upstream pools of all services.
    health_path : callable
        Returns the path of a service's health endpoint.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    sent, failed : int
        Probes sent, and those without an answer.
    closed_connections : int
        Idle connections closed after a failed probe.
    """

    def __init__(
        self,
        *,
        client: UpstreamClient,
        pools: PoolRegistry,
        health_path: Callable[[str], str | None],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._pools = pools
        self._health_path = health_path
        self._clock = clock
        self._bucket = TokenBucket(rate_hz=0.0, burst=1.0, now_s=clock())
        self._in_flight: dict[str, ProbeTask] = {}
        self.sent = 0
        self.failed = 0
        self.closed_connections = 0

    def _take_token(self, *, now_s: float) -> bool:
        rate_hz = self._pools.bounds.probes_hz * self._pools.upstream_count
        self._bucket.rate_hz = rate_hz * RATE_SHARE / self._pools.entry_count
        self._bucket.burst = max(1.0, self._bucket.rate_hz * BURST_S)
        return self._bucket.take(now_s=now_s)

    def start(self, views: Collection[UpstreamView]) -> list[ProbeTask]:
        """Start probes, except of upstreams with a recent load report.

        Probes over the bound, and of services without a health endpoint, are left out.

        Returns
        -------
        list of asyncio.Task
            Probes in flight, including those started by earlier calls.
        """
        now_s = self._clock()
        tasks = []
        for view in views:
            task = self._in_flight.get(view.registration.id)
            if task is None:
                if view.report_age_s(now_s=now_s) <= MAX_RECENT_REPORT_AGE_S:
                    continue
                path = self._health_path(view.registration.service)
                if path is None or not self._take_token(now_s=now_s):
                    continue
                task = asyncio.ensure_future(self._probe(view, path))
                self._in_flight[view.registration.id] = task
            tasks.append(task)
        return tasks

    async def _probe(self, view: UpstreamView, path: str) -> UpstreamView:
        self.sent += 1
        sent_at_s = self._clock()
        try:
            answer = await self._client.ask_health(
                view.upstream,
                path,
                timeout_s=PROBE_TIMEOUT_S,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except TryFailedError as error:
            self.failed += 1
            # Other pooled connections to it may be dead too, but for those that were
            # used meanwhile.
            self.closed_connections += self._client.forget(
                view.upstream, idle_before_s=sent_at_s
            )
            view.mark_unresponsive(now_s=self._clock())
            self._pools.on_unreached(view, error.result)
            return view
        finally:
            self._in_flight.pop(view.registration.id, None)
        self._pools.on_reached(view)
        view.unhealthy = not answer.healthy
        if answer.report is not None:
            view.on_report(answer.report, now_s=self._clock())
        self._pools.on_notice(
            view,
            answer.notice,
            kind=AnswerKind.HEALTH_CHECK,
            sent_at_s=sent_at_s,
            now_s=self._clock(),
        )
        return view
