"""State of the fleet as read from the store; no change takes it back in time."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from borageramp_core._internal.routing.model import (
    CrashSuspect,
    EvacuatedDataCentre,
    Instance,
    MalformedItem,
    Registration,
    RoutingConfig,
    StateItem,
)
from borageramp_core._internal.routing.rollouts.model import (
    RolloutOrder,
    RolloutRecord,
)
from borageramp_core._internal.routing.route_table import RouteTable
from borageramp_core._internal.routing.store_position import StorePosition

__all__ = ["FleetState"]

# Time for which removed registrations are remembered: longer than a copy from which
# a store is restored is old.
REMOVAL_MEMORY_S = 60.0


class FleetState:
    """Configuration and registrations from the store, by key.

    Attributes
    ----------
    config : RoutingConfig or None
        Latest configuration; ``None`` until one has been read.
    table : RouteTable
        Routes of that configuration.
    position : StorePosition
        Position in the store's history up to which all changes are applied.
    """

    def __init__(self) -> None:
        self.config: RoutingConfig | None = None
        self.table = RouteTable()
        self.position = StorePosition()
        self._items: dict[str, StateItem] = {}
        self._missing_since_s: dict[str, float] = {}
        # Time of removal and start of registrations, by key, the oldest first.
        self._removed: dict[str, tuple[float, int]] = {}
        # Registrations of a restored store that seem to be gone, and since when.
        self._doubted: dict[str, tuple[float, Registration]] = {}

    def get(self, key: str) -> StateItem | None:
        """Return an item other than the configuration."""
        return self._items.get(key)

    def put(self, key: str, state_item: StateItem) -> bool:
        """Add or replace an item; return whether anything changed."""
        self._missing_since_s.pop(key, None)
        self._doubted.pop(key, None)
        self._removed.pop(key, None)
        if isinstance(state_item, RoutingConfig):
            return self._put_config(state_item)
        previous = self._items.get(key)
        if isinstance(state_item, MalformedItem) and isinstance(
            previous, RolloutOrder | RolloutRecord
        ):
            # Without its order, a version that was rolled back would be used again.
            return False
        self._items[key] = state_item
        return previous != state_item

    def _put_config(self, config: RoutingConfig) -> bool:
        # A delayed response from the store must not restore an older version.
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.table = RouteTable(config.routes)
        return True

    def remove(self, key: str, *, now_s: float) -> bool:
        """Remove an item; return whether it existed."""
        self._missing_since_s.pop(key, None)
        self._doubted.pop(key, None)
        removed = self._items.pop(key, None)
        if isinstance(removed, Registration):
            self._remember_removed(key, removed, now_s=now_s)
        return removed is not None

    def _remember_removed(self, key: str, item: Registration, *, now_s: float) -> None:
        self._removed.pop(key, None)
        self._removed[key] = (now_s, item.started_ms)
        for old_key, (removed_at_s, _) in list(self._removed.items()):
            if now_s - removed_at_s < REMOVAL_MEMORY_S:
                break
            del self._removed[old_key]

    def replace(
        self,
        state_items: Mapping[str, StateItem],
        *,
        after_outage: bool,
        restored: bool = False,
        now_s: float,
    ) -> None:
        """Replace all items by a full listing of the store.

        The configuration stays in force if the listing has none.

        A restored store says of some items what they were at the time of its copy,
        until they are written again. Those that it has lost are kept for a while,
        upstreams that were leaving go on to do so, and those that were gone are not
        used until :meth:`release_doubted`. Evacuations that had ended count again
        until the store says that they have ended.

        Parameters
        ----------
        state_items : mapping of str to StateItem
            All items by key.
        after_outage : bool
            Whether registrations may have expired while the store was
            unavailable. Missing ones are then kept for a while, as their
            upstreams are about to register again.
        restored : bool
            Whether the store has come back from an older copy since.
        now_s : float
            Present time.
        """
        for key in [k for k in self._items if k not in state_items]:
            if restored:
                self._missing_since_s.setdefault(key, now_s)
            elif not after_outage or not self.retain_missing(key, now_s=now_s):
                self.remove(key, now_s=now_s)
        for key, state_item in state_items.items():
            if restored and isinstance(state_item, Registration):
                self._put_restored(key, state_item, now_s=now_s)
            else:
                self.put(key, state_item)

    def _put_restored(self, key: str, item: Registration, *, now_s: float) -> None:
        """Put a registration that may be older than what is known of it."""
        known = self._items.get(key)
        if self._seems_gone(key, item, now_s=now_s):
            self.put(key, replace(item, leaving=True))
            self._doubted[key] = (now_s, item)
        elif isinstance(known, Registration) and known.started_ms == item.started_ms:
            self.put(key, replace(item, leaving=item.leaving or known.leaving))
        else:
            self.put(key, item)

    def _seems_gone(self, key: str, item: Registration, *, now_s: float) -> bool:
        """Return whether the same start of an upstream was seen to go."""
        if key in self._doubted:
            return self._doubted[key][1].started_ms == item.started_ms
        removed_at_s, started_ms = self._removed.get(key, (float("-inf"), 0))
        remembered = now_s - removed_at_s < REMOVAL_MEMORY_S
        return remembered and started_ms == item.started_ms

    def release_doubted(self, *, older_than_s: float, now_s: float) -> bool:
        """Use registrations that a restored store still has after some time.

        Returns
        -------
        bool
            Whether there were any.
        """
        due = {
            key: item
            for key, (since_s, item) in self._doubted.items()
            if now_s - since_s >= older_than_s
        }
        for key, item in due.items():
            self.put(key, item)
        return bool(due)

    def retain_missing(self, key: str, *, now_s: float) -> bool:
        """Keep an expired registration until :meth:`drop_missing` removes it.

        Returns
        -------
        bool
            Whether the item is a registration, and not doubted; others are not kept.
        """
        if not isinstance(self._items.get(key), Registration) or key in self._doubted:
            return False
        self._missing_since_s.setdefault(key, now_s)
        return True

    def drop_missing(self, *, older_than_s: float, now_s: float) -> list[str]:
        """Drop items that were not written again in time; return their keys."""
        gone = [
            key
            for key, since_s in self._missing_since_s.items()
            if now_s - since_s >= older_than_s
        ]
        for key in gone:
            self.remove(key, now_s=now_s)
        return gone

    @property
    def missing_count(self) -> int:
        """Items that the store lacks and that are kept for a while."""
        return len(self._missing_since_s)

    @property
    def doubted_count(self) -> int:
        """Upstreams of a restored store that seem to be gone."""
        return len(self._doubted)

    def registrations(self) -> Iterable[Registration]:
        """Return the registrations of upstreams."""
        return (f for f in self._items.values() if isinstance(f, Registration))

    def instances(self) -> Iterable[Instance]:
        """Return the registered instances of this system."""
        return (f for f in self._items.values() if isinstance(f, Instance))

    def crash_suspects(self) -> Iterable[CrashSuspect]:
        """Return the requests that are suspected of crashing upstreams."""
        return (f for f in self._items.values() if isinstance(f, CrashSuspect))

    def rollout_orders(self) -> dict[str, RolloutOrder]:
        """Return the orders to roll out a version, by key."""
        return {k: f for k, f in self._items.items() if isinstance(f, RolloutOrder)}

    def rollout_records(self) -> dict[str, RolloutRecord]:
        """Return the records of rollouts by service."""
        records = (f for f in self._items.values() if isinstance(f, RolloutRecord))
        return {record.service: record for record in records}

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres that operators have taken out of service."""
        return frozenset(
            f.data_centre
            for f in self._items.values()
            if isinstance(f, EvacuatedDataCentre)
        )
