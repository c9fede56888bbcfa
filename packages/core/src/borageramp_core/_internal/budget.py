"""Budgets for retries, hedges and other extra work."""

import random

__all__ = ["RatioBudget", "TokenBucket"]


class RatioBudget:
    """Budget that allows extra attempts in proportion to first attempts.

    With a burst below one, a balance can't come to a whole attempt. It then allows
    one with a probability of its size, and is used up either way, so that many small
    budgets together allow as many attempts as one large budget.

    Parameters
    ----------
    ratio : float
        Extra attempts earned by each first attempt.
    burst : float
        Maximum number of extra attempts that accumulate.
    rng : random.Random, optional
        Source of randomness; without it, a burst below one allows nothing.

    Attributes
    ----------
    min_balance : float
        Balance that allows an attempt, with a burst of one or more. Below one, the rest
        is owed and earned later; bursts are longer by as much.
    """

    def __init__(
        self, *, ratio: float, burst: float = 10.0, rng: random.Random | None = None
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self._rng = rng
        self._balance = 0.0
        self.min_balance = 1.0
        self.spent = 0

    def earn(self) -> None:
        """Record a first attempt."""
        self._balance = min(self.burst, self._balance + self.ratio)

    def spend(self) -> bool:
        """Spend one extra attempt, and return whether the budget allowed it."""
        if self._balance >= self.min_balance and self.burst >= self.min_balance:
            self._balance -= 1.0
        elif self.burst >= 1.0 or self._rng is None:
            return False
        else:
            allowed = self._rng.random() < self._balance
            self._balance = 0.0
            if not allowed:
                return False
        self.spent += 1
        return True

    def refund(self) -> None:
        """Refund an extra attempt that was not made."""
        self._balance += min(1.0, self.burst)
        self.spent -= 1


class TokenBucket:
    """Token bucket that limits the rate of events.

    The bucket starts empty, so that restarts do not cause a burst.

    Parameters
    ----------
    rate_hz : float
        Events per second.
    burst : float
        Capacity of the bucket in events.
    now_s : float
        Present time.
    """

    def __init__(self, *, rate_hz: float, burst: float, now_s: float) -> None:
        self.rate_hz = rate_hz
        self.burst = burst
        self._tokens = 0.0
        self._filled_at_s = now_s

    def take(self, *, now_s: float) -> bool:
        """Take one token, and return whether there was one."""
        if not self.has_token(now_s=now_s):
            return False
        self._tokens -= 1.0
        return True

    def has_token(self, *, now_s: float) -> bool:
        """Refill the bucket, and return whether it has a token."""
        gained = (now_s - self._filled_at_s) * self.rate_hz
        self._tokens = min(self.burst, self._tokens + gained)
        self._filled_at_s = now_s
        return self._tokens >= 1.0

    def wait_s(self, *, reserve: float = 0.0, now_s: float) -> float:
        """Return the time until there is a token; infinity if none will come.

        Parameters
        ----------
        reserve : float
            Tokens that have to be left, as far as the capacity allows.
        now_s : float
            Present time.
        """
        self.has_token(now_s=now_s)
        missing = max(1.0, min(self.burst, 1.0 + reserve)) - self._tokens
        if missing <= 0.0:
            return 0.0
        if self.rate_hz <= 0.0:
            return float("inf")
        return missing / self.rate_hz

    def tokens_within(
        self, duration_s: float, *, reserve: float = 0.0, now_s: float
    ) -> int:
        """Return how many tokens can be taken within a time.

        Parameters
        ----------
        duration_s : float
            Length of the time from now on, in seconds.
        reserve : float
            Tokens that have to be left, as far as the capacity allows.
        now_s : float
            Present time.
        """
        self.has_token(now_s=now_s)
        left = min(reserve, max(0.0, self.burst - 1.0))
        # Rounded, as a full bucket less the reserve has to come to a whole token.
        return int(round(self._tokens + self.rate_hz * duration_s - left, 9))

    @property
    def tokens(self) -> float:
        """Tokens at the time of the last call."""
        return self._tokens

    def give_back(self, count: int, *, now_s: float) -> None:
        """Put tokens back that were taken and not used; no more than fit."""
        self.has_token(now_s=now_s)
        self._tokens = min(self.burst, self._tokens + count)

    def set_rate(self, rate_hz: float, *, burst: float, now_s: float) -> None:
        """Change rate and capacity; tokens gained so far are kept."""
        self.has_token(now_s=now_s)
        self.rate_hz = rate_hz
        self.burst = burst
