"""State of the fleet as read from the store; no change takes it back in time."""

from collections.abc import Iterable, Mapping

from borageramp_core._internal.routing.model import (
    CrashSuspect,
    EvacuatedDataCentre,
    Instance,
    Registration,
    RoutingConfig,
    StateItem,
)
from borageramp_core._internal.routing.route_table import RouteTable
from borageramp_core._internal.routing.store_position import StorePosition

__all__ = ["FleetState"]


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

    def put(self, key: str, state_item: StateItem) -> bool:
        """Add or replace an item; return whether anything changed."""
        self._missing_since_s.pop(key, None)
        if isinstance(state_item, RoutingConfig):
            return self._put_config(state_item)
        previous = self._items.get(key)
        self._items[key] = state_item
        return previous != state_item

    def _put_config(self, config: RoutingConfig) -> bool:
        # A delayed response from the store must not restore an older version.
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.table = RouteTable(config.routes)
        return True

    def remove(self, key: str) -> bool:
        """Remove an item; return whether it existed."""
        self._missing_since_s.pop(key, None)
        return self._items.pop(key, None) is not None

    def replace(
        self, state_items: Mapping[str, StateItem], *, after_outage: bool, now_s: float
    ) -> None:
        """Replace all items by a full listing of the store.

        The configuration stays in force if the listing has none.

        Parameters
        ----------
        state_items : mapping of str to StateItem
            All items by key.
        after_outage : bool
            Whether registrations may have expired while the store was
            unavailable. Missing ones are then kept for a while, as their
            upstreams are about to register again.
        now_s : float
            Present time.
        """
        for key in [k for k in self._items if k not in state_items]:
            if not after_outage or not self.retain_missing(key, now_s=now_s):
                self.remove(key)
        for key, state_item in state_items.items():
            self.put(key, state_item)

    def retain_missing(self, key: str, *, now_s: float) -> bool:
        """Keep an expired registration until :meth:`drop_missing` removes it.

        Returns
        -------
        bool
            Whether the item is a registration; other items are not kept.
        """
        if not isinstance(self._items.get(key), Registration):
            return False
        self._missing_since_s.setdefault(key, now_s)
        return True

    def drop_missing(self, *, older_than_s: float, now_s: float) -> list[str]:
        """Drop registrations that were not renewed in time; return their keys."""
        gone = [
            key
            for key, since_s in self._missing_since_s.items()
            if now_s - since_s >= older_than_s
        ]
        for key in gone:
            self.remove(key)
        return gone

    def registrations(self) -> Iterable[Registration]:
        """Return the registrations of upstreams."""
        return (f for f in self._items.values() if isinstance(f, Registration))

    def instances(self) -> Iterable[Instance]:
        """Return the registered instances of this system."""
        return (f for f in self._items.values() if isinstance(f, Instance))

    def crash_suspects(self) -> Iterable[CrashSuspect]:
        """Return the requests that are suspected of crashing upstreams."""
        return (f for f in self._items.values() if isinstance(f, CrashSuspect))

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres that operators have taken out of service."""
        return frozenset(
            f.data_centre
            for f in self._items.values()
            if isinstance(f, EvacuatedDataCentre)
        )
