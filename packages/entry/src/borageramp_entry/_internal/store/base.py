"""What the entry needs of a key-value service."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from borageramp_core.routing import StorePosition

__all__ = [
    "Change",
    "Commit",
    "Condition",
    "Item",
    "Listing",
    "Outcome",
    "Put",
    "Store",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A key with its value.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        Its value.
    revision : int
        Revision at which it was last written.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Items read at one revision of the store.

    Attributes
    ----------
    items : tuple of Item
        The items in the order of their keys.
    revision : int
        Revision of the store.
    era : int
        History that the revision belongs to; 0 if the store doesn't say.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position in the store's history."""
        return StorePosition(era=self.era, revision=self.revision)


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Items that one revision of the store changed.

    Attributes
    ----------
    written : tuple of Item
        Items written.
    deleted : tuple of str
        Keys deleted.
    revision : int
        Revision up to which the watch has now told everything; 0 if the
        store doesn't say.
    era : int
        History that the revision belongs to; 0 if the store doesn't say.
    """

    written: tuple[Item, ...]
    deleted: tuple[str, ...]
    revision: int = 0
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position in the store's history."""
        return StorePosition(era=self.era, revision=self.revision)


@dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """A key must have been last written at a revision.

    Attributes
    ----------
    key : str
        The key.
    revision : int
        The revision; 0 if the key must not exist.
    """

    key: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A write of one key.

    Attributes
    ----------
    key : str
        The key.
    value : bytes or None
        Its value; ``None`` deletes it.
    lease_id : int
        Lease with which it goes away; 0 for none.
    """

    key: str
    value: bytes | None
    lease_id: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """Writes that take effect together if all conditions hold.

    Attributes
    ----------
    conditions : tuple of Condition
        The conditions.
    puts : tuple of Put
        The writes.
    read_otherwise : tuple of str
        Keys to read if a condition does not hold.
    """

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]
    read_otherwise: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What became of a commit.

    Attributes
    ----------
    succeeded : bool
        Whether the conditions held and the writes took effect.
    revision : int
        Revision of the store afterwards.
    found : tuple of Item
        What was read if a condition did not hold.
    """

    succeeded: bool
    revision: int
    found: tuple[Item, ...] = ()


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Each method raises ``StoreUnavailableError`` if the service can't be
    reached. A write whose answer is lost raises ``OutcomeUnknownError``.

    Attributes
    ----------
    era : int
        Latest history that an answer has named: one more each time the service
        comes back from an older copy, so that revisions are given out again. 0 if
        the service doesn't say.
    """

    era: int

    async def read(self, prefix: str) -> Listing:
        """Read all items whose keys start with a prefix, linearizably."""

    async def read_key(self, key: str) -> Listing:
        """Read one item, linearizably."""

    async def commit(self, commits: list[Commit]) -> list[Outcome]:
        """Carry out commits, each on its own, in one call."""

    async def delete_range(self, start: str, end: str) -> None:
        """Delete all items with keys from ``start`` up to, not with, ``end``."""

    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[Change]:
        """Yield the changes to a prefix, from a revision on.

        A store may yield empty changes, which say that nothing is new.
        Raises ``HistoryLostError`` if it no longer has the changes.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its identifier."""

    async def keep_lease(self, lease_id: int) -> bool:
        """Extend a lease; tell whether it still existed."""

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its items."""

    def close(self) -> None:
        """Close the connections."""
