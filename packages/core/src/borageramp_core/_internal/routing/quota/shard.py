"""One shard of a workspace's quota, at the instance that owns it."""

import enum
from dataclasses import dataclass

from borageramp_core._internal.budget import TokenBucket

__all__ = ["MAX_WAIT_S", "QuotaShard", "ShardAnswer", "ShardState"]

# Token requests for an exhausted shard, relative to its token rate.
QUESTIONS_PER_TOKEN = 2.0
# Longer waits would outlast an exhaustion: instances refuse meanwhile without asking.
MAX_WAIT_S = 2.0
# Time over which the share in use is averaged: its half-life, and its mean.
USE_HALF_LIFE_S = 2.0
USE_MEAN_S = USE_HALF_LIFE_S / 0.693


class ShardState(enum.StrEnum):
    """Whether an instance can grant tokens of a shard."""

    GRANTING = "granting"
    SETTLING = "settling"
    OUT_OF_CONTACT = "out_of_contact"
    NOT_OWNER = "not_owner"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardAnswer:
    """Answer of a shard to a token request.

    Attributes
    ----------
    state : ShardState
        Whether the instance could grant tokens.
    granted : int
        Tokens granted.
    wait_s : float
        If fewer than asked for were granted, time after which to ask again.
    left : float
        Tokens left in the shard.
    share_used : float
        Share of the shard's rate that was in use during the last seconds.
    """

    state: ShardState = ShardState.GRANTING
    granted: int = 0
    wait_s: float = 0.0
    left: float = 0.0
    share_used: float = 0.0


class QuotaShard:
    """Token bucket of one shard.

    Parameters
    ----------
    rate_hz : float
        Tokens per second.
    burst : float
        Capacity in tokens, at least 1.
    granting_at_s : float
        Time from which the shard fills and grants; another instance may have granted
        its tokens until then.
    tokens : float
        Tokens that it has at that time.
    """

    def __init__(
        self, *, rate_hz: float, burst: float, granting_at_s: float, tokens: float = 0.0
    ) -> None:
        self._granting_at_s = granting_at_s
        filling_at_s = granting_at_s - tokens / rate_hz
        self._bucket = TokenBucket(rate_hz=rate_hz, burst=burst, now_s=filling_at_s)
        self._next_question_at_s = float("-inf")
        self._used = 0.0
        self._used_at_s = granting_at_s

    def set_limit(self, *, rate_hz: float, burst: float, now_s: float) -> None:
        """Change rate and capacity; tokens beyond the capacity are lost."""
        if now_s > self._granting_at_s:
            self._bucket.set_rate(rate_hz, burst=burst, now_s=now_s)
        else:
            self._bucket.rate_hz, self._bucket.burst = rate_hz, burst
        latest_s = now_s + MAX_WAIT_S
        self._next_question_at_s = min(self._next_question_at_s, latest_s)

    def ask(self, *, count: int, returned: int = 0, now_s: float) -> ShardAnswer:
        """Take up to ``count`` tokens, after ``returned`` ones are given back."""
        if now_s < self._granting_at_s:
            wait_s = self._granting_at_s - now_s
            return ShardAnswer(state=ShardState.SETTLING, wait_s=wait_s)
        self._bucket.give_back(returned, now_s=now_s)
        granted = 0
        while granted < count and self._bucket.take(now_s=now_s):
            granted += 1
        self._note_use(granted - returned, now_s=now_s)
        return ShardAnswer(
            granted=granted,
            wait_s=self._schedule(now_s=now_s) if granted < count else 0.0,
            left=self._bucket.tokens,
            share_used=self._used / (USE_MEAN_S * self._bucket.rate_hz),
        )

    def _schedule(self, *, now_s: float) -> float:
        """Return the time until the next question, after those already scheduled."""
        interval_s = 1.0 / (QUESTIONS_PER_TOKEN * self._bucket.rate_hz)
        next_s = max(now_s, self._next_question_at_s) + interval_s
        next_s = max(next_s, now_s + self._bucket.wait_s(now_s=now_s))
        self._next_question_at_s = min(next_s, now_s + MAX_WAIT_S)
        return self._next_question_at_s - now_s

    def _note_use(self, granted: int, *, now_s: float) -> None:
        self._used *= 0.5 ** ((now_s - self._used_at_s) / USE_HALF_LIFE_S)
        self._used = max(0.0, self._used + granted)
        self._used_at_s = now_s
