"""Requests that crash the upstreams that run them.

When an upstream dies, each request that it was running is a suspect. A
suspect runs again only alone among suspects on one upstream, so that the next
death points at one request. A request under which two upstreams died is
refused.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from borageramp_core._internal.peer_attempts import PeerAttempts

__all__ = ["Suspect", "Suspects", "fingerprint"]


def fingerprint(*, service: str, key: str, method: str, path: str, body: bytes) -> str:
    """Return a name for a request that is the same for each resend.

    Parameters
    ----------
    service, key, method, path : str
        Of the request; a key alone identifies the request if there is one.
    body : bytes
        Body of the request.
    """
    digest = hashlib.blake2b(digest_size=12)
    parts = (key,) if key else (method, path)
    for part in (service, *parts):
        digest.update(part.encode() + b"\0")
    if not key:
        digest.update(body)
    return digest.hexdigest()


@dataclass(kw_only=True, slots=True)
class Suspect:
    """A request under which upstreams died.

    Attributes
    ----------
    upstreams : set of str
        Starts of upstreams that died while they ran it.
    last_crash_at_s : float
        Time of the last death.
    cleared_at_s : float
        Time of the last good answer after a death; deaths before it don't
        count.
    """

    upstreams: set[str] = field(default_factory=set)
    last_crash_at_s: float = float("-inf")
    cleared_at_s: float = float("-inf")

    @property
    def updated_at_s(self) -> float:
        """Time of the last news."""
        return max(self.last_crash_at_s, self.cleared_at_s)


class Suspects:
    """The suspects that one entry knows of.

    Parameters
    ----------
    limit : int
        Most suspects remembered; the oldest go first.
    max_crashes : int
        Deaths after which a request is refused.
    retention_s : float
        Time for which deaths count.

    Attributes
    ----------
    peer_attempts : PeerAttempts
        Tries of suspects that peers have under way.
    """

    MAX_CRASHES = 2
    RETENTION_S = 600.0

    def __init__(
        self,
        *,
        limit: int = 10_000,
        max_crashes: int = MAX_CRASHES,
        retention_s: float = RETENTION_S,
    ) -> None:
        self.peer_attempts = PeerAttempts()
        self._limit = limit
        self._max_crashes = max_crashes
        self._retention_s = retention_s
        self._suspects: OrderedDict[str, Suspect] = OrderedDict()

    def crashes(self, name: str, *, now_s: float) -> int:
        """Return how many upstreams died under a request."""
        suspect = self._suspects.get(name)
        if suspect is None:
            return 0
        if now_s - suspect.last_crash_at_s > self._retention_s:
            del self._suspects[name]
            return 0
        return len(suspect.upstreams)

    def is_quarantined(self, name: str, *, now_s: float) -> bool:
        """Tell whether a request has to be refused."""
        return self.crashes(name, now_s=now_s) >= self._max_crashes

    def on_crash(self, names: Iterable[str], *, upstream: str, now_s: float) -> None:
        """Record the death of an upstream.

        Parameters
        ----------
        names : iterable of str
            Fingerprints of the requests that it was running.
        upstream : str
            Name of the upstream.
        now_s : float
            Present time.

        Notes
        -----
        If suspects were among the requests, the death is put down to them
        alone, and the requests beside them stay clear of it.
        """
        names = set(names)
        known = {n for n in names if self.crashes(n, now_s=now_s) > 0}
        for name in known or names:
            self._add(name, {upstream}, now_s=now_s)

    def merge(
        self, name: str, upstreams: Iterable[str], *, age_s: float, now_s: float
    ) -> None:
        """Take over what a peer knows of a suspect; no upstreams clear it."""
        crashes = set(upstreams)
        if age_s > self._retention_s:
            return
        if crashes:
            self._add(name, crashes, now_s=now_s - age_s)
        elif name in self._suspects:
            self._clear(self._suspects[name], at_s=now_s - age_s)

    def _add(self, name: str, upstreams: set[str], *, now_s: float) -> None:
        suspect = self._suspects.setdefault(name, Suspect())
        if now_s <= suspect.cleared_at_s:
            return
        suspect.upstreams |= upstreams
        suspect.last_crash_at_s = max(suspect.last_crash_at_s, now_s)
        self._suspects.move_to_end(name)
        while len(self._suspects) > self._limit:
            self._suspects.popitem(last=False)

    def clear(self, name: str, *, now_s: float) -> None:
        """Clear a request that was answered; condemned ones stay."""
        suspect = self._suspects.get(name)
        if suspect is not None and suspect.upstreams:
            self._clear(suspect, at_s=now_s)

    def _clear(self, suspect: Suspect, *, at_s: float) -> None:
        quarantined = len(suspect.upstreams) >= self._max_crashes
        if quarantined or at_s <= suspect.last_crash_at_s:
            return
        suspect.upstreams.clear()
        suspect.cleared_at_s = max(suspect.cleared_at_s, at_s)

    def recent(self, *, now_s: float) -> Iterator[tuple[str, Suspect]]:
        """Yield what peers should hear of, the latest first, cleared included."""
        for name in reversed(self._suspects):
            suspect = self._suspects[name]
            if now_s - suspect.updated_at_s <= self._retention_s:
                yield name, suspect
