"""Requests that wait at an entry for room at the upstreams of a service.

Queues at upstreams are kept short: what waits there can't be reordered, and
once all of them are long, every answer is late. So requests wait here, those
of higher rank first, and for no longer than is of use.

Among equals, those that can still be in time go before those that can't.
Strictly in turn, a standing line would make every answer late, though most
of the requests could have been served in time.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from borageramp_core._internal.routing.choice import Wanted
from borageramp_core._internal.routing.model import Route
from borageramp_core._internal.routing.work import WorkEstimate

__all__ = ["Patience", "WaitingLine"]

# How far requests may queue at an upstream, in multiples of its slots: enough
# that a slot that becomes free is taken up at once.
QUEUE_SLOTS = 0.35
URGENT_QUEUE_SLOTS = 0.7
# Share of its time that a request of high rank, or one that is hard to repeat,
# waits for room; others wait while their answer can be in time.
PATIENT_SHARE = 0.5
# Largest share of an objective that is kept for the work itself: while answers
# are slow, the work seems longer than it is.
LATE_MAX_SHARE = 0.6
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
    late_from_s : float
        Time from which its answer would probably be late.
    urgent : bool
        Whether it goes before others, and waits longer.
    """

    arrived_at_s: float
    objective_at_s: float
    deadline_s: float
    work_s: float
    late_from_s: float
    urgent: bool

    @classmethod
    def of(
        cls, route: Route, *, work: WorkEstimate, arrived_at_s: float, deadline_s: float
    ) -> "Patience":
        """Return the patience of a request."""
        likely_s = min(work.late_s, LATE_MAX_SHARE * route.objective_s)
        objective_at_s = arrived_at_s + route.objective_s
        return cls(
            arrived_at_s=arrived_at_s,
            objective_at_s=objective_at_s,
            deadline_s=deadline_s,
            work_s=work.mean_s,
            late_from_s=objective_at_s - likely_s,
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

        While its answer can be in time, a place that probably makes it so.
        After that, only a slot that nobody uses: a late answer must not make
        others late.
        """
        in_time_s = self.objective_at_s - now_s
        if now_s <= self.late_from_s and in_time_s > self.work_s:
            likely_s = self.objective_at_s - self.late_from_s
            sureness = min(1.0, self.work_s / likely_s)
            return Wanted(
                work_s=self.work_s,
                within_s=sureness * in_time_s,
                excluded=excluded,
                queue_slots=URGENT_QUEUE_SLOTS if self.urgent else QUEUE_SLOTS,
            )
        return Wanted(
            work_s=self.work_s,
            within_s=self.deadline_s - now_s,
            excluded=excluded,
            queue_slots=0.0,
        )


class WaitingLine(Generic[T]):
    """Waiting requests: the highest rank first, in each those not yet late."""

    def __init__(self) -> None:
        self._lanes: defaultdict[int, list[tuple[float, T]]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(lane) for lane in self._lanes.values())

    def push(self, waiter: T, *, rank: int, late_from_s: float) -> None:
        """Add a request."""
        self._lanes[rank].append((late_from_s, waiter))

    def take_all(self, *, now_s: float) -> list[T]:
        """Take out all requests in the order in which they go."""
        lanes = [self._lanes[rank] for rank in sorted(self._lanes)]
        self._lanes.clear()
        return [waiter for lane in lanes for waiter in _in_turn(lane, now_s=now_s)]


def _in_turn(lane: list[tuple[float, T]], *, now_s: float) -> Iterable[T]:
    yield from (waiter for late_from_s, waiter in lane if now_s <= late_from_s)
    yield from (waiter for late_from_s, waiter in lane if now_s > late_from_s)
