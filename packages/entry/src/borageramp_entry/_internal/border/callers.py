"""The callers' port: addresses, and requests."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from twisted.web.server import Request

from borageramp_core import Reason, RefusedError, Verdict, key_prefix
from borageramp_entry._internal.border.http import BoundedRequest, Leaf, send_json
from borageramp_entry._internal.border.parsing import (
    ParsedRequest,
    parse_request,
    request_id_of,
)
from borageramp_entry._internal.border.services import EntryServices
from borageramp_entry._internal.serving.requests import AnswerHead

__all__ = ["CallerResource"]

ADDRESSES_PATH = b"/.borageramp/addresses"
HTTP_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_WITHOUT_ISSUE_TIME: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.KEY_EXPIRED: 409,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.OWNER_GONE: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.CRASHES_UPSTREAMS: 422,
    Reason.UPSTREAM_FAILED: 502,
    Reason.DEADLINE_PASSED: 504,
    Reason.DEADLINE_UNREACHABLE: 503,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.INTERNAL: 500,
}
DEFAULT_STATUS = 503


class _CallerSink:
    """Writes an answer to a caller, no faster than it reads."""

    def __init__(self, request: BoundedRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._ready = asyncio.Event()
        self._ready.set()
        self.gone = False
        self.started = False
        request.registerProducer(cast(Any, self), True)

    def pauseProducing(self) -> None:
        self._ready.clear()

    def resumeProducing(self) -> None:
        self._ready.set()

    def stopProducing(self) -> None:
        self.gone = True
        self._ready.set()

    def start(self, head: AnswerHead) -> None:
        self.started = True
        if self.gone:
            return
        self._request.setResponseCode(head.status)
        for name, value in head.headers:
            self._request.responseHeaders.addRawHeader(name.encode(), value)
        self._request.setHeader(b"borageramp-request-id", self._request_id.encode())
        self._request.setHeader(b"borageramp-verdict", Verdict.RAN.value.encode())

    async def write(self, chunk: bytes) -> None:
        await self._ready.wait()
        if not self.gone:
            self._request.write(chunk)

    def finish(self) -> None:
        if not self.gone:
            self._request.unregisterProducer()
            self._request.finish()

    def abort(self) -> None:
        transport = self._request.transport
        if not self.gone and transport is not None:
            self._request.unregisterProducer()
            transport.abortConnection()

    def refuse(self, error: RefusedError) -> None:
        """Answer with a refusal."""
        if self.gone:
            return
        request = self._request
        request.unregisterProducer()
        request.setHeader(b"borageramp-request-id", self._request_id.encode())
        request.setHeader(b"borageramp-verdict", error.verdict.value.encode())
        request.setHeader(b"borageramp-reason", error.reason.value.encode())
        if error.retry_after_s is not None:
            _set_retry_after(request, error.retry_after_s)
        send_json(
            request,
            HTTP_STATUS.get(error.reason, DEFAULT_STATUS),
            {
                "verdict": error.verdict.value,
                "reason": error.reason.value,
                "detail": error.detail,
                "request_id": self._request_id,
                "retry_after_s": error.retry_after_s,
            },
        )


def _set_retry_after(request: Request, after_s: float) -> None:
    seconds = max(1, -int(-after_s // 1))
    request.setHeader(b"retry-after", str(seconds).encode())
    millis = str(max(1, round(after_s * 1000))).encode()
    request.setHeader(b"borageramp-retry-after-ms", millis)


class CallerResource(Leaf):
    """Serves callers.

    Parameters
    ----------
    services : EntryServices
        The parts of the entry.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(self, *, services: EntryServices, clock: Callable[[], float]) -> None:
        super().__init__()
        self._services = services
        self._clock = clock
        self.in_flight = 0

    async def serve(self, request: Request) -> None:
        """Serve a request."""
        bounded = cast(BoundedRequest, request)
        if self._services.closing():
            request.setHeader(b"connection", b"close")
            cast(Any, request.channel).persistent = False
        if request.path == ADDRESSES_PATH:
            self._addresses(request)
            return
        self.in_flight += 1
        try:
            await self._serve_request(bounded)
        finally:
            self.in_flight -= 1

    def _addresses(self, request: Request) -> None:
        args = request.args or {}
        where = args.get(b"data_centre", [b""])[0].decode("latin-1")
        answer = self._services.addresses(where)
        claims = self._services.claims
        issued_ms = claims.clock_ms(now_s=self._clock())
        status = 200 if answer.addresses else 503
        send_json(
            request,
            status,
            {
                "ttl_s": answer.ttl_s,
                "addresses": [
                    {"address": a.address, "data_centre": a.data_centre}
                    for a in answer.addresses
                ],
                "key_prefix": key_prefix(claims.incarnation, issued_ms),
            },
        )

    async def _serve_request(self, request: BoundedRequest) -> None:
        started_at_s = self._clock()
        request_id = request_id_of(request)
        sink = _CallerSink(request, request_id)
        parsed: ParsedRequest | None = None
        outcome = "cancelled"
        try:
            parsed = self._parse(request, request_id)
            delivered = await self._services.serve(parsed, sink)
            outcome = "answered" if delivered.whole else "cut_short"
        except RefusedError as error:
            outcome = error.reason.value
            self._refused(request_id, sink, error)
        except Exception as error:
            outcome = Reason.INTERNAL.value
            self._failed(request_id, sink, error)
        finally:
            self._count(parsed, outcome, started_at_s)

    def _parse(self, request: BoundedRequest, request_id: str) -> ParsedRequest:
        return parse_request(
            request,
            request_id=request_id,
            snapshot=self._services.snapshot(),
            now_s=self._clock(),
        )

    def _refused(self, request_id: str, sink: _CallerSink, error: RefusedError) -> None:
        self._services.reporter.decided(
            request_id,
            "final refusal",
            verdict=error.verdict.value,
            reason=error.reason.value,
            detail=error.detail,
            **error.log_fields,
        )
        sink.refuse(error)

    def _failed(self, request_id: str, sink: _CallerSink, error: Exception) -> None:
        self._services.reporter.failed(request_id, error)
        if sink.started:
            sink.abort()
            return
        sink.refuse(
            RefusedError(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.INTERNAL,
                detail="the entry failed; its log has the cause",
            )
        )

    def _count(
        self, parsed: ParsedRequest | None, outcome: str, started_at_s: float
    ) -> None:
        self._services.reporter.metrics.request(
            service=parsed.request.service if parsed else "",
            class_name=parsed.request.class_name if parsed else "",
            outcome=outcome,
            duration_s=self._clock() - started_at_s,
        )
        unauthenticated = outcome == Reason.UNAUTHENTICATED
        if self._services.snapshot().keys is not None and (parsed or unauthenticated):
            self._services.reporter.metrics.workspace_request(
                workspace=parsed.workspace if parsed else "",
                outcome=outcome,
            )
