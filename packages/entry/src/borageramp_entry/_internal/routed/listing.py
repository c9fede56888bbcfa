"""The place of this instance on the list of instances."""

import asyncio
from collections.abc import Callable

from borageramp_core import StoreError
from borageramp_core.routing import Instance
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.records import instance_key, pack_instance
from borageramp_entry._internal.store.base import Commit, Put, Store

__all__ = ["ListingTask"]

_log = get_logger(__name__)

# Renewals in a lease, so that two may be lost. Whoever others ask for the
# store's changes renews more often, as this shows that it is in contact.
RENEWALS = 3
RELAY_RENEWALS = 6
RETRY_S = 0.3


class ListingTask:
    """Keeps this instance on the list while it takes callers.

    Parameters
    ----------
    store : Store
        The store.
    instance : Instance
        This instance.
    lease_s : float
        Length of the lease.
    ready : callable
        Tells whether this instance takes callers.
    is_relay : callable
        Tells whether others ask this instance for the store's changes.
    on_checked : callable
        Is told whether the store answered.
    """

    def __init__(
        self,
        *,
        store: Store,
        instance: Instance,
        lease_s: float,
        ready: Callable[[], bool],
        is_relay: Callable[[], bool],
        on_checked: Callable[[bool], None],
    ) -> None:
        self._store = store
        self._instance = instance
        self._lease_s = lease_s
        self._ready = ready
        self._is_relay = is_relay
        self._on_checked = on_checked
        self._lease_id = 0
        self._listed = False
        self._hurry = asyncio.Event()

    async def run(self) -> None:
        """Register, and renew the lease, until cancelled."""
        while True:
            renewals = RELAY_RENEWALS if self._is_relay() else RENEWALS
            pause_s = self._lease_s / renewals
            try:
                if await self._step():
                    self._on_checked(True)
            except StoreError as error:
                _log.warning("listing failed", error=str(error))
                self._on_checked(False)
                pause_s = RETRY_S
            await self._pause(pause_s)

    async def _pause(self, pause_s: float) -> None:
        self._hurry.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._hurry.wait()
        except TimeoutError:
            return

    async def _step(self) -> bool:
        """Take the next step; tell whether the store was asked for anything."""
        if not self._ready():
            return False
        if self._lease_id and not await self._store.keep_lease(self._lease_id):
            self._lease_id = 0
        if not self._lease_id:
            self._listed = False
            self._lease_id = await self._store.grant_lease(self._lease_s)
        if not self._listed:
            await self._put()
        return True

    async def _put(self) -> None:
        put = Put(
            key=instance_key(self._instance.name),
            value=pack_instance(self._instance),
            lease_id=self._lease_id,
        )
        try:
            await self._store.commit([Commit(conditions=(), puts=(put,))])
        except StoreError:
            # The lease may be what is gone; the next step takes a new one.
            self._lease_id = 0
            raise
        self._listed = True
        _log.info("listed", instance=self._instance.name)

    def on_removed(self) -> None:
        """Take in that the place was lost; registers again at once."""
        self._listed = False
        self._hurry.set()

    async def withdraw(self) -> None:
        """Leave the list."""
        if not self._lease_id:
            return
        lease_id, self._lease_id = self._lease_id, 0
        try:
            await self._store.revoke_lease(lease_id)
        except StoreError as error:
            # The lease ends by itself.
            _log.warning("not withdrawn", error=str(error))
