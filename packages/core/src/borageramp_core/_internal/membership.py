"""The entries of the fleet, as one entry sees them.

The list of instances lags, so it only tells whom to contact and how many
entries there are. What a peer says of itself is fresher and goes first.
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
        Its name, its present start, and where it runs.
    caller_address, peer_address, operator_address : str
        Its addresses as ``host:port``.
    leaving : bool
        Whether the list says that it is leaving.
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
    """An entry and what it last said of itself.

    Attributes
    ----------
    listed : ListedEntry
        Its name and addresses.
    on_list : bool
        Whether the list of instances has it.
    last_status_at_s : float
        Time of its last word.
    revision : int
        Revision that it has in force.
    serving, leaving : bool
        Whether it takes work, and whether it is about to stop.
    in_flight : int
        Requests that it has.
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
        """Present start of the entry."""
        return self.listed.incarnation


class Membership:
    """The entries that this entry knows of.

    Parameters
    ----------
    own : ListedEntry
        This entry.
    timeout_s : float
        How long a word of a peer counts.
    """

    def __init__(self, *, own: ListedEntry, timeout_s: float) -> None:
        self.own = Member(listed=own)
        self._liveness_timeout_s = timeout_s
        self._members: dict[str, Member] = {own.incarnation: self.own}
        self._successors: dict[str, str] = {}

    def update_listed(self, entries: Iterable[ListedEntry]) -> None:
        """Take in the list of instances."""
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
        """Take in what a peer says of itself."""
        member = self._get_or_add(entry)
        member.last_status_at_s = now_s
        member.revision = max(member.revision, revision)
        member.serving = serving
        member.leaving = member.leaving or leaving
        member.in_flight = in_flight
        return member

    def update_successions(self, successor: str, incarnations: Iterable[str]) -> None:
        """Take in for whose keys a peer answers, besides its own."""
        reported = set(incarnations)
        for name, current in list(self._successors.items()):
            if current == successor and name not in reported:
                del self._successors[name]
        for name in reported:
            self._successors[name] = successor

    def key_owner(self, incarnation: str) -> Member | None:
        """Return the entry that answers for the keys of an incarnation."""
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
        """Return all entries known, this one included."""
        return list(self._members.values())

    def voters(self) -> frozenset[str]:
        """Return the incarnations that a majority is counted over."""
        return frozenset(m.incarnation for m in self._members.values() if m.on_list)

    def owners(self) -> frozenset[str]:
        """Return the incarnations that share the ownership of upstreams."""
        return frozenset(
            m.incarnation for m in self._members.values() if m.on_list and not m.leaving
        )

    def is_alive(self, member: Member, *, now_s: float) -> bool:
        """Tell whether an entry was heard from lately."""
        if member is self.own:
            return True
        return now_s - member.last_status_at_s <= self._liveness_timeout_s

    def drop_unresponsive(self, *, now_s: float, timeout_s: float) -> None:
        """Drop entries that left the list and have been silent."""
        for incarnation, member in list(self._members.items()):
            unresponsive = now_s - member.last_status_at_s > timeout_s
            if member is not self.own and not member.on_list and unresponsive:
                del self._members[incarnation]
