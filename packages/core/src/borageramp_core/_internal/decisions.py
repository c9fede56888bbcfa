"""A bounded memory of recent decisions, for explanations."""

from collections import OrderedDict, deque
from dataclasses import dataclass

__all__ = ["Decision", "DecisionLog"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """One thing that was decided.

    Attributes
    ----------
    at_s : float
        Seconds since the epoch.
    entry : str
        Entry that decided.
    event : str
        What was decided, in a few words.
    """

    at_s: float
    entry: str
    event: str


class DecisionLog:
    """Decisions on recent requests, and repairs.

    Parameters
    ----------
    entry : str
        Name of this entry.
    max_requests : int
        Most requests remembered.
    max_repairs : int
        Most repairs remembered.
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
        """Remember a decision on a request."""
        events = self._requests.setdefault(request_id, [])
        if len(events) < self.MAX_EVENTS_PER_REQUEST:
            events.append(Decision(at_s=at_s, entry=self._entry, event=event))
        while len(self._requests) > self._max_requests:
            self._requests.popitem(last=False)

    def record_repair(self, event: str, *, at_s: float) -> None:
        """Remember something that the fleet repaired by itself."""
        self._repairs.append(Decision(at_s=at_s, entry=self._entry, event=event))

    def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions on a request, the oldest first."""
        return list(self._requests.get(request_id, ()))

    def repairs(self) -> list[Decision]:
        """Return recent repairs, the oldest first."""
        return list(self._repairs)
