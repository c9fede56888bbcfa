"""The queue of requests that wait for an upstream.

Urgent classes go first, up to ``urgent_share`` of the turns; the rest share
the turns by weight (stride scheduling [1]_), so that none starves.

References
----------
.. [1] C. Waldspurger and W. Weihl, "Stride Scheduling: Deterministic
   Proportional-Share Resource Management", MIT/LCS/TM-528, 1995.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from borageramp_core._internal.model import ServicePolicy

if TYPE_CHECKING:
    from borageramp_core._internal.messages import Submit

__all__ = ["ClassQueue"]


@dataclass(kw_only=True, slots=True)
class _Lane:
    weight: int
    passed: float = 0.0
    waiting: deque["Submit"] = field(default_factory=deque)


class ClassQueue:
    """Requests that wait, by class.

    Parameters
    ----------
    policy : ServicePolicy
        Weights, urgent classes and the limit of the queue.
    """

    def __init__(self, *, policy: ServicePolicy) -> None:
        self._lanes: dict[str, _Lane] = {}
        self._turn = 0.0
        self._urgent_credit = 0.0
        self._size = 0
        self.apply(policy)

    def apply(self, policy: ServicePolicy) -> None:
        """Take over new settings; waiting requests keep their places."""
        self._policy = policy
        for name, lane in self._lanes.items():
            lane.weight = policy.class_weights.get(name, 1)

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator["Submit"]:
        for lane in self._lanes.values():
            yield from lane.waiting

    def ahead_of(self, class_name: str) -> int:
        """Return how many requests a new one of a class would wait for."""
        if class_name in self._policy.urgent_classes:
            lanes = (self._lanes.get(n) for n in self._policy.urgent_classes)
            return sum(len(lane.waiting) for lane in lanes if lane is not None)
        return self._size

    def expected_turns(self, class_name: str) -> float:
        """Estimate after how many turns a new request of a class goes.

        While load goes on, a class gets turns by its weight only.
        """
        ahead = self.ahead_of(class_name)
        if class_name in self._policy.urgent_classes:
            return float(ahead)
        lane = self._lane(class_name)
        others = [
            other
            for name, other in self._lanes.items()
            if other.waiting and name not in self._policy.urgent_classes
        ]
        weights = sum(o.weight for o in others if o is not lane) + lane.weight
        return max(float(ahead), len(lane.waiting) * weights / lane.weight)

    def push(self, request: "Submit") -> None:
        """Add a request at the end of its class."""
        lane = self._lane(request.class_name)
        if not lane.waiting:
            lane.passed = max(lane.passed, self._turn)
        lane.waiting.append(request)
        self._size += 1

    def push_front(self, request: "Submit") -> None:
        """Put back a request that was popped and could not be placed."""
        self._lane(request.class_name).waiting.appendleft(request)
        self._size += 1

    def _lane(self, class_name: str) -> _Lane:
        lane = self._lanes.get(class_name)
        if lane is None:
            weight = self._policy.class_weights.get(class_name, 1)
            lane = _Lane(weight=weight, passed=self._turn)
            self._lanes[class_name] = lane
        return lane

    def pop(self) -> "Submit | None":
        """Take the next request; ``None`` when nothing waits."""
        lane = self._next_lane()
        if lane is None:
            return None
        self._turn = max(self._turn, lane.passed)
        lane.passed += 1.0 / lane.weight
        self._size -= 1
        return lane.waiting.popleft()

    def _next_lane(self) -> _Lane | None:
        waiting = {n: lane for n, lane in self._lanes.items() if lane.waiting}
        urgent = [waiting[n] for n in self._policy.urgent_classes if n in waiting]
        others = [
            lane
            for name, lane in waiting.items()
            if name not in self._policy.urgent_classes
        ]
        if urgent and not others:
            return urgent[0]
        if urgent and self._urgent_turn():
            return urgent[0]
        return min(others, key=lambda lane: lane.passed, default=None)

    def _urgent_turn(self) -> bool:
        self._urgent_credit += self._policy.urgent_share
        if self._urgent_credit < 1.0:
            return False
        self._urgent_credit -= 1.0
        return True

    def remove(self, request_id: str) -> "Submit | None":
        """Take out a request by its identifier."""
        for lane in self._lanes.values():
            for request in lane.waiting:
                if request.request_id == request_id:
                    lane.waiting.remove(request)
                    self._size -= 1
                    return request
        return None

    def remove_expired(self, *, now_s: float) -> list["Submit"]:
        """Take out the requests whose deadline has passed."""
        expired = [r for r in self if r.deadline_s <= now_s]
        for lane in self._lanes.values():
            if any(r.deadline_s <= now_s for r in lane.waiting):
                lane.waiting = deque(r for r in lane.waiting if r.deadline_s > now_s)
        self._size -= len(expired)
        return expired

    def newest_of_lightest(self, class_name: str) -> "Submit | None":
        """Take out the newest request of a class of less weight.

        Used when the queue is full and a request of ``class_name`` arrives.
        """
        weight = self._lane(class_name).weight
        lanes = [
            lane
            for lane in self._lanes.values()
            if lane.waiting and lane.weight < weight
        ]
        if not lanes:
            return None
        lane = min(lanes, key=lambda lane: lane.weight)
        self._size -= 1
        return lane.waiting.pop()
