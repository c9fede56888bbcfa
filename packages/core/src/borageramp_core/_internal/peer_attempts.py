"""Attempts of crash suspects that are in flight at other entries."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["PeerAttempts", "SuspectAttempt"]


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectAttempt:
    """An in-flight attempt of a crash suspect.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request.
    upstream : str
        Identifier of the upstream that runs it.
    """

    fingerprint: str
    upstream: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _PeerReport:
    """The attempts listed in the last heartbeat of a peer."""

    attempts: frozenset[SuspectAttempt]
    at_s: float


class PeerAttempts:
    """In-flight attempts of crash suspects, as reported by peers."""

    # Peers repeat their attempts in each heartbeat; older reports are ignored.
    MAX_REPORT_AGE_S = 5.0

    def __init__(self) -> None:
        self._reports: dict[str, _PeerReport] = {}

    def update(
        self, member: str, attempts: Iterable[SuspectAttempt], *, now_s: float
    ) -> None:
        """Replace the attempts of a peer, and drop expired reports."""
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
        """Return the upstreams that run a suspect for a peer."""
        return frozenset(a.upstream for a in self._current_attempts(now_s=now_s))

    def has_attempt(self, fingerprint: str, *, now_s: float) -> bool:
        """Return whether a peer has an attempt of a request in flight."""
        return any(
            a.fingerprint == fingerprint for a in self._current_attempts(now_s=now_s)
        )
