"""Share of one entry in rate limits that hold over all entries.

The entries with the highest rendezvous hashes for an upstream split its rate limit
evenly, which needs no coordination. They are so few that the bursts of all of them
stay within the tolerance of the limit, even when member lists differ by some
entries.
"""

from dataclasses import dataclass

from borageramp_core._internal.budget import TokenBucket
from borageramp_core._internal.ownership import rendezvous_order

__all__ = ["RateAllowance", "RateBounds"]


@dataclass(frozen=True, kw_only=True, slots=True)
class RateBounds:
    """Tolerance above the rate limit of an upstream.

    In each window, the upstream may get ``overage`` times the requests that its rate
    limit allows, and ``slack`` more.

    Attributes
    ----------
    overage : float
        Factor on the rate.
    slack : float
        Additional requests in a window.
    window_s : float
        Length of a window in seconds.
    """

    overage: float = 1.5
    slack: float = 5.0
    window_s: float = 1.0


class RateAllowance:
    """Token buckets of one entry for upstreams with a rate limit.

    Parameters
    ----------
    member : str
        Name of this entry.
    bounds : RateBounds
        Tolerance over all entries.
    """

    # Shares of the rate limit and of the tolerance above it, which covers bursts;
    # the rest covers differences between member lists.
    RATE_SHARE = 0.8
    BURST_SHARE = 0.5

    def __init__(self, *, member: str, bounds: RateBounds) -> None:
        self.bounds = bounds
        self._member = member
        self._members: tuple[str, ...] = (member,)
        self._buckets: dict[str, TokenBucket] = {}

    def update_members(self, members: frozenset[str]) -> None:
        """Replace the list of entries."""
        members = members | {self._member}
        if members != frozenset(self._members):
            self._members = tuple(sorted(members))
            self._buckets.clear()

    def sharer_count(self, rate_hz: float) -> int:
        """Return how many entries share a rate limit at most."""
        return max(1, int(self._burst_budget(rate_hz)))

    def _burst_budget(self, rate_hz: float) -> float:
        """Return how many requests the bursts of all entries may have together."""
        overage = rate_hz * (self.bounds.overage - 1.0) * self.bounds.window_s
        return (overage + self.bounds.slack) * self.BURST_SHARE

    def take(self, upstream_id: str, *, rate_hz: float, now_s: float) -> bool:
        """Take a token for a request to an upstream; return whether it had one."""
        return self._bucket(upstream_id, rate_hz=rate_hz, now_s=now_s).take(now_s=now_s)

    def has_capacity(self, upstream_id: str, *, rate_hz: float, now_s: float) -> bool:
        """Return whether a request to an upstream would be allowed now."""
        bucket = self._bucket(upstream_id, rate_hz=rate_hz, now_s=now_s)
        return bucket.has_token(now_s=now_s)

    def _bucket(self, upstream_id: str, *, rate_hz: float, now_s: float) -> TokenBucket:
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            bucket = self._new_bucket(upstream_id, rate_hz=rate_hz, now_s=now_s)
            self._buckets[upstream_id] = bucket
        return bucket

    def _new_bucket(
        self, upstream_id: str, *, rate_hz: float, now_s: float
    ) -> TokenBucket:
        count = self.sharer_count(rate_hz)
        sharing_members = rendezvous_order(self._members, upstream_id)[:count]
        share_hz = 0.0
        if self._member in sharing_members:
            share_hz = self.RATE_SHARE * rate_hz / len(sharing_members)
        return TokenBucket(rate_hz=share_hz, burst=1.0, now_s=now_s)
