"""Tokens that an instance grants itself while it reaches no shard."""

import random

__all__ = ["SelfGrantBudget"]


class SelfGrantBudget:
    """Budget of one instance and workspace, as part of one over all instances.

    Half of a window's tokens may be saved up, the other half come within the window.
    Where less than one can be saved up, a request gets one with a probability of the
    balance, which is used up either way, as in ``RatioBudget``: many small budgets
    then grant as many tokens as one large one.

    Parameters
    ----------
    now_s : float
        Time from which tokens are saved up.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, *, now_s: float, rng: random.Random) -> None:
        self._balance = 0.0
        self._filled_at_s = now_s
        self._rng = rng

    def take(self, *, tokens: float, window_s: float, now_s: float) -> bool:
        """Take a token, and return whether there was one.

        Parameters
        ----------
        tokens : float
            Tokens that this instance may grant itself in a window.
        window_s : float
            Length of the window in seconds.
        now_s : float
            Current time.
        """
        gained = (now_s - self._filled_at_s) * 0.5 * tokens / window_s
        self._filled_at_s = now_s
        depth = 0.5 * tokens
        self._balance = min(depth, self._balance + gained)
        if depth >= 1.0:
            granted = self._balance >= 1.0
            self._balance -= float(granted)
            return granted
        granted = self._rng.random() < self._balance
        self._balance = 0.0
        return granted
