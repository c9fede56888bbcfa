"""One connection of a caller, from which requests are read."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from borageramp_core.routing import CallerLimits
from borageramp_entry._internal.border.caller_limits import (
    LimitedProtocol,
    request_bytes,
)
from borageramp_entry._internal.border.http_request import (
    HttpHandler,
    HttpRequest,
    encode_refusal,
    head_fault,
)
from borageramp_entry._internal.border.pipeline import Pipeline, PipelineLimits
from borageramp_entry._internal.border.request_parser import (
    MalformedRequestError,
    RequestHead,
    RequestParser,
)
from borageramp_entry._internal.border.timers import Timers
from borageramp_entry._internal.border.uploads import Upload

__all__ = ["Connection"]

# Larger bodies are passed on as they arrive; smaller ones are held whole, and
# can be sent again.
STREAM_FROM_BYTES = 65_536
# Time and bytes for what a caller still sends after its answer, so that it reads that
# answer before the connection ends.
REST_TIMEOUT_S = 2.0
MAX_DROPPED_BYTES = 1_048_576
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection(LimitedProtocol):
    """One connection: reads requests, and has them served by its pipeline.

    Parameters
    ----------
    handler : HttpHandler
        Serves them.
    limits : callable
        Returns the limits of now.
    pipelines : PipelineLimits
        Limits on requests that run at the same time.

    Attributes
    ----------
    pipeline : Pipeline
        Requests that were read and not answered.
    ending : bool
        Whether nothing more is sent or read.
    """

    def __init__(
        self,
        handler: HttpHandler,
        *,
        limits: Callable[[], CallerLimits],
        pipelines: PipelineLimits,
    ) -> None:
        super().__init__()
        self._handler = handler
        self._limits = limits
        self._parser = RequestParser(self)
        self._body: list[bytes] = []
        self._body_bytes = 0
        # Whether the caller waits for a word before it sends a body.
        self._continue_due = False
        # The request that arrives, and those that were read.
        self._arriving: HttpRequest | None = None
        self.pipeline = Pipeline(handler, self, limits=pipelines)
        self._timers = Timers()
        self._idle_since_s = self._loop.time()
        self._paused = False
        # Whether no further requests are read.
        self._input_ended = False
        self.ending = False
        self._dropped_bytes = 0

    # The socket.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._check_idle()

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self._drop(data)
        elif self._arriving is None and self.pipeline.is_closing:
            # Nothing is served that follows the last answer.
            self.end_input()
        elif not self._input_ended:
            self._parse(data)
        if not self.ending:
            self._update_reading()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
        except MalformedRequestError as error:
            if self._arriving is None and self.pipeline.is_closing:
                self.end_input()
            elif not self.ending:
                self._refuse(error.status)
        if self.ending or self._input_ended or not self._parser.in_head:
            return
        if self._parser.head_bytes > self._limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._start_head_timer()

    def _start_head_timer(self) -> None:
        self._timers.start("head", self._limits().header_timeout_s, self._on_late_head)

    def _drop(self, data: bytes) -> None:
        """Take in what a caller sends after its last answer, within limits."""
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.ending = True
        self._timers.stop_all()
        if self._arriving is not None and self._arriving.upload is not None:
            self._arriving.upload.on_cut()
        self.pipeline.cancel()

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self.ending:
            self.pipeline.advance()
            self._update_reading()

    def abort(self) -> None:
        self.ending = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def held_bytes(self) -> int:
        requests = (self._arriving, *self.pipeline.requests)
        unread_bytes = self._parser.held_bytes
        unread_bytes += self._body_bytes if self._body else 0
        answer_bytes = self.unsent_bytes + self.pipeline.held_bytes
        return answer_bytes + unread_bytes + request_bytes(requests)

    @property
    def waiting_since_s(self) -> float | None:
        serving = self.pipeline.first is not None and not self.ending
        return None if serving else self._idle_since_s

    def close_if_idle(self) -> bool:
        """Close the connection unless it has a request; tell whether it is busy.

        It is busy until all of its last answer was sent.
        """
        if self._has_request and not self.ending:
            return True
        if self._transport is not None and not self.ending:
            self.ending = True
            self._transport.close()
        return self.unsent_bytes > 0

    @property
    def _has_request(self) -> bool:
        arriving = self._arriving is not None or self._parser.in_head
        return arriving or self.pipeline.first is not None

    @property
    def _holds_enough(self) -> bool:
        """Whether nothing more is to be read for now."""
        if self.ending:
            # What still arrives is dropped.
            return False
        upload = self._arriving.upload if self._arriving is not None else None
        return (
            self._input_ended
            or self.pipeline.has_waiting
            or (upload is not None and upload.is_full)
        )

    def _update_reading(self) -> None:
        """Read on, or stop reading, as what has arrived so far requires."""
        paused = self._holds_enough
        if paused == self._paused or self._transport is None:
            return
        if self._transport.is_closing():
            return
        self._paused = paused
        if paused:
            # What is not read can't be late.
            self._timers.stop("head")
            self._timers.stop("body")
            self._transport.pause_reading()
            return
        self._transport.resume_reading()
        if self.ending:
            return
        if self._parser.in_head:
            self._start_head_timer()
        if self._arriving is not None and not self._arriving.is_partial:
            self._await_body(self._arriving)

    # Times.

    def _check_idle(self) -> None:
        """Close a connection that was idle for long; look again otherwise."""
        if self._is_unread():
            self.abort()
            return
        idle_timeout_s = self._limits().idle_timeout_s
        left_s = idle_timeout_s
        if not self._has_request:
            left_s -= self._loop.time() - self._idle_since_s
        if left_s <= 0 and self.close_if_idle():
            # What is left of an answer is still being sent.
            left_s = idle_timeout_s
        if left_s > 0:
            self._timers.start("idle", left_s, self._check_idle)

    def _is_unread(self) -> bool:
        """Whether the caller has taken nothing of an answer for long."""
        first = self.pipeline.first
        answered = first is None or first.finished
        unread_s = self.unread_s()
        idle_timeout_s = self._limits().idle_timeout_s
        return answered and self.unsent_bytes > 0 and unread_s >= idle_timeout_s

    def _on_late_head(self) -> None:
        self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _on_late_body(self) -> None:
        request = self._arriving
        if request is not None and not request.is_partial:
            request.body_late = True
            request.keep_alive = False
            self._take(request)

    # The parser.

    def on_begin(self) -> None:
        self._body = []
        self._body_bytes = 0

    def on_head(self, head: RequestHead) -> None:
        self._timers.stop("head")
        if self._input_ended or self.ending:
            return
        if self.pipeline.is_closing:
            self.end_input()
            return
        request = self.pipeline.open(head)
        status = head_fault(
            request,
            max_bytes=self._limits().max_header_bytes,
            upgrade=head.upgrade,
        )
        if status is not None:
            self._refuse(status)
            return
        self._arriving = request
        request.body_too_large = (request.length or 0) > self._limits().max_body_bytes
        if request.body_too_large:
            request.keep_alive = False
            self._take(request)
        elif request.has_body:
            expected = (request.header("expect") or b"").lower()
            self._continue_due = expected == b"100-continue"
            self._await_body(request)

    def _await_body(self, request: HttpRequest) -> None:
        """Have the caller send a body, after the answers to requests before it."""
        if self._continue_due:
            if self.pipeline.first is not None:
                return
            self._continue_due = False
            self.write(CONTINUE)
        timeout_s = self._handler.body_timeout_s(request)
        self._timers.start("body", timeout_s, self._on_late_body)

    def on_body(self, data: bytes) -> None:
        request = self._arriving
        if request is None or self.ending:
            return
        if self._continue_due:
            self._continue_due = False
            self._await_body(request)
        self._body_bytes += len(data)
        over = self._body_bytes > self._limits().max_body_bytes
        if request.upload is not None:
            if over:
                # Its answer can't be changed any more.
                self.abort()
            else:
                request.upload.on_data(data)
        elif request.is_partial:
            return
        elif over:
            request.body_too_large = True
            request.keep_alive = False
            self._take(request)
        else:
            self._body.append(data)
            if self._body_bytes > STREAM_FROM_BYTES:
                self._stream(request)

    def _stream(self, request: HttpRequest) -> None:
        """Have a request served before all of its body is there."""
        request.upload = Upload(length=request.length, on_room=self._update_reading)
        request.body = b"".join(self._body)
        self._body = []
        request.upload.on_data(request.body)
        self._take(request)

    def on_end(self) -> None:
        request, self._arriving = self._arriving, None
        self._timers.stop("body")
        if request is None or self.ending:
            return
        request.received = True
        if request.upload is not None:
            request.upload.on_end()
            self.pipeline.advance()
        elif not request.is_partial:
            request.body = b"".join(self._body)
            self._body = []
            self._take(request)

    # Serving.

    def _take(self, request: HttpRequest) -> None:
        """Have a request served, in its turn."""
        self._timers.stop("body")
        self.pipeline.take(request)

    def on_early_answer(self, request: HttpRequest) -> None:
        """Drop the rest of a request that was answered before all of it arrived."""
        if request.upload is not None:
            request.upload.drop_rest()
            self._timers.start("rest", REST_TIMEOUT_S, self.abort)

    def on_answered(self) -> None:
        """Take in that a request was answered, and the next one may have its turn."""
        self._timers.stop("rest")
        self._idle_since_s = self._loop.time()
        if self._continue_due and self._arriving is not None:
            self._await_body(self._arriving)
        self._update_reading()

    def end_input(self) -> None:
        """Read no further requests."""
        self._input_ended = True
        self._update_reading()

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse what is no request, and end the connection."""
        self._input_ended = True
        if self._arriving is not None and self._arriving.upload is not None:
            self._arriving.upload.on_cut()
        if self.pipeline.first is None:
            self.write(encode_refusal(status))
            self.end()
            return
        # What others that came before it are due is not ended by it.
        self.pipeline.end_after_running()
        self._update_reading()
        self.pipeline.advance()

    def end(self) -> None:
        """Close the connection, once the caller has read what it was sent.

        Closing it with unread bytes would take away the answer too.
        """
        self.ending = True
        if self._transport is None or self._transport.is_closing():
            return
        if self._arriving is None and not self._parser.in_head and not self._paused:
            self._transport.close()
            return
        if self._arriving is not None and self._arriving.upload is not None:
            self._arriving.upload.drop_rest()
        self._update_reading()
        self._transport.write_eof()
        self._timers.start("rest", REST_TIMEOUT_S, self._transport.abort)
