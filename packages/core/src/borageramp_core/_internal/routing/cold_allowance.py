"""How much of what a cold upstream bears this entry may use.

A cold upstream bears a rate over all entries. A few entries share it: those
with the highest rendezvous hashes for the upstream, which need no message to
agree. Each has an equal share of the rate and may save up one request, so
that the sum stays within the bound also when two views of the member list
differ by some entries.
"""

from dataclasses import dataclass

from borageramp_core._internal.budget import TokenBucket
from borageramp_core._internal.ownership import rendezvous_order

__all__ = ["ColdAllowance", "ColdBounds"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdBounds:
    """What operators allow beyond an upstream's own rate.

    Attributes
    ----------
    overage : float
        Factor on the rate.
    slack : float
        Requests in a second beyond that.
    """

    overage: float = 1.5
    slack: float = 5.0


class ColdAllowance:
    """The cold upstreams that this entry may send to, and how fast.

    Parameters
    ----------
    member : str
        Name of this entry.
    bounds : ColdBounds
        Bounds over all entries.
    """

    # Share of an upstream's own rate that is used, and of the room above it
    # that saved-up requests may fill: the rest covers differing member lists.
    RATE_SHARE = 0.8
    BURST_SHARE = 0.5

    def __init__(self, *, member: str, bounds: ColdBounds) -> None:
        self.bounds = bounds
        self._member = member
        self._members: tuple[str, ...] = (member,)
        self._buckets: dict[str, TokenBucket] = {}

    def update_members(self, members: frozenset[str]) -> None:
        """Apply a new list of entries."""
        members = members | {self._member}
        if members != frozenset(self._members):
            self._members = tuple(sorted(members))
            self._buckets.clear()

    def sharer_count(self, ramp_hz: float) -> int:
        """Return how many entries share a cold upstream's rate."""
        headroom_hz = ramp_hz * (self.bounds.overage - 1.0) + self.bounds.slack
        return max(1, int(headroom_hz * self.BURST_SHARE))

    def take(self, upstream_id: str, *, ramp_hz: float, now_s: float) -> bool:
        """Take one request to a cold upstream; tell whether it is allowed."""
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            bucket = self._new_bucket(upstream_id, ramp_hz=ramp_hz, now_s=now_s)
            self._buckets[upstream_id] = bucket
        return bucket.take(now_s=now_s)

    def has_capacity(self, upstream_id: str, *, ramp_hz: float, now_s: float) -> bool:
        """Tell whether a request to a cold upstream would be allowed now."""
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
