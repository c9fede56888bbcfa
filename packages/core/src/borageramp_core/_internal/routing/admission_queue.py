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
from borageramp_core._internal.routing.work_estimate import WorkEstimate

__all__ = ["AdmissionQueue", "WaitPolicy"]

# How far requests may queue at an upstream, in multiples of its slots: enough
# that a slot that becomes free is taken up at once.
QUEUE_SLOTS = 0.35
URGENT_QUEUE_SLOTS = 0.7
# Share of its time that a request of high rank, or one that is hard to repeat,
# waits for room; others wait while their answer can be in time.
MAX_WAIT_SHARE = 0.5
# Largest share of an objective that is kept for the work itself: while answers
# are slow, the work seems longer than it is.
MAX_WORK_SHARE = 0.6
# Slots of each upstream that late requests leave to those that can be in time.
LATE_RESERVED_SLOTS = 1
# Ranks from this one on give way to the others.
FIRST_NON_URGENT_RANK = 2

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitPolicy:
    """How a request waits, and what it accepts meanwhile.

    Attributes
    ----------
    arrived_at_s, objective_at_s, deadline_s : float
        Times of its arrival, until which its answer is in time, and until
        which it is of use.
    work_s : float
        Time that it takes on an idle upstream.
    latest_start_s : float
        Time from which its answer would probably be late.
    urgent : bool
        Whether it goes before others, and waits longer.
    is_caller_retry : bool
        Whether its caller has come back with it; another refusal may be its end.
    """

    arrived_at_s: float
    objective_at_s: float
    deadline_s: float
    work_s: float
    latest_start_s: float
    urgent: bool
    is_caller_retry: bool = False

    @classmethod
    def for_request(
        cls,
        route: Route,
        *,
        work: WorkEstimate,
        arrived_at_s: float,
        deadline_s: float,
        age_s: float = 0.0,
    ) -> "WaitPolicy":
        """Return the wait_policy of a request.

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
        reserved_work_s = min(work.late_after_s, MAX_WORK_SHARE * route.objective_s)
        objective_at_s = arrived_at_s - age_s + route.objective_s
        return cls(
            is_caller_retry=age_s > 0.0,
            arrived_at_s=arrived_at_s,
            objective_at_s=objective_at_s,
            deadline_s=deadline_s,
            work_s=work.mean_s,
            latest_start_s=objective_at_s - reserved_work_s,
            urgent=route.rank < FIRST_NON_URGENT_RANK,
        )

    @property
    def wait_until_s(self) -> float:
        """Time until which it waits for room."""
        latest_in_time_s = self.objective_at_s - self.work_s
        if not self.urgent and not self.is_caller_retry:
            return max(self.arrived_at_s, latest_in_time_s)
        max_wait_s = MAX_WAIT_SHARE * (self.deadline_s - self.arrived_at_s)
        return max(latest_in_time_s, self.arrived_at_s + max_wait_s)

    def is_late(self, *, now_s: float) -> bool:
        """Tell whether its answer will probably be late."""
        return now_s > self.latest_start_s

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
        remaining_s = self.objective_at_s - now_s
        if now_s <= self.latest_start_s and remaining_s > self.work_s:
            reserved_work_s = self.objective_at_s - self.latest_start_s
            safety_factor = min(1.0, self.work_s / reserved_work_s)
            return PlacementRequirements(
                work_s=self.work_s,
                max_response_s=safety_factor * remaining_s,
                excluded=excluded,
                queue_ratio=URGENT_QUEUE_SLOTS if self.urgent else QUEUE_SLOTS,
            )
        return PlacementRequirements(
            work_s=self.work_s,
            max_response_s=self.deadline_s - now_s,
            excluded=excluded,
            queue_ratio=0.0,
            reserved_slots=LATE_RESERVED_SLOTS,
        )


class AdmissionQueue(Generic[T]):
    """Waiting requests: those not yet late first, among them the highest rank."""

    def __init__(self) -> None:
        self._queues: defaultdict[int, list[tuple[float, T]]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def push(self, item: T, *, rank: int, latest_start_s: float) -> None:
        """Add a request."""
        self._queues[rank].append((latest_start_s, item))

    def has_ahead(self, *, rank: int, now_s: float) -> bool:
        """Tell whether a request waits that goes before a new one of a rank."""
        return any(
            now_s <= latest_start_s
            for queue_rank, queue in self._queues.items()
            if queue_rank <= rank
            for latest_start_s, _ in queue
        )

    def pop_all(self, *, now_s: float) -> list[T]:
        """Take out all requests in the order in which they go."""
        queued = [pair for rank in sorted(self._queues) for pair in self._queues[rank]]
        self._queues.clear()
        in_time = [item for latest_start_s, item in queued if now_s <= latest_start_s]
        late = [item for latest_start_s, item in queued if now_s > latest_start_s]
        return in_time + late
