"""Kept connections to upstreams, the one used last first."""

from collections import defaultdict
from collections.abc import Hashable
from typing import Any, cast

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime, IStreamClientEndpoint
from twisted.internet.protocol import Factory
from twisted.web.client import HTTP11ClientProtocol

__all__ = ["ConnectionPool"]

QUIESCENT = "QUIESCENT"


class _Connection(HTTP11ClientProtocol):
    """A connection that bytes without a request spoil."""

    def dataReceived(self, data: bytes) -> None:
        if self.state == QUIESCENT:
            # They belong to no request, and could pass for the next answer.
            self.abort()
            return
        super().dataReceived(data)


class _Factory(Factory):
    noisy = False

    def __init__(self, on_idle: Any) -> None:
        self._on_idle = on_idle

    def buildProtocol(self, addr: Any) -> _Connection:
        return _Connection(self._on_idle)


class ConnectionPool:
    """Connections to upstreams, kept for the next request.

    Takes the place of Twisted's own pool, which gives out the connection that
    was idle longest: the one used last is the one most surely alive.

    Parameters
    ----------
    reactor : IReactorTime
        The running reactor.
    idle_s : float
        Time for which an idle connection is kept.
    max_idle : int
        Idle connections kept for an upstream.
    """

    # Read by Agent: its requests ask for connections that stay open.
    persistent = True

    def __init__(self, *, reactor: IReactorTime, idle_s: float, max_idle: int) -> None:
        self._reactor = reactor
        self._idle_s = idle_s
        self._max_idle = max_idle
        self._idle: defaultdict[Hashable, list[_Connection]] = defaultdict(list)
        self._timers: dict[_Connection, Any] = {}
        self.opened = 0

    def getConnection(
        self, key: Hashable, endpoint: IStreamClientEndpoint
    ) -> "defer.Deferred[Any]":
        """Return an idle connection, or a new one."""
        idle = self._idle[key]
        while idle:
            connection = idle.pop()
            self._timers.pop(connection).cancel()
            if connection.state == QUIESCENT:
                return defer.succeed(connection)
        return self._open(key, endpoint)

    def _open(
        self, key: Hashable, endpoint: IStreamClientEndpoint
    ) -> "defer.Deferred[Any]":
        self.opened += 1
        factory = _Factory(lambda connection: self._keep(key, connection))
        return cast(Any, endpoint).connect(factory)

    def _keep(self, key: Hashable, connection: _Connection) -> None:
        idle = self._idle[key]
        if len(idle) >= self._max_idle:
            self._drop(key, idle[0])
        idle.append(connection)
        self._timers[connection] = cast(Any, self._reactor).callLater(
            self._idle_s, self._drop, key, connection
        )

    def _drop(self, key: Hashable, connection: _Connection) -> None:
        self._idle[key].remove(connection)
        timer = self._timers.pop(connection)
        if timer.active():
            timer.cancel()
        connection.abort()

    def forget(self, host: str, port: int) -> None:
        """Close the idle connections to an address."""
        key = (b"http", host.encode(), port)
        for connection in list(self._idle.get(key, ())):
            self._drop(key, connection)
        self._idle.pop(key, None)

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self._idle):
            for connection in list(self._idle[key]):
                self._drop(key, connection)
