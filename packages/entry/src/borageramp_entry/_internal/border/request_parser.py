"""Parsing of the requests of one connection, by httptools."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from borageramp_entry._internal.border.caller_limits import MAX_READ_BYTES
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.serving.message_limits import (
    ExcessiveFramingError,
    FramingMeter,
    TooManyHeadersError,
)
from borageramp_entry._internal.serving.requests import Headers

__all__ = ["MalformedRequestError", "RequestEvents", "RequestHead", "RequestParser"]

_log = get_logger(__name__)


class MalformedRequestError(Exception):
    """What arrived is no request that can be served.

    Parameters
    ----------
    status : HTTPStatus
        Status of its refusal.
    """

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """The head of a request.

    Attributes
    ----------
    method, target : str
        Method, and target as sent.
    headers : tuple of (str, bytes)
        Headers, with their names in lower case.
    keep_alive : bool
        Whether the connection goes on after the answer.
    old_version : bool
        Whether the caller speaks HTTP/1.0.
    upgrade : bool
        Whether the caller offers to speak another protocol.
    """

    method: str
    target: str
    headers: Headers
    keep_alive: bool
    old_version: bool
    upgrade: bool


class RequestEvents(Protocol):
    """Gets requests as they arrive."""

    def on_begin(self) -> None:
        """Take in that a request begins."""

    def on_head(self, head: RequestHead) -> None:
        """Take in the head of the request."""

    def on_body(self, data: bytes) -> None:
        """Take in a part of its body."""

    def on_end(self) -> None:
        """Take in that it is whole."""


class RequestParser:
    """Parses the bytes of one connection.

    Parameters
    ----------
    events : RequestEvents
        Gets the requests.

    Attributes
    ----------
    head_bytes : int
        Bytes that were read since a head has begun.
    """

    def __init__(self, events: RequestEvents) -> None:
        self._events = events
        self._meter = FramingMeter()
        self._callbacks = _ParserCallbacks(events, self._meter)
        self._parser: Any = HttpRequestParser(self._callbacks)
        self._callbacks.parser = self._parser
        self.head_bytes = 0

    @property
    def in_head(self) -> bool:
        """Whether a head has begun and is not whole."""
        return self._callbacks.in_head

    @property
    def held_bytes(self) -> int:
        """Bytes that a head may hold that is not whole."""
        return self.head_bytes + MAX_READ_BYTES if self.in_head else 0

    def feed(self, data: bytes) -> None:
        """Parse bytes, and pass on what they hold.

        Raises
        ------
        MalformedRequestError
            If they can't be served.
        """
        self.head_bytes = self.head_bytes + len(data) if self.in_head else 0
        size = len(data)
        try:
            while data:
                data = self._feed(data)
            self._callbacks.flush()
            # Heads have a limit of their own.
            if not self.in_head:
                self._meter.on_read(size)
        except HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, TooManyHeadersError):
                status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                raise MalformedRequestError(status) from error
            if not isinstance(cause, ExcessiveFramingError):
                _log.error("request not taken in", exc_info=cause)
            raise MalformedRequestError(HTTPStatus.BAD_REQUEST) from error
        except (HttpParserError, ExcessiveFramingError) as error:
            raise MalformedRequestError(HTTPStatus.BAD_REQUEST) from error

    def _feed(self, data: bytes) -> bytes:
        """Parse bytes; return those that another parser has to read."""
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as upgrade:
            # No other protocol is spoken here, which a server need not say.
            self._parser = HttpRequestParser(self._callbacks)
            self._callbacks.parser = self._parser
            return data[upgrade.args[0] :]
        return b""


class _ParserCallbacks:
    """Gets the pieces of requests from the parser."""

    def __init__(self, events: RequestEvents, meter: FramingMeter) -> None:
        self._events = events
        self._meter = meter
        self.parser: Any = None
        self.in_head = False
        self._target = b""
        self._headers: list[tuple[str, bytes]] = []
        self._parts: list[bytes] = []

    def on_message_begin(self) -> None:
        self.in_head = True
        self._target = b""
        self._headers = []
        self._meter.start()
        self._events.on_begin()

    def on_url(self, part: bytes) -> None:
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self._meter.on_header()
        # Trailers are dropped: nobody reads them.
        if self.in_head:
            self._headers.append((name.decode("latin-1").lower(), value))

    def on_headers_complete(self) -> None:
        self.in_head = False
        headers, self._headers = tuple(self._headers), []
        self._events.on_head(
            RequestHead(
                method=self.parser.get_method().decode("latin-1"),
                target=self._target.decode("latin-1"),
                headers=headers,
                keep_alive=self.parser.should_keep_alive(),
                old_version=self.parser.get_http_version() == "1.0",
                upgrade=self.parser.should_upgrade(),
            )
        )

    def on_body(self, data: bytes) -> None:
        self._meter.on_body(len(data))
        self._parts.append(data)

    def flush(self) -> None:
        """Pass on what arrived of the body, as one part."""
        if self._parts:
            data = b"".join(self._parts)
            self._parts.clear()
            self._events.on_body(data)

    def on_message_complete(self) -> None:
        self.flush()
        self._events.on_end()
