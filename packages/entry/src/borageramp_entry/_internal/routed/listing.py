"""The place of this instance on the list of instances."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection

from borageramp_core import StoreError
from borageramp_core.routing import Instance
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.instances import CHECK_TIMEOUT_S
from borageramp_entry._internal.routed.records import instance_key, pack_instance
from borageramp_entry._internal.store.base import Commit, Put, Store

__all__ = ["ListingTask", "lease_for"]

_log = get_logger(__name__)

# Renewals in a lease: one may be lost, and a lease that lapses costs two calls.
RENEWALS = 2
# Whoever others ask for the store's changes renews this often, as that shows
# that it is in contact.
RELAY_RENEWAL_S = 0.5
# Pause after a failed call, with as much again at random. It doubles while calls
# fail at an instance that others don't ask, so that an outage costs few calls.
RETRY_S = 0.3
MAX_RETRY_S = 0.6
# What is kept back, for timers and slow calls, of the time within which others
# have to notice that this instance has gone.
NOTICE_MARGIN_S = 0.7
MIN_LEASE_S = 1.0


def lease_for(*, absence_s: float, gather_s: float) -> float:
    """Return the length of a lease that lapses in time.

    Parameters
    ----------
    absence_s : float
        Time within which callers are no longer sent to an instance that is gone.
    gather_s : float
        Time for which others gather changes of the list.
    """
    noticing_s = gather_s + CHECK_TIMEOUT_S + NOTICE_MARGIN_S
    return max(MIN_LEASE_S, absence_s - noticing_s)


class ListingTask:
    """Keeps this instance on the list of those that run.

    Parameters
    ----------
    store : Store
        The store.
    instance : Instance
        This instance.
    lease_s : float
        Length of the lease.
    ready : callable
        Tells whether this instance is to be on the list.
    is_relay : callable
        Tells whether others ask this instance for the store's changes.
    on_checked : callable
        Is told whether the store answered.
    rng : random.Random
        Source of randomness, which spreads calls.
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
        rng: random.Random,
    ) -> None:
        self._store = store
        self._instance = instance
        self._lease_s = lease_s
        self._ready = ready
        self._is_relay = is_relay
        self._on_checked = on_checked
        self._rng = rng
        self._retry_s = RETRY_S
        self._lease_id = 0
        self._listed = False
        self._seen = False
        self._hurry = asyncio.Event()

    async def run(self) -> None:
        """Register, and renew the lease, until cancelled."""
        while True:
            pause_s = self._lease_s / RENEWALS
            if self._is_relay():
                pause_s = min(pause_s, RELAY_RENEWAL_S)
            try:
                if await self._step():
                    self._on_checked(True)
                    self._retry_s = RETRY_S
            except StoreError as error:
                _log.warning("listing failed", error=str(error))
                self._on_checked(False)
                pause_s = self._retry_pause_s()
            await self._pause(pause_s)

    def _retry_pause_s(self) -> float:
        if self._is_relay():
            return RETRY_S
        pause_s = self._retry_s * (1.0 + self._rng.random())
        self._retry_s = min(MAX_RETRY_S, 2.0 * self._retry_s)
        return pause_s

    async def _pause(self, pause_s: float) -> None:
        """Wait for the next step, or until it is hurried, also during the last."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._hurry.wait()
        self._hurry.clear()

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

    def on_list(self, names: Collection[str]) -> None:
        """Take in who is on the list; whoever lost its place registers again.

        A place that was not seen yet is not lost: others hear of it later.
        """
        seen = self._instance.name in names
        if not seen and (self._seen or not self._listed):
            self._listed = False
            self._hurry.set()
        self._seen = seen

    def hurry(self) -> None:
        """Take the next step at once."""
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
