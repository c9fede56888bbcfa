"""HTTP handler for the requests of callers."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_core.routing import (
    FleetState,
    Route,
    choose_service,
    fair_share_class,
)
from borageramp_entry._internal.border.server import HttpRequest
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.attempts import RoutedAnswer
from borageramp_entry._internal.routed.authentication import Authenticator, Identity
from borageramp_entry._internal.routed.dispatch import RoutedDispatcher
from borageramp_entry._internal.routed.exchange import (
    DEFAULT_DEADLINE_S,
    CallerExchange,
)
from borageramp_entry._internal.routed.interfaces import CallerDialect
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.serving.requests import CallerRequest, Headers

if TYPE_CHECKING:
    from borageramp_entry._internal.metrics import Metrics
    from borageramp_entry._internal.routed.quota.service import QuotaService

__all__ = ["CallerRequestHandler"]

_log = get_logger(__name__)

# A starting instance receives its configuration within about this time.
NO_CONFIG_RETRY_AFTER_S = 0.3
# Mean time after which a caller returns to an instance that has too many requests;
# those that it serves end after about as long.
FULL_RETRY_AFTER_S = 1.0
# A request that arrives during a shutdown is accepted if this multiple of its mean work
# fits into the time left; upstreams slow down several times at any moment.
STOP_WORK_RATIO = 8.0


class CallerRequestHandler:
    """Forwards requests of callers to upstreams by route.

    Parameters
    ----------
    fleet_state : FleetState
        Configuration, upstreams and instances as last read from the store.
    dispatcher : RoutedDispatcher
        Sends requests to upstreams and returns the responses.
    dialect : CallerDialect
        Reads and writes the headers of callers.
    stops_at_s : callable
        Returns the time at which this instance gives up all requests to shut down;
        infinity while it isn't shutting down.
    rng : random.Random
        Random number generator.
    clock : callable
        Returns the current time in seconds.
    describe_knowledge : callable, optional
        Returns log fields on the configuration that routes are matched by.

    Attributes
    ----------
    metrics : Metrics or None
        Request metrics; ``None`` until they are loaded, shortly after startup.
    quotas : QuotaService or None
        Quotas of workspaces; ``None`` counts no request.
    max_unanswered : int or None
        Most requests without an answer at the same time; further ones are refused.
        ``None``: any number.
    end_event : str
        Name of the log event at the end of a request.
    """

    end_event = "request ended"

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        dispatcher: RoutedDispatcher,
        dialect: CallerDialect,
        stops_at_s: Callable[[], float],
        rng: random.Random,
        clock: Callable[[], float],
        describe_knowledge: Callable[[], Mapping[str, object]] = dict,
    ) -> None:
        self._fleet_state = fleet_state
        self.authenticator = Authenticator(fleet_state=fleet_state, dialect=dialect)
        self.describe_knowledge = describe_knowledge
        self.dispatcher = dispatcher
        self.dialect = dialect
        self.metrics: Metrics | None = None
        self.quotas: QuotaService | None = None
        self._stops_at_s = stops_at_s
        self._rng = rng
        self.clock = clock
        self.in_flight = 0
        self.max_unanswered: int | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    def on_stop(self) -> None:
        """Answer the requests under way before this instance ends them to shut down."""
        for timeout in self._timeouts:
            timeout.reschedule(self._stops_at_s())

    async def dispatch(self, request: RoutedRequest) -> RoutedAnswer:
        """Dispatch a request, for no longer than this instance runs.

        Raises
        ------
        RefusedError
            If the request got no answer of an upstream.
        """
        if self.quotas is not None:
            await self.quotas.admit(request)
            share_used = self.quotas.share_used(request.workspace_name)
            share_class = fair_share_class(share_used, rng=self._rng)
            request = replace(request, share_class=share_class)
        # A stop that began meanwhile found no timeout to set.
        ends_at_s = self._stops_at_s()
        is_late = request.caller.deadline_s > ends_at_s
        timeout = asyncio.timeout_at(ends_at_s if is_late else None)
        self._timeouts.add(timeout)
        try:
            return await self.dispatcher.run(request, timeout=timeout)
        except RefusedError as error:
            if self.quotas is not None:
                self.quotas.on_refused(request, error)
            raise
        finally:
            self._timeouts.discard(timeout)

    @property
    def is_stopping(self) -> bool:
        """Whether this instance is shutting down."""
        return self._stops_at_s() < float("inf")

    async def serve(self, request: HttpRequest) -> None:
        """Handle a request and send its response."""
        self.in_flight += 1
        try:
            exchange = CallerExchange(self, request)
            await exchange.run()
            # The exchange holds the answer, which counts as buffered until it was read.
            await request.drained()
        finally:
            self.in_flight -= 1

    def body_timeout_s(self, request: HttpRequest) -> float:
        """Return the timeout of the body: the caller's deadline, or the default."""
        deadline_s = self.dialect.read_metadata(request.headers).deadline_s
        return DEFAULT_DEADLINE_S if deadline_s is None else deadline_s

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return whether a request may run while others of its connection do.

        That is so for requests that are whole and match a route whose requests may
        be repeated, in the configuration in force.
        """
        if not request.is_whole or self._fleet_state.config is None:
            return False
        route = self._find_route(request)
        return route is not None and route.idempotent

    def build_routed_request(
        self, request: HttpRequest, *, arrived_at_s: float
    ) -> RoutedRequest:
        """Match a request to a route and set its deadline.

        Raises
        ------
        RefusedError
            If no route matches, there is no configuration yet, the request has no
            key that the route needs, or it is invalid.
        """
        self._check_load()
        self._check_body(request)
        identity = self._identify(request, self._match_route(request))
        route = identity.route
        metadata = self.dialect.read_metadata(request.headers)
        if not metadata.request_id:
            raise _refused_error(Reason.BAD_REQUEST, "the request has no identifier")
        if metadata.error:
            raise _refused_error(Reason.BAD_REQUEST, metadata.error)
        remaining_s = (
            DEFAULT_DEADLINE_S if metadata.deadline_s is None else metadata.deadline_s
        )
        deadline_s = arrived_at_s + min(remaining_s, route.timeout_s)
        if deadline_s <= self.clock():
            # It waited for the answers to requests before it on its connection.
            raise _refused_error(Reason.DEADLINE_PASSED, "the deadline has passed")
        caller = CallerRequest(
            request_id=metadata.request_id,
            service=choose_service(route, rng=self._rng),
            class_name=route.name,
            deadline_s=self._limit_deadline(route, deadline_s),
            method=request.method,
            path=request.target,
            headers=identity.headers,
            body=request.body,
            upload=request.upload,
        )
        return RoutedRequest(
            caller=caller,
            route=route,
            arrived_at_s=arrived_at_s,
            caller_timeout_s=metadata.deadline_s,
            workspace=identity.workspace,
        )

    def _limit_deadline(self, route: Route, deadline_s: float) -> float:
        """Return a deadline before which a shutdown gives up no request.

        Raises
        ------
        RefusedError
            If a request of the route may well not end in what is left.
        """
        latest_s = self._stops_at_s()
        if deadline_s <= latest_s:
            return deadline_s
        work_s = self.dispatcher.pools.work_estimate(route).mean_s
        if latest_s - self.clock() < STOP_WORK_RATIO * work_s:
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.LEAVING,
                detail="this instance is shutting down",
                retry_after_s=0.0,
            )
        return latest_s

    def _check_load(self) -> None:
        # Requests whose answers are being read don't count: slow readers would keep
        # ordinary callers out.
        unanswered = len(self._timeouts)
        if self.max_unanswered is not None and unanswered >= self.max_unanswered:
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OVERLOADED,
                detail="this instance takes no more requests",
                retry_after_s=FULL_RETRY_AFTER_S * self._rng.uniform(0.5, 1.5),
            )

    def _check_body(self, request: HttpRequest) -> None:
        if request.body_too_large:
            raise _refused_error(Reason.BODY_TOO_LARGE, "the body is over its limit")
        if request.body_late:
            raise _refused_error(Reason.BODY_LATE, "the body did not arrive in time")

    def _match_route(self, request: HttpRequest) -> Route:
        if self._fleet_state.config is None:
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.NOT_SERVING,
                detail="this instance has no configuration yet",
                retry_after_s=NO_CONFIG_RETRY_AFTER_S,
            )
        route = self._find_route(request)
        if route is None:
            raise _refused_error(Reason.UNKNOWN_SERVICE, "no route matches the request")
        return route

    def _identify(self, request: HttpRequest, route: Route) -> Identity:
        forwarded = self.dialect.forwarded_headers(request.headers)
        return self.authenticator.identify(route, request.headers, forwarded)

    def _find_route(self, request: HttpRequest) -> Route | None:
        host = (request.header("host") or b"").decode("latin-1")
        return self._fleet_state.table.match(host=host, path=request.path)

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's answer that go to the caller."""
        return headers

    def record_metrics(
        self, routed: RoutedRequest | None, outcome: str, duration_s: float
    ) -> None:
        """Record the outcome and duration of a completed request."""
        if self.metrics is None:
            return
        self.metrics.request(
            service=routed.caller.service if routed else "",
            class_name=routed.route.name if routed else "",
            outcome=outcome,
            duration_s=duration_s,
        )
        unauthenticated = outcome == Reason.UNAUTHENTICATED
        if self.authenticator.is_required and (routed or unauthenticated):
            self.metrics.workspace_request(
                workspace=routed.workspace_name if routed else "",
                outcome=outcome,
            )


def _refused_error(reason: Reason, detail: str) -> RefusedError:
    return RefusedError(verdict=Verdict.NOT_RUN, reason=reason, detail=detail)
