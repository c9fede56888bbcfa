"""Budgets that bound extra work."""

__all__ = ["RatioBudget", "TokenBucket"]


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
        self._balance = 0.0
        self.spent = 0

    def earn(self) -> None:
        """Count a first try."""
        self._balance = min(self.burst, self._balance + self.ratio)

    def spend(self) -> bool:
        """Take one extra try; tell whether the budget allowed it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        self.spent += 1
        return True

    def refund(self) -> None:
        """Return an extra try that was not made."""
        self._balance += 1.0
        self.spent -= 1


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
