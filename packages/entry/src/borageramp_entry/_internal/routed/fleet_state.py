"""Synchronization of the fleet state with the store."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from borageramp_core import HistoryLostError, StoreError, StoreUnavailableError
from borageramp_core.routing import (
    FleetState,
    MalformedItem,
    Registration,
    StateItem,
    StorePosition,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.change_source import ChangeSource
from borageramp_entry._internal.store.base import Change, Item, Store

__all__ = ["FleetStateTask"]

_log = get_logger(__name__)

# Exponential backoff after a failed call, plus up to 100 % jitter. The lease
# renewals are the first to detect that the store has recovered.
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
# Maximum delay while the lease renewals fail too: these are cheaper and more frequent,
# and end the wait once one succeeds.
OUTAGE_RETRY_DELAY_S = 4.0
# Time over which the instances of a fleet read all items after a restore of the store.
READ_SPREAD_S = 0.4
# Timers may fire slightly early by another clock.
TIMER_SLACK_S = 0.01


class FleetStateTask:
    """Task that keeps the fleet state in sync with the store.

    It reads all items once, then applies the changes of a watch. After an
    outage, missing upstreams are kept for a while so that they can register
    again.

    Parameters
    ----------
    store : Store
        Store to read the items from.
    prefix : str
        Prefix of the keys to watch.
    read_item : callable
        Decodes an item; returns ``None`` for items to ignore.
    rejoin_s : float
        Time in seconds after an outage within which upstreams must register
        again.
    source : ChangeSource
        Source of changes after the initial read.
    on_change : callable
        Called after each change of the fleet state.
    on_restored : callable, optional
        Called once the fleet state follows a later era of the store.
    rng : random.Random
        Random number generator for the retry jitter.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    fleet_state : FleetState
        State read from the store.
    initial_sync_done : bool
        Whether all items have been read at least once.
    restores : int
        Number of times that the store came back from an older copy.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        read_item: Callable[[Item], StateItem | None],
        rejoin_s: float,
        source: ChangeSource,
        on_change: Callable[[], None],
        rng: random.Random,
        clock: Callable[[], float],
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_restored = on_restored
        self.fleet_state = FleetState()
        self.initial_sync_done = False
        self.restores = 0
        self._config_version: int | None = None
        self._config_changed_at_s = float("-inf")
        self._store = store
        self._prefix = prefix
        self._read_item = read_item
        self._rejoin_s = rejoin_s
        self._source = source
        self._on_change = on_change
        self._rng = rng
        self._clock = clock
        self._last_contact_at_s = float("-inf")
        self._recovered_at_s = float("-inf")
        self._reachable = True
        self._synced = False
        self._renewal_failing = False
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._store_recovered = asyncio.Event()
        self._follow_task: asyncio.Task[None] | None = None
        self._malformed_revisions: dict[str, int] = {}

    def age_s(self) -> float:
        """Return the time in seconds since the last contact with the store."""
        return self._clock() - self._last_contact_at_s

    def config_age_s(self) -> float:
        """Return the time in seconds since the configuration changed."""
        return self._clock() - self._config_changed_at_s

    def _on_state_changed(self) -> None:
        config = self.fleet_state.config
        if config is not None and config.version != self._config_version:
            self._config_version = config.version
            self._config_changed_at_s = self._clock()
            for problem in config.problems:
                _log.warning(
                    "configuration entry not used",
                    config_version=config.version,
                    problem=problem,
                )
        self._on_change()

    async def run(self) -> None:
        """Read and watch the store until cancelled."""
        while True:
            try:
                self._store_recovered.clear()
                await self._follow_until_restarted()
            except HistoryLostError as error:
                self._log_store("store history lost", error=str(error))
                self._synced = False
                await self._spread_reads()
            except StoreError as error:
                self._on_failure(error)
                if not self._synced:
                    await self._wait_before_retry()

    def _log_store(self, event: str, **fields: object) -> None:
        position = self.fleet_state.position
        _log.warning(event, revision=position.revision, era=position.era, **fields)

    async def _spread_reads(self) -> None:
        """Wait briefly if many instances may have to read all items at once."""
        if self._source.prefers_relays:
            await asyncio.sleep(self._rng.random() * READ_SPREAD_S)

    async def _wait_before_retry(self) -> None:
        """Wait for the retry delay or until a lease renewal succeeds.

        One that succeeded during the failed call counts too.

        Only the store has all items; changes come from relays as well.
        """
        delay_s = self._retry_delay_s * (1.0 + self._rng.random())
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2.0 * self._retry_delay_s)
        if self._renewal_failing:
            delay_s = OUTAGE_RETRY_DELAY_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._store_recovered.wait()

    def on_store_checked(self, *, answered: bool) -> None:
        """Record whether the store responded to a lease renewal.

        An idle watch can't distinguish a store without changes from an
        unresponsive one; lease renewals can.
        """
        self._source.on_renewal(answered=answered)
        if answered:
            self._on_contact()
            if self._renewal_failing:
                self._renewal_failing = False
                self._store_recovered.set()
                self._restart()
            if self._synced and self._store.era > self.fleet_state.position.era:
                self._synced = False
                self._restart()
            return
        self._renewal_failing = True
        self._on_failure(StoreUnavailableError("lease renewal failed"))

    def _restart(self) -> None:
        """Give up the call under way, which may hang since before an outage."""
        if self._follow_task is not None:
            self._follow_task.cancel()

    async def _follow_until_restarted(self) -> None:
        self._follow_task = asyncio.ensure_future(self._follow())
        try:
            await asyncio.wait([self._follow_task])
        finally:
            self._follow_task.cancel()
        if not self._follow_task.cancelled():
            self._follow_task.result()

    async def _follow(self) -> None:
        if not self._synced:
            await self._read_full_state()
        await self._watch()

    def _on_failure(self, error: StoreError) -> None:
        if self._reachable:
            self._reachable = False
            self._log_store("store lost", error=str(error))

    def _on_contact(self) -> None:
        now_s = self._clock()
        self._last_contact_at_s = now_s
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._source.on_contact()
        if not self._reachable:
            self._reachable = True
            self._recovered_at_s = now_s
            position = self.fleet_state.position
            _log.info("store regained", revision=position.revision, era=position.era)

    def _within_rejoin_window(self) -> bool:
        """Return whether an outage is ongoing or ended less than ``rejoin_s`` ago.

        Only calls of this instance count.
        """
        if not self._reachable:
            return True
        return self._clock() - self._recovered_at_s < self._rejoin_s

    async def _read_full_state(self) -> None:
        listing = await self._store.read(self._prefix)
        self._on_contact()
        state_items: dict[str, StateItem] = {}
        for item in listing.items:
            state_item = self._parse_item(item)
            if state_item is not None:
                state_items[item.key] = state_item
        restored = 0 < self.fleet_state.position.era < listing.era
        if restored:
            self._recovered_at_s = self._clock()
        self.fleet_state.replace(
            state_items,
            after_outage=self._within_rejoin_window(),
            restored=restored,
            now_s=self._clock(),
        )
        self._schedule_drop_missing()
        self._move_to(listing.position, restored=restored)
        self._synced = True
        self._source.on_full_read()
        self.initial_sync_done = True
        _log.info(
            "store read",
            revision=listing.revision,
            era=listing.era,
            items=len(state_items),
        )
        self._on_state_changed()

    def _move_to(self, position: StorePosition, *, restored: bool) -> None:
        """Go on from a position at which all items have been read."""
        before = self.fleet_state.position
        if position.era != before.era:
            self._malformed_revisions.clear()
        if restored:
            self.restores += 1
            _log.warning(
                "store restored",
                era=position.era,
                revision=position.revision,
                era_before=before.era,
                revision_before=before.revision,
                kept=self.fleet_state.missing_count,
                doubted=self.fleet_state.doubted_count,
            )
            self._on_restored()
        self.fleet_state.position = position

    async def _watch(self) -> None:
        changes = self._source.watch(after=self.fleet_state.position)
        async with contextlib.aclosing(changes):
            async for change in changes:
                self._last_contact_at_s = self._clock()
                if self._source.is_relay:
                    self._on_contact()
                self._apply(change)

    def _apply(self, change: Change) -> None:
        changed = False
        for item in change.written:
            state_item = self._parse_item(item)
            if state_item is not None:
                changed |= self._apply_write(item, state_item)
        for key in change.deleted:
            changed |= self._apply_delete(key)
        position = max(self.fleet_state.position, change.position)
        self.fleet_state.position = position
        if changed:
            self._on_state_changed()

    def _schedule_drop_missing(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._rejoin_s + TIMER_SLACK_S, self._drop_missing)

    def _drop_missing(self) -> None:
        """Remove items that were not written again, and end doubts on others."""
        released = self.fleet_state.release_doubted(
            older_than_s=self._rejoin_s, now_s=self._clock()
        )
        dropped_keys = self.fleet_state.drop_missing(
            older_than_s=self._rejoin_s, now_s=self._clock()
        )
        for key in dropped_keys:
            _log.info("item removed", key=key, why="not written again")
        if dropped_keys or released:
            self._on_state_changed()

    def _apply_write(self, item: Item, state_item: StateItem) -> bool:
        changed = self.fleet_state.put(item.key, state_item)
        if changed and isinstance(state_item, Registration):
            _log.info(
                "upstream registered",
                upstream=state_item.id,
                leaving=state_item.leaving,
                revision=item.revision,
            )
        return changed

    def _apply_delete(self, key: str) -> bool:
        if self._within_rejoin_window() and self.fleet_state.retain_missing(
            key, now_s=self._clock()
        ):
            self._schedule_drop_missing()
            return False
        self._malformed_revisions.pop(key, None)
        removed = self.fleet_state.remove(key, now_s=self._clock())
        if removed:
            revision = self.fleet_state.position.revision
            _log.info("item removed", key=key, revision=revision)
        return removed

    def _parse_item(self, item: Item) -> StateItem | None:
        state_item = self._read_item(item)
        if not isinstance(state_item, MalformedItem):
            self._malformed_revisions.pop(item.key, None)
            return state_item
        # A full read repeats items that have been reported.
        if self._malformed_revisions.get(item.key) != item.revision:
            self._malformed_revisions[item.key] = item.revision
            _log.warning(
                "item unreadable",
                key=item.key,
                revision=item.revision,
                problem=state_item.problem,
            )
        return state_item
