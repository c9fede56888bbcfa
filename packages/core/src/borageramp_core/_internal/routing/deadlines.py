"""How long callers have waited already when their requests arrive.

A caller that was refused or cut off comes back with what is left of its time,
and its answer will be late wherever it is placed. Nothing but that time tells:
it is shorter than what callers of the route have at first.
"""

from collections import Counter

__all__ = ["DeadlineProfile"]

# Deadlines are counted in classes of this width.
CLASS_S = 0.05
# Share of the requests whose deadlines count as those of first tries.
FIRST_SHARE = 0.9
# Requests after which that is known, and at which old ones begin to be forgotten.
MIN_REQUESTS = 50
MAX_REQUESTS = 2000
# Until then: callers that differ by more than this from the longest deadline of
# the last requests have come back.
PRIOR_SHARE = 0.8


class DeadlineProfile:
    """The deadlines with which callers of one route come."""

    def __init__(self) -> None:
        self._classes: Counter[int] = Counter()
        self._requests = 0
        self._longest_s = 0.0
        self._first_s = 0.0
        self._mean_s = 0.0

    def on_request(self, left_s: float) -> None:
        """Take in a request that met no overload, so that few had come back."""
        if left_s <= 0.0:
            return
        self._longest_s = max(self._longest_s, left_s)
        self._classes[int(left_s / CLASS_S)] += 1
        self._requests += 1
        if self._requests >= MAX_REQUESTS:
            self._forget()
        if self._requests >= MIN_REQUESTS:
            self._learn()

    def _forget(self) -> None:
        self._classes = Counter(
            {number: count // 2 for number, count in self._classes.items() if count > 1}
        )
        self._requests = self._classes.total()
        self._longest_s = (max(self._classes) + 1) * CLASS_S

    def _learn(self) -> None:
        counted = 0
        sum_s = 0.0
        for number in sorted(self._classes, reverse=True):
            count = self._classes[number]
            counted += count
            sum_s += count * (number + 0.5) * CLASS_S
            if counted >= FIRST_SHARE * self._requests:
                self._first_s = number * CLASS_S
                self._mean_s = sum_s / counted
                return

    def age_s(self, left_s: float) -> float:
        """Return how long a caller has probably waited; 0 if it may be new.

        Parameters
        ----------
        left_s : float
            Time that it has left.
        """
        if self._requests < MIN_REQUESTS:
            longest_s = max(self._longest_s, left_s)
            return longest_s - left_s if left_s < PRIOR_SHARE * longest_s else 0.0
        return self._mean_s - left_s if left_s < self._first_s else 0.0
