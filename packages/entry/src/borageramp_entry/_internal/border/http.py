"""HTTP servers on twisted.web, as this project needs them."""

import asyncio
import io
import json
from typing import Any, cast
from weakref import WeakSet

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

__all__ = ["BoundedRequest", "DrainingSite", "Leaf", "send_json"]


class BoundedRequest(Request):
    """A request whose body stays in memory and within a limit."""

    max_body_bytes = 64_000_000
    body_too_large = False
    _received_bytes = 0

    def gotLength(self, length: int | None) -> None:
        # The base class would write a large body to disk.
        self.content = io.BytesIO()
        if length is not None and length > self.max_body_bytes:
            self.body_too_large = True

    def handleContentChunk(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._received_bytes > self.max_body_bytes:
            self.body_too_large = True
        if not self.body_too_large:
            super().handleContentChunk(data)


LATE_HEADERS = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"


class _Channel(http.HTTPChannel):
    """A connection that sends small parts of an answer at once.

    Attributes
    ----------
    header_timeout_s : float or None
        Time for the peer to send a header section it has begun.
    """

    header_timeout_s: float | None = None
    _sections = 0
    _late_call: Any = None

    def connectionMade(self) -> None:
        super().connectionMade()
        cast(Any, self.transport).setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        before = self._sections
        super().dataReceived(data)
        # Most header sections come whole and need no timer.
        begun = self.line_mode and self._sections == before
        if begun and self._late_call is None and self.header_timeout_s is not None:
            self._late_call = self.callLater(self.header_timeout_s, self._on_late)

    def allHeadersReceived(self) -> None:
        self._sections += 1
        self._stop_timer()
        super().allHeadersReceived()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._stop_timer()
        super().connectionLost(reason)

    def _stop_timer(self) -> None:
        if self._late_call is not None:
            self._late_call.cancel()
            self._late_call = None

    def _on_late(self) -> None:
        self._late_call = None
        cast(Any, self.transport).write(LATE_HEADERS)
        self.loseConnection()


class DrainingSite(Site):
    """A site that can end its connections without cutting a request."""

    requestFactory = BoundedRequest

    def __init__(self, resource: Resource, **kwargs: Any) -> None:
        super().__init__(resource, **kwargs)
        # HTTP/1.1 only: no protocol negotiation for each connection.
        cast(Any, self).protocol = _Channel
        self._channels: WeakSet[http.HTTPChannel] = WeakSet()
        self.closing = False

    def buildProtocol(self, addr: Any) -> Any:
        channel = super().buildProtocol(addr)
        if channel is not None:
            self._channels.add(cast(Any, channel))
        return channel

    def log(self, request: Any) -> None:
        # The entry logs requests itself.
        return

    def close_idle(self) -> int:
        """Close connections without a request; return how many are left.

        A connection is left until all of its last answer was sent.
        """
        left = 0
        for channel in list(self._channels):
            transport = cast(Any, channel.transport)
            if transport is None or not transport.connected:
                continue
            left += 1
            if not channel.requests:
                channel.loseConnection()
        return left


class Leaf(Resource):
    """A resource served by a coroutine."""

    isLeaf = True

    def render(self, request: Request) -> int:
        """Serve a request."""
        task = asyncio.ensure_future(self.serve(request))
        request.notifyFinish().addErrback(lambda _: self.on_gone(request, task))
        return NOT_DONE_YET

    def on_gone(self, request: Request, task: "asyncio.Task[None]") -> None:
        """Take in that the peer closed the connection."""
        task.cancel()

    async def serve(self, request: Request) -> None:
        """Serve a request."""
        raise NotImplementedError


def send_json(request: Request, status: int, value: Any) -> None:
    """Answer with a JSON body."""
    body = json.dumps(value).encode() + b"\n"
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()
