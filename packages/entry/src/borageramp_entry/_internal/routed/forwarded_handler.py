"""Requests that other instances forward to this one."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from urllib.parse import parse_qs

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_core.routing import (
    CallerLimits,
    FleetState,
    KnownReach,
    PeerReport,
    PlacementRequirements,
    Reach,
    Route,
)
from borageramp_entry._internal.border.server import HttpHandler, HttpRequest
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.authentication import Authenticator, Identity
from borageramp_entry._internal.routed.caller_handler import CallerRequestHandler
from borageramp_entry._internal.routed.dispatch import RoutedDispatcher
from borageramp_entry._internal.routed.forwarding_messages import (
    FORWARDED_HEADER,
    REACHABILITY_PATH,
    REFUSAL_HEADER,
    MalformedMessageError,
    decode_terms,
    encode_refusal,
    encode_report,
    has_terms,
)
from borageramp_entry._internal.routed.interfaces import (
    RefusalResponse,
    RequestMetadata,
    WorkspaceDialect,
)
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.prober import Prober
from borageramp_entry._internal.routed.quota.messages import QUOTA_PATH
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.routed.rollouts.messages import ROLLOUT_PATH
from borageramp_entry._internal.routed.rollouts.resource import RolloutResource
from borageramp_entry._internal.serving.dialect import HOP_BY_HOP, pass_headers
from borageramp_entry._internal.serving.requests import Headers

_log = get_logger(__name__)

__all__ = [
    "ForwardedRequestHandler",
    "PeerHandler",
    "ReachabilityCheck",
    "peer_limits",
]

# Requests of other instances at the same time; own callers need memory as well.
MAX_FORWARDED_REQUESTS = 128
STATUS_UNAVAILABLE = 503
# An answer of an upstream that is older doesn't show that its service is reached.
MAX_ANSWER_AGE_S = 1.0
# Upstreams probed if there is none, and the longest wait for their answers.
CHECK_PROBES = 2
CHECK_TIMEOUT_S = 0.1
BODY_TIMEOUT_S = 2.0
# Room for the header that is added to a request.
MAX_TERMS_BYTES = 4096
PEER_IDLE_TIMEOUT_S = 60.0


class _ForwardingDialect:
    """Headers of requests that other instances forward.

    These have no keys: the instance that took a request has replaced its key by the
    name of the workspace, which goes on as an ordinary header.
    """

    def read_metadata(self, headers: Headers) -> RequestMetadata:
        """Return the terms of a request."""
        try:
            terms = decode_terms(headers)
        except MalformedMessageError as error:
            return RequestMetadata(request_id="", deadline_s=None, error=str(error))
        return RequestMetadata(
            request_id=terms.request_id, deadline_s=terms.remaining_s
        )

    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return the headers of a request as its caller sent them."""
        return pass_headers(headers, but=HOP_BY_HOP | {FORWARDED_HEADER})

    def read_keys(self, headers: Headers) -> tuple[bytes, ...]:
        """Return nothing."""
        return ()

    def drop_keys(self, headers: Headers) -> Headers:
        """Return the headers as they are."""
        return headers

    def set_workspace(self, headers: Headers, name: str) -> Headers:
        """Return the headers as they are."""
        return headers

    def refusal_response(
        self, error: RefusedError, *, request_id: str
    ) -> RefusalResponse:
        """Return the response for a refusal, for the forwarding instance."""
        return RefusalResponse(
            status=STATUS_UNAVAILABLE, headers=(encode_refusal(error),), body=b""
        )


def peer_limits(limits: CallerLimits) -> CallerLimits:
    """Return the limits on requests of other instances, for those on callers."""
    # Longer than other instances keep connections, so that none crosses the close.
    return replace(
        limits,
        max_header_bytes=limits.max_header_bytes + MAX_TERMS_BYTES,
        idle_timeout_s=PEER_IDLE_TIMEOUT_S,
    )


class ForwardedRequestHandler(CallerRequestHandler):
    """Serves requests of other instances by one attempt each.

    The instance that forwards a request has matched its route and chosen its service;
    which upstreams may get it is decided here.

    Parameters
    ----------
    workspace_dialect : WorkspaceDialect, optional
        Replaces the keys of requests that an instance forwards which doesn't know
        workspaces yet.

    See :class:`CallerRequestHandler` for the others.

    Attributes
    ----------
    max_forwarded_requests : int
        Most requests of other instances at the same time.
    """

    end_event = "forwarded request ended"

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        dispatcher: RoutedDispatcher,
        stops_at_s: Callable[[], float],
        rng: random.Random,
        clock: Callable[[], float],
        workspace_dialect: WorkspaceDialect | None = None,
    ) -> None:
        super().__init__(
            fleet_state=fleet_state,
            dispatcher=dispatcher,
            dialect=_ForwardingDialect(),
            stops_at_s=stops_at_s,
            rng=rng,
            clock=clock,
        )
        self.max_forwarded_requests = MAX_FORWARDED_REQUESTS
        if workspace_dialect is not None:
            self.authenticator = Authenticator(
                fleet_state=fleet_state, dialect=workspace_dialect
            )

    def build_routed_request(
        self, request: HttpRequest, *, arrived_at_s: float
    ) -> RoutedRequest:
        """Set the route and deadline of a request from its terms.

        Raises
        ------
        RefusedError
            If the request is invalid or can't be taken.
        """
        if self.in_flight > self.max_forwarded_requests:
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OVERLOADED,
                detail="this instance takes no more requests of others",
                retry_after_s=0.0,
            )
        routed = super().build_routed_request(request, arrived_at_s=arrived_at_s)
        return replace(
            routed,
            forwarded=True,
            arrived_at_s=arrived_at_s - decode_terms(request.headers).age_s,
            caller_timeout_s=None,
        )

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return ``False``: instances send one request at a time on a connection."""
        return False

    def _match_route(self, request: HttpRequest) -> Route:
        try:
            return decode_terms(request.headers).to_route()
        except MalformedMessageError as error:
            # The caller's request is proper, so that it is not refused as a bad one.
            raise RefusedError(
                verdict=Verdict.NOT_RUN, reason=Reason.INTERNAL, detail=str(error)
            ) from error

    def _identify(self, request: HttpRequest, route: Route) -> Identity:
        headers = self.dialect.forwarded_headers(request.headers)
        headers = self.authenticator.clean_forwarded(headers)
        return Identity(workspace=None, route=route, headers=headers)

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's answer, which is no refusal of ours."""
        return pass_headers(headers, but=frozenset({REFUSAL_HEADER}))

    def record_metrics(
        self, routed: RoutedRequest | None, outcome: str, duration_s: float
    ) -> None:
        """Record nothing: the instance that took the request from its caller does."""


