"""When a caller whose request was refused should come back."""

import random

__all__ = ["retry_after_s"]

# Callers that come back at once find the same state.
MIN_RETRY_AFTER_S = 0.01
# Share by which times are spread, so that callers don't return together.
JITTER_SHARE = 0.5


def retry_after_s(
    *, wait_s: float, rank: int, left_s: float, rng: random.Random
) -> float:
    """Return the time to tell a caller.

    Parameters
    ----------
    wait_s : float
        Time after which there may be room again.
    rank : int
        Priority of the request; the higher ones return sooner.
    left_s : float
        Time until the caller's deadline.
    rng : random.Random
        Source of randomness.
    """
    base_s = max(MIN_RETRY_AFTER_S, wait_s) * (1.0 + 0.5 * rank)
    jittered_s = base_s * (1.0 + JITTER_SHARE * rng.random())
    # A caller can't come back after a third of what it has left.
    return min(jittered_s, max(MIN_RETRY_AFTER_S, left_s / 3.0))
