"""Whether one entry reaches the upstreams of a service."""

import enum

__all__ = ["Reach", "ServiceReachability"]

# Failures of different upstreams, with no answer of any in between, until the service
# counts as unreachable. Fewer fail together now and then. A smaller service needs as
# many failures of all of its upstreams.
MIN_FAILURES = 3
# Share of the upstreams that fail until a service counts as partly reachable.
MIN_FAILED_SHARE = 0.5
# Older failures say nothing about the network any more.
FAILURE_RETENTION_S = 3.0


class Reach(enum.StrEnum):
    """How much of a service an entry reaches.

    Attributes
    ----------
    FULL
        No more than a few upstreams fail.
    PARTIAL
        Half of the upstreams or more can't be reached.
    NONE
        Several upstreams failed in a row, and none has answered since.
    """

    FULL = "full"
    PARTIAL = "partial"
    NONE = "none"

    def suffices(self, minimum: "Reach") -> bool:
        """Return whether this is as much as ``minimum``, ``FULL`` or ``PARTIAL``."""
        return self is Reach.FULL or (
            self is Reach.PARTIAL and minimum is Reach.PARTIAL
        )


class ServiceReachability:
    """What one entry knows of its network path to the upstreams of a service.

    A single upstream that doesn't answer may be down. If several fail in a row and none
    answers, either the whole service is down or the path of this entry is.

    Attributes
    ----------
    upstream_count : int
        Number of upstreams of the service.
    """

    def __init__(self) -> None:
        self.upstream_count = 0
        self._failed_at_s: dict[str, float] = {}
        self._failed_in_a_row: set[str] = set()
        self._failures_in_a_row = 0
        self._answered_at_s = float("-inf")
        self._unreachable_since_s = float("-inf")

    def on_answer(self, upstream_id: str, *, now_s: float) -> bool:
        """Record an answer; return whether the service was unreachable before."""
        was_unreachable = self.reach(now_s=now_s) is Reach.NONE
        self._answered_at_s = now_s
        self._failed_at_s.pop(upstream_id, None)
        self._failed_in_a_row.clear()
        self._failures_in_a_row = 0
        return was_unreachable

    def on_failure(self, upstream_id: str, *, now_s: float) -> bool:
        """Record an upstream that could not be reached.

        Parameters
        ----------
        upstream_id : str
            Identifier of the upstream.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the service became unreachable by it.
        """
        was_unreachable = self.reach(now_s=now_s) is Reach.NONE
        self._expire(now_s=now_s)
        self._failed_at_s[upstream_id] = now_s
        self._failed_in_a_row.add(upstream_id)
        self._failures_in_a_row += 1
        if was_unreachable or self.reach(now_s=now_s) is not Reach.NONE:
            return False
        self._unreachable_since_s = min(
            self._failed_at_s[name] for name in self._failed_in_a_row
        )
        return True

    def _expire(self, *, now_s: float) -> None:
        recent = self.failed(now_s=now_s)
        self._failed_at_s = {name: self._failed_at_s[name] for name in recent}
        self._failed_in_a_row.intersection_update(recent)
        if not self._failed_in_a_row:
            self._failures_in_a_row = 0

    def forget(self, upstream_id: str) -> None:
        """Remove an upstream that is gone or has restarted."""
        self._failed_at_s.pop(upstream_id, None)
        self._failed_in_a_row.discard(upstream_id)

    def failed(self, *, now_s: float) -> list[str]:
        """Return the upstreams that failed lately, the latest failure last."""
        return [
            name
            for name, failed_at_s in sorted(
                self._failed_at_s.items(), key=lambda item: item[1]
            )
            if now_s - failed_at_s <= FAILURE_RETENTION_S
        ]

    def reach(self, *, now_s: float) -> Reach:
        """Return how much of the service can be reached."""
        if not self._failed_at_s:
            return Reach.FULL
        failed = self.failed(now_s=now_s)
        min_failed = min(MIN_FAILURES, self.upstream_count)
        if not failed or len(failed) < min_failed:
            return Reach.FULL
        if (
            len(self._failed_in_a_row.intersection(failed)) >= min_failed
            and self._failures_in_a_row >= MIN_FAILURES
        ):
            return Reach.NONE
        if len(failed) >= MIN_FAILED_SHARE * self.upstream_count:
            return Reach.PARTIAL
        return Reach.FULL

    def avoided(self, *, now_s: float) -> frozenset[str]:
        """Return the upstreams that failed and are better left alone.

        While most upstreams answer, one that failed gets the next chance soon.
        """
        if self.reach(now_s=now_s) is Reach.FULL:
            return frozenset()
        return frozenset(self.failed(now_s=now_s))

    def unreachable_s(self, *, now_s: float) -> float:
        """Return the time in seconds since the first failure of an interruption.

        Returns
        -------
        float
            0 if the service is reachable.
        """
        if self.reach(now_s=now_s) is not Reach.NONE:
            return 0.0
        return now_s - self._unreachable_since_s

    def answer_age_s(self, *, now_s: float) -> float:
        """Return the time in seconds since an upstream answered; infinity if never."""
        return now_s - self._answered_at_s
