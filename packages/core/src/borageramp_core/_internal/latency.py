"""Latency quantiles over a sliding window."""

from collections import deque

__all__ = ["LatencyWindow"]


class LatencyWindow:
    """Sliding window of the most recent latencies.

    The samples are sorted once every ``SORT_INTERVAL`` additions, so quantiles
    may be that many samples out of date.

    Parameters
    ----------
    size : int
        Maximum number of samples.
    """

    MIN_SAMPLES = 20
    SORT_INTERVAL = 25

    def __init__(self, *, size: int = 500) -> None:
        self._latencies_s: deque[float] = deque(maxlen=size)
        self._sorted: list[float] = []
        self._sample_count = 0

    def add(self, latency_s: float) -> None:
        """Record the latency of a response."""
        self._latencies_s.append(latency_s)
        self._sample_count += 1
        if self._sample_count % self.SORT_INTERVAL == 0 or not self._sorted:
            self._sorted = sorted(self._latencies_s)

    def quantile_s(self, quantile: float) -> float | None:
        """Return a quantile in seconds; ``None`` if there are too few samples."""
        if len(self._sorted) < self.MIN_SAMPLES:
            return None
        index = min(len(self._sorted) - 1, int(quantile * len(self._sorted)))
        return self._sorted[index]
