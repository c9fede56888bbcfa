"""Tries of crash suspects that other entries have under way."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["PeerAttempts", "SuspectAttempt"]


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectAttempt:
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
class _PeerReport:
    """The tries that a peer had when it last spoke."""

    attempts: frozenset[SuspectAttempt]
    at_s: float


class PeerAttempts:
    """The tries of suspects that peers have under way."""

    # What a peer said counts this long; it repeats it with each heartbeat.
    MAX_REPORT_AGE_S = 5.0

    def __init__(self) -> None:
        self._reports: dict[str, _PeerReport] = {}

    def update(
        self, member: str, attempts: Iterable[SuspectAttempt], *, now_s: float
    ) -> None:
        """Take in all tries of suspects that a peer has."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if name != member and now_s - report.at_s <= self.MAX_REPORT_AGE_S
        }
        attempts = frozenset(attempts)
        if attempts:
            self._reports[member] = _PeerReport(attempts=attempts, at_s=now_s)

    def _current_attempts(self, *, now_s: float) -> Iterable[SuspectAttempt]:
        for report in self._reports.values():
            if now_s - report.at_s <= self.MAX_REPORT_AGE_S:
                yield from report.attempts

    def upstreams(self, *, now_s: float) -> frozenset[str]:
        """Return the upstreams that have a suspect from a peer."""
        return frozenset(t.upstream for t in self._current_attempts(now_s=now_s))

    def has_attempt(self, fingerprint: str, *, now_s: float) -> bool:
        """Tell whether a peer has a try of a request under way."""
        return any(
            t.fingerprint == fingerprint for t in self._current_attempts(now_s=now_s)
        )
