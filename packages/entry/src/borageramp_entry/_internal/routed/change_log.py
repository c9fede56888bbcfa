"""The last changes of the store, kept for other instances."""

import asyncio
import zlib
from collections import deque
from dataclasses import dataclass

import msgspec

from borageramp_core import HistoryLostError
from borageramp_entry._internal.store.base import Change, Item
from borageramp_settings import StrictStruct

__all__ = ["MalformedChangeError", "ChangeLog", "encode_change", "decode_change"]

# Changed items that are kept; whoever asks for older ones reads the store.
MAX_LOGGED_CHANGES = 1000
# Links may be slow and many ask at once: the fastest level already makes records
# a tenth of their size.
COMPRESSION_LEVEL = 1
# Longest text that another instance is believed; records of thousands fit.
MAX_DECOMPRESSED_BYTES = 16_777_216


class MalformedChangeError(Exception):
    """What another instance told can't be read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _ItemChange:
    revision: int
    key: str
    item: Item | None


class ChangeLog:
    """Keeps what the store told latest.

    Attributes
    ----------
    revision : int
        Revision of the store up to which it is complete.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._compacted_revision = 0
        self._changes: deque[_ItemChange] = deque()
        self._changed = asyncio.Event()
        self._encoded: dict[int, bytes] = {}

    def reset(self, revision: int) -> None:
        """Begin anew after a revision."""
        self.revision = self._compacted_revision = revision
        self._changes.clear()
        self._encoded.clear()
        self.notify_waiters()

    def append(self, change: Change) -> None:
        """Take in the next changes."""
        self._encoded.clear()
        self.revision = max(self.revision, change.revision)
        for item in change.written:
            self._changes.append(
                _ItemChange(revision=self.revision, key=item.key, item=item)
            )
        for key in change.deleted:
            self._changes.append(
                _ItemChange(revision=self.revision, key=key, item=None)
            )
        while len(self._changes) > MAX_LOGGED_CHANGES:
            self._compacted_revision = self._changes.popleft().revision
        if change.written or change.deleted:
            self.notify_waiters()

    def notify_waiters(self) -> None:
        """Let those that wait for changes look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, wait_s: float) -> None:
        """Wait for the next change, no longer than a time."""
        changed = self._changed
        try:
            async with asyncio.timeout(wait_s):
                await changed.wait()
        except TimeoutError:
            return

    def since(self, revision: int) -> Change:
        """Return what changed after a revision: the last state of each item.

        Raises
        ------
        HistoryLostError
            If some of it is no longer kept.
        """
        if revision < self._compacted_revision:
            raise HistoryLostError(f"nothing is kept from revision {revision}")
        latest = {c.key: c.item for c in self._changes if c.revision > revision}
        return Change(
            written=tuple(item for item in latest.values() if item is not None),
            deleted=tuple(key for key, item in latest.items() if item is None),
            revision=self.revision,
        )

    def encoded_since(self, revision: int) -> bytes:
        """Return the same as :meth:`since`, as instances tell each other.

        Most ask from the same revision, so that it is encoded once.

        Raises
        ------
        HistoryLostError
            If some of it is no longer kept.
        """
        encoded = self._encoded.get(revision)
        if encoded is None:
            encoded = self._encoded[revision] = encode_change(self.since(revision))
        return encoded


class _ItemMessage(StrictStruct, frozen=True, kw_only=True):
    key: str
    # Each character stands for a byte: nearly all are text, and compress well.
    value: str
    revision: int


class _ChangeMessage(StrictStruct, frozen=True, kw_only=True):
    revision: int
    written: tuple[_ItemMessage, ...]
    deleted: tuple[str, ...]


def encode_change(change: Change) -> bytes:
    """Return the form in which instances tell each other of changes."""
    written = tuple(
        _ItemMessage(key=i.key, value=i.value.decode("latin-1"), revision=i.revision)
        for i in change.written
    )
    message = _ChangeMessage(
        revision=change.revision, written=written, deleted=change.deleted
    )
    return zlib.compress(msgspec.json.encode(message), COMPRESSION_LEVEL)


def decode_change(encoded: bytes) -> Change:
    """Read what another instance message.

    Raises
    ------
    MalformedChangeError
        If it can't be read.
    """
    try:
        message = msgspec.json.decode(_decompress(encoded), type=_ChangeMessage)
        written = tuple(
            Item(key=i.key, value=i.value.encode("latin-1"), revision=i.revision)
            for i in message.written
        )
    except (msgspec.DecodeError, UnicodeEncodeError, zlib.error) as error:
        raise MalformedChangeError(f"unreadable changes: {error!r:.200}") from error
    return Change(written=written, deleted=message.deleted, revision=message.revision)


def _decompress(encoded: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(encoded, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise MalformedChangeError("changes that are too long or cut short")
    return text
