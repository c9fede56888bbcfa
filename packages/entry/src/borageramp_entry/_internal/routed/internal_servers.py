"""Servers of an entry for the directory, checks, metrics and other instances."""

import asyncio

from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.border.server import HttpHandler, HttpServer

__all__ = ["InternalServers"]


class InternalServers:
    """Servers that listen beside the one for callers."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

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
        if address is not None:
            host, port = split_address(address)
            loop = asyncio.get_running_loop()
            listening = await loop.create_server(server.connection, host, port)
            self._servers.append(listening)
        return server

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
