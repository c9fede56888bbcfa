"""Time after which a caller should retry a request that was refused."""

import random

__all__ = ["retry_after_s", "spread_retry_after_s"]

# An immediate retry would find the same load.
MIN_RETRY_AFTER_S = 0.01
# Part of the time left that callers wait at most, so that a retry can be in time.
MAX_SHARE_OF_LEFT = 1.0 / 3.0
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
    return min(jittered_s, _max_wait_s(left_s))


def spread_retry_after_s(*, wait_s: float, left_s: float, rng: random.Random) -> float:
    """Return a random time after which a caller over its quota should retry.

    Parameters
    ----------
    wait_s : float
        Time after which the workspace may have a token.
    left_s : float
        Time until the caller's deadline.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    float
        Time in seconds, spread over as long again as the wait. Where that exceeds what
        callers wait, it is spread over the second half of what they do, so that they
        don't all return at its end.
    """
    latest_s = min(2.0 * max(MIN_RETRY_AFTER_S, wait_s), _max_wait_s(left_s))
    return latest_s * (0.5 + 0.5 * rng.random())


def _max_wait_s(left_s: float) -> float:
    return max(MIN_RETRY_AFTER_S, left_s * MAX_SHARE_OF_LEFT)
