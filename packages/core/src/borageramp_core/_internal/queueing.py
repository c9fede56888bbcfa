"""Class-based queue of requests that wait for an upstream.

Urgent classes are served first, for up to ``urgent_share`` of the turns. The
other classes share the turns by weight (stride scheduling [1]_), so that no
class starves.

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
class _Backlog:
    weight: int
    pass_value: float = 0.0
    requests: deque["Submit"] = field(default_factory=deque)


class ClassQueue:
    """Queue of requests that serves each class by its weight.

    Parameters
    ----------
    policy : ServicePolicy
        Weights, urgent classes and their share of the turns.
    """

    def __init__(self, *, policy: ServicePolicy) -> None:
        self._backlogs: dict[str, _Backlog] = {}
        self._global_pass = 0.0
        self._urgent_credit = 0.0
        self._size = 0
        self.apply(policy)

    def apply(self, policy: ServicePolicy) -> None:
        """Apply new settings; queued requests keep their positions."""
        self._policy = policy
        for name, backlog in self._backlogs.items():
            backlog.weight = policy.class_weights.get(name, 1)

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator["Submit"]:
        for backlog in self._backlogs.values():
            yield from backlog.requests

    def count_ahead(self, class_name: str) -> int:
        """Return the number of requests ahead of a new one of the class."""
        if class_name in self._policy.urgent_classes:
            backlogs = (self._backlogs.get(n) for n in self._policy.urgent_classes)
            return sum(
                len(backlog.requests) for backlog in backlogs if backlog is not None
            )
        return self._size

    def expected_turns(self, class_name: str) -> float:
        """Estimate the number of turns until a new request of the class is served.

        Under sustained load, a class gets turns only in proportion to its
        weight.
        """
        ahead = self.count_ahead(class_name)
        if class_name in self._policy.urgent_classes:
            return float(ahead)
        backlog = self._backlog(class_name)
        others = [
            other
            for name, other in self._backlogs.items()
            if other.requests and name not in self._policy.urgent_classes
        ]
        weights = sum(o.weight for o in others if o is not backlog) + backlog.weight
        return max(float(ahead), len(backlog.requests) * weights / backlog.weight)

    def push(self, request: "Submit") -> None:
        """Append a request to the queue of its class."""
        backlog = self._backlog(request.class_name)
        if not backlog.requests:
            backlog.pass_value = max(backlog.pass_value, self._global_pass)
        backlog.requests.append(request)
        self._size += 1

    def push_front(self, request: "Submit") -> None:
        """Put a popped request that could not be placed back at the front."""
        self._backlog(request.class_name).requests.appendleft(request)
        self._size += 1

    def _backlog(self, class_name: str) -> _Backlog:
        backlog = self._backlogs.get(class_name)
        if backlog is None:
            weight = self._policy.class_weights.get(class_name, 1)
            backlog = _Backlog(weight=weight, pass_value=self._global_pass)
            self._backlogs[class_name] = backlog
        return backlog

    def pop(self) -> "Submit | None":
        """Remove and return the next request; ``None`` if the queue is empty."""
        backlog = self._next_backlog()
        if backlog is None:
            return None
        self._global_pass = max(self._global_pass, backlog.pass_value)
        backlog.pass_value += 1.0 / backlog.weight
        self._size -= 1
        return backlog.requests.popleft()

    def _next_backlog(self) -> _Backlog | None:
        nonempty = {
            n: backlog for n, backlog in self._backlogs.items() if backlog.requests
        }
        urgent = [nonempty[n] for n in self._policy.urgent_classes if n in nonempty]
        others = [
            backlog
            for name, backlog in nonempty.items()
            if name not in self._policy.urgent_classes
        ]
        if urgent and not others:
            return urgent[0]
        if urgent and self._take_urgent_turn():
            return urgent[0]
        return min(others, key=lambda backlog: backlog.pass_value, default=None)

    def _take_urgent_turn(self) -> bool:
        self._urgent_credit += self._policy.urgent_share
        if self._urgent_credit < 1.0:
            return False
        self._urgent_credit -= 1.0
        return True

    def remove(self, request_id: str) -> "Submit | None":
        """Remove and return a request by its identifier; ``None`` if absent."""
        for backlog in self._backlogs.values():
            for request in backlog.requests:
                if request.request_id == request_id:
                    backlog.requests.remove(request)
                    self._size -= 1
                    return request
        return None

    def remove_expired(self, *, now_s: float) -> list["Submit"]:
        """Remove and return the requests whose deadline has passed."""
        expired = [r for r in self if r.deadline_s <= now_s]
        for backlog in self._backlogs.values():
            if any(r.deadline_s <= now_s for r in backlog.requests):
                backlog.requests = deque(
                    r for r in backlog.requests if r.deadline_s > now_s
                )
        self._size -= len(expired)
        return expired

    def evict_lower_weight(self, class_name: str) -> "Submit | None":
        """Remove and return the newest request of the class of lowest weight.

        Frees a place when the queue is full and a request of ``class_name``
        arrives. Returns ``None`` if no queued class weighs less than that one.
        """
        weight = self._backlog(class_name).weight
        backlogs = [
            backlog
            for backlog in self._backlogs.values()
            if backlog.requests and backlog.weight < weight
        ]
        if not backlogs:
            return None
        backlog = min(backlogs, key=lambda backlog: backlog.weight)
        self._size -= 1
        return backlog.requests.pop()
