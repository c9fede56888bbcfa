"""Which revision is in force, and whether this entry may act on it.

An accepted change must be in force everywhere within seconds, also at an
entry that is cut off. So a change counts as accepted only when a majority of
the entries confirm it, and an entry takes work only while it has heard,
within the last few seconds, from the store or from a majority of the entries.
Two majorities meet, so an entry that takes work has heard of every change
accepted longer ago than that.
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
    """Something with a revision of the store."""

    @property
    def revision(self) -> int:
        """The revision."""


R = TypeVar("R", bound=Revisioned)


class RevisionState(Generic[R]):
    """The configuration in force, which never goes back.

    Parameters
    ----------
    initial : Revisioned
        What is in force before anything is known.
    """

    def __init__(self, *, initial: R) -> None:
        self.current = initial

    def apply_if_newer(self, candidate: R) -> bool:
        """Put a configuration in force if it is newer; tell whether it was."""
        if candidate.revision <= self.current.revision:
            return False
        self.current = candidate
        return True


def is_majority(count: int, *, of: int) -> bool:
    """Tell whether a count is more than half of a whole."""
    return 2 * count > of


class ServingLease:
    """Whether this entry has heard recently enough to take work.

    Times are those at which a question was sent, so that a slow answer
    doesn't stretch the lease.

    Parameters
    ----------
    member : str
        This entry's incarnation.
    lease_s : float
        How long a confirmation counts.
    """

    def __init__(self, *, member: str, lease_s: float) -> None:
        self._member = member
        self._lease_s = lease_s
        self._store_confirmed_at_s = float("-inf")
        self._peer_confirmed_at_s: dict[str, float] = {}

    def renew_from_store(self, *, sent_at_s: float) -> None:
        """Take in that the store confirmed the revision in force."""
        self._store_confirmed_at_s = max(self._store_confirmed_at_s, sent_at_s)

    def renew_from_peer(self, member: str, *, sent_at_s: float) -> None:
        """Take in that a peer knows of nothing newer."""
        previous_s = self._peer_confirmed_at_s.get(member, float("-inf"))
        self._peer_confirmed_at_s[member] = max(previous_s, sent_at_s)

    def is_valid(self, members: Collection[str], *, now_s: float) -> bool:
        """Tell whether this entry may take work.

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
        """Tell whether the store has answered within the lease."""
        return self._store_confirmed_at_s >= now_s - self._lease_s

    def store_confirmed_recently(self, *, now_s: float) -> bool:
        """Tell whether there is time to ask peers if the store went away now."""
        return self._store_confirmed_at_s >= now_s - self._lease_s / 2

    def retain_members(self, members: Collection[str]) -> None:
        """Drop what was heard from entries that left the list."""
        kept = set(members)
        self._peer_confirmed_at_s = {
            k: v for k, v in self._peer_confirmed_at_s.items() if k in kept
        }


def confirmed_by_majority(
    revision: int, *, revisions: Mapping[str, int], members: Collection[str]
) -> bool:
    """Tell whether a majority of the entries have a revision in force.

    Parameters
    ----------
    revision : int
        The revision.
    revisions : mapping of str to int
        Revision last heard from each entry.
    members : collection of str
        Incarnations on the list of entries.
    """
    count = sum(1 for m in members if revisions.get(m, 0) >= revision)
    return is_majority(count, of=len(members))
