"""An answer of a server as it arrives."""

import asyncio
from typing import Protocol

from borageramp_entry._internal.serving.requests import Headers

__all__ = ["BrokenExchangeError", "HttpResponse"]

# Bytes of an answer held for a slow reader before the server is paused.
BUFFER_BYTES = 65_536
# Longest body that is read as a whole: listings and changes of the store.
MAX_WHOLE_BYTES = 33_554_432
# What is read of an answer that nobody wants, so that its connection can be
# used again; more, or a longer wait, costs more than a new connection.
MAX_DISCARDED_BYTES = 65_536
DISCARD_TIMEOUT_S = 1.0


class Connection(Protocol):
    """What carries the answer."""

    @property
    def is_sending(self) -> bool:
        """Whether a part of the request's body is yet to be sent."""

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""

    def resume(self) -> None:
        """Read on."""

    def abort(self) -> None:
        """Close the connection at once."""


class BrokenExchangeError(Exception):
    """A connection broke while it had a request, or its answer made no sense."""


class HttpResponse:
    """An answer as it arrives.

    Attributes
    ----------
    status : int
        HTTP status; 0 until the head has arrived.
    headers : tuple of (str, bytes)
        Headers with names in lower case.
    """

    def __init__(self, connection: Connection) -> None:
        self.status = 0
        self.headers: Headers = ()
        self._connection = connection
        self._chunks: list[bytes] = []
        self._held_bytes = 0
        self._ended = False
        self._whole = False
        self._arrived: asyncio.Future[None] | None = None
        self._discarding: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        """Whether a part of the body can be read without waiting."""
        return bool(self._chunks) or self._ended

    async def head(self) -> None:
        """Wait for the head.

        Raises
        ------
        BrokenExchangeError
            If the connection broke first.
        """
        while self.status == 0 and not self._ended:
            await self._wait()
        if self.status == 0:
            raise BrokenExchangeError("no answer")

    async def read(self) -> bytes:
        """Return what has arrived of the body since; empty at its end.

        Raises
        ------
        BrokenExchangeError
            If the body was cut short.
        """
        while not self.ready:
            await self._wait()
        if self._chunks:
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._held_bytes = 0
            self._connection.resume()
            return data
        if not self._whole:
            raise BrokenExchangeError("the answer was cut short")
        return b""

    async def read_all(self, *, max_bytes: int = MAX_WHOLE_BYTES) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        max_bytes : int
            Longest body that is read.

        Raises
        ------
        BrokenExchangeError
            If it was cut short, or is longer.
        """
        parts = []
        size = 0
        try:
            while part := await self.read():
                parts.append(part)
                size += len(part)
                if size > max_bytes:
                    raise BrokenExchangeError("the answer is too long")
        finally:
            self.abort()
        return b"".join(parts)

    async def _wait(self) -> None:
        self._arrived = asyncio.get_running_loop().create_future()
        try:
            await self._arrived
        finally:
            self._arrived = None

    def _notify(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)

    def on_head(self, status: int, headers: Headers) -> None:
        """Take in the head."""
        self.status = status
        self.headers = headers
        self._notify()

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._held_bytes += len(data)
        if self._discarding is not None:
            if self._held_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        self._chunks.append(data)
        if self._held_bytes > BUFFER_BYTES:
            self._connection.pause()
        self._notify()

    def on_end(self, *, whole: bool) -> None:
        """Take in the end of the answer."""
        self._ended = True
        self._whole = whole
        if self._discarding is not None:
            self._discarding.cancel()
        self._notify()

    def discard(self) -> None:
        """Read the rest for nobody, so that the connection can be used again."""
        if self._ended or self._discarding is not None:
            return
        if self._connection.is_sending:
            self.abort()
            return
        self._chunks.clear()
        loop = asyncio.get_running_loop()
        self._discarding = loop.call_later(DISCARD_TIMEOUT_S, self.abort)
        self._connection.resume()

    def close_connection(self) -> None:
        """Close the connection, even if the answer has ended.

        Only for use right after :meth:`head`: later, the connection may carry
        another exchange.
        """
        self._connection.abort()

    def abort(self) -> None:
        """Drop the rest of the answer and its connection."""
        if not self._ended:
            self._connection.abort()
