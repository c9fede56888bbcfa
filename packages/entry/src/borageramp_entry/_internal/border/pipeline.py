"""Requests of one connection that are served at the same time, answered in order.

HTTP/1.1 answers the requests of a connection in their order (RFC 9112, section 9.3.2).
An answer that is ready before its turn is held here.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from borageramp_entry._internal.border.http_request import HttpHandler, HttpRequest
from borageramp_entry._internal.border.request_parser import RequestHead
from borageramp_entry._internal.logs import get_logger

__all__ = ["Pipeline", "PipelineLimits", "PipelineOutput"]

_log = get_logger(__name__)

# Most requests of one connection that run at the same time, unless set otherwise: some
# more than the slots of one upstream (6), and a sixteenth of the requests that an
# instance takes from others (128).
MAX_RUNNING = 8
# What is held of answers before their turn, for one connection. Beyond it no request
# begins and streamed answers wait. Answers of requests that run already may add
# their first MiB each.
MAX_HELD_BYTES = 262_144


class PipelineOutput(Protocol):
    """Connection that the answers are sent on."""

    @property
    def ending(self) -> bool:
        """Whether nothing more is to be sent."""

    @property
    def writable(self) -> bool:
        """Whether the caller has read most of what was sent."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    async def drained(self) -> None:
        """Wait until the caller has read most of what was sent."""

    def abort(self) -> None:
        """End the connection at once."""

    def end(self) -> None:
        """End the connection, once the caller has read what it was sent."""

    def end_input(self) -> None:
        """Read no further requests."""

    def on_early_answer(self, request: HttpRequest) -> None:
        """Take in that a request was answered before all of it arrived."""

    def on_answered(self) -> None:
        """Take in that a request was answered, and the next one may have its turn."""


class PipelineLimits:
    """Limit on the requests of a connection, and what all connections counted.

    Attributes
    ----------
    max_running : int
        Most requests of one connection that run at the same time.
    overlapped : int
        Requests begun while an earlier one on their connection was not answered.
    """

    def __init__(self) -> None:
        self.max_running = MAX_RUNNING
        self.overlapped = 0


