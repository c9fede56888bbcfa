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
# Without contact with the store for this long, registered instances are checked
# too.
STALE_STORE_AGE_S = 4.0
# Longer than the check interval, so that connections are reused.
IDLE_TIMEOUT_S = 5.0
MAX_IDLE_CONNECTIONS = 1
STATUS_OK = 200


class InstanceDirectory:
    """Directory of registered instances and those whose registration lapsed.

    A registration may lapse while its instance is healthy, for example in an
    outage of the store. The readiness of such an instance is checked, and it is
    kept for as long as it is ready.

    Parameters
    ----------
    own : Instance
        This instance.
    ready_path : bytes
        Path of the readiness check.
    store_age_s : callable
        Returns the time in seconds since the last contact with the store.
    on_gone : callable
        Called when an instance whose registration lapsed turns out to be gone.
    rng : random.Random
        Random number generator to sample the instances to check.
    """

    def __init__(
        self,
        *,
        own: Instance,
        ready_path: bytes,
        store_age_s: Callable[[], float],
        on_gone: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._ready_path = ready_path
        self._store_age_s = store_age_s
        self._on_gone = on_gone
        self._rng = rng
        self._registered: dict[str, Instance] = {}
        self._lapsed: dict[str, Instance] = {}
        self._not_ready: set[str] = set()
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
        return [*others, self._own] if own_ready else others

    @property
    def _has_sufficient_registered(self) -> bool:
        """Whether the registered instances alone are enough for callers."""
        stale = self._store_age_s() > STALE_STORE_AGE_S
        return len(self._registered) >= SUFFICIENT_REGISTERED and not stale

    async def run(self) -> None:
        """Check the readiness of unconfirmed instances until cancelled."""
        while True:
            await self._wait_for_next_round()
            unconfirmed = list(self._lapsed.values())
            if self._store_age_s() > STALE_STORE_AGE_S:
                unconfirmed += [
                    i for i in self._registered.values() if i.name != self._own.name
                ]
            else:
                self._not_ready.clear()
            max_checks = (
                MAX_CHECKS_IF_SUFFICIENT
                if self._has_sufficient_registered
                else MAX_CHECKS_PER_ROUND
            )
            if len(unconfirmed) > max_checks:
                unconfirmed = self._rng.sample(unconfirmed, max_checks)
            await asyncio.gather(*(self._check(i) for i in unconfirmed))

    async def _wait_for_next_round(self) -> None:
        """Wait for the next round or until another registration lapses."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._check_requested.wait()
        self._check_requested.clear()

    async def _check(self, instance: Instance) -> None:
        if await self._is_ready(instance):
            self._not_ready.discard(instance.name)
            return
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
        return response.status == STATUS_OK
