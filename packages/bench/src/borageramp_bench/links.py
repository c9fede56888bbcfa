"""Connections between processes that can be cut.

Each process under test is reached by a link, a forwarder that knows who
connects and can drop the connections of some.
"""

import asyncio
import contextlib
import os
import threading
from collections.abc import Callable
from typing import Any

from borageramp_bench.processes import free_port

__all__ = ["Links"]


def _inode_of(port: int, target: int) -> str:
    """Return the inode of the socket bound to a local port."""
    suffix = f":{port:04X}"
    to = f":{target:04X}"
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            if fields[1].endswith(suffix) and fields[2].endswith(to):
                return fields[9]
    return ""


def _has_socket(pid: int, inode: str) -> bool:
    wanted = f"socket:[{inode}]"
    directory = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for name in os.listdir(directory):
            with contextlib.suppress(OSError):
                if os.readlink(f"{directory}/{name}") == wanted:
                    return True
    return False


class Links:
    """Forwarders to processes, run in a thread of their own.

    Attributes
    ----------
    moved_bytes : int
        Bytes forwarded, both ways.
    """

    def __init__(self) -> None:
        self.moved_bytes = 0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._sources: dict[str, Callable[[], int]] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._open: list[tuple[str, str, Any]] = []

    def add_source(self, name: str, pid: Callable[[], int]) -> None:
        """Make a process known by name."""
        self._sources[name] = pid

    def add(self, target: str, port: int) -> int:
        """Start a forwarder to a port; return its own port."""
        own = free_port()

        async def start() -> None:
            await asyncio.start_server(
                lambda r, w: self._serve(target, port, own, r, w), "127.0.0.1", own
            )

        asyncio.run_coroutine_threadsafe(start(), self._loop).result(10)
        return own

    def cut(self, source: str, target: str) -> None:
        """Cut the connections from one process to another."""
        self._cuts.add((source, target))
        self._loop.call_soon_threadsafe(self._drop)

    def isolate(self, name: str) -> None:
        """Cut a process from all others, both ways."""
        self._cuts.add((name, "*"))
        self._cuts.add(("*", name))
        self._loop.call_soon_threadsafe(self._drop)

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def _is_cut(self, source: str, target: str) -> bool:
        return any(
            cut in self._cuts
            for cut in ((source, target), (source, "*"), ("*", target))
        )

    def _drop(self) -> None:
        for source, target, writer in list(self._open):
            if self._is_cut(source, target):
                writer.transport.abort()

    async def _serve(
        self, target: str, port: int, own: int, reader: Any, writer: Any
    ) -> None:
        peer_port = writer.get_extra_info("peername")[1]
        inode = _inode_of(peer_port, own)
        source = next(
            (n for n, pid in self._sources.items() if _has_socket(pid(), inode)), "?"
        )
        if self._is_cut(source, target):
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.transport.abort()
            return
        opened = [(source, target, writer), (source, target, far_writer)]
        self._open.extend(opened)
        # A cut may have come while the connection was being made.
        self._drop()
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )
        for item in opened:
            self._open.remove(item)

    async def _pump(self, reader: Any, writer: Any) -> None:
        try:
            while data := await reader.read(65536):
                self.moved_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """End the forwarders."""
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()

    async def _end(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
