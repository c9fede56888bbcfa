"""Probes of upstreams that can't be reached, to notice when they can be again."""

import asyncio

from borageramp_core.routing import Reach, ServicePool
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.prober import Prober

__all__ = ["ReachabilityMonitor"]

_log = get_logger(__name__)

# Interval in which some of the upstreams that failed are probed, those that failed
# first before others, and how many of them: all within two seconds.
RECHECK_INTERVAL_S = 0.2
MIN_RECHECK_COUNT = 3
RECHECK_SHARE = 0.1


class ReachabilityMonitor:
    """Probes services of which many upstreams can't be reached.

    Requests are forwarded meanwhile, so that they don't show whether the path of this
    instance is back.

    Parameters
    ----------
    pools : PoolRegistry
        Upstream pools of all services.
    prober : Prober
        Probes upstreams.
    """

    def __init__(self, *, pools: PoolRegistry, prober: Prober) -> None:
        self._pools = pools
        self._prober = prober
        self._tasks: dict[str, asyncio.Task[None]] = {}
        pools.on_impaired = self._on_impaired

    def _on_impaired(self, service: str) -> None:
        if service not in self._tasks:
            task = asyncio.ensure_future(self._recheck(service))
            self._tasks[service] = task
            task.add_done_callback(lambda _: self._tasks.pop(service, None))

    async def _recheck(self, service: str) -> None:
        pool = self._pools.pool(service)
        now = asyncio.get_running_loop().time
        while pool.reachability.reach(now_s=now()) is not Reach.FULL:
            self._probe_failed(pool, now_s=now())
            await asyncio.sleep(RECHECK_INTERVAL_S)

    def _probe_failed(self, pool: ServicePool, *, now_s: float) -> None:
        failed = pool.reachability.failed(now_s=now_s)
        views = [pool.views[name] for name in failed if name in pool.views]
        count = max(MIN_RECHECK_COUNT, round(RECHECK_SHARE * len(views)))
        self._prober.start(views[:count])

    def close(self) -> None:
        """End all probing."""
        for task in list(self._tasks.values()):
            task.cancel()
