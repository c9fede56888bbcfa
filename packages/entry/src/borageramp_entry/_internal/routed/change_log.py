"""Log of recent store changes that a relay serves to other instances."""

import asyncio
import zlib
from collections import deque
from dataclasses import dataclass

import msgspec

from borageramp_core import HistoryLostError
from borageramp_core.routing import StorePosition
from borageramp_entry._internal.routed.message_struct import MessageStruct
from borageramp_entry._internal.store.base import Change, Item

__all__ = [
    "ChangeLog",
    "MalformedChangeError",
    "compress",
    "decode_change",
    "decompress",
    "encode_change",
]

# Instances that need older changes read the store instead.
MAX_LOGGED_CHANGES = 1000
# Fastest level; it already reduces records to a tenth of their size, which matters
# on slow links with many polling instances.
COMPRESSION_LEVEL = 1
# Limit for data from another instance; thousands of records fit.
MAX_DECOMPRESSED_BYTES = 16_777_216


class MalformedChangeError(Exception):
    """Changes received from another instance can't be decoded."""


@dataclass(kw_only=True, slots=True)
class _ItemChange:
    revision: int
    key: str
    item: Item | None


class ChangeLog:
    """Bounded log of the latest changes of the store.

    Attributes
    ----------
    position : StorePosition
        Position in the store's history up to which the log is complete.
    """

    def __init__(self) -> None:
        self.position = StorePosition()
        self._compacted_revision = 0
        self._changes: deque[_ItemChange] = deque()
        self._latest: dict[str, _ItemChange] = {}
        self._changed = asyncio.Event()
        self._encoded: dict[int, bytes] = {}

    def reset(self, position: StorePosition) -> None:
        """Clear the log and restart after a position."""
        self.position = position
        self._compacted_revision = position.revision
        self._changes.clear()
        self._latest.clear()
        self._encoded.clear()
        self.notify_waiters()

    def append(self, change: Change) -> None:
        """Append a change of the same era and discard the oldest if the log is full."""
        self._encoded.clear()
        self.position = max(self.position, change.position)
        revision = self.position.revision
        for item in change.written:
            self._append(_ItemChange(revision=revision, key=item.key, item=item))
        for key in change.deleted:
            self._append(_ItemChange(revision=revision, key=key, item=None))
        while len(self._changes) > MAX_LOGGED_CHANGES:
            oldest = self._changes.popleft()
            self._compacted_revision = oldest.revision
            if self._latest.get(oldest.key) is oldest:
                del self._latest[oldest.key]
        if change.written or change.deleted:
            self.notify_waiters()

    def _append(self, change: _ItemChange) -> None:
        previous = self._latest.get(change.key)
        if previous is not None:
            # Whoever gets that change gets this one as well, and only the last state
            # counts. A configuration may have some megabytes, with keys in plain text.
            previous.item = None
        self._latest[change.key] = change
        self._changes.append(change)

    def notify_waiters(self) -> None:
        """Wake all tasks in :meth:`wait`."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, wait_s: float) -> None:
        """Wait for the next notification, at most ``wait_s`` seconds."""
        changed = self._changed
        try:
            async with asyncio.timeout(wait_s):
                await changed.wait()
        except TimeoutError:
            return

    def since(self, revision: int) -> Change:
        """Return the changes after a revision, with only the last state of each item.

        Raises
        ------
        HistoryLostError
            If some of the changes are no longer kept.
        """
        if revision < self._compacted_revision:
            raise HistoryLostError(
                f"changes after revision {revision} are no longer kept"
            )
        latest = {c.key: c.item for c in self._changes if c.revision > revision}
        return Change(
            written=tuple(item for item in latest.values() if item is not None),
            deleted=tuple(key for key, item in latest.items() if item is None),
            revision=self.position.revision,
            era=self.position.era,
        )

    def encoded_since(self, revision: int) -> bytes:
        """Return the encoded result of :meth:`since`.

        The result is cached, as most instances poll from the same revision.

        Raises
        ------
        HistoryLostError
            If some of the changes are no longer kept.
        """
        encoded = self._encoded.get(revision)
        if encoded is None:
            encoded = self._encoded[revision] = encode_change(self.since(revision))
        return encoded


class _ItemMessage(MessageStruct, frozen=True, kw_only=True):
    key: str
    # Bytes decoded as Latin-1; almost all values are text and compress well.
    value: str
    revision: int


class _ChangeMessage(MessageStruct, frozen=True, kw_only=True):
    revision: int
    written: tuple[_ItemMessage, ...]
    deleted: tuple[str, ...]


def encode_change(change: Change) -> bytes:
    """Encode a change for transfer to another instance.

    Its era is sent apart: see ``docs/compatibility.md``.
    """
    written = tuple(
        _ItemMessage(key=i.key, value=i.value.decode("latin-1"), revision=i.revision)
        for i in change.written
    )
    message = _ChangeMessage(
        revision=change.revision, written=written, deleted=change.deleted
    )
    return compress(msgspec.json.encode(message))


def compress(text: bytes) -> bytes:
    """Compress an encoded message."""
    return zlib.compress(text, COMPRESSION_LEVEL)


def decode_change(encoded: bytes) -> Change:
    """Decode a change received from another instance.

    Raises
    ------
    MalformedChangeError
        If the data is invalid, truncated or too large.
    """
    try:
        message = msgspec.json.decode(decompress(encoded), type=_ChangeMessage)
        written = tuple(
            Item(key=i.key, value=i.value.encode("latin-1"), revision=i.revision)
            for i in message.written
        )
    except (
        msgspec.DecodeError,
        RecursionError,
        UnicodeEncodeError,
        zlib.error,
    ) as error:
        # The representation of a UnicodeEncodeError has the text, in which keys may be.
        problem = f"{type(error).__name__}: {error}"
        raise MalformedChangeError(f"invalid changes: {problem:.200}") from error
    return Change(written=written, deleted=message.deleted, revision=message.revision)


def decompress(encoded: bytes) -> bytes:
    """Decompress an encoded message.

    Raises
    ------
    MalformedChangeError
        If it is truncated or too large.
    zlib.error
        If it is no compressed message.
    """
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(encoded, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise MalformedChangeError("changes are too large or truncated")
    return text
