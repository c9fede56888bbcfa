"""Concurrency limit of one entry for the upstreams of a service."""

__all__ = ["ConcurrencyLimit"]

INITIAL_FAIR_SHARES = 3.0
# Slow upstreams can use up the whole limit; urgent requests may exceed it.
URGENT_EXTRA_SHARE = 0.5


class ConcurrencyLimit:
    """Adaptive concurrency limit that backs off while upstreams are overloaded.

    Additive increase and multiplicative decrease (AIMD) [1]_, driven by
    responses.

    Parameters
    ----------
    floor : int
        Minimum limit.

    References
    ----------
    .. [1] D.-M. Chiu and R. Jain, "Analysis of the increase and decrease
       algorithms for congestion avoidance in computer networks", Computer
       Networks and ISDN Systems 17(1), 1989.
    """

    DECREASE = 0.9
    # A burst of responses caused by the same overload decreases the limit once.
    DECREASE_INTERVAL_S = 0.02

    def __init__(self, *, floor: int = 2) -> None:
        self._floor = floor
        self._limit: float | None = None
        self._ceiling = float(floor)
        self._decreased_at_s = float("-inf")

    @property
    def value(self) -> int:
        """Maximum number of concurrent requests."""
        limit = self._ceiling if self._limit is None else self._limit
        return int(min(limit, self._ceiling))

    def allowed(self, *, urgent: bool) -> int:
        """Return the concurrent requests allowed; urgent ones may exceed the limit."""
        if not urgent:
            return self.value
        return self.value + max(1, int(self.value * URGENT_EXTRA_SHARE))

    def set_ceiling(self, slots: int, *, entries: int) -> None:
        """Set the maximum limit.

        Parameters
        ----------
        slots : int
            Slots of all upstreams in use.
        entries : int
            Entries that share them. The limit starts at
            ``INITIAL_FAIR_SHARES`` times a fair share.
        """
        self._ceiling = float(max(self._floor, slots))
        if self._limit is None and slots > 0:
            fair = INITIAL_FAIR_SHARES * slots / max(1, entries)
            self._limit = max(float(self._floor), fair)

    def on_overload(self, *, now_s: float) -> None:
        """Decrease the limit after an upstream exceeded its slots or shed load."""
        if now_s - self._decreased_at_s < self.DECREASE_INTERVAL_S:
            return
        self._decreased_at_s = now_s
        limit = self._ceiling if self._limit is None else self._limit
        self._limit = max(float(self._floor), limit * self.DECREASE)

    def on_success(self, *, in_flight: int) -> None:
        """Increase the limit after a successful response.

        The limit only rises while most of it is in use.
        """
        if self._limit is None or in_flight < self._limit * 0.8:
            return
        self._limit = min(self._ceiling, self._limit + 1.0 / max(1.0, self._limit))
