"""The callers' port of an entry that serves routes."""

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_core.routing import FleetState, Route, choose_service
from borageramp_entry._internal.border.server import HttpRequest
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.attempts import RoutedAnswer
from borageramp_entry._internal.routed.dispatch import RoutedDispatcher
from borageramp_entry._internal.routed.ports import CallerDialect
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.serving.upstreams import TryFailedError

if TYPE_CHECKING:
    from borageramp_entry._internal.metrics import Metrics

__all__ = ["Front"]

_log = get_logger(__name__)

# An instance that knows no configuration yet learns it within about this.
NOT_READY_RETRY_S = 0.3
DEFAULT_DEADLINE_S = 10.0


class Front:
    """Serves requests by their routes.

    Parameters
    ----------
    fleet_state : FleetState
        What is known.
    dispatcher : RoutedDispatcher
        Takes requests to their answers.
    dialect : CallerDialect
        Headers of callers.
    closing : callable
        Tells whether this instance is stopping.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the present time in seconds.

    Attributes
    ----------
    metrics : Metrics or None
        Instruments; ``None`` for a short time after the start.
    """

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        dispatcher: RoutedDispatcher,
        dialect: CallerDialect,
        closing: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._fleet_state = fleet_state
        self.dispatcher = dispatcher
        self.dialect = dialect
        self.metrics: Metrics | None = None
        self.closing = closing
        self._rng = rng
        self.clock = clock
        self.in_flight = 0

    async def serve(self, request: HttpRequest) -> None:
        """Serve a request."""
        self.in_flight += 1
        try:
            await _Exchange(self, request).run()
        finally:
            self.in_flight -= 1

    def body_timeout_s(self, request: HttpRequest) -> float:
        """Return the time for the body of a request: that of its caller."""
        deadline_s = self.dialect.read_terms(request.headers).deadline_s
        return DEFAULT_DEADLINE_S if deadline_s is None else deadline_s

    def routed(self, request: HttpRequest, *, arrived_at_s: float) -> RoutedRequest:
        """Return a request with its route.

        Raises
        ------
        RefusedError
            If there is none, or the request is not allowed.
        """
        self._check(request)
        route = self._route(request)
        terms = self.dialect.read_terms(request.headers)
        if not terms.request_id:
            raise _refused(Reason.BAD_REQUEST, "the request has no identifier")
        if terms.fault:
            raise _refused(Reason.BAD_REQUEST, terms.fault)
        left_s = DEFAULT_DEADLINE_S if terms.deadline_s is None else terms.deadline_s
        caller = CallerRequest(
            request_id=terms.request_id,
            service=choose_service(route, rng=self._rng),
            class_name=route.name,
            deadline_s=arrived_at_s + min(left_s, route.timeout_s),
            method=request.method,
            path=request.target,
            headers=self.dialect.forwarded(request.headers),
            body=request.body,
            upload=request.upload,
        )
        return RoutedRequest(
            caller=caller,
            route=route,
            arrived_at_s=arrived_at_s,
            caller_timeout_s=terms.deadline_s,
        )

    def _check(self, request: HttpRequest) -> None:
        if request.body_too_large:
            raise _refused(Reason.BODY_TOO_LARGE, "the body is over its limit")
        if request.body_late:
            raise _refused(Reason.BODY_LATE, "the body did not arrive in time")

    def _route(self, request: HttpRequest) -> Route:
        if self._fleet_state.config is None:
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.NOT_SERVING,
                detail="this instance has no configuration yet",
                retry_after_s=NOT_READY_RETRY_S,
            )
        host = (request.header("host") or b"").decode("latin-1")
        route = self._fleet_state.table.match(host=host, path=request.path)
        if route is None:
            raise _refused(Reason.UNKNOWN_SERVICE, "no route matches the request")
        return route

    def count(self, routed: RoutedRequest | None, outcome: str, took_s: float) -> None:
        """Count a request that got its final answer."""
        if self.metrics is None:
            return
        self.metrics.request(
            service=routed.caller.service if routed else "",
            class_name=routed.route.name if routed else "",
            outcome=outcome,
            duration_s=took_s,
        )


