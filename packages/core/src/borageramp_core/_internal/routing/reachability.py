"""Whether one entry reaches the upstreams of a service."""

__all__ = ["ServiceReachability"]

# Different upstreams that can't be reached, with no answer of any in between, until the
# service counts as unreachable. Fewer fail together now and then.
MIN_FAILED_UPSTREAMS = 3
# Older failures say nothing about the network any more.
FAILURE_RETENTION_S = 3.0


class ServiceReachability:
    """What one entry knows of its network path to the upstreams of a service.

    A single upstream that doesn't answer may be down. If several fail in a row and none
    answers, either the whole service is down or the path of this entry is.
    """

    def __init__(self) -> None:
        self._failed_at_s: dict[str, float] = {}
        self._answered_at_s = float("-inf")
        self._unreachable_since_s = float("inf")

    def on_answer(self, *, now_s: float) -> bool:
        """Record an answer of any upstream; return whether it ends an interruption."""
        was_unreachable = self.is_unreachable(now_s=now_s)
        self._answered_at_s = now_s
        self._failed_at_s.clear()
        self._unreachable_since_s = float("inf")
        return was_unreachable

    def on_failure(
        self, upstream_id: str, *, upstream_count: int, now_s: float
    ) -> bool:
        """Record an upstream that could not be reached.

        Parameters
        ----------
        upstream_id : str
            Identifier of the upstream.
        upstream_count : int
            Number of upstreams of the service.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the service became unreachable by it.
        """
        was_unreachable = self.is_unreachable(now_s=now_s)
        self._failed_at_s[upstream_id] = now_s
        recent = {
            name: failed_at_s
            for name, failed_at_s in self._failed_at_s.items()
            if now_s - failed_at_s <= FAILURE_RETENTION_S
        }
        self._failed_at_s = recent
        if len(recent) < min(MIN_FAILED_UPSTREAMS, upstream_count):
            return False
        if not was_unreachable:
            self._unreachable_since_s = min(recent.values())
        return not was_unreachable

    def is_unreachable(self, *, now_s: float) -> bool:
        """Return whether none of the service's upstreams seems to be reachable."""
        if self._unreachable_since_s == float("inf"):
            return False
        return now_s - max(self._failed_at_s.values()) <= FAILURE_RETENTION_S

    def unreachable_s(self, *, now_s: float) -> float:
        """Return the time in seconds since the first failure of an interruption.

        Returns
        -------
        float
            0 if the service is reachable.
        """
        if not self.is_unreachable(now_s=now_s):
            return 0.0
        return now_s - self._unreachable_since_s

    def answer_age_s(self, *, now_s: float) -> float:
        """Return the time in seconds since an upstream answered; infinity if never."""
        return now_s - self._answered_at_s
