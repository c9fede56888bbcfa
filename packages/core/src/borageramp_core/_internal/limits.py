"""The limit on the requests that one entry has at the upstreams of a service."""

__all__ = ["ConcurrencyLimit"]

INITIAL_FAIR_SHARES = 3.0
# Slow upstreams can hold all that the limit allows; urgent requests go past.
URGENT_EXTRA_SHARE = 0.5


class ConcurrencyLimit:
    """A limit that falls while upstreams are overloaded and rises again.

    Additive increase and multiplicative decrease [1]_ on what answers tell.

    Parameters
    ----------
    floor : int
        Lowest limit.

    References
    ----------
    .. [1] D.-M. Chiu and R. Jain, "Analysis of the increase and decrease
       algorithms for congestion avoidance in computer networks", Computer
       Networks and ISDN Systems 17(1), 1989.
    """

    DECREASE = 0.9
    # One decrease for a burst of answers that tell of the same overload.
    DECREASE_INTERVAL_S = 0.02

    def __init__(self, *, floor: int = 2) -> None:
        self._floor = floor
        self._limit: float | None = None
        self._ceiling = float(floor)
        self._decreased_at_s = float("-inf")

    @property
    def value(self) -> int:
        """Requests allowed at once."""
        limit = self._ceiling if self._limit is None else self._limit
        return int(min(limit, self._ceiling))

    def allowed(self, *, urgent: bool) -> int:
        """Return the requests allowed at once; urgent ones may go past the limit."""
        if not urgent:
            return self.value
        return self.value + max(1, int(self.value * URGENT_EXTRA_SHARE))

    def set_ceiling(self, slots: int, *, entries: int) -> None:
        """Set the highest limit.

        Parameters
        ----------
        slots : int
            Slots of all upstreams in use.
        entries : int
            Entries that share them; the limit starts at twice a fair share.
        """
        self._ceiling = float(max(self._floor, slots))
        if self._limit is None and slots > 0:
            fair = INITIAL_FAIR_SHARES * slots / max(1, entries)
            self._limit = max(float(self._floor), fair)

    def on_overload(self, *, now_s: float) -> None:
        """Take in that an upstream had more than its slots, or shed."""
        if now_s - self._decreased_at_s < self.DECREASE_INTERVAL_S:
            return
        self._decreased_at_s = now_s
        limit = self._ceiling if self._limit is None else self._limit
        self._limit = max(float(self._floor), limit * self.DECREASE)

    def on_success(self, *, in_flight: int) -> None:
        """Take in a good answer; only a limit in use rises."""
        if self._limit is None or in_flight < self._limit * 0.8:
            return
        self._limit = min(self._ceiling, self._limit + 1.0 / max(1.0, self._limit))
