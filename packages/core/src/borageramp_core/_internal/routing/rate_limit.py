"""Rate limit that an upstream names in its answers."""

import enum
from dataclasses import dataclass, field

from borageramp_core._internal.routing.rate_allowance import RateBounds

__all__ = ["RATE_LIMIT_BOUNDS", "AnswerKind", "RateLimitState"]

UNLIMITED_HZ = float("inf")
# Tolerance of upstreams above the rate limit that they name.
RATE_LIMIT_BOUNDS = RateBounds(overage=1.5, slack=5.0, window_s=4.0, rate_share=1.0)


class AnswerKind(enum.StrEnum):
    """What an upstream answered.

    Attributes
    ----------
    REQUEST
        A request of a caller.
    HEALTH_CHECK
        A probe of its health endpoint.
    """

    REQUEST = "request"
    HEALTH_CHECK = "health_check"


@dataclass(kw_only=True, slots=True)
class RateLimitState:
    """Rate limit of one upstream, as one entry last heard it.

    Attributes
    ----------
    hz : float
        Requests per second that the upstream accepts from all entries together;
        infinity without a limit.
    named_at_s : float
        Time of the last answer that named a limit.
    probed_at_s : float
        Time at which the upstream was last selected for a probe only to hear
        whether its limit has ended.
    trial_at_s : float
        Time of the last request to the upstream without a share of its limit.
    unreadable : bool
        Whether an answer named a limit that could not be read.
    """

    hz: float = UNLIMITED_HZ
    named_at_s: float = float("-inf")
    probed_at_s: float = float("-inf")
    trial_at_s: float = float("-inf")
    unreadable: bool = False
    # An answer without a limit means something only if answers of its kind name one.
    _naming_kinds: set[AnswerKind] = field(default_factory=set)

    @property
    def in_force(self) -> bool:
        """Whether the upstream named a limit that has not ended."""
        return self.hz < UNLIMITED_HZ

    def on_answer(
        self, limit_hz: float, *, kind: AnswerKind, sent_at_s: float, now_s: float
    ) -> bool:
        """Record the limit that an answer named.

        Parameters
        ----------
        limit_hz : float
            The limit in requests per second; infinity if the answer named none.
        kind : AnswerKind
            What the upstream answered.
        sent_at_s : float
            Time at which the request was sent.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the limit changed.
        """
        previous_hz = self.hz
        if limit_hz < UNLIMITED_HZ:
            self.hz = limit_hz
            self.named_at_s = now_s
            self._naming_kinds.add(kind)
        elif kind in self._naming_kinds and sent_at_s >= self.named_at_s:
            self.hz = UNLIMITED_HZ
        return self.hz != previous_hz
