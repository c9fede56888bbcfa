"""Responses of both versions that this instance has seen."""

from collections.abc import Callable, Mapping
from math import log

from borageramp_core import AttemptResult
from borageramp_core.routing import ResponseCounts, VersionCounts

__all__ = ["EvidenceCollector", "count_response"]

FAILURES = (AttemptResult.ERROR, AttemptResult.DIED, AttemptResult.TIMED_OUT)
# Ratios of the time to the usual one are counted up to this: a neighbour that slows an
# upstream sevenfold must not outweigh many usual responses.
MAX_TIME_RATIO = 5.0
# An attempt that was cancelled because another one was faster took at least its time;
# below this multiple of the usual time, that says nothing.
MIN_CANCELLED_RATIO = 1.5
# Evidence that couldn't be sent for so long is dropped.
MAX_AGE_S = 2.0


def count_response(
    result: AttemptResult, *, elapsed_s: float, usual_s: float, cold: bool
) -> ResponseCounts | None:
    """Return what an attempt counts for; ``None`` if it says nothing.

    Attempts that didn't run, or that their caller gave up, say nothing of a version.
    Of a cold upstream, neither times nor timeouts do.

    Parameters
    ----------
    result : AttemptResult
        How it ended.
    elapsed_s : float
        Time that it took.
    usual_s : float
        Usual time of the route.
    cold : bool
        Whether the upstream was cold.
    """
    if result in FAILURES:
        if cold and result is AttemptResult.TIMED_OUT:
            return None
        return ResponseCounts(responses=1, failures=1)
    ratio = elapsed_s / max(usual_s, 1e-4)
    if result is AttemptResult.CANCELLED and (cold or ratio < MIN_CANCELLED_RATIO):
        return None
    if result not in (AttemptResult.ANSWERED, AttemptResult.CANCELLED):
        return None
    if cold:
        return ResponseCounts(responses=1)
    ratio = min(MAX_TIME_RATIO, max(1.0 / MAX_TIME_RATIO, ratio))
    log_s = log(ratio * max(usual_s, 1e-4))
    return ResponseCounts(
        responses=1, timed=1, log_sum=log_s, log_squares=log_s * log_s
    )


class EvidenceCollector:
    """Collects responses until the deciding instance is told of them.

    Parameters
    ----------
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._counts: dict[str, VersionCounts] = {}
        self._since_s = clock()

    def __bool__(self) -> bool:
        return bool(self._counts)

    def add(self, route: str, counts: VersionCounts) -> None:
        """Add responses of a route."""
        if not self._counts:
            self._since_s = self._clock()
        self._counts[route] = self._counts.get(route, VersionCounts()) + counts

    def take(self) -> Mapping[str, VersionCounts]:
        """Return the responses collected, and start anew."""
        counts, self._counts = self._counts, {}
        return counts

    def put_back(self, counts: Mapping[str, VersionCounts], *, since_s: float) -> None:
        """Keep responses that couldn't be sent, unless they are old.

        Parameters
        ----------
        counts : mapping of str to VersionCounts
            The responses by route.
        since_s : float
            Time of the first of them.
        """
        if self._clock() - since_s > MAX_AGE_S:
            return
        for route, more in counts.items():
            self.add(route, more)
        self._since_s = since_s

    @property
    def since_s(self) -> float:
        """Time of the first response collected."""
        return self._since_s
