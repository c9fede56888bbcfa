"""Detection of retries by callers from the deadlines of their requests.

A caller that was refused or disconnected retries with the time that it has
left, and its answer will be late on any upstream. Only the deadline shows a
retry: it is shorter than that of first attempts on the same route.
"""

from collections import Counter

__all__ = ["DeadlineProfile"]

# Width of the buckets of the deadline histogram.
BUCKET_WIDTH_S = 0.05
# Share of the requests, those with the longest deadlines, that count as first
# attempts.
FIRST_ATTEMPT_SHARE = 0.9
# Requests after which the histogram is used, and at which its counts are halved.
MIN_REQUESTS = 50
MAX_REQUESTS = 2000
# Before the histogram is used, a request is a retry if its deadline is below this
# ratio of the longest one seen.
FIRST_MIN_RATIO = 0.8


class DeadlineProfile:
    """Histogram of the deadlines of requests of one route."""

    def __init__(self) -> None:
        self._buckets: Counter[int] = Counter()
        self._requests = 0
        self._longest_s = 0.0
        self._first_attempt_min_s = 0.0
        self._first_attempt_mean_s = 0.0

    def on_request(self, left_s: float) -> None:
        """Record the deadline of a request.

        Only requests that arrive without overload are recorded, as few of
        those are retries.

        Parameters
        ----------
        left_s : float
            Time until the caller's deadline.
        """
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
        """Estimate the time spent on earlier attempts; 0 for a first attempt.

        Parameters
        ----------
        left_s : float
            Time until the caller's deadline.
        """
        if self._requests < MIN_REQUESTS:
            longest_s = max(self._longest_s, left_s)
            return longest_s - left_s if left_s < FIRST_MIN_RATIO * longest_s else 0.0
        return (
            self._first_attempt_mean_s - left_s
            if left_s < self._first_attempt_min_s
            else 0.0
        )
