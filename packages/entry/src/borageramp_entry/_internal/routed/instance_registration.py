"""Registration of this instance in the store."""

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

# Tolerates one lost renewal; replacing an expired lease costs two calls.
RENEWALS_PER_LEASE = 2
# Relays renew this often to verify their contact with the store.
RELAY_RENEWAL_INTERVAL_S = 0.5
# Exponential backoff after a failed call, plus up to 100 % jitter, so that an
# outage causes few calls. Relays retry at the initial delay.
INITIAL_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 0.6
# Part of the detection time of a failed instance that is reserved for late timers
# and slow calls.
DETECTION_MARGIN_S = 0.7
MIN_LEASE_S = 1.0
# Time over which the instances of a fleet register again after a restore.
RESTORE_SPREAD_S = 1.0


def compute_lease_s(*, absence_s: float, gather_s: float) -> float:
    """Return a lease duration in seconds that expires in time.

    Parameters
    ----------
    absence_s : float
        Time in seconds within which callers must no longer be sent to a failed
        instance.
    gather_s : float
        Time in seconds for which other instances batch changes.
    """
    detection_s = gather_s + CHECK_TIMEOUT_S + DETECTION_MARGIN_S
    return max(MIN_LEASE_S, absence_s - detection_s)


class InstanceRegistrationTask:
    """Task that registers this instance in the store and renews its lease.

    Parameters
    ----------
    store : Store
        Store that holds the registration.
    instance : Instance
        This instance.
    lease_s : float
        Lease duration in seconds.
    ready : callable
        Returns whether this instance should be registered.
    is_relay : callable
        Returns whether this instance serves store changes to other instances.
    on_store_checked : callable
        Called after each renewal with whether the store responded.
    rng : random.Random
        Random number generator for the retry jitter.
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
        self._lease_era = 0
        self._registered = False
        self._seen_in_store = False
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Register and renew the lease until cancelled."""
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
        """Wait for a delay or until woken.

        A wake-up during the preceding renewal counts too.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        self._wake.clear()

    async def _renew(self) -> bool:
        """Renew the lease and register if needed.

        Returns
        -------
        bool
            Whether the store was called.
        """
        if not self._ready():
            return False
        if self._lease_id and not await self._store.keep_lease(self._lease_id):
            self._lease_id = 0
        # A restored store gives identifiers of leases out again.
        if not self._lease_id or self._lease_era != self._store.era:
            await self._grant_lease()
        if not self._registered:
            await self._register()
        return True

    async def _grant_lease(self) -> None:
        self._registered = False
        # The answer may be the first one of a later era.
        self._lease_era = self._store.era
        self._lease_id = await self._store.grant_lease(self._lease_s)

    async def _register(self) -> None:
        put = Put(
            key=instance_key(self._instance.name),
            value=encode_instance(self._instance),
            lease_id=self._lease_id,
        )
        try:
            await self._store.commit([Commit(conditions=(), puts=(put,))])
        except StoreError:
            # The lease may have expired; the next renewal grants a new one.
            self._lease_id = 0
            raise
        self._registered = True
        _log.info("listed", instance=self._instance.name)

    def on_instances_changed(self, names: Collection[str]) -> None:
        """Register again if the registration of this instance was removed.

        A registration that the watch has not reported yet is not lost: changes
        arrive with a delay.

        Parameters
        ----------
        names : collection of str
            Names of all registered instances.
        """
        seen = self._instance.name in names
        if not seen and (self._seen_in_store or not self._registered):
            self._registered = False
            self._wake.set()
        self._seen_in_store = seen

    def renew_now(self) -> None:
        """Renew without waiting for the interval."""
        self._wake.set()

    def on_store_restored(self) -> None:
        """Register again soon, spread over the fleet."""
        delay_s = self._rng.random() * RESTORE_SPREAD_S
        asyncio.get_running_loop().call_later(delay_s, self._wake.set)

    async def unregister(self) -> None:
        """Revoke the lease, which removes the registration."""
        if not self._lease_id:
            return
        lease_id, self._lease_id = self._lease_id, 0
        try:
            await self._store.revoke_lease(lease_id)
        except StoreError as error:
            # The lease expires by itself.
            _log.warning("lease not revoked", error=str(error))
