"""An HTTP/1.1 server on asyncio, parsed by httptools.

Callers wait while an instance starts, and loading twisted.web was a third of that.
"""

from weakref import WeakSet

from borageramp_core.routing import CallerLimits
from borageramp_entry._internal.border.connection import Connection, HttpHandler
from borageramp_entry._internal.border.http_request import HttpRequest

__all__ = ["HttpHandler", "HttpRequest", "HttpServer"]


class HttpServer:
    """Takes connections, and gives their requests to a handler.

    Parameters
    ----------
    handler : HttpHandler
        Serves them.

    Attributes
    ----------
    limits : CallerLimits
        Limits on callers.
    """

    def __init__(self, handler: HttpHandler) -> None:
        self.handler = handler
        self.limits = CallerLimits()
        self._connections: WeakSet[Connection] = WeakSet()

    def connection(self) -> Connection:
        """Return the protocol of a new connection."""
        connection = Connection(self.handler, limits=lambda: self.limits)
        self._connections.add(connection)
        return connection

    def close_idle(self) -> int:
        """Close connections without a request; return how many are busy."""
        busy = 0
        for connection in list(self._connections):
            busy += connection.close_if_idle()
        return busy
