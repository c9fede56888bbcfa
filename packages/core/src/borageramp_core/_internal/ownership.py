"""Which entry alone may do a thing to an upstream.

Cold upstreams, probes and trials of crash suspects need a bound over the
whole fleet. One entry owns each upstream for these; the owner follows from
the member list by rendezvous hashing [1]_, so no message is needed to agree.
Entries may see different lists for a while, so a new owner waits until every
other entry has either seen the new list or stopped serving.

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
    """Return the member with the highest hash for a name.

    Parameters
    ----------
    members : iterable of str
        Names of the members.
    name : str
        Name of the thing to own.

    Returns
    -------
    str or None
        The owner; ``None`` without members.
    """
    return max(members, key=lambda m: (_weight(m, name), m), default=None)


def rendezvous_order(members: Iterable[str], name: str) -> list[str]:
    """Return the members by their hash for a name, the highest first."""
    return sorted(members, key=lambda m: (_weight(m, name), m), reverse=True)


class Ownership:
    """The owners of upstreams, as one entry sees them.

    Parameters
    ----------
    member : str
        Name of this entry's incarnation.
    settle_s : float
        Time for which an entry has to be the owner before it acts as one.

    Attributes
    ----------
    version : int
        Grows with each change of the members.
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
        """Names of the members that share the ownership."""
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
        """Tell whether this entry owns a name and may act on it."""
        if self.owner(name, now_s=now_s) != self.member:
            return False
        return now_s - self._owned_since_s[name] >= self._settle_s

    def owns_pair(self, first: str, second: str) -> bool:
        """Tell whether this entry owns two names taken together.

        Nothing depends on it but which of several ways is preferred, so it
        counts at once and isn't remembered.
        """
        pair = "\0".join(sorted((first, second)))
        return rendezvous_owner(self._members, pair) == self.member

    def forget(self, names: Iterable[str]) -> None:
        """Drop names that no longer exist."""
        for name in names:
            self._owners.pop(name, None)
            self._owned_since_s.pop(name, None)
