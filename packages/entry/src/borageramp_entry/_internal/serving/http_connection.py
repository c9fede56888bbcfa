"""One HTTP/1.1 connection to a server, parsed by httptools.

Twisted's client costs some two milliseconds of processor time an exchange,
and doesn't tell whether a request was sent before its connection broke, or
whether an answer without a length ended with a clean close.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from httptools import HttpParserError, HttpResponseParser

from borageramp_entry._internal.serving.requests import Headers

__all__ = ["BrokenExchangeError", "HttpConnection", "HttpResponse"]

# Bytes of an answer held for a slow reader before the server is paused.
BUFFER_BYTES = 65_536
FINAL_STATUS = 200
# A peer that acknowledges nothing for this long is gone; without it, a cut
# shows only when the system gives up, minutes later.
SILENCE_MS = 1500
KEEP_ALIVE_S = 1
# Statuses whose answers have no body.
BODILESS = (204, 304)


class BrokenExchangeError(Exception):
    """A connection broke while it had a request, or its answer made no sense."""


class HttpResponse:
    """An answer as it arrives.

    Attributes
    ----------
    status : int
        HTTP status; 0 until the head has arrived.
    headers : tuple of (str, bytes)
        Headers with names in lower case.
    """

    def __init__(self, connection: "HttpConnection") -> None:
        self.status = 0
        self.headers: Headers = ()
        self._connection = connection
        self._chunks: deque[bytes] = deque()
        self._held_bytes = 0
        self._ended = False
        self._whole = False
        self._arrived: asyncio.Future[None] | None = None

    @property
    def ready(self) -> bool:
        """Whether a part of the body can be read without waiting."""
        return bool(self._chunks) or self._ended

    async def head(self) -> None:
        """Wait for the head.

        Raises
        ------
        BrokenExchangeError
            If the connection broke first.
        """
        while self.status == 0 and not self._ended:
            await self._wait()
        if self.status == 0:
            raise BrokenExchangeError("no answer")

    async def read(self) -> bytes:
        """Return the next part of the body; empty at its end.

        Raises
        ------
        BrokenExchangeError
            If the body was cut short.
        """
        while not self.ready:
            await self._wait()
        if self._chunks:
            chunk = self._chunks.popleft()
            self._held_bytes -= len(chunk)
            if self._held_bytes <= BUFFER_BYTES:
                self._connection.resume()
            return chunk
        if not self._whole:
            raise BrokenExchangeError("the answer was cut short")
        return b""

    async def read_all(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        BrokenExchangeError
            If it was cut short.
        """
        parts = []
        try:
            while part := await self.read():
                parts.append(part)
        finally:
            self.abort()
        return b"".join(parts)

    async def _wait(self) -> None:
        self._arrived = asyncio.get_running_loop().create_future()
        try:
            await self._arrived
        finally:
            self._arrived = None

    def _notify(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)

    def on_head(self, status: int, headers: Headers) -> None:
        """Take in the head."""
        self.status = status
        self.headers = headers
        self._notify()

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._chunks.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > BUFFER_BYTES:
            self._connection.pause()
        self._notify()

    def on_end(self, *, whole: bool) -> None:
        """Take in the end of the answer."""
        self._ended = True
        self._whole = whole
        self._notify()

    def abort(self) -> None:
        """Drop the rest of the answer and its connection."""
        if not self._ended:
            self._connection.abort()


class HttpConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Parameters
    ----------
    on_idle : callable
        Gets the connection when it can carry another exchange.
    watched : bool
        Whether the system checks the peer while nothing is sent.
    """

    def __init__(
        self, *, on_idle: Callable[["HttpConnection"], None], watched: bool = False
    ) -> None:
        self._on_idle = on_idle
        self._watched = watched
        self._transport: asyncio.Transport | None = None
        self._response: HttpResponse | None = None
        self._parser: Any = None
        self._headers: list[tuple[str, bytes]] = []
        self._framed = False
        self._bodiless = False
        self._paused = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in that the connection is open."""
        self._transport = cast(asyncio.Transport, transport)
        _notice_silence(transport.get_extra_info("socket"), watched=self._watched)

    def start(self, data: bytes, *, bodiless: bool = False) -> HttpResponse:
        """Send a request.

        Parameters
        ----------
        data : bytes
            The request.
        bodiless : bool
            Whether its answer has no body, whatever its headers say.
        """
        self._response = HttpResponse(self)
        self._parser = HttpResponseParser(self)
        self._headers = []
        self._bodiless = bodiless
        if self._transport is None or self.closed:
            self._response.on_end(whole=False)
        else:
            self._transport.write(data)
        return self._response

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the server."""
        if self._response is None:
            # They belong to no request, and could pass for the next answer.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Take in, from the parser, that another answer begins."""
        if self._response is None:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header from the parser."""
        self._headers.append((name.decode("latin-1").lower(), value))

    def on_headers_complete(self) -> None:
        """Take in, from the parser, that the head is whole."""
        status = self._parser.get_status_code()
        if self._response is None or status < FINAL_STATUS:
            return
        names = {name for name, _ in self._headers}
        self._framed = bool(names & {"content-length", "transfer-encoding"})
        self._framed |= status in BODILESS
        self._response.on_head(status, tuple(self._headers))
        if self._bodiless:
            self._end(reusable=False)

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body from the parser."""
        if self._response is not None:
            self._response.on_body(data)

    def on_message_complete(self) -> None:
        """Take in, from the parser, that the answer is whole."""
        if self._response is None:
            return
        if self._parser.get_status_code() < FINAL_STATUS:
            self._headers = []
            return
        self._end(reusable=self._parser.should_keep_alive())

    def _end(self, *, reusable: bool) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.on_end(whole=True)
        if reusable and not self.closed:
            self.resume()
            # Later, so that bytes after the answer are noticed first.
            asyncio.get_running_loop().call_soon(self._offer)
        else:
            self.abort()

    def _offer(self) -> None:
        if not self.closed:
            self._on_idle(self)

    def eof_received(self) -> bool:
        """Take in that the server has sent everything; close."""
        response = self._response
        if response is not None and response.status and not self._framed:
            self._response = None
            response.on_end(whole=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection is gone."""
        self.closed = True
        response, self._response = self._response, None
        if response is not None:
            response.on_end(whole=False)

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""
        if self._transport is not None and not self._paused and not self.closed:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and self._paused and not self.closed:
            self._paused = False
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
        response, self._response = self._response, None
        if response is not None:
            response.on_end(whole=False)


def _notice_silence(sock: Any, *, watched: bool) -> None:
    """Have the system close a connection whose peer is silent."""
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
    if watched:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
