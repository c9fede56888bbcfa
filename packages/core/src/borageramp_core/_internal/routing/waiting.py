"""Requests that wait at an entry for room at the upstreams of a service.

Queues at upstreams are kept short: what waits there can't be reordered, and
once all of them are long, every answer is late. So requests wait here, those
of higher rank first, and for no longer than is of use.

Those that can still be in time go before those that can't, of whatever rank.
Strictly in turn, a standing line would make every answer late, though most
of the requests could have been served in time. A request whose caller has come
back counts from its first try, and is late from the start as a rule.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Generic, TypeVar

from borageramp_core._internal.routing.model import Route
from borageramp_core._internal.routing.placement import PlacementRequirements
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
# Slots of each upstream that late requests leave to those that can be in time.
LATE_SPARED_SLOTS = 1
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
    returned : bool
        Whether its caller has come back with it; another refusal may be its end.
    """

    arrived_at_s: float
    objective_at_s: float
    deadline_s: float
    work_s: float
    late_from_s: float
    urgent: bool
    returned: bool = False

    @classmethod
    def of(
        cls,
        route: Route,
        *,
        work: WorkEstimate,
        arrived_at_s: float,
        deadline_s: float,
        age_s: float = 0.0,
    ) -> "Patience":
        """Return the patience of a request.

        Parameters
        ----------
        route : Route
            Its route.
        work : WorkEstimate
            What is known of the work of that route.
        arrived_at_s, deadline_s : float
            Times of its arrival, and until which its answer is of use.
        age_s : float
            Time for which its caller had waited before.
        """
        likely_s = min(work.late_s, LATE_MAX_SHARE * route.objective_s)
        objective_at_s = arrived_at_s - age_s + route.objective_s
        return cls(
            returned=age_s > 0.0,
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
        if not self.urgent and not self.returned:
            return max(self.arrived_at_s, in_time_s)
        patient_s = PATIENT_SHARE * (self.deadline_s - self.arrived_at_s)
        return max(in_time_s, self.arrived_at_s + patient_s)

    def is_late(self, *, now_s: float) -> bool:
        """Tell whether its answer will probably be late."""
        return now_s > self.late_from_s

    def requirements(
        self, *, excluded: frozenset[str], now_s: float
    ) -> PlacementRequirements:
        """Return what it accepts now.

        While its answer can be in time, a place that probably makes it so.
        After that, only a slot that nobody uses, and not the last one of an
        upstream: a late answer must not make others late, and what can be in
        time may come to any instance in the next moment [1]_.

        References
        ----------
        .. [1] P. B. Key, "Optimal control and trunk reservation in loss
           networks", Probability in the Engineering and Informational Sciences
           4, 1990.
        """
        in_time_s = self.objective_at_s - now_s
        if now_s <= self.late_from_s and in_time_s > self.work_s:
            likely_s = self.objective_at_s - self.late_from_s
            sureness = min(1.0, self.work_s / likely_s)
            return PlacementRequirements(
                work_s=self.work_s,
                max_response_s=sureness * in_time_s,
                excluded=excluded,
                queue_ratio=URGENT_QUEUE_SLOTS if self.urgent else QUEUE_SLOTS,
            )
        return PlacementRequirements(
            work_s=self.work_s,
            max_response_s=self.deadline_s - now_s,
            excluded=excluded,
            queue_ratio=0.0,
            reserved_slots=LATE_SPARED_SLOTS,
        )


class WaitingLine(Generic[T]):
    """Waiting requests: those not yet late first, among them the highest rank."""

    def __init__(self) -> None:
        self._lanes: defaultdict[int, list[tuple[float, T]]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(lane) for lane in self._lanes.values())

    def push(self, waiter: T, *, rank: int, late_from_s: float) -> None:
        """Add a request."""
        self._lanes[rank].append((late_from_s, waiter))

    def has_before(self, *, rank: int, now_s: float) -> bool:
        """Tell whether a request waits that goes before a new one of a rank."""
        return any(
            now_s <= late_from_s
            for lane_rank, lane in self._lanes.items()
            if lane_rank <= rank
            for late_from_s, _ in lane
        )

    def take_all(self, *, now_s: float) -> list[T]:
        """Take out all requests in the order in which they go."""
        waiting = [entry for rank in sorted(self._lanes) for entry in self._lanes[rank]]
        self._lanes.clear()
        in_time = [waiter for late_from_s, waiter in waiting if now_s <= late_from_s]
        late = [waiter for late_from_s, waiter in waiting if now_s > late_from_s]
        return in_time + late
