"""Limits on the requests that one entry sends to cold upstreams.

The rate limit of a cold upstream holds over all entries. The entries with the
highest rendezvous hashes for the upstream split it evenly, which needs no
coordination. Each has a burst of one request, so that the sum stays within the
limit even when member lists differ by some entries.
"""

from dataclasses import dataclass

from borageramp_core._internal.budget import TokenBucket
from borageramp_core._internal.ownership import rendezvous_order

__all__ = ["ColdAllowance", "ColdBounds"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdBounds:
    """Tolerance above the rate limit of a cold upstream, set by operators.

    Attributes
    ----------
    overage : float
        Factor on the rate.
    slack : float
        Additional requests per second.
    """

    overage: float = 1.5
    slack: float = 5.0


class ColdAllowance:
    """Token buckets of one entry for cold upstreams.

    Parameters
    ----------
    member : str
        Name of this entry.
    bounds : ColdBounds
        Tolerance over all entries.
    """

    # Shares of the rate limit and of the tolerance above it, which covers bursts;
    # the rest covers differences between member lists.
    RATE_SHARE = 0.8
    BURST_SHARE = 0.5

    def __init__(self, *, member: str, bounds: ColdBounds) -> None:
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

    def sharer_count(self, ramp_hz: float) -> int:
        """Return how many entries share a cold upstream's rate limit."""
        headroom_hz = ramp_hz * (self.bounds.overage - 1.0) + self.bounds.slack
        return max(1, int(headroom_hz * self.BURST_SHARE))

    def take(self, upstream_id: str, *, ramp_hz: float, now_s: float) -> bool:
        """Take a token for a request to a cold upstream; return whether it had one."""
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            bucket = self._new_bucket(upstream_id, ramp_hz=ramp_hz, now_s=now_s)
            self._buckets[upstream_id] = bucket
        return bucket.take(now_s=now_s)

    def has_capacity(self, upstream_id: str, *, ramp_hz: float, now_s: float) -> bool:
        """Return whether a request to a cold upstream would be allowed now."""
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            bucket = self._new_bucket(upstream_id, ramp_hz=ramp_hz, now_s=now_s)
            self._buckets[upstream_id] = bucket
        return bucket.has_token(now_s=now_s)

    def _new_bucket(
        self, upstream_id: str, *, ramp_hz: float, now_s: float
    ) -> TokenBucket:
        count = self.sharer_count(ramp_hz)
        sharing_members = rendezvous_order(self._members, upstream_id)[:count]
        rate_hz = 0.0
        if self._member in sharing_members:
            rate_hz = self.RATE_SHARE * ramp_hz / len(sharing_members)
        return TokenBucket(rate_hz=rate_hz, burst=1.0, now_s=now_s)
