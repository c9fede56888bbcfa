"""Directory of the instances that callers may use."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from borageramp_core.routing import Instance
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.serving.http_client import (
    HttpClient,
    NotConnectedError,
)
from borageramp_entry._internal.serving.http_response import BrokenExchangeError

__all__ = ["InstanceDirectory"]

_log = get_logger(__name__)

CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 0.5
# Further instances wait for the next round.
MAX_CHECKS_PER_ROUND = 16
# With this many registered instances, callers need none whose registration
# lapsed, and checks of every lapsed instance by every other one would cause
# considerable load.
SUFFICIENT_REGISTERED = 64
MAX_CHECKS_IF_SUFFICIENT = 2
# Without contact with the store for this share of a lease, leases may be paused, and
# registrations are doubted.
STALE_LEASE_SHARE = 0.4
# Share of the checks of a round for instances that were not ready.
NOT_READY_SHARE = 0.5
# A check that succeeded vouches for its instance for this long.
CONFIRMED_FOR_S = 5.0
# Callers get only confirmed instances, if there are this many, once registrations have
# been doubted for a while: a round of checks covers a part of a large fleet.
MIN_CONFIRMED = 8
CONFIRMED_ONLY_AFTER_S = 2.0
# Longer than the check interval, so that connections are reused.
IDLE_TIMEOUT_S = 5.0
MAX_IDLE_CONNECTIONS = 1
STATUS_OK = 200


class InstanceDirectory:
    """Directory of registered instances and those whose registration lapsed.

    A registration may lapse while its instance is healthy, for example in an
    outage of the store. The readiness of such an instance is checked, and it is
    kept for as long as it is ready.

    A registration may also outlast its instance, as leases may pause in an
    outage. Registered instances are checked too while the store is out of contact
    and until all leases that were paused have been renewed or have run out.

    Parameters
    ----------
    own : Instance
        This instance.
    ready_path : bytes
        Path of the readiness check.
    lease_s : float
        Lease duration of all instances.
    store_age_s : callable
        Returns the time in seconds since the last contact with the store.
    on_gone : callable
        Called when an instance whose registration lapsed turns out to be gone.
    rng : random.Random
        Random number generator to sample the instances to check.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        own: Instance,
        ready_path: bytes,
        lease_s: float,
        store_age_s: Callable[[], float],
        on_gone: Callable[[], None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._ready_path = ready_path
        self._lease_s = lease_s
        self._store_age_s = store_age_s
        self._on_gone = on_gone
        self._rng = rng
        self._clock = clock
        self._registered: dict[str, Instance] = {}
        self._lapsed: dict[str, Instance] = {}
        self._not_ready: set[str] = set()
        self._checked_at_s: dict[str, float] = {}
        self._confirmed_at_s: dict[str, float] = {}
        self._doubted_since_s = float("-inf")
        self._doubted_until_s = float("-inf")
        self._check_requested = asyncio.Event()
        self._http = HttpClient(idle_s=IDLE_TIMEOUT_S, max_idle=MAX_IDLE_CONNECTIONS)

    def update(self, instances: Iterable[Instance]) -> None:
        """Apply the instances that are registered in the store."""
        previous = self._registered
        self._registered = {i.name: i for i in instances}
        for name, instance in previous.items():
            if name not in self._registered and name != self._own.name:
                self._lapsed[name] = instance
                self._check_requested.set()
        for name in self._registered:
            self._lapsed.pop(name, None)
            if self._registered[name] != previous.get(name):
                self._not_ready.discard(name)
        self._forget_unknown()

    def _forget_unknown(self) -> None:
        known = self.names()
        self._not_ready &= known
        for times in (self._checked_at_s, self._confirmed_at_s):
            for name in times.keys() - known:
                del times[name]

    def names(self) -> frozenset[str]:
        """Return the names of all instances, including lapsed ones."""
        return frozenset(self._registered) | frozenset(self._lapsed) | {self._own.name}

    def others(self) -> list[Instance]:
        """Return all other instances, including lapsed ones."""
        known = (*self._registered.values(), *self._lapsed.values())
        return [i for i in known if i.name != self._own.name]

    def usable(self, *, own_ready: bool) -> list[Instance]:
        """Return the instances that callers may use."""
        unconfirmed = (
            () if self._has_sufficient_registered else tuple(self._lapsed.values())
        )
        others = [
            i
            for i in (*self._registered.values(), *unconfirmed)
            if i.name != self._own.name and i.name not in self._not_ready
        ]
        if self._clock() < self._doubted_until_s and (
            self._clock() - self._doubted_since_s >= CONFIRMED_ONLY_AFTER_S
        ):
            confirmed = [i for i in others if self._is_confirmed(i)]
            if len(confirmed) >= MIN_CONFIRMED:
                others = confirmed
        return [*others, self._own] if own_ready else others

    def _is_confirmed(self, instance: Instance) -> bool:
        confirmed_at_s = self._confirmed_at_s.get(instance.name, float("-inf"))
        return self._clock() - confirmed_at_s <= CONFIRMED_FOR_S

    @property
    def _is_doubting(self) -> bool:
        """Whether registered instances may be gone."""
        return self._is_stale or self._clock() < self._doubted_until_s

    @property
    def _is_stale(self) -> bool:
        """Whether the store has been out of contact for longer than usual."""
        return self._store_age_s() > STALE_LEASE_SHARE * self._lease_s

    @property
    def _has_sufficient_registered(self) -> bool:
        """Whether the registered instances alone are enough for callers."""
        return len(self._registered) >= SUFFICIENT_REGISTERED and not self._is_doubting

    async def run(self) -> None:
        """Check the readiness of unconfirmed instances until cancelled."""
        while True:
            await self._wait_for_next_round()
            self._update_doubt()
            await asyncio.gather(*(self._check(i) for i in self._to_check()))

    def _update_doubt(self) -> None:
        """Doubt registrations for a lease after the store was out of contact."""
        now_s = self._clock()
        if self._is_stale:
            if now_s >= self._doubted_until_s:
                self._doubted_since_s = now_s
                _log.info("registrations doubted", instances=len(self._registered))
            # The store may come back until the next round, and changes are late.
            self._doubted_until_s = now_s + self._lease_s + 2 * CHECK_INTERVAL_S
        elif not self._is_doubting and self._not_ready:
            # Those that are still registered have renewed their leases.
            _log.info("instances up", instances=sorted(self._not_ready), why="renewed")
            self._not_ready.clear()

    def _to_check(self) -> list[Instance]:
        """Return the instances to check in this round.

        Those that were not ready go first, then those not checked for longest.
        """
        unconfirmed = list(self._lapsed.values())
        if self._is_doubting:
            unconfirmed += [
                i for i in self._registered.values() if i.name != self._own.name
            ]
        max_checks = (
            MAX_CHECKS_IF_SUFFICIENT
            if self._has_sufficient_registered
            else MAX_CHECKS_PER_ROUND
        )
        if len(unconfirmed) <= max_checks:
            return unconfirmed
        self._rng.shuffle(unconfirmed)
        unconfirmed.sort(key=lambda i: self._checked_at_s.get(i.name, float("-inf")))
        not_ready = [i for i in unconfirmed if i.name in self._not_ready]
        first = not_ready[: int(NOT_READY_SHARE * max_checks)]
        others = [i for i in unconfirmed if i not in first]
        return first + others[: max_checks - len(first)]

    async def _wait_for_next_round(self) -> None:
        """Wait for the next round or until another registration lapses."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._check_requested.wait()
        self._check_requested.clear()

    async def _check(self, instance: Instance) -> None:
        ready = await self._is_ready(instance)
        now_s = self._clock()
        self._checked_at_s[instance.name] = now_s
        if ready:
            self._confirmed_at_s[instance.name] = now_s
            if instance.name in self._not_ready:
                self._not_ready.discard(instance.name)
                _log.info("instances up", instances=[instance.name], why="ready")
            return
        self._confirmed_at_s.pop(instance.name, None)
        if instance.name in self._lapsed:
            del self._lapsed[instance.name]
            _log.info("instance gone", instance=instance.name, why="not ready")
            self._on_gone()
        elif instance.name not in self._not_ready:
            self._not_ready.add(instance.name)
            _log.info("instance down", instance=instance.name, why="not ready")

    async def _is_ready(self, instance: Instance) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                response = await self._http.request(
                    split_address(instance.check_address),
                    "GET",
                    self._ready_path.decode(),
                    connect_timeout_s=CHECK_TIMEOUT_S,
                )
        except (NotConnectedError, BrokenExchangeError, TimeoutError) as error:
            _log.info("no answer", instance=instance.name, error=repr(error))
            return False
        response.discard()
        return response.status == STATUS_OK
