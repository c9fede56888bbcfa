"""The last changes of the store, kept for other instances."""

import asyncio
from collections import deque
from dataclasses import dataclass

from pydantic import Base64Bytes

from borageramp_core import HistoryLostError
from borageramp_entry._internal.store.base import Change, Item
from borageramp_settings import StrictModel

__all__ = ["ChangeLog", "pack_change", "unpack_change"]

# Changed items that are kept; whoever asks for older ones reads the store.
MAX_KEPT = 1000


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

    def reset(self, revision: int) -> None:
        """Begin anew after a revision."""
        self.revision = self._complete_from = revision
        self._steps.clear()
        self.wake()

    def append(self, change: Change) -> None:
        """Take in the next changes."""
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


class _Item(StrictModel):
    key: str
    value: Base64Bytes
    revision: int


class _Change(StrictModel):
    revision: int
    written: tuple[_Item, ...]
    deleted: tuple[str, ...]


def pack_change(change: Change) -> bytes:
    """Return the form in which instances tell each other of changes."""
    written = tuple(
        _Item.model_construct(key=i.key, value=i.value, revision=i.revision)
        for i in change.written
    )
    packed = _Change.model_construct(
        revision=change.revision, written=written, deleted=change.deleted
    )
    return packed.model_dump_json().encode()


def unpack_change(text: bytes) -> Change:
    """Read what another instance told.

    Raises
    ------
    pydantic.ValidationError
        If it can't be read.
    """
    told = _Change.model_validate_json(text)
    return Change(
        written=tuple(
            Item(key=i.key, value=i.value, revision=i.revision) for i in told.written
        ),
        deleted=told.deleted,
        revision=told.revision,
    )
