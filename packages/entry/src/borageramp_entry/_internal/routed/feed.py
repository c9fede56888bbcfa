"""The last changes of the store, kept for other instances."""

import asyncio
import zlib
from collections import deque
from dataclasses import dataclass

import msgspec

from borageramp_core import HistoryLostError
from borageramp_entry._internal.store.base import Change, Item
from borageramp_settings import StrictStruct

__all__ = ["BadFeedError", "ChangeLog", "pack_change", "unpack_change"]

# Changed items that are kept; whoever asks for older ones reads the store.
MAX_KEPT = 1000
# Links may be slow and many ask at once: the fastest level already makes records
# a tenth of their size.
COMPRESSION = 1
# Longest text that another instance is believed; records of thousands fit.
MAX_TEXT_BYTES = 16_777_216


class BadFeedError(Exception):
    """What another instance told can't be read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Step:
    revision: int
    key: str
    item: Item | None


class ChangeLog:
    """Keeps what the store told last.

    Attributes
    ----------
    revision : int
        Revision of the store up to which it is complete.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._complete_from = 0
        self._steps: deque[_Step] = deque()
        self._changed = asyncio.Event()
        self._packed: dict[int, bytes] = {}

    def reset(self, revision: int) -> None:
        """Begin anew after a revision."""
        self.revision = self._complete_from = revision
        self._steps.clear()
        self._packed.clear()
        self.wake()

    def append(self, change: Change) -> None:
        """Take in the next changes."""
        self._packed.clear()
        self.revision = max(self.revision, change.revision)
        for item in change.written:
            self._steps.append(_Step(revision=self.revision, key=item.key, item=item))
        for key in change.deleted:
            self._steps.append(_Step(revision=self.revision, key=key, item=None))
        while len(self._steps) > MAX_KEPT:
            self._complete_from = self._steps.popleft().revision
        if change.written or change.deleted:
            self.wake()

    def wake(self) -> None:
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
        if revision < self._complete_from:
            raise HistoryLostError(f"nothing is kept from revision {revision}")
        last = {s.key: s.item for s in self._steps if s.revision > revision}
        return Change(
            written=tuple(item for item in last.values() if item is not None),
            deleted=tuple(key for key, item in last.items() if item is None),
            revision=self.revision,
        )

    def packed_since(self, revision: int) -> bytes:
        """Return the same as :meth:`since`, as instances tell each other.

        Most ask from the same revision, so that it is packed once.

        Raises
        ------
        HistoryLostError
            If some of it is no longer kept.
        """
        packed = self._packed.get(revision)
        if packed is None:
            packed = self._packed[revision] = pack_change(self.since(revision))
        return packed


class _Item(StrictStruct, frozen=True, kw_only=True):
    key: str
    # Each character stands for a byte: nearly all are text, and compress well.
    value: str
    revision: int


class _Change(StrictStruct, frozen=True, kw_only=True):
    revision: int
    written: tuple[_Item, ...]
    deleted: tuple[str, ...]


def pack_change(change: Change) -> bytes:
    """Return the form in which instances tell each other of changes."""
    written = tuple(
        _Item(key=i.key, value=i.value.decode("latin-1"), revision=i.revision)
        for i in change.written
    )
    packed = _Change(revision=change.revision, written=written, deleted=change.deleted)
    return zlib.compress(msgspec.json.encode(packed), COMPRESSION)


def unpack_change(packed: bytes) -> Change:
    """Read what another instance told.

    Raises
    ------
    BadFeedError
        If it can't be read.
    """
    try:
        told = msgspec.json.decode(_unzip(packed), type=_Change)
        written = tuple(
            Item(key=i.key, value=i.value.encode("latin-1"), revision=i.revision)
            for i in told.written
        )
    except (msgspec.DecodeError, UnicodeEncodeError, zlib.error) as error:
        raise BadFeedError(f"unreadable changes: {error!r:.200}") from error
    return Change(written=written, deleted=told.deleted, revision=told.revision)


def _unzip(packed: bytes) -> bytes:
    inflating = zlib.decompressobj()
    text = inflating.decompress(packed, MAX_TEXT_BYTES)
    if not inflating.eof:
        raise BadFeedError("changes that are too long or cut short")
    return text
