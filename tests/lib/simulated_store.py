"""A simulated key-value store with watches and leases, in simulated time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass

from borageramp_core import (
    HistoryLostError,
    LeaseLostError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from borageramp_entry._internal.store.base import Change, Commit, Item, Listing, Outcome

__all__ = ["SimulatedStore", "SimulatedStoreClient", "StoreCopy"]

CALL_TIMEOUT_S = 1.5
CALL_DELAY_S = 0.004
# As in the platform's adapter.
FIRST_WATCH_WAIT_S = 0.5
WATCH_TIMEOUT_S = 0.7


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """State of the store at one moment."""

    items: dict[str, Item]
    log: list[tuple[int, str, Item | None]]
    revision: int
    lease_count: int
    leases: dict[int, tuple[float, set[str]]]


class SimulatedStore:
    """Items with one revision counter, watches and leases.

    Attributes
    ----------
    call_delay_s : float
        Time that each call takes.
    down : bool
        Whether all calls fail.
    calls : int
        Calls that count in full.
    read_times_s : list of float
        Times of reads of all items.
    era : int
        Number of the history: one more after each restore.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.log: list[tuple[int, str, Item | None]] = []
        self.revision = 1
        self.calls = 0
        self.read_times_s: list[float] = []
        self.era = 1
        self.call_delay_s = CALL_DELAY_S
        self.down = False
        self._pending_watches: set[int] = set()
        self._unheard_watches: set[int] = set()
        self._watch_count = 0
        self._lease_count = 0
        self._leases: dict[int, tuple[float, float, set[str]]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        item = Item(key=key, value=value, revision=self.revision)
        self.items[key] = item
        self._append(key, item)

    def remove(self, key: str) -> None:
        """Delete an item."""
        self.revision += 1
        del self.items[key]
        self._append(key, None)

    def _append(self, key: str, item: Item | None) -> None:
        self.log.append((self.revision, key, item))
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            items=dict(self.items),
            log=list(self.log),
            revision=self.revision,
            lease_count=self._lease_count,
            leases={
                lease_id: (ttl_s, set(keys))
                for lease_id, (_, ttl_s, keys) in self._leases.items()
            },
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, and cut all calls that wait."""
        self.items, self.log = dict(copy.items), list(copy.log)
        self.revision, self._lease_count = copy.revision, copy.lease_count
        now_s = _now_s()
        self._leases = {
            lease_id: (now_s + ttl_s, ttl_s, set(keys))
            for lease_id, (ttl_s, keys) in copy.leases.items()
        }
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    @contextlib.contextmanager
    def uninterrupted(self) -> Iterator[None]:
        """Fail if the store is restored meanwhile: its connections are cut."""
        era = self.era
        yield
        if self.era != era or self.down:
            raise OutcomeUnknownError("connection cut")

    def lose_pending_watches(self) -> None:
        """Answer no watch that waits now; later ones, and other calls, are answered."""
        self._unheard_watches |= self._pending_watches

    async def wait_for_changes(self, *, after: int, wait_s: float) -> None:
        """Wait for a change after a revision, at most ``wait_s`` seconds."""
        self._watch_count += 1
        number = self._watch_count
        self._pending_watches.add(number)
        try:
            async with asyncio.timeout(wait_s):
                era = self.era
                while self.era == era and (
                    self.revision <= after or number in self._unheard_watches
                ):
                    await self._changed.wait()
        except TimeoutError:
            pass
        finally:
            self._pending_watches.discard(number)
        if number in self._unheard_watches:
            await asyncio.sleep(WATCH_TIMEOUT_S)
            raise StoreUnavailableError("no answer")

    def grant(self, ttl_s: float) -> int:
        """Create a lease."""
        self._lease_count += 1
        self._leases[self._lease_count] = (_now_s() + ttl_s, ttl_s, set())
        return self._lease_count

    def keep(self, lease_id: int) -> bool:
        """Renew a lease; return whether it exists."""
        if lease_id not in self._leases:
            return False
        _, ttl_s, keys = self._leases[lease_id]
        self._leases[lease_id] = (_now_s() + ttl_s, ttl_s, keys)
        return True

    def has_lease(self, lease_id: int) -> bool:
        """Return whether a lease exists."""
        return lease_id in self._leases

    def attach(self, lease_id: int, key: str) -> None:
        """Delete a key when a lease ends."""
        for _, _, keys in self._leases.values():
            keys.discard(key)
        self._leases[lease_id][2].add(key)

    async def expire_leases(self) -> None:
        """End leases that are not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for lease_id, (until_s, _, keys) in list(self._leases.items()):
                if until_s <= _now_s():
                    del self._leases[lease_id]
                    for key in keys & set(self.items):
                        self.remove(key)


class SimulatedStoreClient:
    """The store as one instance reaches it.

    Parameters
    ----------
    store : SimulatedStore
        The store.
    watch_wait_s : float
        Longest time for which a watch waits for changes.
    is_silent : callable
        Returns whether calls get no answer at present.
    """

    def __init__(
        self,
        store: SimulatedStore,
        *,
        watch_wait_s: float,
        is_silent: Callable[[], bool],
    ) -> None:
        self._store = store
        self._watch_wait_s = watch_wait_s
        self._is_silent = is_silent
        self.era = 0

    async def _call(self) -> None:
        self._store.calls += 1
        if self._is_silent():
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OutcomeUnknownError("no answer")
        with self._store.uninterrupted():
            await asyncio.sleep(self._store.call_delay_s)
            if self._store.down:
                raise StoreUnavailableError("down")
        self.era = self._store.era

    async def read(self, prefix: str) -> Listing:
        self._store.read_times_s.append(_now_s())
        await self._call()
        items = tuple(i for k, i in self._store.items.items() if k.startswith(prefix))
        return Listing(items=items, revision=self._store.revision, era=self.era)

    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[Change]:
        after = from_revision - 1
        wait_s = FIRST_WATCH_WAIT_S
        while True:
            await self._call()
            if after > self._store.revision:
                raise HistoryLostError("no such revision")
            await self._wait_for_changes(after=after, wait_s=wait_s)
            wait_s = self._watch_wait_s
            if self._is_silent():
                await asyncio.sleep(CALL_TIMEOUT_S)
                raise StoreUnavailableError("no answer")
            latest = {k: i for r, k, i in self._store.log if r > after}
            after = self._store.revision
            yield Change(
                written=tuple(i for i in latest.values() if i is not None),
                deleted=tuple(k for k, i in latest.items() if i is None),
                revision=after,
                era=self.era,
            )

    async def _wait_for_changes(self, *, after: int, wait_s: float) -> None:
        try:
            with self._store.uninterrupted():
                await self._store.wait_for_changes(after=after, wait_s=wait_s)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    async def commit(self, commits: list[Commit]) -> list[Outcome]:
        await self._call()
        for put in (p for c in commits for p in c.puts):
            assert put.value is not None
            if not self._store.has_lease(put.lease_id):
                raise LeaseLostError("no such lease")
            self._store.put(put.key, put.value)
            self._store.attach(put.lease_id, put.key)
        return [Outcome(succeeded=True, revision=self._store.revision)]

    async def grant_lease(self, ttl_s: float) -> int:
        await self._call()
        return self._store.grant(ttl_s)

    async def keep_lease(self, lease_id: int) -> bool:
        self._store.calls -= 1
        await self._call()
        return self._store.keep(lease_id)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
