"""Time after which a caller should retry a request that was refused."""

import random

__all__ = ["retry_after_s"]

# An immediate retry would find the same load.
MIN_RETRY_AFTER_S = 0.01
# Random extension of the time, so that callers don't retry in lockstep.
JITTER_SHARE = 0.5


def retry_after_s(
    *, wait_s: float, rank: int, left_s: float, rng: random.Random
) -> float:
    """Return the time after which a caller should retry.

    Parameters
    ----------
    wait_s : float
        Time after which upstreams may have capacity again.
    rank : int
        Priority of the request, 0 is the highest; higher ones retry sooner.
    left_s : float
        Time until the caller's deadline.
    rng : random.Random
        Source of randomness.
    """
    base_s = max(MIN_RETRY_AFTER_S, wait_s) * (1.0 + 0.5 * rank)
    jittered_s = base_s * (1.0 + JITTER_SHARE * rng.random())
    # At most a third of the time left, so that a retry can meet the deadline.
    return min(jittered_s, max(MIN_RETRY_AFTER_S, left_s / 3.0))
