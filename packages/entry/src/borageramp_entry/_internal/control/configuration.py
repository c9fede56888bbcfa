"""The task that keeps this entry's configuration current.

It follows the store by a watch, confirms the revision by a short read every
second, and takes newer revisions from peers when the store is out of reach.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from borageramp_core import (
    ConfigurationSnapshot,
    RevisionState,
    SettingsError,
    StoreError,
)
from borageramp_entry._internal.control.keyspace import (
    CONFIG,
    HEAD,
    TREE,
    decode,
    to_tree,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.store import Change, Item, Store
from borageramp_settings import Resolver, Tree

__all__ = ["ConfigurationTask", "Held"]

_log = get_logger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """A configuration with its revision.

    Attributes
    ----------
    revision : int
        Revision of the store that it was written at.
    operation_id : str
        Change that wrote it.
    raw : dict
        The raw tree.
    tree : Tree
        The checked tree.
    snapshot : ConfigurationSnapshot
        What holds for each service and upstream.
    """

    revision: int = 0
    operation_id: str = ""
    raw: dict[str, Any] = field(default_factory=dict)
    tree: Tree = field(default_factory=Tree)
    snapshot: ConfigurationSnapshot = field(default_factory=ConfigurationSnapshot)


class ConfigurationTask:
    """Follows the configuration and hands each new revision on.

    Parameters
    ----------
    store : Store
        The key-value service.
    poll_interval_s : float
        Time between reads that confirm the revision.
    clock : callable
        Returns the present time in seconds.
    on_change : callable
        Gets each new configuration.
    on_confirmed : callable
        Gets the time at which a confirming read was sent.
    """

    def __init__(
        self,
        *,
        store: Store,
        poll_interval_s: float,
        clock: Callable[[], float],
        on_change: Callable[[Held], None],
        on_confirmed: Callable[[float], None],
    ) -> None:
        self._store = store
        self._poll_interval_s = poll_interval_s
        self._clock = clock
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._state: RevisionState[Held] = RevisionState(initial=Held())
        self._resolver = Resolver()
        self._parts: dict[str, Any] = {}
        self._parts_revision = 0
        self._store_up = True

    @property
    def held(self) -> Held:
        """The configuration in force."""
        return self._state.current

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        await asyncio.gather(
            self._forever(self._confirm, self._poll_interval_s),
            self._forever(self._follow, self._poll_interval_s),
        )

    async def _forever(
        self, step: Callable[[], Awaitable[None]], pause_s: float
    ) -> None:
        while True:
            try:
                await step()
                self._note_store(up=True)
            except StoreError as error:
                self._note_store(up=False, error=str(error))
            await asyncio.sleep(pause_s)

    def _note_store(self, *, up: bool, error: str = "") -> None:
        if up == self._store_up:
            return
        self._store_up = up
        _log.warning("store is back" if up else "store is out of reach", error=error)

    async def _confirm(self) -> None:
        asked_at_s = self._clock()
        head = await self._store.read_key(HEAD)
        if head.items and head.items[0].revision > self.held.revision:
            await self.reload()
        self._on_confirmed(asked_at_s)

    async def reload(self) -> None:
        """Read the whole configuration from the store."""
        listing = await self._store.read(CONFIG)
        parts = {i.key: decode(i.value) for i in listing.items}
        if listing.revision >= self._parts_revision:
            self._parts = parts
            self._parts_revision = listing.revision
            self._adopt_parts(listing.items)

    async def _follow(self) -> None:
        await self.reload()
        start = self._parts_revision + 1
        async for change in self._store.watch(CONFIG, from_revision=start):
            self._take_change(change)

    def _take_change(self, change: Change) -> None:
        revision = max((i.revision for i in change.written), default=0)
        if revision <= self._parts_revision:
            return
        for item in change.written:
            self._parts[item.key] = decode(item.value)
        for key in change.deleted:
            self._parts.pop(key, None)
        self._parts_revision = revision
        self._adopt_parts(change.written)

    def _adopt_parts(self, items: tuple[Item, ...]) -> None:
        head = next((i for i in items if i.key == HEAD), None)
        if head is None:
            return
        tree_parts = {k: v for k, v in self._parts.items() if k.startswith(TREE)}
        self.offer(
            revision=head.revision,
            operation_id=str(decode(head.value).get("operation_id", "")),
            raw=to_tree(tree_parts),
        )

    def offer(self, *, revision: int, operation_id: str, raw: dict[str, Any]) -> bool:
        """Put a configuration in force if it is newer.

        Parameters
        ----------
        revision : int
            Its revision.
        operation_id : str
            Change that wrote it.
        raw : dict
            The raw tree.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        if revision <= self.held.revision:
            return False
        try:
            resolved = self._resolver.resolve(raw, revision=revision)
        except SettingsError as error:
            _log.error("stored configuration is invalid", faults=str(error))
            return False
        held = Held(
            revision=revision,
            operation_id=operation_id,
            raw=raw,
            tree=resolved.tree,
            snapshot=resolved.snapshot,
        )
        self._state.apply_if_newer(held)
        self._on_change(held)
        return True
