"""Tries of crash suspects that other entries have under way."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["PeerTries", "SuspectTry"]


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectTry:
    """A try of a suspect that an upstream has.

    Attributes
    ----------
    fingerprint : str
        Name of the request.
    upstream : str
        Identifier of the upstream.
    """

    fingerprint: str
    upstream: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Heard:
    """The tries that a peer had when it last spoke."""

    tries: frozenset[SuspectTry]
    at_s: float


class PeerTries:
    """The tries of suspects that peers have under way."""

    # What a peer said counts this long; it repeats it with each heartbeat.
    FRESH_S = 5.0

    def __init__(self) -> None:
        self._tries: dict[str, _Heard] = {}

    def learn(self, member: str, tries: Iterable[SuspectTry], *, now_s: float) -> None:
        """Take in all tries of suspects that a peer has."""
        self._tries = {
            name: heard
            for name, heard in self._tries.items()
            if name != member and now_s - heard.at_s <= self.FRESH_S
        }
        tries = frozenset(tries)
        if tries:
            self._tries[member] = _Heard(tries=tries, at_s=now_s)

    def _fresh(self, *, now_s: float) -> Iterable[SuspectTry]:
        for heard in self._tries.values():
            if now_s - heard.at_s <= self.FRESH_S:
                yield from heard.tries

    def upstreams(self, *, now_s: float) -> frozenset[str]:
        """Return the upstreams that have a suspect from a peer."""
        return frozenset(t.upstream for t in self._fresh(now_s=now_s))

    def runs(self, fingerprint: str, *, now_s: float) -> bool:
        """Tell whether a peer has a try of a request under way."""
        return any(t.fingerprint == fingerprint for t in self._fresh(now_s=now_s))
