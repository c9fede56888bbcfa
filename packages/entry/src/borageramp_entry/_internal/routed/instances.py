"""Which instances callers may use."""

import asyncio
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

__all__ = ["InstanceList"]

_log = get_logger(__name__)

CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 0.5
# Instances checked in one round; the others wait for the next.
MAX_CHECKS = 16
# Without a word of the store for this long, listed instances are checked too.
STALE_S = 4.0
# A connection for checks outlives the interval between them.
IDLE_S = 5.0
MAX_IDLE = 1
STATUS_OK = 200


class InstanceList:
    """The instances on the list, and those that only seem to have left it.

    A place on the list may lapse while its holder is well, as in an outage of
    the store. So an instance that leaves the list is asked whether it takes
    callers, and stays for as long as it says so.

    Parameters
    ----------
    own : Instance
        This instance.
    ready_path : bytes
        Path of the readiness check.
    knowledge_age_s : callable
        Returns the time since the store last answered.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        own: Instance,
        ready_path: bytes,
        knowledge_age_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._ready_path = ready_path
        self._knowledge_age_s = knowledge_age_s
        self._rng = rng
        self._listed: dict[str, Instance] = {}
        self._unlisted: dict[str, Instance] = {}
        self._down: set[str] = set()
        self._http = HttpClient(idle_s=IDLE_S, max_idle=MAX_IDLE)

    def update(self, instances: Iterable[Instance]) -> None:
        """Apply the list as the store has it."""
        before = self._listed
        self._listed = {i.name: i for i in instances}
        for name, instance in before.items():
            if name not in self._listed and name != self._own.name:
                self._unlisted[name] = instance
        for name in self._listed:
            self._unlisted.pop(name, None)
            if self._listed[name] != before.get(name):
                self._down.discard(name)

    def names(self) -> frozenset[str]:
        """Return the names of all instances, also of those in doubt."""
        return frozenset(self._listed) | frozenset(self._unlisted) | {self._own.name}

    def usable(self, *, own_ready: bool) -> list[Instance]:
        """Return the instances that callers may use."""
        others = [
            i
            for i in (*self._listed.values(), *self._unlisted.values())
            if i.name != self._own.name and i.name not in self._down
        ]
        return [*others, self._own] if own_ready else others

    async def run(self) -> None:
        """Check instances in doubt until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            doubtful = list(self._unlisted.values())
            if self._knowledge_age_s() > STALE_S:
                doubtful += [
                    i for i in self._listed.values() if i.name != self._own.name
                ]
            else:
                self._down.clear()
            if len(doubtful) > MAX_CHECKS:
                doubtful = self._rng.sample(doubtful, MAX_CHECKS)
            await asyncio.gather(*(self._check(i) for i in doubtful))

    async def _check(self, instance: Instance) -> None:
        if await self._is_ready(instance):
            self._down.discard(instance.name)
            return
        if instance.name in self._unlisted:
            del self._unlisted[instance.name]
            _log.info("instance gone", instance=instance.name, why="not ready")
        elif instance.name not in self._down:
            self._down.add(instance.name)
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
