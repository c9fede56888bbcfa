"""The list of entries, kept in the key-value service under a lease."""

import asyncio
from collections.abc import Callable, Iterable

from borageramp_core import ListedEntry, StoreError
from borageramp_entry._internal.control.keyspace import ENTRIES, decode, encode
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.store import Commit, Put, Store

__all__ = ["RegistryTask"]

_log = get_logger(__name__)

# The lease is extended when this share of it has passed.
KEEP_SHARE = 0.3


class RegistryTask:
    """Keeps this entry on the list, and reads the list.

    Parameters
    ----------
    store : Store
        The key-value service.
    own : ListedEntry
        This entry.
    lease_s : float
        Lease of this entry's place on the list.
    interval_s : float
        Time between two reads of the list.
    on_list : callable
        Gets the list whenever it was read.
    on_lease_taken_again : callable
        Called when the lease had lapsed and was taken again.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        store: Store,
        own: ListedEntry,
        lease_s: float,
        interval_s: float,
        on_list: Callable[[Iterable[ListedEntry]], None],
        on_lease_taken_again: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._own = own
        self._lease_s = lease_s
        self._interval_s = interval_s
        self._on_list = on_list
        self._on_lease_taken_again = on_lease_taken_again
        self._lease_id = 0
        self._listed = False
        self._kept_at_s = float("-inf")
        self._clock = clock
        self._leaving = False
        self._left = False

    @property
    def _key(self) -> str:
        return f"{ENTRIES}{self._own.name}"

    async def run(self) -> None:
        """Keep the place and read the list until cancelled."""
        while True:
            try:
                await self._keep()
                await self._read()
            except StoreError as error:
                _log.debug("list of entries not read", error=str(error))
            await asyncio.sleep(self._interval_s)

    async def _keep(self) -> None:
        now_s = self._clock()
        due = now_s - self._kept_at_s >= self._lease_s * KEEP_SHARE
        if self._listed and not due:
            return
        kept = self._lease_id != 0 and await self._store.keep_lease(self._lease_id)
        if self._left:
            return
        if not kept:
            await self._take_lease()
        if not kept or not self._listed:
            await self._write()
        self._kept_at_s = now_s

    async def _take_lease(self) -> None:
        taken_again = self._lease_id != 0
        self._lease_id = await self._store.grant_lease(self._lease_s)
        if taken_again:
            self._on_lease_taken_again()

    async def _write(self) -> None:
        value = encode(
            {
                "name": self._own.name,
                "incarnation": self._own.incarnation,
                "data_centre": self._own.data_centre,
                "caller_address": self._own.caller_address,
                "peer_address": self._own.peer_address,
                "operator_address": self._own.operator_address,
                "leaving": self._leaving,
            }
        )
        put = Put(key=self._key, value=value, lease_id=self._lease_id)
        await self._store.commit([Commit(conditions=(), puts=(put,))])

    async def _read(self) -> None:
        listing = await self._store.read(ENTRIES)
        entries = [ListedEntry(**decode(i.value)) for i in listing.items]
        # A write whose answer was lost may have had no effect.
        self._listed = any(e.incarnation == self._own.incarnation for e in entries)
        self._on_list(entries)

    async def mark_leaving(self) -> None:
        """Say on the list that this entry is about to stop."""
        self._leaving = True
        try:
            await self._write()
        except StoreError as error:
            _log.warning("list does not say that we leave", error=str(error))

    async def leave(self) -> None:
        """Take this entry off the list."""
        self._left = True
        if not self._lease_id:
            return
        try:
            await self._store.revoke_lease(self._lease_id)
        except StoreError as error:
            _log.warning("place on the list left to lapse", error=str(error))