class Pipeline:
    """Requests of one connection that were read and not answered.

    Parameters
    ----------
    handler : HttpHandler
        Serves them, and tells which may overlap.
    output : PipelineOutput
        Connection that the answers are sent on.
    limits : PipelineLimits
        Limits and counters shared with other connections.

    Attributes
    ----------
    held_bytes : int
        Bytes of answers that are held until their turn.
    """

    def __init__(
        self, handler: HttpHandler, output: PipelineOutput, *, limits: PipelineLimits
    ) -> None:
        self._handler = handler
        self._limits = limits
        self.output = output
        self.held_bytes = 0
        self._clock = asyncio.get_running_loop().time
        self._running: deque[_OrderedAnswer] = deque()
        self._waiting: deque[_OrderedAnswer] = deque()

    @property
    def first(self) -> HttpRequest | None:
        """The request whose answer is being sent or is sent next."""
        return self._running[0].request if self._running else None

    @property
    def requests(self) -> list[HttpRequest]:
        """The requests that were read and not answered."""
        return [a.request for a in (*self._running, *self._waiting)]

    @property
    def has_waiting(self) -> bool:
        """Whether a request was read that can't begin yet."""
        return bool(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether no more of answers is to be held."""
        return self.held_bytes >= MAX_HELD_BYTES

    @property
    def is_closing(self) -> bool:
        """Whether the answer to a request that was read ends the connection."""
        return any(
            not answers[-1].request.keep_alive
            for answers in (self._running, self._waiting)
            if answers
        )

    def open(self, head: RequestHead) -> HttpRequest:
        """Return the request of a head; its answer is sent in its turn."""
        request = _OrderedAnswer(self, method=head.method, target=head.target).request
        request.headers = head.headers
        request.keep_alive = head.keep_alive
        request.old_version = head.old_version
        return request

    def take(self, request: HttpRequest) -> None:
        """Have a request served; it begins at once if it may."""
        if request.received:
            request.arrived_at_s = self._clock()
        self._waiting.append(cast("_OrderedAnswer", request.channel))
        self._begin_waiting()

    def advance(self) -> None:
        """Send the answers whose turn it is, and begin the requests that may."""
        while self._running and not self.output.ending:
            first = self._running[0].request
            if not first.finished:
                break
            if not first.keep_alive:
                self.output.end()
                return
            if not first.received:
                self.output.on_early_answer(first)
                return
            if not self.output.writable:
                return
            self._pass_turn()
        self._begin_waiting()

    def _pass_turn(self) -> None:
        """Go on from a request that was answered to the one after it."""
        self._running.popleft()
        if not self._running:
            self._begin_waiting()
        if self._running:
            self._running[0].take_turn()
        self.output.on_answered()

    def _begin_waiting(self) -> None:
        while self._waiting and self._may_begin(self._waiting[0]):
            self._begin(self._waiting.popleft())

    def _may_begin(self, answer: "_OrderedAnswer") -> bool:
        if self.output.ending or (self._running and self._is_at_limit):
            return False
        answer.overlaps = self._may_overlap(answer)
        return not self._running or (
            answer.overlaps and all(a.overlaps for a in self._running)
        )

    @property
    def _is_at_limit(self) -> bool:
        """Whether nothing may begin before the answer to another request."""
        return (
            len(self._running) >= self._limits.max_running
            or self.is_full
            # A caller that does not read gets no further answers ready.
            or not self.output.writable
            # Nothing is served behind a request that ends the connection.
            or not self._running[-1].request.keep_alive
        )

    def _may_overlap(self, answer: "_OrderedAnswer") -> bool:
        request = answer.request
        # The answer to a caller of HTTP/1.0 may need the end of the connection.
        if not request.is_whole or request.old_version:
            return False
        return self._handler.may_overlap(request)

    def _begin(self, answer: "_OrderedAnswer") -> None:
        request = answer.request
        request.running_before = len(self._running)
        if request.arrived_at_s is None:
            request.arrived_at_s = self._clock()
        if self._running:
            self._limits.overlapped += 1
        else:
            answer.take_turn()
        self._running.append(answer)
        answer.task = asyncio.ensure_future(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        try:
            await self._handle(request)
        finally:
            # The two refer to each other, and would stay until a garbage collection.
            del request.channel

    async def _handle(self, request: HttpRequest) -> None:
        try:
            await self._handler.serve(request)
        except Exception as error:
            _log.error("request failed", path=request.path, exc_info=error)
        if not request.finished:
            request.abort()

    def end_after_running(self) -> None:
        """End the connection after the answers to the requests that have begun.

        Those that have not begun are dropped: the last answer says that the
        connection ends, so that callers know that these did not run.
        """
        if self._waiting:
            self._waiting.clear()
            self.output.end_input()
        if self._running:
            self._running[-1].request.keep_alive = False

    def on_aborted(self, answer: "_OrderedAnswer") -> None:
        """End the connection as an answer was cut short.

        Answers before it are sent first; requests behind it are cancelled at once.
        """
        if answer not in self._running:
            return
        index = self._running.index(answer)
        self._waiting.clear()
        while len(self._running) > index + 1:
            self._running.pop().cancel()
        if index == 0:
            self.output.abort()
            return
        # Nothing of it was sent, so that the caller can't take it for an answer.
        self._running.pop().drop()
        self.output.end_input()
        self._running[-1].request.keep_alive = False
        self.advance()

    def cancel(self) -> None:
        """Cancel all requests, as their caller has left."""
        self._waiting.clear()
        for answer in self._running:
            if answer.request.upload is not None:
                answer.request.upload.on_cut()
            answer.cancel()


class _OrderedAnswer:
    """Answer to one request, which is held until its turn.

    Parameters
    ----------
    pipeline : Pipeline
        Requests of the connection.
    method, target : str
        Method and target of the request.
    """

    def __init__(self, pipeline: Pipeline, *, method: str, target: str) -> None:
        self.request = HttpRequest(self, method=method, target=target)
        self.overlaps = False
        self.task: asyncio.Task[None] | None = None
        self._pipeline = pipeline
        self._output = pipeline.output
        self._encode_head: Callable[[], bytes] | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._has_turn = asyncio.Event()
        self._dropped = False

    def write_head(self, encode: Callable[[], bytes]) -> None:
        """Send a head; it is encoded when it is sent."""
        if self._has_turn.is_set():
            self.write(encode())
        else:
            self._encode_head = encode
            self._hold(len(encode()))

    def write(self, data: bytes) -> None:
        """Send bytes, or hold them until the answers before this one were sent."""
        if self._dropped:
            return
        if self._has_turn.is_set():
            self._output.write(data)
        else:
            self._held.append(data)
            self._hold(len(data))

    def _hold(self, size_bytes: int) -> None:
        self._held_bytes += size_bytes
        self._pipeline.held_bytes += size_bytes

    def _release(self) -> None:
        self._pipeline.held_bytes -= self._held_bytes
        self._held_bytes = 0
        self._held.clear()
        self._encode_head = None

    async def drained(self) -> None:
        """Wait until the caller has read most of what was sent.

        Before its turn, an answer waits only if it is whole, as its memory counts
        until it was sent, or if too much is held.
        """
        if not self._has_turn.is_set():
            if not self.request.finished and not self._pipeline.is_full:
                return
            await self._has_turn.wait()
        await self._output.drained()

    def take_turn(self) -> None:
        """Send what was held, and the rest as it comes."""
        self._has_turn.set()
        if self._encode_head is not None:
            self._output.write(self._encode_head())
        held = b"".join(self._held)
        self._release()
        if held:
            self._output.write(held)

    def drop(self) -> None:
        """Send nothing of the answer, now or later."""
        self._dropped = True
        self._release()
        self._has_turn.set()

    def cancel(self) -> None:
        """Cancel the request, unless it ends its connection itself."""
        self.drop()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    def on_last(self) -> None:
        """Take in that the handler wants the connection to end."""
        if not self._dropped:
            self._pipeline.end_after_running()

    def on_finished(self, request: HttpRequest) -> None:
        """Take in that the answer is whole."""
        if self.request is self._pipeline.first:
            self._pipeline.advance()

    def abort(self) -> None:
        """End the connection, after the answers before this one."""
        self._pipeline.on_aborted(self)
