"""Bounded in-memory log of recent decisions, for explanations to operators."""

from collections import OrderedDict, deque
from dataclasses import dataclass

__all__ = ["Decision", "DecisionLog"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """A decision on a request, or an automatic repair.

    Attributes
    ----------
    at_s : float
        Time of the decision in seconds since the epoch.
    entry : str
        Name of the entry that made the decision.
    event : str
        Short description.
    """

    at_s: float
    entry: str
    event: str


class DecisionLog:
    """Decisions on recent requests, and recent automatic repairs.

    Parameters
    ----------
    entry : str
        Name of this entry.
    max_requests : int
        Maximum number of requests kept; the oldest are dropped first.
    max_repairs : int
        Maximum number of repairs kept.
    """

    MAX_EVENTS_PER_REQUEST = 32

    def __init__(
        self, *, entry: str, max_requests: int = 5000, max_repairs: int = 100
    ) -> None:
        self._entry = entry
        self._max_requests = max_requests
        self._requests: OrderedDict[str, list[Decision]] = OrderedDict()
        self._repairs: deque[Decision] = deque(maxlen=max_repairs)

    def record(self, request_id: str, event: str, *, at_s: float) -> None:
        """Record a decision on a request."""
        events = self._requests.setdefault(request_id, [])
        if len(events) < self.MAX_EVENTS_PER_REQUEST:
            events.append(Decision(at_s=at_s, entry=self._entry, event=event))
        while len(self._requests) > self._max_requests:
            self._requests.popitem(last=False)

    def record_repair(self, event: str, *, at_s: float) -> None:
        """Record an automatic repair."""
        self._repairs.append(Decision(at_s=at_s, entry=self._entry, event=event))

    def explain(self, request_id: str) -> list[Decision]:
        """Return the recorded decisions on a request, oldest first."""
        return list(self._requests.get(request_id, ()))

    def repairs(self) -> list[Decision]:
        """Return the recorded repairs, oldest first."""
        return list(self._repairs)
