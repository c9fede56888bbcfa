"""HTTP/1.1 requests over kept connections, the one used last first."""

import asyncio
from collections import defaultdict

from borageramp_entry._internal.serving.http_connection import HttpConnection
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry._internal.serving.requests import BodySource, Headers

__all__ = ["HttpClient", "NotConnectedError"]

Place = tuple[str, int]

# Requests that need not say that they have no body.
BODILESS_METHODS = ("GET", "HEAD", "DELETE")
CHUNKED: Headers = (("transfer-encoding", b"chunked"),)
# Share of the time that a server keeps idle connections, as it says, for which
# they are used: a request must not cross its close.
KEEP_ALIVE_SHARE = 0.9


class NotConnectedError(Exception):
    """No connection could be made; nothing was sent."""


class HttpClient:
    """Sends requests to servers by their IP numbers.

    The connection used last goes first, as it is the one most surely alive.
    Nothing is sent twice.

    Parameters
    ----------
    idle_s : float
        Time for which an idle connection is kept if its server doesn't say.
    max_idle_s : float, optional
        Longest time for which it is kept if it does; by default ``idle_s``.
    max_idle : int
        Idle connections kept to one server.
    watched : bool
        Whether the system checks servers while nothing is sent, for answers
        that may take long.

    Attributes
    ----------
    opened : int
        Connections opened.
    """

    def __init__(
        self,
        *,
        idle_s: float,
        max_idle: int,
        max_idle_s: float | None = None,
        watched: bool = False,
    ) -> None:
        self._watched = watched
        self._idle_s = idle_s
        self._max_idle_s = idle_s if max_idle_s is None else max_idle_s
        self._max_idle = max_idle
        self._idle: defaultdict[Place, list[HttpConnection]] = defaultdict(list)
        self._timers: dict[HttpConnection, asyncio.TimerHandle] = {}
        self._idle_since_s: dict[HttpConnection, float] = {}
        self.opened = 0

    async def request(
        self,
        place: Place,
        method: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        upload: BodySource | None = None,
        connect_timeout_s: float,
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request and wait for the head of the answer.

        Parameters
        ----------
        place : tuple of str and int
            IP number and port.
        method, path : str
            HTTP method, and path with its query.
        headers : tuple of (str, bytes)
            Headers, without those on the length of the body.
        body : bytes
            The body.
        upload : BodySource, optional
            The body, in place of ``body``, sent as it arrives.
        connect_timeout_s : float
            Time for opening a connection.
        fresh : bool
            Whether to use a new connection, and close it afterwards.

        Raises
        ------
        NotConnectedError
            If nothing was sent.
        BrokenExchangeError
            If the connection broke before the answer.
        """
        connection = None if fresh else self._take(place)
        if connection is None:
            connection = await self._open(place, connect_timeout_s, keep=not fresh)
        bodiless = method == "HEAD"
        if upload is None:
            length = len(body) if body or method not in BODILESS_METHODS else None
            head = _encode(place, method, path, headers, length=length)
            response = connection.start(head + body, bodiless=bodiless)
        else:
            framing = () if upload.length is not None else CHUNKED
            head = _encode(
                place, method, path, (*headers, *framing), length=upload.length
            )
            response = connection.start(head, bodiless=bodiless, upload=upload)
        try:
            await response.head()
        except BaseException:
            connection.abort()
            raise
        return response

    def _take(self, place: Place) -> HttpConnection | None:
        idle = self._idle.get(place)
        while idle:
            connection = idle.pop()
            self._release(connection)
            if not connection.closed:
                return connection
        return None

    async def _open(
        self, place: Place, timeout_s: float, *, keep: bool
    ) -> HttpConnection:
        self.opened += 1
        loop = asyncio.get_running_loop()

        def on_idle(connection: HttpConnection) -> None:
            if keep:
                self._keep(place, connection)
            else:
                connection.abort()

        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(on_idle=on_idle, watched=self._watched),
                    *place,
                )
        # A port out of range is an OverflowError, a host that is no name a ValueError.
        except (OSError, TimeoutError, OverflowError, ValueError) as error:
            raise NotConnectedError(f"{place[0]}:{place[1]}: {error!r}") from error
        return connection

    def _keep(self, place: Place, connection: HttpConnection) -> None:
        idle = self._idle[place]
        if len(idle) >= self._max_idle:
            self._drop(place, idle[0])
        idle.append(connection)
        loop = asyncio.get_running_loop()
        self._idle_since_s[connection] = loop.time()
        idle_s = self._idle_s
        if connection.keep_alive_s is not None:
            idle_s = min(self._max_idle_s, KEEP_ALIVE_SHARE * connection.keep_alive_s)
        self._timers[connection] = loop.call_later(
            idle_s, self._drop, place, connection
        )

    def _drop(self, place: Place, connection: HttpConnection) -> None:
        self._idle[place].remove(connection)
        self._release(connection)
        connection.abort()

    def _release(self, connection: HttpConnection) -> None:
        self._timers.pop(connection).cancel()
        del self._idle_since_s[connection]

    def forget(self, place: Place, *, idle_before_s: float = float("inf")) -> int:
        """Close idle connections to a server; return how many.

        Parameters
        ----------
        place : tuple of str and int
            IP number and port.
        idle_before_s : float, optional
            Connections that carried an answer after this time are kept; by default,
            all are closed.
        """
        connections = [
            connection
            for connection in self._idle.get(place, ())
            if self._idle_since_s[connection] < idle_before_s
        ]
        for connection in connections:
            self._drop(place, connection)
        if not self._idle.get(place):
            self._idle.pop(place, None)
        return len(connections)

    def close(self) -> None:
        """Close all idle connections."""
        for place in list(self._idle):
            self.forget(place)


def _encode(
    place: Place, method: str, path: str, headers: Headers, *, length: int | None
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1".encode("latin-1")]
    names = {name for name, _ in headers}
    if "host" not in names:
        host = f"[{place[0]}]" if ":" in place[0] else place[0]
        lines.append(f"host: {host}:{place[1]}".encode())
    lines += [name.encode("latin-1") + b": " + value for name, value in headers]
    if length is not None:
        lines.append(b"content-length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"
