"""Servers of an entry for the directory, checks, metrics and other instances."""

import asyncio

from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.border.caller_limits import ConnectionLedger
from borageramp_entry._internal.border.server import HttpHandler, HttpServer

__all__ = ["InternalServers"]


class InternalServers:
    """Servers that listen beside the one for callers.

    Attributes
    ----------
    ledger : ConnectionLedger
        What the connections of all of them hold together.
    """

    def __init__(self) -> None:
        self._listening: list[asyncio.Server] = []
        self._servers: list[HttpServer] = []
        self.ledger = ConnectionLedger()

    async def start(self, address: str | None, handler: HttpHandler) -> HttpServer:
        """Serve an address with a handler.

        Parameters
        ----------
        address : str or None
            ``host:port``; ``None`` to serve nothing.
        handler : HttpHandler
            Serves the requests.
        """
        server = HttpServer(handler)
        server.ledger = self.ledger
        self._servers.append(server)
        if address is not None:
            host, port = split_address(address)
            loop = asyncio.get_running_loop()
            listening = await loop.create_server(server.connection, host, port)
            self._listening.append(listening)
        return server

    @property
    def sending_count(self) -> int:
        """Number of connections whose answers are not sent in full."""
        return sum(server.sending_count for server in self._servers)

    def abort_sending(self) -> int:
        """End connections whose answers are not sent in full; return how many."""
        return sum(server.abort_sending() for server in self._servers)

    def close(self) -> None:
        """Stop listening."""
        for listening in self._listening:
            listening.close()
