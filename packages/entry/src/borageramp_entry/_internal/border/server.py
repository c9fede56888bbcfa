"""An HTTP/1.1 server on asyncio, parsed by httptools.

Callers wait while an instance starts, and loading twisted.web was a third of that.
"""

from weakref import WeakSet

from borageramp_core.routing import CallerLimits
from borageramp_entry._internal.border.caller_limits import ConnectionLedger
from borageramp_entry._internal.border.connection import Connection
from borageramp_entry._internal.border.http_request import HttpHandler, HttpRequest
from borageramp_entry._internal.border.pipeline import PipelineLimits

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
    pipelines : PipelineLimits
        Limit on the requests of a connection that run at the same time, and a count.
    ledger : ConnectionLedger
        What the connections hold together.
    """

    def __init__(self, handler: HttpHandler) -> None:
        self.handler = handler
        self.limits = CallerLimits()
        self.pipelines = PipelineLimits()
        self.ledger = ConnectionLedger()
        self._connections: WeakSet[Connection] = WeakSet()

    def connection(self) -> Connection:
        """Return the protocol of a new connection."""
        connection = Connection(
            self.handler, limits=lambda: self.limits, pipelines=self.pipelines
        )
        connection.ledger = self.ledger
        self._connections.add(connection)
        return connection

    @property
    def held_bytes(self) -> int:
        """Bytes of answers held until those to earlier requests are sent."""
        return sum(c.pipeline.held_bytes for c in self._connections)

    @property
    def sending_count(self) -> int:
        """Number of connections whose answers are not sent in full."""
        return sum(c.unsent_bytes > 0 for c in self._connections)

    def abort_sending(self) -> int:
        """End connections whose answers are not sent in full; return how many.

        Unlike a close, this shows callers of HTTP/1.0 that an answer was cut.
        """
        sending = [c for c in self._connections if c.unsent_bytes > 0]
        for connection in sending:
            connection.abort()
        return len(sending)

    def close_idle(self) -> int:
        """Close connections without a request; return how many are busy.

        Those are busy that have a request, or an answer that is not sent in full.
        """
        busy = 0
        for connection in list(self._connections):
            busy += connection.close_if_idle()
        return busy
