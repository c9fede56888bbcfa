"""Configuration revision in force and the serving lease.

An accepted change must be in force everywhere within seconds, even at an entry
that is partitioned from the others. A change therefore counts as accepted only
when a majority of the entries have confirmed it, and an entry serves only while
the store or a majority of the entries have answered it within the last few
seconds. Any two majorities intersect, so a serving entry has received every
change accepted before that period.
"""

from collections.abc import Collection, Mapping
from typing import Generic, Protocol, TypeVar

__all__ = [
    "RevisionState",
    "Revisioned",
    "ServingLease",
    "confirmed_by_majority",
    "is_majority",
]


class Revisioned(Protocol):
    """An object with a revision of the store."""

    @property
    def revision(self) -> int:
        """Revision of the store."""


R = TypeVar("R", bound=Revisioned)


class RevisionState(Generic[R]):
    """Configuration in force, whose revision never decreases.

    Parameters
    ----------
    initial : Revisioned
        Configuration in force until the first one is received.
    """

    def __init__(self, *, initial: R) -> None:
        self.current = initial

    def apply_if_newer(self, candidate: R) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if candidate.revision <= self.current.revision:
            return False
        self.current = candidate
        return True


def is_majority(count: int, *, of: int) -> bool:
    """Return whether a count is more than half of a total."""
    return 2 * count > of


class ServingLease:
    """Lease that allows this entry to accept requests.

    A confirmation counts from the time at which its request was sent, so that
    a slow answer doesn't extend the lease.

    Parameters
    ----------
    member : str
        Incarnation of this entry.
    lease_s : float
        Time for which a confirmation is valid.
    """

    def __init__(self, *, member: str, lease_s: float) -> None:
        self._member = member
        self._lease_s = lease_s
        self._store_confirmed_at_s = float("-inf")
        self._peer_confirmed_at_s: dict[str, float] = {}

    def renew_from_store(self, *, sent_at_s: float) -> None:
        """Record that the store confirmed the revision in force."""
        self._store_confirmed_at_s = max(self._store_confirmed_at_s, sent_at_s)

    def renew_from_peer(self, member: str, *, sent_at_s: float) -> None:
        """Record that a peer has no newer revision."""
        previous_s = self._peer_confirmed_at_s.get(member, float("-inf"))
        self._peer_confirmed_at_s[member] = max(previous_s, sent_at_s)

    def is_valid(self, members: Collection[str], *, now_s: float) -> bool:
        """Return whether this entry may accept requests.

        Parameters
        ----------
        members : collection of str
            Incarnations on the list of entries.
        now_s : float
            Present time.
        """
        oldest_valid_s = now_s - self._lease_s
        if self._store_confirmed_at_s >= oldest_valid_s:
            return True
        if self._member not in members:
            return False
        confirmations = sum(
            1
            for member in members
            if member == self._member
            or self._peer_confirmed_at_s.get(member, float("-inf")) >= oldest_valid_s
        )
        return is_majority(confirmations, of=len(members))

    def store_reachable(self, *, now_s: float) -> bool:
        """Return whether the store has answered within the lease."""
        return self._store_confirmed_at_s >= now_s - self._lease_s

    def store_confirmed_recently(self, *, now_s: float) -> bool:
        """Return whether the store has confirmed within the last half lease.

        If the store fails now, there is still time to get confirmations from
        peers.
        """
        return self._store_confirmed_at_s >= now_s - self._lease_s / 2

    def retain_members(self, members: Collection[str]) -> None:
        """Drop the confirmations of entries that left the list."""
        kept = set(members)
        self._peer_confirmed_at_s = {
            k: v for k, v in self._peer_confirmed_at_s.items() if k in kept
        }


def confirmed_by_majority(
    revision: int, *, revisions: Mapping[str, int], members: Collection[str]
) -> bool:
    """Return whether a majority of the entries have a revision in force.

    Parameters
    ----------
    revision : int
        The revision.
    revisions : mapping of str to int
        Revision last reported by each entry.
    members : collection of str
        Incarnations on the list of entries.
    """
    count = sum(1 for m in members if revisions.get(m, 0) >= revision)
    return is_majority(count, of=len(members))
