"""A server of streams that leaves nothing open when it ends."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

__all__ = ["running_server"]

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def running_server(serve: Serve) -> AsyncIterator[int]:
    """Serve connections on a free port of the loopback address; yield the port.

    Connections that are still served at the end are cut. A writer left open is closed
    by the garbage collector, after its loop, in the middle of another test.
    """
    serving: set[asyncio.Task[None]] = set()

    async def serve_one(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        serving.add(task)
        try:
            await serve(reader, writer)
        except asyncio.CancelledError:
            # Not raised: the server would log it as an error.
            return
        finally:
            writer.close()
            serving.discard(task)

    server = await asyncio.start_server(serve_one, "127.0.0.1", 0)
    try:
        yield int(server.sockets[0].getsockname()[1])
    finally:
        server.close()
        for task in serving:
            task.cancel()
        await asyncio.gather(*serving, return_exceptions=True)
