"""A stand-in for the address at which an instance tells others of changes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from urllib.parse import parse_qs, urlsplit

from borageramp_core import HistoryLostError
from borageramp_entry._internal.routed.change_source import RelayUnavailableError
from tests.lib.stream_server import running_server

__all__ = ["Tell", "running_peer"]

Tell = Callable[[int, float], Awaitable[bytes]]


async def _answer(tell: Tell, target: str) -> tuple[int, bytes]:
    query = parse_qs(urlsplit(target).query)
    try:
        changes = await tell(int(query["after"][0]), float(query["wait_s"][0]))
    except RelayUnavailableError:
        return 503, b"{}"
    except HistoryLostError:
        return 410, b"{}"
    return 200, changes


@asynccontextmanager
async def running_peer(tell: Tell, *, headers: str = "") -> AsyncIterator[str]:
    """Serve what a function tells, with some headers; yield the address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                status, body = await _answer(tell, head.split()[1].decode())
                length = f"{headers}Content-Length: {len(body)}\r\n\r\n".encode()
                writer.write(f"HTTP/1.1 {status} X\r\n".encode() + length + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    async with running_server(serve) as port:
        yield f"127.0.0.1:{port}"
