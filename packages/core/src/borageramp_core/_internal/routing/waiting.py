"""Requests that wait at an entry for room at the upstreams of a service.

Queues at upstreams are kept short: what waits there can't be reordered, and
once all of them are long, every answer is late. So requests wait here, those
of higher rank first, and for no longer than is of use.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Generic, TypeVar

from borageramp_core._internal.routing.model import Route
from borageramp_core._internal.routing.pool import Wanted

__all__ = ["Patience", "WaitingLine"]

# How far requests may queue at an upstream, in multiples of its slots: enough
# that a slot that becomes free is taken up at once.
QUEUE_SLOTS = 0.35
URGENT_QUEUE_SLOTS = 0.7
# Share of its time that a request of high rank, or one that is hard to repeat,
# waits for room; others wait while their answer can be in time.
PATIENT_SHARE = 0.5
# Ranks from this one on give way to the others.
FIRST_LOW_RANK = 2

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class Patience:
    """How a request waits, and what it accepts meanwhile.

    Attributes
    ----------
    arrived_at_s, objective_at_s, deadline_s : float
        Times of its arrival, until which its answer is in time, and until
        which it is of use.
    work_s : float
        Time that it takes on an idle upstream.
    urgent : bool
        Whether it goes before others, and waits longer.
    """

    arrived_at_s: float
    objective_at_s: float
    deadline_s: float
    work_s: float
    urgent: bool

    @classmethod
    def of(
        cls, route: Route, *, work_s: float, arrived_at_s: float, deadline_s: float
    ) -> "Patience":
        """Return the patience of a request."""
        return cls(
            arrived_at_s=arrived_at_s,
            objective_at_s=arrived_at_s + route.objective_s,
            deadline_s=deadline_s,
            work_s=work_s,
            urgent=route.rank < FIRST_LOW_RANK,
        )

    @property
    def until_s(self) -> float:
        """Time until which it waits for room."""
        in_time_s = self.objective_at_s - self.work_s
        if not self.urgent:
            return max(self.arrived_at_s, in_time_s)
        patient_s = PATIENT_SHARE * (self.deadline_s - self.arrived_at_s)
        return max(in_time_s, self.arrived_at_s + patient_s)

    def wanted(self, *, excluded: frozenset[str], now_s: float) -> Wanted:
        """Return what it accepts now.

        While its answer can be in time, a place that makes it so. After
        that, only a slot that nobody uses: a late answer must not make
        others late.
        """
        in_time_s = self.objective_at_s - now_s
        if in_time_s > self.work_s:
            return Wanted(
                work_s=self.work_s,
                within_s=in_time_s,
                excluded=excluded,
                queue_slots=URGENT_QUEUE_SLOTS if self.urgent else QUEUE_SLOTS,
            )
        return Wanted(
            work_s=self.work_s,
            within_s=self.deadline_s - now_s,
            excluded=excluded,
            queue_slots=QUEUE_SLOTS if self.urgent else 0.0,
        )


class WaitingLine(Generic[T]):
    """Waiting requests, the highest rank first, then in their order."""

    def __init__(self) -> None:
        self._lanes: defaultdict[int, list[T]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(lane) for lane in self._lanes.values())

    def push(self, waiter: T, *, rank: int) -> None:
        """Add a request."""
        self._lanes[rank].append(waiter)

    def take_all(self) -> list[T]:
        """Take out all requests in the order in which they go."""
        taken = [w for rank in sorted(self._lanes) for w in self._lanes[rank]]
        self._lanes.clear()
        return taken
