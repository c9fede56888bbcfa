"""Links to a server that can be cut, in the ways in which networks are cut."""

import asyncio
import enum
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["Cut", "Link", "running_link"]

LOOPBACK = "127.0.0.1"


class Cut(enum.Enum):
    """What becomes of the connections over a link that is cut.

    Attributes
    ----------
    SILENT
        All stand still; new ones are never answered.
    RESET
        Those that are open are reset, and new ones refused.
    KEPT
        Those that are open live on, and new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    KEPT = "kept"


class Link:
    """Forwards connections to a server until it is cut.

    Parameters
    ----------
    target_port : int
        Port of the server.

    Attributes
    ----------
    port : int
        Port on which the link listens.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._flowing = asyncio.Event()
        self._flowing.set()

    async def open(self) -> None:
        """Listen, on the same port as before."""
        self._flowing.set()
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve, LOOPBACK, self.port, reuse_address=True
            )
            self.port = int(self._server.sockets[0].getsockname()[1])

    async def cut(self, how: Cut) -> None:
        """Cut the link."""
        if how is Cut.SILENT:
            self._flowing.clear()
            return
        if self._server is not None:
            self._server.close()
            self._server = None
        if how is Cut.RESET:
            await self._end_connections()

    async def close(self) -> None:
        """Close the link and all of its connections."""
        await self.cut(Cut.RESET)

    async def _end_connections(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._flowing.wait()
            await self._forward(reader, writer)
        except (asyncio.CancelledError, OSError):
            # Not raised: the server would log it as an error.
            return
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            LOOPBACK, self._target_port
        )
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer)),
            asyncio.ensure_future(self._pump(far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            await self._flowing.wait()
            writer.write(data)
            await writer.drain()


@asynccontextmanager
async def running_link(target_port: int) -> AsyncIterator[Link]:
    """Run a link to a port of the loopback address."""
    link = Link(target_port)
    await link.open()
    try:
        yield link
    finally:
        await link.close()
