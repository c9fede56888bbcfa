"""The place of this instance on the list of instances."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection

from borageramp_core import StoreError
from borageramp_core.routing import Instance
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.instance_directory import CHECK_TIMEOUT_S
from borageramp_entry._internal.routed.records import encode_instance, instance_key
from borageramp_entry._internal.store.base import Commit, Put, Store

__all__ = ["InstanceRegistrationTask", "compute_lease_s"]

_log = get_logger(__name__)

# Renewals in a lease: one may be lost, and a lease that lapses costs two calls.
RENEWALS_PER_LEASE = 2
# Whoever others ask for the store's changes renews this often, as that shows
# that it is in contact.
RELAY_RENEWAL_INTERVAL_S = 0.5
# Pause after a failed call, with as much again at random. It doubles while calls
# fail at an instance that others don't ask, so that an outage costs few calls.
INITIAL_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 0.6
# What is kept back, for timers and slow calls, of the time within which others
# have to notice that this instance has gone.
DETECTION_MARGIN_S = 0.7
MIN_LEASE_S = 1.0


def compute_lease_s(*, absence_s: float, gather_s: float) -> float:
    """Return the length of a lease that lapses in time.

    Parameters
    ----------
    absence_s : float
        Time within which callers are no longer sent to an instance that is gone.
    gather_s : float
        Time for which others gather changes of the list.
    """
    detection_s = gather_s + CHECK_TIMEOUT_S + DETECTION_MARGIN_S
    return max(MIN_LEASE_S, absence_s - detection_s)


class InstanceRegistrationTask:
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
    on_store_checked : callable
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
        on_store_checked: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._instance = instance
        self._lease_s = lease_s
        self._ready = ready
        self._is_relay = is_relay
        self._on_store_checked = on_store_checked
        self._rng = rng
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._lease_id = 0
        self._registered = False
        self._seen_in_store = False
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Register, and renew the lease, until cancelled."""
        while True:
            delay_s = self._lease_s / RENEWALS_PER_LEASE
            if self._is_relay():
                delay_s = min(delay_s, RELAY_RENEWAL_INTERVAL_S)
            try:
                if await self._renew():
                    self._on_store_checked(True)
                    self._retry_delay_s = INITIAL_RETRY_DELAY_S
            except StoreError as error:
                _log.warning("listing failed", error=str(error))
                self._on_store_checked(False)
                delay_s = self._next_retry_delay_s()
            await self._wait(delay_s)

    def _next_retry_delay_s(self) -> float:
        if self._is_relay():
            return INITIAL_RETRY_DELAY_S
        delay_s = self._retry_delay_s * (1.0 + self._rng.random())
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2.0 * self._retry_delay_s)
        return delay_s

    async def _wait(self, delay_s: float) -> None:
        """Wait for the next step, or until it is hurried, also during the last."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        self._wake.clear()

    async def _renew(self) -> bool:
        """Take the next step; tell whether the store was asked for anything."""
        if not self._ready():
            return False
        if self._lease_id and not await self._store.keep_lease(self._lease_id):
            self._lease_id = 0
        if not self._lease_id:
            self._registered = False
            self._lease_id = await self._store.grant_lease(self._lease_s)
        if not self._registered:
            await self._register()
        return True

    async def _register(self) -> None:
        put = Put(
            key=instance_key(self._instance.name),
            value=encode_instance(self._instance),
            lease_id=self._lease_id,
        )
        try:
            await self._store.commit([Commit(conditions=(), puts=(put,))])
        except StoreError:
            # The lease may be what is gone; the next step takes a new one.
            self._lease_id = 0
            raise
        self._registered = True
        _log.info("listed", instance=self._instance.name)

    def on_instances_changed(self, names: Collection[str]) -> None:
        """Take in who is on the list; whoever lost its place registers again.

        A place that was not seen yet is not lost: others hear of it later.
        """
        seen = self._instance.name in names
        if not seen and (self._seen_in_store or not self._registered):
            self._registered = False
            self._wake.set()
        self._seen_in_store = seen

    def renew_now(self) -> None:
        """Take the next step at once."""
        self._wake.set()

    async def unregister(self) -> None:
        """Leave the list."""
        if not self._lease_id:
            return
        lease_id, self._lease_id = self._lease_id, 0
        try:
            await self._store.revoke_lease(lease_id)
        except StoreError as error:
            # The lease ends by itself.
            _log.warning("not withdrawn", error=str(error))
