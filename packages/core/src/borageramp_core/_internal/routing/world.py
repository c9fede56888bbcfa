"""Everything that the store told, merged so that nothing goes back."""

from collections.abc import Iterable, Mapping

from borageramp_core._internal.routing.model import (
    CrashSuspect,
    DataCentreOut,
    Fact,
    Instance,
    Registration,
    RoutingConfig,
)
from borageramp_core._internal.routing.table import RouteTable

__all__ = ["World"]


class World:
    """What an entry knows, by key of the store.

    Attributes
    ----------
    config : RoutingConfig or None
        The newest configuration; ``None`` before the first.
    table : RouteTable
        Its routes.
    revision : int
        Revision of the store up to which this is complete.
    """

    def __init__(self) -> None:
        self.config: RoutingConfig | None = None
        self.table = RouteTable()
        self.revision = 0
        self._facts: dict[str, Fact] = {}
        self._missing_since_s: dict[str, float] = {}

    def put(self, key: str, fact: Fact) -> bool:
        """Take in an item; tell whether it changed anything."""
        self._missing_since_s.pop(key, None)
        if isinstance(fact, RoutingConfig):
            return self._put_config(fact)
        before = self._facts.get(key)
        self._facts[key] = fact
        return before != fact

    def _put_config(self, config: RoutingConfig) -> bool:
        # An answer of the store that is late must not bring back an old version.
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.table = RouteTable(config.routes)
        return True

    def remove(self, key: str) -> bool:
        """Take in that an item was removed; tell whether it was known."""
        self._missing_since_s.pop(key, None)
        return self._facts.pop(key, None) is not None

    def replace(
        self, facts: Mapping[str, Fact], *, after_outage: bool, now_s: float
    ) -> None:
        """Take in a complete reading of the store.

        Parameters
        ----------
        facts : mapping of str to Fact
            All items by key.
        after_outage : bool
            Whether registrations may have lapsed because the store was away.
            Those that are missing then stay for a while, as their owners are
            about to register again.
        now_s : float
            Present time.
        """
        for key in [k for k in self._facts if k not in facts]:
            if not after_outage or not self.hold_missing(key, now_s=now_s):
                self.remove(key)
        for key, fact in facts.items():
            self.put(key, fact)

    def hold_missing(self, key: str, *, now_s: float) -> bool:
        """Keep a registration that has lapsed for a while; tell whether it is one."""
        if not isinstance(self._facts.get(key), Registration):
            return False
        self._missing_since_s.setdefault(key, now_s)
        return True

    def drop_missing(self, *, older_than_s: float, now_s: float) -> list[str]:
        """Drop registrations that did not come back; return their keys."""
        gone = [
            key
            for key, since_s in self._missing_since_s.items()
            if now_s - since_s >= older_than_s
        ]
        for key in gone:
            self.remove(key)
        return gone

    def registrations(self) -> Iterable[Registration]:
        """Return the upstreams that are registered."""
        return (f for f in self._facts.values() if isinstance(f, Registration))

    def instances(self) -> Iterable[Instance]:
        """Return the instances of this system that are registered."""
        return (f for f in self._facts.values() if isinstance(f, Instance))

    def crash_suspects(self) -> Iterable[CrashSuspect]:
        """Return the requests under which upstreams died at some instance."""
        return (f for f in self._facts.values() if isinstance(f, CrashSuspect))

    def data_centres_out(self) -> frozenset[str]:
        """Return the data centres that operators have taken out."""
        return frozenset(
            f.data_centre for f in self._facts.values() if isinstance(f, DataCentreOut)
        )
