"""A request on a callers' connection, and its answer."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from borageramp_entry._internal.border.uploads import Upload
from borageramp_entry._internal.serving.requests import Headers

__all__ = [
    "AnswerChannel",
    "HttpHandler",
    "HttpRequest",
    "encode_head",
    "encode_refusal",
    "head_fault",
]

# Statuses whose answers have no body.
BODILESS = (204, 304)
# Headers that must not be there twice: with two, nobody knows which one counts.
SINGLE = ("host", "content-length", "transfer-encoding")
# Part of an answer that is given to the system at once. What a slow caller has not
# read is held twice: as it came from the upstream, and by the connection.
MAX_WRITE_BYTES = 65_536
# Bytes of a header beside its name and value.
HEADER_FRAMING_BYTES = 4


class AnswerChannel(Protocol):
    """Where an answer is written."""

    def write_head(self, encode: Callable[[], bytes]) -> None:
        """Send a head, which is encoded when it is sent."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    async def drained(self) -> None:
        """Wait until the caller has read most of what was sent."""

    def on_last(self) -> None:
        """End the connection after the requests that have begun."""

    def on_finished(self, request: "HttpRequest") -> None:
        """Take in that the answer to a request is whole."""

    def abort(self) -> None:
        """End the connection at once."""


class HttpHandler(Protocol):
    """Serves requests."""

    async def serve(self, request: "HttpRequest") -> None:
        """Serve a request; cancelled when its caller leaves."""

    def body_timeout_s(self, request: "HttpRequest") -> float:
        """Return the time for the body of a request to arrive."""

    def may_overlap(self, request: "HttpRequest") -> bool:
        """Return whether a request may run while others of its connection do."""


