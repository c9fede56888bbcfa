"""Limits on what all callers' connections of a server hold together.

Limits on single connections don't bound their sum: hundreds of callers within these
take all of the memory or of the descriptors.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable
from typing import cast

from borageramp_entry._internal.border.http_request import HttpRequest
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.serving.bounded_reads import BoundedReads

__all__ = [
    "MAX_HELD_BYTES",
    "MAX_READ_BYTES",
    "ConnectionLedger",
    "LimitedProtocol",
    "request_bytes",
]

_log = get_logger(__name__)

# Held for all callers of a server together. A caller that reads and sends at a normal
# pace holds 256 KB of an upload or 1 MiB of an answer at most, for some milliseconds.
MAX_HELD_BYTES = 67_108_864
# What is left after connections were closed for it, so that not every further byte has
# all connections measured again.
KEPT_SHARE = 0.875
# A read of 256 KiB, the default of asyncio, may hold 6,000 pipelined requests, or the
# start of a head that no limit has seen yet.
MAX_READ_BYTES = 16_384
# Memory of a request beside its body: its objects and the task that serves it.
REQUEST_BYTES = 4096


class ConnectionLedger:
    """What the connections of one server hold together.

    Beyond a limit, the host whose connections hold most loses the one of them that
    holds most, and so on until what is left fits.

    Parameters
    ----------
    max_held_bytes : int, optional
        Bytes that are held for all callers.
    max_connections : int, optional
        Connections at the same time; by default any number.

    Attributes
    ----------
    closed : int
        Connections that were closed for one of the limits.
    """

    def __init__(
        self,
        *,
        max_held_bytes: int = MAX_HELD_BYTES,
        max_connections: int | None = None,
    ) -> None:
        self.max_held_bytes = max_held_bytes
        self.max_connections = max_connections
        self.closed = 0
        self._hosts: dict[LimitedProtocol, str] = {}
        # As last measured; less is held once the caller has read some of it.
        self._held: dict[LimitedProtocol, int] = {}
        self._total_bytes = 0

    def on_open(
        self, connection: "LimitedProtocol", transport: asyncio.BaseTransport
    ) -> None:
        """Take in that a connection was opened; may close one that waits."""
        limit = self.max_connections
        peer = transport.get_extra_info("peername")
        host = str(peer[0]) if isinstance(peer, tuple) else ""
        if (
            limit is not None
            and len(self._hosts) >= limit
            and not self._evict_waiting()
        ):
            # All have a request in service, and this one has sent nothing yet.
            self._close(connection, why="connections", host=host)
            return
        self._hosts[connection] = host

    @property
    def held_bytes(self) -> int:
        """Bytes held by all connections, as last measured."""
        return self._total_bytes

    def on_lost(self, connection: "LimitedProtocol") -> None:
        """Take in that a connection has ended."""
        self._hosts.pop(connection, None)
        self._total_bytes -= self._held.pop(connection, 0)

    def on_change(self, connection: "LimitedProtocol") -> None:
        """Take in that a connection may hold more; may close those that hold most."""
        if connection in self._hosts:
            self._measure(connection)
            if self._total_bytes > self.max_held_bytes:
                self._reduce()

    def _measure(self, connection: "LimitedProtocol") -> None:
        held_bytes = connection.held_bytes
        self._total_bytes += held_bytes - self._held.get(connection, 0)
        self._held[connection] = held_bytes

    def _reduce(self) -> None:
        for connection in self._held:
            self._measure(connection)
        while self._total_bytes > KEPT_SHARE * self.max_held_bytes:
            by_host = Counter[str]()
            for connection, held_bytes in self._held.items():
                by_host[self._hosts[connection]] += held_bytes
            host, _ = by_host.most_common(1)[0]
            of_host = [c for c in self._held if self._hosts[c] == host]
            largest = max(of_host, key=lambda c: self._held[c])
            self._close(largest, why="memory", host=host)

    def _evict_waiting(self) -> bool:
        """Close a connection without a request in service; tell whether there is one.

        Of the host that has most of them, that goes which waits for longest.
        """
        waiting = {c: c.waiting_since_s for c in self._hosts}
        since_s = {c: since for c, since in waiting.items() if since is not None}
        if not since_s:
            return False
        host, _ = Counter(self._hosts[c] for c in since_s).most_common(1)[0]
        of_host = [c for c in since_s if self._hosts[c] == host]
        longest = min(of_host, key=lambda c: since_s[c])
        self._close(longest, why="connections", host=host)
        return True

    def _close(self, connection: "LimitedProtocol", *, why: str, host: str) -> None:
        self.closed += 1
        _log.info(
            "connection closed for its server's limits",
            why=why,
            host=host,
            held_bytes=connection.held_bytes,
            connections=len(self._hosts),
        )
        self.on_lost(connection)
        connection.abort()


class LimitedProtocol(BoundedReads):
    """A connection of a server, with bounded reads, that the ledger measures.

    Attributes
    ----------
    ledger : ConnectionLedger
        What it holds together with others; by default, of this connection alone.
    """

    max_read_bytes = MAX_READ_BYTES

    def __init__(self) -> None:
        self.ledger = ConnectionLedger()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._unsent_bytes_before = 0
        self._unsent_since_s = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in that the connection is open."""
        self._transport = cast(asyncio.Transport, transport)
        self.ledger.on_open(self, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection has ended."""
        self.ledger.on_lost(self)
        self._writable.set()

    def pause_writing(self) -> None:
        """Take in that the caller does not read fast enough."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Take in that the caller has read most of what was sent."""
        self._writable.set()

    @property
    def writable(self) -> bool:
        """Whether the caller has read most of what was sent."""
        return self._writable.is_set()

    async def drained(self) -> None:
        """Wait until the caller has read most of what was sent."""
        await self._writable.wait()

    def buffer_updated(self, nbytes: int) -> None:
        """Take in that bytes were read."""
        super().buffer_updated(nbytes)
        self.ledger.on_change(self)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self.ledger.on_change(self)

    def abort(self) -> None:
        """End the connection at once."""
        raise NotImplementedError

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the caller's system has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """Bytes of requests and unsent answers that are held for its caller."""
        return self.unsent_bytes

    @property
    def waiting_since_s(self) -> float | None:
        """Time since which it has no request in service; ``None`` if it has one."""
        raise NotImplementedError

    def unread_s(self) -> float:
        """Return the time since the number of unsent bytes was seen to change."""
        now_s = self._loop.time()
        if self.unsent_bytes != self._unsent_bytes_before:
            self._unsent_bytes_before = self.unsent_bytes
            self._unsent_since_s = now_s
        return now_s - self._unsent_since_s


def request_bytes(requests: Iterable[HttpRequest | None]) -> int:
    """Return what is held of requests, each counted once."""
    held_bytes = 0
    for request in {r for r in requests if r is not None}:
        held_bytes += REQUEST_BYTES + len(request.body) + request.unsent_bytes
        if request.upload is not None:
            held_bytes += request.upload.held_bytes
    return held_bytes
