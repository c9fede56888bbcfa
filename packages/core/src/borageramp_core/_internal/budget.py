"""Budgets that bound extra work."""

__all__ = ["RatioBudget", "TokenBucket", "WindowBudget"]


class RatioBudget:
    """Allow extra tries as a share of first tries.

    Parameters
    ----------
    ratio : float
        Extra tries earned by one first try.
    burst : float
        Most extra tries that can be saved up.
    """

    def __init__(self, *, ratio: float, burst: float = 10.0) -> None:
        self.ratio = ratio
        self.burst = burst
        self._saved = 0.0
        self.spent = 0

    def earn(self) -> None:
        """Count a first try."""
        self._saved = min(self.burst, self._saved + self.ratio)

    def spend(self) -> bool:
        """Take one extra try; tell whether the budget allowed it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        self.spent += 1
        return True

    def give_back(self) -> None:
        """Return an extra try that was not made."""
        self._saved += 1.0
        self.spent -= 1


class WindowBudget:
    """Allow extra tries in any window, as a share of its first tries and a slack.

    What calm seconds of the window leave can be used at once. Those before a start
    are not known, so that there is no slack until a whole window has passed.

    Parameters
    ----------
    window_s : float
        Length of the window.
    now_s : float
        Present time.

    Attributes
    ----------
    ratio : float
        Extra tries for each first try.
    slack : float
        Extra tries in a window beyond that.
    """

    # Parts of a window; an extra try counts for one part longer than it.
    PARTS = 20

    def __init__(self, *, window_s: float, now_s: float) -> None:
        self.ratio = 0.0
        self.slack = 0.0
        self._window_s = window_s
        self._started_at_s = now_s
        self._first = _PartCounts(parts=self.PARTS)
        self._extra = _PartCounts(parts=self.PARTS + 1)

    def _part(self, now_s: float) -> int:
        return int(now_s * self.PARTS / self._window_s)

    def earn(self, *, now_s: float) -> None:
        """Count a first try."""
        self._first.add(1, part=self._part(now_s))

    def spend(self, *, now_s: float) -> bool:
        """Take one extra try; tell whether the budget allowed it."""
        part = self._part(now_s)
        allowed = self.ratio * self._first.total(part=part)
        if now_s - self._started_at_s >= self._window_s:
            allowed += self.slack
        if self._extra.total(part=part) + 1 > allowed:
            return False
        self._extra.add(1, part=part)
        return True

    def give_back(self, *, spent_at_s: float) -> None:
        """Return an extra try that was not made."""
        self._extra.remove(1, part=self._part(spent_at_s))


class _PartCounts:
    """Counts in the last parts of time."""

    def __init__(self, *, parts: int) -> None:
        self._parts = parts
        self._counts: dict[int, int] = {}
        self._total = 0

    def add(self, count: int, *, part: int) -> None:
        self._counts[part] = self._counts.get(part, 0) + count
        self._total += count

    def remove(self, count: int, *, part: int) -> None:
        if part in self._counts:
            self._counts[part] -= count
            self._total -= count

    def total(self, *, part: int) -> int:
        """Return the sum of the last parts, and forget those before them."""
        for old in [p for p in self._counts if p <= part - self._parts]:
            self._total -= self._counts.pop(old)
        return self._total


class TokenBucket:
    """Allow events at a bounded rate.

    The bucket starts empty, so that restarts add no burst.

    Parameters
    ----------
    rate_hz : float
        Events a second.
    burst : float
        Most events at once.
    now_s : float
        Present time.
    """

    def __init__(self, *, rate_hz: float, burst: float, now_s: float) -> None:
        self.rate_hz = rate_hz
        self.burst = burst
        self._tokens = 0.0
        self._filled_at_s = now_s

    def take(self, *, now_s: float) -> bool:
        """Take one event; tell whether the rate allowed it."""
        if not self.has_token(now_s=now_s):
            return False
        self._tokens -= 1.0
        return True

    def has_token(self, *, now_s: float) -> bool:
        """Tell whether the rate allows an event now."""
        gained = (now_s - self._filled_at_s) * self.rate_hz
        self._tokens = min(self.burst, self._tokens + gained)
        self._filled_at_s = now_s
        return self._tokens >= 1.0