class HttpRequest:
    """A request of one connection, and its answer.

    Parameters
    ----------
    channel : AnswerChannel
        Where the answer is written.
    method, target : str
        Method, and target as sent.

    Attributes
    ----------
    method, target, path : str
        Method, target as sent, and its part before the query.
    headers : tuple of (str, bytes)
        Headers, with their names in lower case.
    body : bytes
        The body; its first part if there is an ``upload``.
    upload : Upload or None
        The whole body while it arrives, if it is large.
    body_too_large : bool
        Whether it is, or says that it will be, over its limit.
    body_late : bool
        Whether the body did not come in the time for it.
    keep_alive : bool
        Whether the connection goes on after the answer.
    old_version : bool
        Whether the caller speaks HTTP/1.0.
    received : bool
        Whether all of it has arrived.
    arrived_at_s : float or None
        When it had arrived whole, or when its serving began if that was before;
        seconds of the event loop's clock, ``None`` until then.
    running_before : int
        Earlier requests of its connection that were not answered when it began.
    channel : AnswerChannel
        Where the answer is written.
    started, finished : bool
        Whether the head, and all of its answer were sent.
    unsent_bytes : int
        Bytes of its answer that wait until the caller has read those before.
    """

    def __init__(self, channel: AnswerChannel, *, method: str, target: str) -> None:
        self.method = method
        self.target = target
        self.path = target.partition("?")[0]
        self.headers: Headers = ()
        self.body = b""
        self.upload: Upload | None = None
        self.body_too_large = False
        self.body_late = False
        self.keep_alive = True
        self.old_version = False
        self.received = False
        self.arrived_at_s: float | None = None
        self.running_before = 0
        self.started = False
        self.finished = False
        self.unsent_bytes = 0
        self._chunked = False
        self._bodiless = method == "HEAD"
        self.channel = channel

    @property
    def is_partial(self) -> bool:
        """Whether it is served without all of its body in ``body``."""
        return self.upload is not None or self.body_too_large or self.body_late

    @property
    def is_whole(self) -> bool:
        """Whether it has arrived with all of its body in ``body``."""
        return self.received and not self.is_partial

    @property
    def length(self) -> int | None:
        """Bytes of its body that the caller declared; ``None`` if it didn't."""
        length = self.header("content-length")
        return None if length is None else int(length)

    @property
    def has_body(self) -> bool:
        """Whether its head says that a body follows."""
        return bool(self.length) or self.header("transfer-encoding") is not None

    def header(self, name: str) -> bytes | None:
        """Return the first header of a name, given in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    def start(self, status: int, headers: Headers, *, last: bool = False) -> None:
        """Send the head of the answer.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, bytes)
            Headers; without a length, the body's end is marked otherwise.
        last : bool
            Whether the connection ends after it, and after the answers to later
            requests that have begun.
        """
        self.started = True
        if last:
            self.channel.on_last()
        self._bodiless |= status in BODILESS
        extra: list[tuple[str, bytes]] = []
        if not self._bodiless and all(name != "content-length" for name, _ in headers):
            # Without chunks, the end of the connection is that of the body.
            self._chunked = not self.old_version
            self.keep_alive &= self._chunked
            if self._chunked:
                extra.append(("transfer-encoding", b"chunked"))
        # Until the head is sent, another cause may end the connection after it.
        self.channel.write_head(
            lambda: encode_head(status, (*headers, *extra, *self._connection_headers()))
        )

    def _connection_headers(self) -> Headers:
        if not self.keep_alive:
            return (("connection", b"close"),)
        return (("connection", b"keep-alive"),) if self.old_version else ()

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller is slow."""
        if self._bodiless:
            return
        for start in range(0, len(data), MAX_WRITE_BYTES):
            part = data[start : start + MAX_WRITE_BYTES]
            self.unsent_bytes = len(data) - start - len(part)
            if self._chunked:
                part = b"%x\r\n%b\r\n" % (len(part), part)
            self.channel.write(part)
            del part
            await self.channel.drained()

    async def drained(self) -> None:
        """Wait until the caller has read most of what was sent."""
        await self.channel.drained()

    def answer(
        self, status: int, headers: Headers, body: bytes, *, last: bool = False
    ) -> None:
        """Send a whole answer."""
        length = ("content-length", b"%d" % len(body))
        kept = tuple(h for h in headers if h[0] != "content-length")
        self.start(status, (*kept, length), last=last)
        if not self._bodiless:
            self.channel.write(body)
        self.finish()

    def finish(self) -> None:
        """End a whole answer."""
        if self._chunked:
            self.channel.write(b"0\r\n\r\n")
        self.finished = True
        self.channel.on_finished(self)

    def abort(self) -> None:
        """End an answer that was cut short, so that the caller notices."""
        self.channel.abort()


def encode_head(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    lines = [f"HTTP/1.1 {int(status)} {phrase}".encode("latin-1")]
    lines += [name.encode("latin-1") + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_refusal(status: int) -> bytes:
    """Return the answer to what is no request, after which the connection ends."""
    return encode_head(status, (("content-length", b"0"), ("connection", b"close")))


def head_fault(
    request: HttpRequest, *, max_bytes: int, upgrade: bool
) -> HTTPStatus | None:
    """Return the status for a head that can't be served; ``None`` for others.

    What is ambiguous about a request's length or host is refused, as another
    server might read it in another way.

    Parameters
    ----------
    request : HttpRequest
        The request.
    max_bytes : int
        Largest header section.
    upgrade : bool
        Whether the caller offers to speak another protocol.
    """
    head_bytes = len(request.target) + sum(
        len(name) + len(value) + HEADER_FRAMING_BYTES for name, value in request.headers
    )
    if head_bytes > max_bytes:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    names = [name for name, _ in request.headers]
    encoding = request.header("transfer-encoding")
    framed = encoding is not None or "content-length" in names
    ambiguous = (
        any(names.count(name) > 1 for name in SINGLE)
        or ("host" not in names and not request.old_version)
        or (encoding is not None and encoding.strip().lower() != b"chunked")
        or (encoding is not None and "content-length" in names)
        # The parser would take the body for bytes of the other protocol.
        or (framed and upgrade)
    )
    return HTTPStatus.BAD_REQUEST if ambiguous else None