class ReachabilityCheck:
    """Tells other instances how much of a service this one reaches.

    Parameters
    ----------
    pools : PoolRegistry
        Upstream pools of all services.
    prober : Prober
        Probes upstreams.
    accepts : callable
        Returns whether this instance takes requests of others.
    in_flight : callable
        Returns the number of requests that it handles.
    known_reaching : callable
        Returns other instances that lately reached a service.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        pools: PoolRegistry,
        prober: Prober,
        accepts: Callable[[], bool],
        in_flight: Callable[[], int],
        known_reaching: Callable[[str], Iterable[KnownReach]],
        clock: Callable[[], float],
    ) -> None:
        self._pools = pools
        self._prober = prober
        self._accepts = accepts
        self._in_flight = in_flight
        self._known_reaching = known_reaching
        self._clock = clock

    async def report(self, service: str) -> PeerReport:
        """Return how much of a service is reached now; may probe upstreams first."""
        reach = Reach.NONE
        if self._accepts() and self._pools.has_upstreams(service):
            await self._probe_unless_answered(service)
            reach = self._current_reach(service)
        known = self._known_reaching(service) if reach is Reach.NONE else ()
        return PeerReport(reach=reach, in_flight=self._in_flight(), known=tuple(known))

    def _current_reach(self, service: str) -> Reach:
        if self._answer_age_s(service) > MAX_ANSWER_AGE_S:
            return Reach.NONE
        return self._pools.pool(service).reachability.reach(now_s=self._clock())

    def _answer_age_s(self, service: str) -> float:
        reachability = self._pools.pool(service).reachability
        return reachability.answer_age_s(now_s=self._clock())

    async def _probe_unless_answered(self, service: str) -> None:
        pool = self._pools.pool(service)
        now_s = self._clock()
        if pool.reachability.reach(now_s=now_s) is Reach.NONE:
            return
        if self._answer_age_s(service) <= MAX_ANSWER_AGE_S:
            return
        any_request = PlacementRequirements(work_s=0.0, max_response_s=float("inf"))
        views = pool.candidates(any_request, now_s=now_s)[:CHECK_PROBES]
        probes = self._prober.start(views)
        pending = set(probes)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                while pending and self._answer_age_s(service) > MAX_ANSWER_AGE_S:
                    _, pending = await asyncio.wait(
                        pending, return_when=asyncio.FIRST_COMPLETED
                    )
        if self._answer_age_s(service) > MAX_ANSWER_AGE_S:
            _log.info(
                "reach not confirmed",
                service=service,
                candidates=len(views),
                probes=len(probes),
                took_ms=round((self._clock() - now_s) * 1000, 1),
            )


class PeerHandler:
    """Serves what other instances send to the address for them.

    Parameters
    ----------
    forwarded : HttpHandler
        Serves requests that they forward.
    check : ReachabilityCheck
        Tells them what this instance reaches.
    changes : HttpHandler
        Serves store changes.
    quotas : HttpHandler, optional
        Serves tokens of quotas.
    rollouts : RolloutResource, optional
        Serves what they tell of rollouts.
    """

    def __init__(
        self,
        *,
        forwarded: HttpHandler,
        check: ReachabilityCheck,
        changes: HttpHandler,
        quotas: HttpHandler | None = None,
        rollouts: RolloutResource | None = None,
    ) -> None:
        self._quotas = quotas
        self._forwarded = forwarded
        self._check = check
        self._changes = changes
        self._rollouts = rollouts

    async def serve(self, request: HttpRequest) -> None:
        """Handle a request and send its response."""
        if has_terms(request.headers):
            await self._forwarded.serve(request)
        elif request.path == REACHABILITY_PATH:
            await self._answer_check(request)
        elif request.path == QUOTA_PATH and self._quotas is not None:
            await self._quotas.serve(request)
        elif request.path == ROLLOUT_PATH and self._rollouts is not None:
            await self._rollouts.serve(request)
        else:
            await self._changes.serve(request)

    async def _answer_check(self, request: HttpRequest) -> None:
        query = parse_qs(request.target.partition("?")[2])
        report = await self._check.report(query.get("service", [""])[0])
        headers, body = encode_report(report)
        request.answer(200, headers, body)

    def body_timeout_s(self, request: HttpRequest) -> float:
        """Return the timeout for receiving the body of a request."""
        if has_terms(request.headers):
            return self._forwarded.body_timeout_s(request)
        return BODY_TIMEOUT_S

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return ``False``: instances send one request at a time on a connection."""
        return False
