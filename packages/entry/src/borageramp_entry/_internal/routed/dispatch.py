"""Dispatch of routed requests to upstreams."""

import asyncio
import random
from collections.abc import Callable

from borageramp_core import Reason, RefusedError, Verdict, fingerprint
from borageramp_entry._internal.routed.attempts import RoutedAnswer
from borageramp_entry._internal.routed.crashes import CrashDetector
from borageramp_entry._internal.routed.execution import RequestExecution
from borageramp_entry._internal.routed.peer_forwarding import PeerForwarder
from borageramp_entry._internal.routed.placement import Placer
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.prober import Prober
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.serving.upstreams import UpstreamClient

__all__ = ["RoutedDispatcher"]

# Part of a body that is fingerprinted: of a larger one, no more may be available.
FINGERPRINT_BODY_BYTES = 65_536


class RoutedDispatcher:
    """Dispatches routed requests to upstreams.

    Parameters
    ----------
    pools : PoolRegistry
        Upstream pools of all services.
    prober : Prober
        Probes upstreams for their load.
    client : UpstreamClient
        Connections to upstreams.
    crash_detector : CrashDetector
        Detects requests that crash upstreams.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.
    forwarder : PeerForwarder or None
        Sends requests to other instances; ``None`` if there is no way to them.
    """

    def __init__(
        self,
        *,
        pools: PoolRegistry,
        prober: Prober,
        client: UpstreamClient,
        crash_detector: CrashDetector,
        rng: random.Random,
        clock: Callable[[], float],
        forwarder: PeerForwarder | None = None,
    ) -> None:
        self.crash_detector = crash_detector
        self.pools = pools
        self._prober = prober
        self._client = client
        self._rng = rng
        self._clock = clock
        self._forwarder = forwarder
        self._placers: dict[str, Placer] = {}

    def placer(self, service: str) -> Placer:
        """Return the placer of a service, created on first use."""
        placer = self._placers.get(service)
        if placer is None:
            placer = Placer(
                pool=self.pools.pool(service),
                prober=self._prober,
                rng=self._rng,
                clock=self._clock,
            )
            self._placers[service] = placer
        return placer

    async def run(
        self, request: RoutedRequest, *, timeout: asyncio.Timeout | None = None
    ) -> RoutedAnswer:
        """Dispatch a request and return its answer.

        Parameters
        ----------
        request : RoutedRequest
            The request.
        timeout : asyncio.Timeout, optional
            Time at which the request is given up, which may be set while it runs; by
            default only its deadline counts.

        Raises
        ------
        RefusedError
            If the request is quarantined, given up, or no upstream answered it.
        """
        request_fingerprint = _request_fingerprint(request.caller)
        if self.crash_detector.is_quarantined(request_fingerprint):
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.CRASHES_UPSTREAMS,
                detail="upstreams crashed while running this request",
                retry_after_s=request.route.timeout_s,
            )
        execution = RequestExecution(
            request=request,
            placer=self.placer(request.caller.service),
            pools=self.pools,
            client=self._client,
            rng=self._rng,
            clock=self._clock,
            forwarder=self._forwarder,
        )
        try:
            async with timeout or asyncio.timeout(None):
                answer = await execution.execute()
        except TimeoutError:
            raise execution.given_up_error() from None
        except RefusedError:
            if execution.disconnected_views:
                self.crash_detector.on_unanswered(
                    request_fingerprint, execution.disconnected_views
                )
            raise
        finally:
            execution.cancel()
        self.crash_detector.on_answer(request_fingerprint)
        return answer


def _request_fingerprint(caller: CallerRequest) -> str:
    return fingerprint(
        service="",
        key="",
        method=caller.method,
        path=caller.path,
        body=caller.body[:FINGERPRINT_BODY_BYTES],
    )
