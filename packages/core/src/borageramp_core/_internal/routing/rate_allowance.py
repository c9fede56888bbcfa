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
    rate_share : float
        Share of the rate limit itself that entries use.
    """

    overage: float = 1.5
    slack: float = 5.0
    window_s: float = 1.0
    rate_share: float = 0.8


class RateAllowance:
    """Token buckets of one entry for upstreams with a rate limit.

    Parameters
    ----------
    member : str
        Name of this entry.
    bounds : RateBounds
        Tolerance over all entries.
    """

    # Share of the tolerance above the rate limit that covers bursts; the rest covers
    # differences between member lists.
    BURST_SHARE = 0.5

    def __init__(self, *, member: str, bounds: RateBounds) -> None:
        self.bounds = bounds
        self._member = member
        self._members: tuple[str, ...] = (member,)
        self._buckets: dict[str, TokenBucket] = {}
        self._ranks: dict[str, int] = {}

    def update_members(self, members: frozenset[str]) -> None:
        """Replace the list of entries."""
        members = members | {self._member}
        if members != frozenset(self._members):
            self._members = tuple(sorted(members))
            self._ranks.clear()

    def forget(self, upstream_id: str) -> None:
        """Drop the state of an upstream that was removed or restarted."""
        self._buckets.pop(upstream_id, None)
        self._ranks.pop(upstream_id, None)

    def take(self, upstream_id: str, *, rate_hz: float, now_s: float) -> bool:
        """Take a token for a request to an upstream; return whether it had one."""
        return self._bucket(upstream_id, rate_hz=rate_hz, now_s=now_s).take(now_s=now_s)

    def wait_s(
        self, upstream_id: str, *, rate_hz: float, reserve: float = 0.0, now_s: float
    ) -> float:
        """Return the time until a request to an upstream is allowed.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        rate_hz : float
            Its rate limit in requests per second, over all entries.
        reserve : float
            Tokens that have to be left for other requests.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Time in seconds; infinity if this entry has no share of the rate limit.
        """
        bucket = self._bucket(upstream_id, rate_hz=rate_hz, now_s=now_s)
        return bucket.wait_s(reserve=reserve, now_s=now_s)

    def requests_within(
        self,
        upstream_id: str,
        duration_s: float,
        *,
        rate_hz: float,
        reserve: float = 0.0,
        now_s: float,
    ) -> int:
        """Return how many requests are allowed to an upstream within a time.

        See :meth:`wait_s` for the parameters.
        """
        bucket = self._bucket(upstream_id, rate_hz=rate_hz, now_s=now_s)
        return bucket.tokens_within(duration_s, reserve=reserve, now_s=now_s)

    def has_turn(self, upstream_id: str, *, elapsed_s: float, turn_s: float) -> bool:
        """Return whether a round over all entries has reached this one.

        Parameters
        ----------
        upstream_id : str
            Upstream to which the entries take turns, in an order of its own.
        elapsed_s : float
            Time since the round began. The first turn begins after ``turn_s``.
        turn_s : float
            Length of a turn.
        """
        turn = int(elapsed_s / turn_s) - 1
        return turn >= 0 and turn % len(self._members) == self._rank(upstream_id)

    def _rank(self, upstream_id: str) -> int:
        """Return the position of this entry in the order of an upstream."""
        rank = self._ranks.get(upstream_id)
        if rank is None:
            order = rendezvous_order(self._members, upstream_id)
            rank = self._ranks[upstream_id] = order.index(self._member)
        return rank

    def _bucket(self, upstream_id: str, *, rate_hz: float, now_s: float) -> TokenBucket:
        share_hz, burst = self._share(upstream_id, rate_hz=rate_hz)
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            bucket = TokenBucket(rate_hz=share_hz, burst=burst, now_s=now_s)
            self._buckets[upstream_id] = bucket
        elif (bucket.rate_hz, bucket.burst) != (share_hz, burst):
            bucket.set_rate(share_hz, burst=burst, now_s=now_s)
        return bucket

    def _share(self, upstream_id: str, *, rate_hz: float) -> tuple[float, float]:
        """Return this entry's share of a rate limit, and its burst."""
        overage = rate_hz * (self.bounds.overage - 1.0) * self.bounds.window_s
        burst_budget = (overage + self.bounds.slack) * self.BURST_SHARE
        # Each sharer has to be able to save up one request.
        sharer_count = max(1, min(len(self._members), int(burst_budget)))
        if self._rank(upstream_id) >= sharer_count:
            return 0.0, 0.0
        burst = max(1.0, burst_budget / sharer_count)
        return self.bounds.rate_share * rate_hz / sharer_count, burst
