"""Exchange of one request and its answer with a caller."""

import asyncio
from typing import TYPE_CHECKING

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_entry._internal.border.server import HttpRequest
from borageramp_entry._internal.logs import get_logger, to_ms
from borageramp_entry._internal.routed.attempts import RoutedAnswer
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.serving.upstreams import TryFailedError

if TYPE_CHECKING:
    from borageramp_entry._internal.routed.caller_handler import CallerRequestHandler

__all__ = ["DEFAULT_DEADLINE_S", "CallerExchange"]

_log = get_logger(__name__)

# For requests of callers that set no deadline.
DEFAULT_DEADLINE_S = 10.0


class CallerExchange:
    """One request of a caller, from its arrival to the end of its answer.

    Parameters
    ----------
    handler : CallerRequestHandler
        Matches the request to a route and dispatches it.
    request : HttpRequest
        The request.
    """

    def __init__(self, handler: "CallerRequestHandler", request: HttpRequest) -> None:
        self._handler = handler
        self._request = request
        arrived_at_s = request.arrived_at_s
        self._arrived_at_s = handler.clock() if arrived_at_s is None else arrived_at_s
        self._routed: RoutedRequest | None = None
        self._request_id = ""
        self._deadline_s: float | None = None
        self._answer: RoutedAnswer | None = None

    async def run(self) -> None:
        """Serve the request; its answer is sent and logged whatever happens."""
        outcome = "cancelled"
        try:
            outcome = await self._run()
        except Exception as error:
            outcome = Reason.INTERNAL.value
            _log.error("internal error", request_id=self._request_id, exc_info=error)
            self._end_failed_request()
        finally:
            duration_s = self._handler.clock() - self._arrived_at_s
            self._handler.record_metrics(self._routed, outcome, duration_s)
            self._log_end(outcome, duration_s)

    def _log_end(self, outcome: str, duration_s: float) -> None:
        routed = self._routed
        _log.info(
            self._handler.end_event,
            request_id=self._request_id,
            outcome=outcome,
            took_ms=round(duration_s * 1000, 1),
            route=routed.route.name if routed else None,
            service=routed.caller.service if routed else None,
            workspace=routed.workspace_name or None if routed else None,
            deadline_ms=to_ms(self._deadline_s),
            objective_ms=to_ms(routed.route.objective_s) if routed else None,
            running_before=self._request.running_before,
        )

    async def _run(self) -> str:
        metadata = self._handler.dialect.read_metadata(self._request.headers)
        self._request_id = metadata.request_id
        self._deadline_s = metadata.deadline_s
        try:
            self._routed = self._handler.build_routed_request(
                self._request, arrived_at_s=self._arrived_at_s
            )
            self._answer = await self._handler.dispatch(self._routed)
        except RefusedError as error:
            self._refuse(error)
            return error.reason.value
        return await self._deliver(self._answer)

    async def _deliver(self, answer: RoutedAnswer) -> str:
        head = answer.upstream_answer.head
        headers = self._handler.answer_headers(head.headers)
        close_connection = self._handler.is_stopping
        if answer.complete:
            self._request.answer(
                head.status, headers, answer.body, last=close_connection
            )
            return "failed" if answer.failed else "answered"
        self._request.start(head.status, headers, last=close_connection)
        return await self._stream(answer)

    async def _stream(self, answer: RoutedAnswer) -> str:
        """Stream a large response to the caller, with backpressure."""
        try:
            async with asyncio.timeout(self._remaining_s()):
                await self._forward_body(answer)
        except (TryFailedError, TimeoutError) as error:
            _log.warning(
                "answer cut short", request_id=self._request_id, error=repr(error)
            )
            answer.upstream_answer.abort()
            self._request.abort()
            return "cut_short"
        except BaseException:
            answer.upstream_answer.abort()
            raise
        self._request.finish()
        return "answered"

    async def _forward_body(self, answer: RoutedAnswer) -> None:
        chunk = answer.take_body()
        while chunk:
            await self._request.write(chunk)
            remaining_s = self._remaining_s()
            if remaining_s <= 0:
                # If data is always ready, no await suspends, and the enclosing
                # timeout never fires.
                raise TimeoutError
            chunk = await answer.upstream_answer.read(remaining_s)
        # The caller may take its time to read the rest; the upstream has sent it.
        answer.buffer.flight = None

    def _remaining_s(self) -> float:
        if self._routed is None:
            return DEFAULT_DEADLINE_S
        return self._routed.caller.deadline_s - self._handler.clock()

    def _refuse(self, error: RefusedError) -> None:
        response = self._handler.dialect.refusal_response(
            error, request_id=self._request_id
        )
        knowledge = error.log_fields
        if error.reason in (Reason.UNKNOWN_SERVICE, Reason.UNAUTHENTICATED):
            knowledge = {**self._handler.describe_knowledge(), **knowledge}
        _log.info(
            "refused",
            request_id=self._request_id,
            status=response.status,
            verdict=error.verdict.value,
            reason=error.reason.value,
            detail=error.detail,
            retry_after_s=error.retry_after_s,
            **knowledge,
        )
        self._request.answer(
            response.status,
            response.headers,
            response.body,
            last=self._handler.is_stopping,
        )

    def _end_failed_request(self) -> None:
        """End a request after an internal error."""
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
