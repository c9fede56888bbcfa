"""Large bodies of requests, passed on while they arrive.

A body is held only in part: once that part is full, the caller's connection is
not read until the upstream has taken some of it.
"""

import asyncio
from collections import deque
from typing import Any

from borageramp_entry._internal.border.http import BoundedRequest
from borageramp_entry._internal.serving.requests import BodyCutError

__all__ = ["StreamingRequest", "Upload"]

# Larger bodies are passed on as they arrive; smaller ones are held whole, and
# can be sent again.
STREAM_FROM_BYTES = 65_536
# What is held of a body: enough that most can be sent again after an upstream
# turned them away, and little for hundreds of uploads at once.
MAX_HELD_BYTES = 262_144
# Time for the rest of a body whose request has its answer already, so that the
# caller reads that answer before the connection ends.
REST_TIMEOUT_S = 2.0


class Upload:
    """A body while it arrives.

    Parameters
    ----------
    length : int or None
        Its length in bytes; ``None`` if the caller didn't say.
    transport : object
        The caller's connection, which is paused while too much is held.

    Attributes
    ----------
    ended : bool
        Whether all of it has arrived.
    """

    def __init__(self, *, length: int | None, transport: Any) -> None:
        self.length = length
        self.ended = False
        self._transport = transport
        self._parts: deque[bytes] = deque()
        self._held_bytes = 0
        self._dropped_bytes = 0
        self._cut = False
        self._unwanted = False
        self._paused = False
        self._arrived = asyncio.Event()

    @property
    def repeatable(self) -> bool:
        """Whether it can still be read from its start."""
        return self._dropped_bytes == 0 and not self._unwanted

    def on_data(self, data: bytes) -> None:
        """Take in the next part."""
        if self._unwanted:
            return
        self._parts.append(data)
        self._held_bytes += len(data)
        if self._held_bytes >= MAX_HELD_BYTES and not self._paused:
            self._paused = True
            self._transport.pauseProducing()
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
        self._arrived.set()
        self._resume()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._transport.resumeProducing()

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
        if not self._paused:
            return
        while self._parts and self._dropped_bytes + len(self._parts[0]) <= offset:
            part = self._parts.popleft()
            self._dropped_bytes += len(part)
            self._held_bytes -= len(part)
        self._resume()


class StreamingRequest(BoundedRequest):
    """A request that is served before all of a large body has arrived.

    Attributes
    ----------
    upload : Upload or None
        The body; ``None`` if it was small and is in ``content``.
    """

    upload: Upload | None = None
    _length: int | None = None
    _rest_call: Any = None
    _answered = False

    def gotLength(self, length: int | None) -> None:
        self.max_body_bytes = self.channel.factory.limits.max_body_bytes
        super().gotLength(length)
        self._length = length

    def handleContentChunk(self, data: bytes) -> None:
        if self.upload is not None:
            self._received_bytes += len(data)
            if self._received_bytes > self.max_body_bytes:
                # Its answer can't be changed any more.
                self.channel.forceAbortClient()
                return
            self.upload.on_data(data)
            return
        super().handleContentChunk(data)
        if self._received_bytes > STREAM_FROM_BYTES or self.body_too_large:
            self._serve_early()

    def _serve_early(self) -> None:
        channel: Any = self.channel
        self.upload = Upload(length=self._length, transport=channel.transport)
        content: Any = self.content
        self.upload.on_data(content.getvalue())
        super().requestReceived(channel._command, channel._path, channel._version)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Take in the end of the request."""
        if self.upload is None:
            super().requestReceived(command, path, version)
            return
        self.upload.on_end()
        if self._answered:
            self._finish_now()

    def finish(self) -> None:
        """End the answer; the connection goes on once the body is read."""
        if self.upload is None or self.upload.ended:
            super().finish()
            return
        self._answered = True
        self.upload.drop_rest()
        self._rest_call = self.channel.callLater(
            REST_TIMEOUT_S, self.channel.forceAbortClient
        )

    def _finish_now(self) -> None:
        if self._rest_call is not None and self._rest_call.active():
            self._rest_call.cancel()
        super().finish()

    def connectionLost(self, reason: Any) -> None:
        if self._rest_call is not None and self._rest_call.active():
            self._rest_call.cancel()
        if self.upload is not None:
            self.upload.on_cut()
        super().connectionLost(reason)
