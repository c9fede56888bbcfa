"""Membership of the fleet as seen by one entry.

The list of instances lags behind, so it is used only to find the entries and
to count them. The status that a peer reports about itself is fresher and takes
precedence.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ListedEntry", "Member", "Membership"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEntry:
    """An entry on the list of instances.

    Attributes
    ----------
    name, incarnation, data_centre : str
        Its name, the incarnation of its current process, and its data centre.
    caller_address, peer_address, operator_address : str
        Addresses for callers, peers and operators as ``host:port``.
    leaving : bool
        Whether the list marks it as leaving.
    """

    name: str
    incarnation: str
    data_centre: str
    caller_address: str
    peer_address: str
    operator_address: str
    leaving: bool = False


@dataclass(kw_only=True, slots=True)
class Member:
    """An entry and the last status it reported.

    Attributes
    ----------
    listed : ListedEntry
        Its name and addresses.
    on_list : bool
        Whether it is on the list of instances.
    last_status_at_s : float
        Time of its last status.
    revision : int
        Configuration revision in force there.
    serving, leaving : bool
        Whether it accepts requests, and whether it is about to stop.
    in_flight : int
        Number of its requests in flight.
    """

    listed: ListedEntry
    on_list: bool = False
    last_status_at_s: float = float("-inf")
    revision: int = 0
    serving: bool = False
    leaving: bool = False
    in_flight: int = 0

    @property
    def incarnation(self) -> str:
        """Incarnation of the entry's current process."""
        return self.listed.incarnation


class Membership:
    """All known entries of the fleet.

    Parameters
    ----------
    own : ListedEntry
        This entry.
    timeout_s : float
        Time after its last status for which a peer counts as alive.
    """

    def __init__(self, *, own: ListedEntry, timeout_s: float) -> None:
        self.own = Member(listed=own)
        self._liveness_timeout_s = timeout_s
        self._members: dict[str, Member] = {own.incarnation: self.own}
        self._successors: dict[str, str] = {}

    def update_listed(self, entries: Iterable[ListedEntry]) -> None:
        """Update the entries from the list of instances."""
        entries = list(entries)
        listed = {e.incarnation: e for e in entries}
        for member in self._members.values():
            member.on_list = member.incarnation in listed
        for entry in entries:
            member = self._get_or_add(entry)
            member.on_list = True
            member.leaving = member.leaving or entry.leaving
        self._drop_replaced(listed.values())

    def _drop_replaced(self, entries: Iterable[ListedEntry]) -> None:
        current = {e.name: e.incarnation for e in entries}
        for incarnation, member in list(self._members.items()):
            replaced = current.get(member.listed.name, incarnation) != incarnation
            if replaced and member is not self.own:
                del self._members[incarnation]

    def _get_or_add(self, entry: ListedEntry) -> Member:
        member = self._members.get(entry.incarnation)
        if member is None:
            member = Member(listed=entry)
            self._members[entry.incarnation] = member
        return member

    def record_status(
        self,
        entry: ListedEntry,
        *,
        revision: int,
        serving: bool,
        leaving: bool,
        in_flight: int,
        now_s: float,
    ) -> Member:
        """Record the status that a peer reported about itself."""
        member = self._get_or_add(entry)
        member.last_status_at_s = now_s
        member.revision = max(member.revision, revision)
        member.serving = serving
        member.leaving = member.leaving or leaving
        member.in_flight = in_flight
        return member

    def update_successions(self, successor: str, incarnations: Iterable[str]) -> None:
        """Replace the incarnations whose keys a peer has taken over."""
        reported = set(incarnations)
        for name, current in list(self._successors.items()):
            if current == successor and name not in reported:
                del self._successors[name]
        for name in reported:
            self._successors[name] = successor

    def key_owner(self, incarnation: str) -> Member | None:
        """Return the entry responsible for the keys of an incarnation."""
        seen: set[str] = set()
        while incarnation in self._successors and incarnation not in seen:
            seen.add(incarnation)
            incarnation = self._successors[incarnation]
        return self._members.get(incarnation)

    def get(self, incarnation: str) -> Member | None:
        """Return an entry by its incarnation."""
        return self._members.get(incarnation)

    def peers(self) -> list[Member]:
        """Return the other entries to exchange heartbeats with."""
        return [m for m in self._members.values() if m is not self.own]

    def all_entries(self) -> list[Member]:
        """Return all known entries, including this one."""
        return list(self._members.values())

    def voters(self) -> frozenset[str]:
        """Return the incarnations that count towards a majority."""
        return frozenset(m.incarnation for m in self._members.values() if m.on_list)

    def owners(self) -> frozenset[str]:
        """Return the incarnations among which upstreams are distributed."""
        return frozenset(
            m.incarnation for m in self._members.values() if m.on_list and not m.leaving
        )

    def is_alive(self, member: Member, *, now_s: float) -> bool:
        """Return whether an entry reported its status within the timeout."""
        if member is self.own:
            return True
        return now_s - member.last_status_at_s <= self._liveness_timeout_s

    def drop_unresponsive(self, *, now_s: float, timeout_s: float) -> None:
        """Drop unresponsive entries that are no longer on the list."""
        for incarnation, member in list(self._members.items()):
            unresponsive = now_s - member.last_status_at_s > timeout_s
            if member is not self.own and not member.on_list and unresponsive:
                del self._members[incarnation]