def _refused(reason: Reason, detail: str) -> RefusedError:
    return RefusedError(verdict=Verdict.NOT_RUN, reason=reason, detail=detail)


def _ms(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s * 1000, 1)


class _Exchange:
    """One request of a caller, and its answer."""

    def __init__(self, front: Front, request: HttpRequest) -> None:
        self._front = front
        self._request = request
        self._arrived_at_s = front.clock()
        self._routed: RoutedRequest | None = None
        self._id = ""
        self._deadline_s: float | None = None

    async def run(self) -> None:
        outcome = "cancelled"
        try:
            outcome = await self._run()
        except Exception as error:
            outcome = Reason.INTERNAL.value
            _log.error("internal error", request_id=self._id, exc_info=error)
            self._fail()
        finally:
            took_s = self._front.clock() - self._arrived_at_s
            self._front.count(self._routed, outcome, took_s)
            self._log_end(outcome, took_s)

    def _log_end(self, outcome: str, took_s: float) -> None:
        routed = self._routed
        _log.info(
            "request ended",
            request_id=self._id,
            outcome=outcome,
            took_ms=round(took_s * 1000, 1),
            route=routed.route.name if routed else None,
            service=routed.caller.service if routed else None,
            deadline_ms=_ms(self._deadline_s),
            objective_ms=_ms(routed.route.objective_s) if routed else None,
        )

    async def _run(self) -> str:
        terms = self._front.dialect.read_terms(self._request.headers)
        self._id = terms.request_id
        self._deadline_s = terms.deadline_s
        try:
            self._routed = self._front.routed(
                self._request, arrived_at_s=self._arrived_at_s
            )
            answer = await self._front.dispatcher.run(self._routed)
        except RefusedError as error:
            self._refuse(error)
            return error.reason.value
        return await self._deliver(answer)

    async def _deliver(self, answer: RoutedAnswer) -> str:
        head = answer.upstream_answer.head
        last = self._front.closing()
        if answer.complete:
            self._request.answer(head.status, head.headers, answer.body, last=last)
            return "failed" if answer.failed else "answered"
        self._request.start(head.status, head.headers, last=last)
        return await self._stream(answer)

    async def _stream(self, answer: RoutedAnswer) -> str:
        """Pass a large answer on as it arrives, no faster than it is read."""
        try:
            async with asyncio.timeout(self._left_s()):
                await self._pass_on(answer)
        except (TryFailedError, TimeoutError) as error:
            _log.warning("answer cut short", request_id=self._id, error=repr(error))
            answer.upstream_answer.abort()
            self._request.abort()
            return "cut_short"
        except BaseException:
            answer.upstream_answer.abort()
            raise
        self._request.finish()
        return "answered"

    async def _pass_on(self, answer: RoutedAnswer) -> None:
        part = answer.body
        while part:
            await self._request.write(part)
            left_s = self._left_s()
            if left_s <= 0:
                # An answer that always has more ready never waits.
                raise TimeoutError
            part = await answer.upstream_answer.read(left_s)

    def _left_s(self) -> float:
        if self._routed is None:
            return DEFAULT_DEADLINE_S
        return self._routed.caller.deadline_s - self._front.clock()

    def _refuse(self, error: RefusedError) -> None:
        answer = self._front.dialect.refusal(error, request_id=self._id)
        _log.info(
            "refused",
            request_id=self._id,
            status=answer.status,
            verdict=error.verdict.value,
            reason=error.reason.value,
            detail=error.detail,
            retry_after_s=error.retry_after_s,
        )
        self._request.answer(
            answer.status, answer.headers, answer.body, last=self._front.closing()
        )

    def _fail(self) -> None:
        """End a request that this program failed to serve."""
        if self._request.started:
            self._request.abort()
            return
        self._refuse(
            RefusedError(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.INTERNAL,
                detail="the entry failed; its log has the cause",
            )
        )
