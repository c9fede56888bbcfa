"""Reads of connections that are smaller than those of asyncio."""

import asyncio
from typing import ClassVar

__all__ = ["BoundedReads"]

BUFFER_BYTES = 65_536


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol that gets bytes in reads of a bounded size.

    By default, asyncio reads up to 256 KiB, all of which is held before it is known
    whether the connection is to be read on.

    Attributes
    ----------
    max_read_bytes : int
        Largest read, up to 64 KiB.
    """

    max_read_bytes: ClassVar[int] = BUFFER_BYTES
    # A buffer is filled and used within one call, so that all connections share it.
    _buffer: ClassVar[memoryview] = memoryview(bytearray(BUFFER_BYTES))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read to."""
        return self._buffer[: self.max_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take in that bytes were read."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take in bytes that were read."""
        raise NotImplementedError
