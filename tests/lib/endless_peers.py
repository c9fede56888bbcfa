"""Upstreams and callers that send without end, beside others that don't."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.lib.entry_process import EntryProcess, StubUpstream, echoed_request_id
from tests.lib.platform_store import running_store
from tests.lib.routed import as_bytes, config_document, upstream_document
from tests.lib.stream_server import running_server

__all__ = [
    "EndlessMessage",
    "EndlessUpstream",
    "Neighbours",
    "running_neighbours",
]

FAULTY_UPSTREAMS = 6
WORK_S = 0.05
# Requests of the callers beside, which come ten times a second.
NEIGHBOUR_REQUESTS = 30
NEIGHBOUR_INTERVAL_S = 0.1
NEIGHBOUR_TIMEOUT_MS = 1000
STOP_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True)
class EndlessMessage:
    """A message whose last part is sent again and again.

    Attributes
    ----------
    start : bytes
        What comes after the first line and the headers that each message needs.
    block : bytes
        What is repeated until the connection ends.
    """

    start: bytes
    block: bytes


async def send_without_end(
    writer: asyncio.StreamWriter, first: bytes, message: EndlessMessage
) -> None:
    """Send a message until its connection ends."""
    writer.write(first + message.start)
    while True:
        writer.write(message.block)
        await writer.drain()


class EndlessUpstream:
    """Answers health checks, and requests by a message that never ends."""

    def __init__(self, message: EndlessMessage) -> None:
        self._message = message

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                first = (
                    b"HTTP/1.1 200 OK\r\nBorageramp-Server-Load: 0,0,40,100\r\n"
                    b"Borageramp-Response-Signature: s\r\n"
                )
                if "/healthz" in head:
                    writer.write(first + b"Content-Length: 0\r\n\r\n")
                else:
                    first += echoed_request_id(head)
                    await send_without_end(writer, first, self._message)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Neighbours:
    """An entry that serves a healthy service beside a faulty one."""

    def __init__(self, instance: EntryProcess) -> None:
        self.instance = instance
        self._tasks: list[asyncio.Task[Any]] = []

    def start_requests(self, count: int) -> None:
        """Send requests to the faulty service; each is sent again when it ended."""
        for number in range(count):
            self._start(self._request_faulty(number))

    def start_uploads(self, message: EndlessMessage, count: int) -> None:
        """Send uploads without end to the healthy service."""
        for number in range(count):
            self._start(self._upload(message, number))

    def _start(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _request_faulty(self, number: int) -> None:
        for turn in range(1000):
            with suppress(Exception):
                response = await self.instance.send(
                    self.instance.front,
                    "/faulty/x",
                    request_id=f"faulty-{number}-{turn}",
                    deadline_ms=2000,
                )
                while await response.read():
                    await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)

    async def _upload(self, message: EndlessMessage, number: int) -> None:
        for turn in range(1000):
            with suppress(ConnectionError):
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", self.instance.front
                )
                first = (
                    "POST /healthy/upload HTTP/1.1\r\nHost: a.example\r\n"
                    f"Borageramp-Request-Id: upload-{number}-{turn}\r\n"
                    "Borageramp-Deadline-Ms: 2000\r\n"
                ).encode()
                try:
                    async with asyncio.timeout(2.0):
                        await send_without_end(writer, first, message)
                except TimeoutError:
                    pass
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.05)

    async def served(self) -> list[float]:
        """Send the requests beside; return how long those took that were served."""
        requests = []
        for number in range(NEIGHBOUR_REQUESTS):
            requests.append(asyncio.ensure_future(self._request_healthy(number)))
            await asyncio.sleep(NEIGHBOUR_INTERVAL_S)
        took_s = await asyncio.gather(*requests)
        return [t for t in took_s if t is not None]

    async def _request_healthy(self, number: int) -> float | None:
        clock = asyncio.get_running_loop().time
        began_s = clock()
        try:
            async with asyncio.timeout(NEIGHBOUR_TIMEOUT_MS / 1000):
                status, body = await self.instance.get(
                    self.instance.front,
                    "/healthy/x",
                    request_id=f"neighbour-{number}",
                    deadline_ms=NEIGHBOUR_TIMEOUT_MS,
                )
        except Exception:
            return None
        return clock() - began_s if (status, body) == (200, b"done") else None

    async def stop(self) -> None:
        """End all requests and uploads."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _neighbour_config() -> dict[str, Any]:
    """Return a configuration with a route to each of the two services."""
    config = config_document(path_prefix="/healthy/", backend="healthy", timeout_s=2)
    faulty = config_document(path_prefix="/faulty/", backend="faulty", timeout_s=2)
    route, service = faulty["resources"][:2]
    route["metadata"] = {"name": "r2"}
    config["resources"][1]["metadata"] = {"name": "healthy"}
    service["metadata"] = {"name": "faulty"}
    config["resources"] += [route, service]
    config["resources"][2]["spec"]["max_body_bytes"] = 1_000_000
    return config


@asynccontextmanager
async def running_neighbours(
    folder: Path, message: EndlessMessage | None = None
) -> AsyncIterator[Neighbours]:
    """Run an entry with two healthy upstreams, and six that send a message."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        store.put("op/config", as_bytes(_neighbour_config()))
        servers: list[tuple[str, Any]] = [("healthy", StubUpstream()) for _ in range(2)]
        for _, healthy in servers:
            healthy.work_s = WORK_S
        if message is not None:
            servers += [
                ("faulty", EndlessUpstream(message)) for _ in range(FAULTY_UPSTREAMS)
            ]
        for number, (service, server) in enumerate(servers):
            port = await stack.enter_async_context(running_server(server.serve))
            document = upstream_document(address=f"127.0.0.1:{port}")
            document["info"] |= {"backend": service, "slots": 40}
            store.put(f"servers/u{number}", as_bytes(document))
        instance = EntryProcess(store, folder)
        await instance.start()
        stack.push_async_callback(_stop, instance)
        neighbours = Neighbours(instance)
        stack.push_async_callback(neighbours.stop)
        async with asyncio.timeout(60):
            await instance.wait_until_ready()
            await _warm_up(neighbours)
            yield neighbours


async def _stop(instance: EntryProcess) -> None:
    """Stop the process; kill it if it doesn't end in its time for that."""
    instance.client.close()
    instance.process.terminate()
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await instance.process.communicate()
    except TimeoutError:
        instance.process.kill()
        await instance.process.communicate()
        raise


async def _warm_up(neighbours: Neighbours) -> None:
    """Wait until a request to the healthy service is served."""
    rng = random.Random(1)
    while await neighbours._request_healthy(rng.randrange(1000, 9999)) is None:
        await asyncio.sleep(0.1)
