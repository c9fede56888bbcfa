"""What a routed entry keeps of upstreams, and how requests get there."""

import random
from collections.abc import Callable

from borageramp_core.routing import Instance, RateAllowance, RateBounds, UpstreamView
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.crashes import CrashDetector, make_suspects
from borageramp_entry._internal.routed.dispatch import RoutedDispatcher
from borageramp_entry._internal.routed.peer_forwarding import PeerForwarder
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.prober import Prober
from borageramp_entry._internal.routed.reachability_monitor import ReachabilityMonitor
from borageramp_entry._internal.serving.dialect import UpstreamDialect
from borageramp_entry._internal.serving.upstreams import UpstreamClient
from borageramp_entry._internal.store.base import Store
from borageramp_settings import FleetBounds, RoutedSettings

__all__ = ["UpstreamSide"]

_log = get_logger(__name__)

# Shorter than the idle timeout of most upstreams, so that the entry closes first.
UPSTREAM_IDLE_TIMEOUT_S = 8.0


class UpstreamSide:
    """Pools, connections and probes of upstreams, and the dispatch of requests.

    Parameters
    ----------
    own : Instance
        This instance.
    settings : RoutedSettings
        Settings of this process.
    store : Store
        Store through which crash suspects are published.
    dialect : UpstreamDialect
        Headers of upstreams.
    health_path : callable
        Returns the path of a service's health endpoint.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    client : UpstreamClient
        Connections to upstreams.
    pools : PoolRegistry
        Upstreams of all services.
    crashes : CrashDetector
        Requests that crash upstreams.
    prober : Prober
        Asks upstreams for their load.
    forwarder : PeerForwarder
        Sends requests to other instances.
    dispatcher : RoutedDispatcher
        Sends requests to upstreams.
    """

    def __init__(
        self,
        *,
        own: Instance,
        settings: RoutedSettings,
        store: Store,
        dialect: UpstreamDialect,
        health_path: Callable[[str], str | None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        bounds = settings.bounds
        self.client = UpstreamClient(dialect=dialect, idle_s=UPSTREAM_IDLE_TIMEOUT_S)
        self.pools = PoolRegistry(
            member=own.name,
            data_centre=own.data_centre,
            bounds=bounds,
            cold=RateAllowance(member=own.name, bounds=_cold_bounds(bounds)),
            on_removed=self._on_removed,
            rng=rng,
            clock=clock,
        )
        self.apply(settings)
        self.crashes = CrashDetector(
            instance=own.name,
            suspects=make_suspects(),
            store=store,
            client=self.client,
            other_upstreams=self.pools.answered_last,
        )
        self.prober = Prober(
            client=self.client, pools=self.pools, health_path=health_path, clock=clock
        )
        self._monitor = ReachabilityMonitor(pools=self.pools, prober=self.prober)
        self.forwarder = PeerForwarder(own=own, rng=rng, clock=clock)
        self.dispatcher = RoutedDispatcher(
            pools=self.pools,
            prober=self.prober,
            client=self.client,
            crash_detector=self.crashes,
            rng=rng,
            clock=clock,
            forwarder=self.forwarder,
        )

    def _on_removed(self, view: UpstreamView) -> None:
        self.client.forget(view.upstream)
        _log.info("upstream gone", upstream=view.registration.id)

    def apply(self, settings: RoutedSettings) -> None:
        """Apply the settings that may change while the process runs."""
        self.pools.bounds = settings.bounds
        self.pools.cold.bounds = _cold_bounds(settings.bounds)
        self.pools.hedging = settings.hedging

    async def close(self) -> None:
        """End probes and questions, and close the idle connections."""
        self._monitor.close()
        self.forwarder.close()
        await self.client.close()


def _cold_bounds(bounds: FleetBounds) -> RateBounds:
    return RateBounds(overage=bounds.cold_overage, slack=bounds.cold_slack)
