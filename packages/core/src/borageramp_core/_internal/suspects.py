"""Detection of requests that crash upstreams.

When an upstream crashes, each request that it was running becomes a suspect.
An upstream runs at most one suspect at a time, so that the next crash can be
attributed to a single request. A request that was running when two upstreams
crashed is quarantined: further attempts are refused.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from borageramp_core._internal.peer_attempts import PeerAttempts

__all__ = ["Suspect", "Suspects", "fingerprint"]


def fingerprint(*, service: str, key: str, method: str, path: str, body: bytes) -> str:
    """Return a hash that identifies a request across resends.

    Parameters
    ----------
    service, key, method, path : str
        Attributes of the request. If there is a key, it replaces the method,
        path and body.
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
    """A request that was running when upstreams crashed.

    Attributes
    ----------
    upstreams : set of str
        Upstream starts that crashed while they ran it.
    last_crash_at_s : float
        Time of the last crash.
    cleared_at_s : float
        Time of the last successful response after a crash; earlier crashes
        are ignored.
    """

    upstreams: set[str] = field(default_factory=set)
    last_crash_at_s: float = float("-inf")
    cleared_at_s: float = float("-inf")

    @property
    def updated_at_s(self) -> float:
        """Time of the last crash or clearing."""
        return max(self.last_crash_at_s, self.cleared_at_s)


class Suspects:
    """Crash suspects recorded by one entry.

    Parameters
    ----------
    limit : int
        Maximum number of suspects; those whose crashes were recorded longest
        ago are dropped first.
    max_crashes : int
        Number of crashes from which a request is quarantined.
    retention_s : float
        Time for which crashes are counted.

    Attributes
    ----------
    peer_attempts : PeerAttempts
        Attempts of suspects that are in flight at peers.
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
        """Return the number of upstream starts that crashed while running a request."""
        suspect = self._suspects.get(name)
        if suspect is None:
            return 0
        if now_s - suspect.last_crash_at_s > self._retention_s:
            del self._suspects[name]
            return 0
        return len(suspect.upstreams)

    def is_quarantined(self, name: str, *, now_s: float) -> bool:
        """Return whether a request must be refused."""
        return self.crashes(name, now_s=now_s) >= self._max_crashes

    def on_crash(
        self, fingerprints: Iterable[str], *, upstream: str, now_s: float
    ) -> None:
        """Record the crash of an upstream.

        Parameters
        ----------
        fingerprints : iterable of str
            Fingerprints of the requests that it was running.
        upstream : str
            Identifier of the upstream start.
        now_s : float
            Present time.

        Notes
        -----
        If any of the requests are suspects already, the crash is attributed
        to these alone, and the other requests do not become suspects.
        """
        fingerprints = set(fingerprints)
        known = {n for n in fingerprints if self.crashes(n, now_s=now_s) > 0}
        for name in known or fingerprints:
            self._add(name, {upstream}, now_s=now_s)

    def merge(
        self, name: str, upstreams: Iterable[str], *, age_s: float, now_s: float
    ) -> None:
        """Merge a peer's record of a suspect; an empty one clears the suspect."""
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
        """Clear a suspect that got a response, unless it is quarantined."""
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
        """Yield the suspects to publish to peers, including cleared ones.

        The one whose crashes were recorded last comes first.
        """
        for name in reversed(self._suspects):
            suspect = self._suspects[name]
            if now_s - suspect.updated_at_s <= self._retention_s:
                yield name, suspect
