"""How long callers have waited already when their requests arrive.

A caller that was refused or cut off comes back with what is left of its time,
and its answer will be late wherever it is placed. Nothing but that time tells:
it is shorter than what callers of the route have at first.
"""

from collections import Counter

__all__ = ["DeadlineProfile"]

# Deadlines are counted in classes of this width.
BUCKET_WIDTH_S = 0.05
# Share of the requests whose deadlines count as those of first tries.
FIRST_ATTEMPT_SHARE = 0.9
# Requests after which that is known, and at which old ones begin to be forgotten.
MIN_REQUESTS = 50
MAX_REQUESTS = 2000
# Until then: callers that differ by more than this from the longest deadline of
# the last requests have come back.
FIRST_MIN_RATIO = 0.8


class DeadlineProfile:
    """The deadlines with which callers of one route come."""

    def __init__(self) -> None:
        self._buckets: Counter[int] = Counter()
        self._requests = 0
        self._longest_s = 0.0
        self._first_attempt_min_s = 0.0
        self._first_attempt_mean_s = 0.0

    def on_request(self, left_s: float) -> None:
        """Take in a request that met no overload, so that few had come back."""
        if left_s <= 0.0:
            return
        self._longest_s = max(self._longest_s, left_s)
        self._buckets[int(left_s / BUCKET_WIDTH_S)] += 1
        self._requests += 1
        if self._requests >= MAX_REQUESTS:
            self._decay()
        if self._requests >= MIN_REQUESTS:
            self._update_first_attempts()

    def _decay(self) -> None:
        self._buckets = Counter(
            {bucket: count // 2 for bucket, count in self._buckets.items() if count > 1}
        )
        self._requests = self._buckets.total()
        self._longest_s = (max(self._buckets) + 1) * BUCKET_WIDTH_S

    def _update_first_attempts(self) -> None:
        counted = 0
        sum_s = 0.0
        for bucket in sorted(self._buckets, reverse=True):
            count = self._buckets[bucket]
            counted += count
            sum_s += count * (bucket + 0.5) * BUCKET_WIDTH_S
            if counted >= FIRST_ATTEMPT_SHARE * self._requests:
                self._first_attempt_min_s = bucket * BUCKET_WIDTH_S
                self._first_attempt_mean_s = sum_s / counted
                return

    def caller_age_s(self, left_s: float) -> float:
        """Return how long a caller has probably waited; 0 if it may be new.

        Parameters
        ----------
        left_s : float
            Time that it has left.
        """
        if self._requests < MIN_REQUESTS:
            longest_s = max(self._longest_s, left_s)
            return longest_s - left_s if left_s < FIRST_MIN_RATIO * longest_s else 0.0
        return (
            self._first_attempt_mean_s - left_s
            if left_s < self._first_attempt_min_s
            else 0.0
        )
