"""One HTTP/1.1 connection to a server, parsed by httptools.

Twisted's client costs some two milliseconds of processor time an exchange,
and doesn't tell whether a request was sent before its connection broke, or
whether an answer without a length ended with a clean close.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.serving.bounded_reads import BoundedReads
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry._internal.serving.message_limits import (
    ExcessiveFramingError,
    FramingMeter,
)
from borageramp_entry._internal.serving.requests import (
    BodyCutError,
    BodySource,
)

__all__ = ["HttpConnection"]

_log = get_logger(__name__)

FINAL_STATUS = 200
# Statuses that HTTP has (RFC 9110, section 15). Parsers take any three digits.
VALID_STATUSES = range(100, 600)
# A peer that acknowledges nothing for this long is gone; without it, a cut
# shows only when the system gives up, minutes later.
SILENCE_MS = 1500
KEEP_ALIVE_S = 1
# Statuses whose answers have no body.
BODILESS = (204, 304)


class InvalidStatusError(Exception):
    """The status of an answer is none of HTTP."""


class HttpConnection(BoundedReads):
    """A connection that carries one exchange at a time.

    Parameters
    ----------
    on_idle : callable
        Gets the connection when it can carry another exchange.
    watched : bool
        Whether the system checks the peer while nothing is sent.

    Attributes
    ----------
    keep_alive_s : float or None
        Time for which the server keeps the connection idle; ``None`` if it
        didn't say.
    closed : bool
        Whether it is of no more use.
    """

    def __init__(
        self, *, on_idle: Callable[["HttpConnection"], None], watched: bool = False
    ) -> None:
        self._on_idle = on_idle
        self._watched = watched
        self._transport: asyncio.Transport | None = None
        self._response: HttpResponse | None = None
        self._parser: Any = None
        self._meter = FramingMeter()
        self._headers: list[tuple[str, bytes]] = []
        self._parts: list[bytes] = []
        self._in_head = True
        self._framed = False
        self._bodiless = False
        self._paused = False
        self._peer: Any = None
        self._sending: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self.keep_alive_s: float | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in that the connection is open."""
        self._transport = cast(asyncio.Transport, transport)
        self._peer = transport.get_extra_info("peername")
        self._set_silence_ms(SILENCE_MS)
        if self._watched:
            _keep_alive(transport.get_extra_info("socket"))

    def start(
        self, data: bytes, *, bodiless: bool = False, upload: BodySource | None = None
    ) -> HttpResponse:
        """Send a request.

        Parameters
        ----------
        data : bytes
            The request, or only its head if there is an ``upload``.
        bodiless : bool
            Whether its answer has no body, whatever its headers say.
        upload : BodySource, optional
            The body.
        """
        self._response = HttpResponse(self)
        self._parser = HttpResponseParser(self)
        self._meter.start()
        self._headers = []
        self._parts.clear()
        self._in_head = True
        self._bodiless = bodiless
        if self._transport is None or self.closed:
            self._response.on_end(whole=False)
        else:
            self._transport.write(data)
            if upload is not None:
                # A server may leave a body unread while the request waits for a
                # slot, which looks like silence to the system.
                self._set_silence_ms(0)
                self._sending = asyncio.ensure_future(self._send(upload))
        return self._response

    async def _send(self, upload: BodySource) -> None:
        """Send a body as it arrives, no faster than the server reads it."""
        offset = 0
        chunked = upload.length is None
        try:
            while part := await upload.read(offset):
                offset += len(part)
                # The last part is held back until the body has ended there.
                if upload.length is not None and (
                    offset > upload.length
                    or (offset == upload.length and await upload.read(offset))
                ):
                    raise BodyCutError("the body is longer than its length")
                self._write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                await self._writable.wait()
            if upload.length is not None and offset < upload.length:
                raise BodyCutError("the body is shorter than its length")
            if chunked:
                self._write(b"0\r\n\r\n")
        except BodyCutError:
            self.abort()
        self._sending = None

    @property
    def is_sending(self) -> bool:
        """Whether a part of the request's body is yet to be sent."""
        return self._sending is not None

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    def pause_writing(self) -> None:
        """Take in that the server doesn't read fast enough."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Take in that it has read what was sent."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the server."""
        if self._response is None:
            # They belong to no request, and could pass for the next answer.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
            self._flush()
            self._meter.on_read(len(data))
        except (HttpParserError, HttpParserUpgrade, ExcessiveFramingError) as error:
            cause = error.__context__ or error
            _log.info("answer malformed", peer=self._peer, error=repr(cause))
            self.abort()

    def on_message_begin(self) -> None:
        """Take in, from the parser, that another answer begins."""
        if self._response is None:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header or trailer from the parser."""
        self._meter.on_header()
        # Trailers are dropped: nobody reads them.
        if self._in_head:
            self._headers.append((name.decode("latin-1").lower(), value))

    def on_headers_complete(self) -> None:
        """Take in, from the parser, that the head is whole.

        Raises
        ------
        InvalidStatusError
            If its status is none of HTTP. A low one would pass for an interim answer,
            and the request would wait for another until its deadline.
        """
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            raise InvalidStatusError(f"status {status}")
        if self._response is None or status < FINAL_STATUS:
            return
        self._in_head = False
        names = {name for name, _ in self._headers}
        self._framed = bool(names & {"content-length", "transfer-encoding"})
        self._framed |= status in BODILESS
        self.keep_alive_s = _keep_alive_s(self._headers)
        self._response.on_head(status, tuple(self._headers))
        if self._bodiless:
            self._end(reusable=False)

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body from the parser."""
        if self._response is not None:
            self._meter.on_body(len(data))
            self._parts.append(data)

    def _flush(self) -> None:
        """Pass on what arrived of the body, as one part."""
        if self._parts and self._response is not None:
            data = b"".join(self._parts)
            self._parts.clear()
            self._response.on_body(data)

    def on_message_complete(self) -> None:
        """Take in, from the parser, that the answer is whole."""
        if self._response is None:
            return
        if self._parser.get_status_code() < FINAL_STATUS:
            self._headers = []
            return
        self._flush()
        self._end(reusable=self._parser.should_keep_alive())

    def _end(self, *, reusable: bool) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.on_end(whole=True)
        # The rest of a body that is still on its way could pass for a request.
        if reusable and not self.closed and self._sending is None:
            self._set_silence_ms(SILENCE_MS)
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
        self._stop_sending()
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
        self._stop_sending()
        if self._transport is not None:
            self._transport.abort()
        response, self._response = self._response, None
        if response is not None:
            response.on_end(whole=False)

    def _set_silence_ms(self, silence_ms: int) -> None:
        """Set how long the server may acknowledge nothing; 0 for the system's."""
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if _is_tcp(sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)

    def _stop_sending(self) -> None:
        sending, self._sending = self._sending, None
        if sending is not None and sending is not asyncio.current_task():
            sending.cancel()


def _keep_alive_s(headers: list[tuple[str, bytes]]) -> float | None:
    """Return the time for which a server keeps idle connections, if it says."""
    for name, value in headers:
        if name == "keep-alive":
            for part in value.decode("latin-1").split(","):
                key, _, seconds = part.strip().partition("=")
                if key.lower() == "timeout" and seconds.isdecimal():
                    return float(seconds[:9])
    return None


def _is_tcp(sock: Any) -> bool:
    return sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6)


def _keep_alive(sock: Any) -> None:
    """Have the system check a peer to which nothing is sent."""
    if _is_tcp(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
