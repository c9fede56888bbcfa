"""Queueing of requests at an entry until an upstream has capacity for them.

Queues at upstreams are kept short: requests there can't be reordered, and once
all of those queues are long, every answer is late. Requests are queued at the
entry instead, ordered by rank and for a limited time.

Requests that can still meet their objective precede those that can't,
regardless of rank. In first-in, first-out order, a standing queue would make
every answer late, although most of the requests could have been served in
time. The objective of a request that its caller retries counts from the first
attempt, so that such a request is usually late on arrival.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Generic, TypeVar

from borageramp_core._internal.routing.model import Route
from borageramp_core._internal.routing.placement import PlacementRequirements
from borageramp_core._internal.routing.work_estimate import WorkEstimate

__all__ = ["AdmissionQueue", "WaitPolicy"]

# Maximum queue length at an upstream in multiples of its slots: just enough that
# a slot that is freed is reused immediately.
QUEUE_SLOTS = 0.35
URGENT_QUEUE_SLOTS = 0.7
# Share of the time until their deadline for which urgent requests and retries by
# callers are queued at most; others only while they can meet their objective.
MAX_WAIT_SHARE = 0.5
# Maximum share of an objective that is reserved for the work itself: while
# answers are slow, the work is overestimated.
MAX_WORK_SHARE = 0.6
# Slots of each upstream that late requests leave to those that can be in time.
LATE_RESERVED_SLOTS = 1
# Requests of this rank and lower priorities are not urgent.
FIRST_NON_URGENT_RANK = 2

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitPolicy:
    """How long a request is queued, and which upstreams it accepts meanwhile.

    Attributes
    ----------
    arrived_at_s, objective_at_s, deadline_s : float
        Times of arrival, of the objective and of the deadline.
    work_s : float
        Expected time of the work on an idle upstream.
    latest_start_s : float
        Time after which a request that starts would probably be late.
    urgent : bool
        Whether the request may use longer queues at upstreams and is queued longer.
    is_caller_retry : bool
        Whether the caller retries the request; it may give up if refused again.
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
        """Return the wait policy of a request.

        Parameters
        ----------
        route : Route
            Route of the request.
        work : WorkEstimate
            Estimated work of requests of the route.
        arrived_at_s, deadline_s : float
            Times of arrival and of the deadline.
        age_s : float
            Time that the caller spent on earlier attempts.
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
        """Time until which the request may be queued."""
        latest_in_time_s = self.objective_at_s - self.work_s
        if not self.urgent and not self.is_caller_retry:
            return max(self.arrived_at_s, latest_in_time_s)
        max_wait_s = MAX_WAIT_SHARE * (self.deadline_s - self.arrived_at_s)
        return max(latest_in_time_s, self.arrived_at_s + max_wait_s)

    def in_time_wait_s(self, *, now_s: float) -> float:
        """Return for how long the request may wait and be in time; 0 if it is late."""
        return max(0.0, self.objective_at_s - self.work_s - now_s)

    def is_late(self, *, now_s: float) -> bool:
        """Return whether the answer will probably be late."""
        return now_s > self.latest_start_s

    def requirements(
        self, *, excluded: frozenset[str], now_s: float
    ) -> PlacementRequirements:
        """Return the placement requirements of the request at this time.

        While the objective can be met, these are upstreams that will probably
        meet it. After that, only idle slots, and never the last one of an
        upstream: a late request must not delay others, and requests that can be
        in time may arrive at any instance at any moment [1]_.

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
    """Queue of requests: those not yet late first, then by rank and fair share."""

    def __init__(self) -> None:
        self._queues: defaultdict[tuple[int, int], list[tuple[float, T]]]
        self._queues = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def push(
        self, item: T, *, rank: int, latest_start_s: float, share_class: int = 0
    ) -> None:
        """Add a request to the queue.

        Parameters
        ----------
        item : object
            The request.
        rank : int
            Priority; 0 is the highest.
        latest_start_s : float
            Time after which a request that starts would probably be late.
        share_class : int
            Order within the rank; see :func:`fair_share_class`.
        """
        self._queues[rank, share_class].append((latest_start_s, item))

    def has_ahead(self, *, rank: int, now_s: float, share_class: int = 0) -> bool:
        """Return whether a queued request precedes a new one of this rank."""
        return any(
            now_s <= latest_start_s
            for order, queue in self._queues.items()
            if order <= (rank, share_class)
            for latest_start_s, _ in queue
        )

    def pop_all(self, *, now_s: float) -> list[T]:
        """Remove all requests and return them in the order of service."""
        queued = [p for order in sorted(self._queues) for p in self._queues[order]]
        self._queues.clear()
        in_time = [item for latest_start_s, item in queued if now_s <= latest_start_s]
        late = [item for latest_start_s, item in queued if now_s > latest_start_s]
        return in_time + late
