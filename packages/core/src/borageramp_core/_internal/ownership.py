"""Assignment of each upstream to the one entry that owns it.

Requests to cold upstreams, probes and trials of crash suspects must be limited
across the whole fleet, so a single entry owns each upstream for these. The
owner is computed from the member list by rendezvous hashing [1]_, without any
coordination messages. Entries may see different lists for a while, so a new
owner waits until every other entry has either received the new list or stopped
serving.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["Ownership", "rendezvous_order", "rendezvous_owner"]


def _weight(member: str, name: str) -> bytes:
    return hashlib.blake2b(f"{member}\0{name}".encode(), digest_size=8).digest()


def rendezvous_owner(members: Iterable[str], name: str) -> str | None:
    """Return the member with the highest weight for a name.

    Parameters
    ----------
    members : iterable of str
        Names of the members.
    name : str
        Name to assign.

    Returns
    -------
    str or None
        The owner; ``None`` if there are no members.
    """
    return max(members, key=lambda m: (_weight(m, name), m), default=None)


def rendezvous_order(members: Iterable[str], name: str) -> list[str]:
    """Return the members by descending weight for a name."""
    return sorted(members, key=lambda m: (_weight(m, name), m), reverse=True)


class Ownership:
    """Owners of upstreams as seen by one entry.

    Parameters
    ----------
    member : str
        Incarnation of this entry.
    settle_s : float
        Time that must pass after this entry becomes the owner before it may
        act as the owner.

    Attributes
    ----------
    version : int
        Incremented with each change of the members.
    """

    def __init__(self, *, member: str, settle_s: float) -> None:
        self.member = member
        self.version = 0
        self._settle_s = settle_s
        self._members: frozenset[str] = frozenset()
        self._owners: dict[str, str | None] = {}
        self._owned_since_s: dict[str, float] = {}

    @property
    def members(self) -> frozenset[str]:
        """Members among which upstreams are distributed."""
        return self._members

    def update(self, members: Iterable[str], *, now_s: float) -> None:
        """Apply a new member list."""
        members = frozenset(members)
        if members == self._members:
            return
        self._members = members
        self.version += 1
        for name in list(self._owners):
            previous_owner = self._owners[name]
            new_owner = rendezvous_owner(members, name)
            self._owners[name] = new_owner
            if new_owner != previous_owner:
                self._owned_since_s[name] = now_s

    def owner(self, name: str, *, now_s: float) -> str | None:
        """Return the owner of a name."""
        if name not in self._owners:
            self._owners[name] = rendezvous_owner(self._members, name)
            self._owned_since_s[name] = now_s
        return self._owners[name]

    def owns(self, name: str, *, now_s: float) -> bool:
        """Return whether this entry owns a name and has settled as its owner."""
        if self.owner(name, now_s=now_s) != self.member:
            return False
        return now_s - self._owned_since_s[name] >= self._settle_s

    def owns_pair(self, first: str, second: str) -> bool:
        """Return whether this entry owns a pair of names, in either order.

        The result only selects a preferred option among several, so it takes
        effect without the settling time and isn't cached.
        """
        pair = "\0".join(sorted((first, second)))
        return rendezvous_owner(self._members, pair) == self.member

    def forget(self, names: Iterable[str]) -> None:
        """Drop names that no longer exist."""
        for name in names:
            self._owners.pop(name, None)
            self._owned_since_s.pop(name, None)
