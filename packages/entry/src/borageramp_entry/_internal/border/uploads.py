"""Large bodies of requests, passed on while they arrive.

A body is held only in part: once that part is full, the caller's connection is
not read until the upstream has taken some of it.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from borageramp_entry._internal.serving.requests import BodyCutError

__all__ = ["Upload"]

# What is held of a body: enough that most can be sent again after an upstream
# turned them away, and little for hundreds of uploads at once.
MAX_HELD_BYTES = 262_144
# Smaller parts are joined with the next one, so that there are few to search.
MIN_PART_BYTES = 16_384


class Upload:
    """A body while it arrives.

    Parameters
    ----------
    length : int or None
        Its length in bytes; ``None`` if the caller didn't say.
    on_room : callable
        Called when it takes in more again after it was full.

    Attributes
    ----------
    ended : bool
        Whether all of it has arrived.
    """

    def __init__(self, *, length: int | None, on_room: Callable[[], None]) -> None:
        self.length = length
        self.ended = False
        self._on_room = on_room
        self._parts: deque[bytes] = deque()
        self._held_bytes = 0
        self._dropped_bytes = 0
        self._cut = False
        self._unwanted = False
        self._arrived = asyncio.Event()

    @property
    def repeatable(self) -> bool:
        """Whether it can still be read from its start."""
        return self._dropped_bytes == 0 and not self._unwanted

    @property
    def held_bytes(self) -> int:
        """Bytes of it that are held."""
        return self._held_bytes

    @property
    def is_full(self) -> bool:
        """Whether nothing more is to arrive until some of it was read."""
        return self._held_bytes >= MAX_HELD_BYTES

    def on_data(self, data: bytes) -> None:
        """Take in the next part."""
        if self._unwanted:
            return
        if self._parts and len(self._parts[-1]) < MIN_PART_BYTES:
            data_before = self._parts.pop()
            self._parts.append(data_before + data)
        else:
            self._parts.append(data)
        self._held_bytes += len(data)
        self._arrived.set()

    def on_end(self) -> None:
        """Take in that it is whole."""
        self.ended = True
        self._arrived.set()

    def on_cut(self) -> None:
        """Take in that the rest will not come."""
        self._cut = not self.ended
        self._arrived.set()

    def drop_rest(self) -> None:
        """Let the rest arrive for nobody."""
        self._unwanted = True
        self._parts.clear()
        self._held_bytes = 0
        self._arrived.set()
        self._on_room()

    async def read(self, offset: int) -> bytes:
        """Return the next part from an offset on; empty at the end.

        What lies before the offset is given up once too much is held.

        Raises
        ------
        BodyCutError
            If that part will not come, or is no longer held.
        """
        while True:
            if offset < self._dropped_bytes or self._unwanted:
                raise BodyCutError("the part is no longer held")
            part = self._part_at(offset)
            if part or self.ended:
                return part
            if self._cut:
                raise BodyCutError("the caller closed its connection")
            self._make_room(offset)
            self._arrived.clear()
            await self._arrived.wait()

    def _part_at(self, offset: int) -> bytes:
        start = self._dropped_bytes
        for part in self._parts:
            if offset < start + len(part):
                return part[offset - start :]
            start += len(part)
        return b""

    def _make_room(self, offset: int) -> None:
        """Give up what was read, if the caller waits for room."""
        if not self.is_full:
            return
        while self._parts and self._dropped_bytes + len(self._parts[0]) <= offset:
            part = self._parts.popleft()
            self._dropped_bytes += len(part)
            self._held_bytes -= len(part)
        self._on_room()
