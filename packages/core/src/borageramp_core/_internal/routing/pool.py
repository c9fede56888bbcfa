"""Selection of an upstream for a request.

Load and pace of upstreams change within milliseconds, so an entry probes a few right
before it places a request and compares the reports. Older reports decide which ones.
"""

import random
from collections.abc import Collection, Iterable

from borageramp_core._internal.messages import AttemptResult, Notice
from borageramp_core._internal.outliers import Outliers
from borageramp_core._internal.routing.kept_notices import KeptNotices
from borageramp_core._internal.routing.model import Registration, RoutedService
from borageramp_core._internal.routing.placement import (
    PlacementChoice,
    PlacementRequirements,
)
from borageramp_core._internal.routing.rate_allowance import RateAllowance
from borageramp_core._internal.routing.reachability import ServiceReachability
from borageramp_core._internal.routing.response_time import response_time_estimator
from borageramp_core._internal.routing.shortlist import Shortlist
from borageramp_core._internal.routing.slowdown import SlowdownProfile
from borageramp_core._internal.routing.upstream_eligibility import UpstreamEligibility
from borageramp_core._internal.routing.upstream_view import (
    LoadSnapshot,
    UpstreamView,
    incarnation_of,
    new_view,
)
from borageramp_core._internal.routing.work_estimate import WorkEstimate

__all__ = ["ServicePool"]

# Other entries send at most a request or two before a report reaches this age.
FRESH_REPORT_AGE_S = 0.015
# Traffic between data centres costs, so local upstreams win ties.
REMOTE_PENALTY_FACTOR = 1.3
FAILURE_PENALTY_FACTOR = 4.0  # Multiplies an upstream's share of failures.
UNHEALTHY_PENALTY_FACTOR = 4.0
# Bounds within which an upstream counts as good.
MAX_GOOD_PACE = 1.2
MIN_GOOD_SUCCESS_SHARE = 0.9
# Shares of slots in use: some upstreams slow down when they are nearly full.
MAX_GOOD_LOAD = 0.67
UTILIZATION_WEIGHT = 0.3
PROBE_JITTER = 0.25  # Spreads entries with the same data over similar upstreams.
# A request in flight occupies its connection, so a probe would need another one.
OWN_REQUEST_PENALTY_FACTOR = 0.5
MAX_EJECTED_SHARE = 0.5
FULL_HOLD_S = 0.5  # Time a service counts as full after a request found no capacity.


class ServicePool:
    """State of one service's upstreams and selection among them.

    Parameters
    ----------
    name : str
        Name of the service.
    member : str
        Name of this entry.
    data_centre : str
        Data centre of this entry.
    cold : RateAllowance
        Share of this entry in the rate limits of cold upstreams.
    limited : RateAllowance
        Share of this entry in the rate limits that upstreams name.
    rng : random.Random
        Random number generator.
    """

    def __init__(
        self,
        *,
        name: str,
        member: str,
        data_centre: str,
        cold: RateAllowance,
        limited: RateAllowance,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.views: dict[str, UpstreamView] = {}
        self.shortlist = Shortlist(member=member, data_centre=data_centre)
        self.slowdown = SlowdownProfile()
        self.reachability = ServiceReachability()
        self.outliers = Outliers(max_ejected_share=MAX_EJECTED_SHARE)
        self._data_centre = data_centre
        self._eligibility = UpstreamEligibility(cold=cold, limited=limited)
        self._rng = rng
        self._kept_notices = KeptNotices()
        self._full_until_s = float("-inf")

    def apply(
        self,
        registrations: Iterable[Registration],
        *,
        settings: RoutedService | None,
        evacuated_data_centres: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Replace the list of registered upstreams.

        Returns
        -------
        list of str
            Identifiers of upstreams that were removed or restarted.
        """
        self._eligibility.evacuated_data_centres = evacuated_data_centres
        ramp_hz = settings.ramp_hz if settings is not None else 0.0
        previous = self.views
        new_views = []
        self.views = {}
        for registration in registrations:
            view = previous.get(registration.id)
            if view is None or incarnation_of(view.registration) != incarnation_of(
                registration
            ):
                view = new_view(registration, now_s=now_s)
                new_views.append(view)
            view.registration = registration
            view.ramp_hz = ramp_hz
            self.views[registration.id] = view
        self.outliers.retain(v.upstream.id for v in self.views.values())
        self.shortlist.update(self.views.values())
        removed = [v for k, v in previous.items() if self.views.get(k) is not v]
        self.reachability.upstream_count = len(self.views)
        for view in removed:
            self.reachability.forget(view.registration.id)
            self._kept_notices.on_removed(view, now_s=now_s)
        for view in new_views:
            self._kept_notices.restore(view)
        self._kept_notices.expire(now_s=now_s)
        return [v.registration.id for v in removed]

    def on_no_capacity(self, *, now_s: float) -> None:
        """Record that a request that could meet its objective was not placed."""
        self._full_until_s = now_s + FULL_HOLD_S

    def is_full(self, *, now_s: float) -> bool:
        """Return whether a request recently found no capacity."""
        return now_s < self._full_until_s

    def can_serve(
        self,
        requirements: PlacementRequirements,
        *,
        max_wait_s: float,
        queued: int = 0,
        now_s: float,
    ) -> bool:
        """Return whether any upstream can accept a request within its time limit.

        See :meth:`UpstreamEligibility.can_serve`.
        """
        return self._eligibility.can_serve(
            self.views.values(),
            requirements,
            max_wait_s=max_wait_s,
            queued=queued,
            now_s=now_s,
        )

    def min_wait_s(self, *, now_s: float) -> float:
        """Return the least time for which this entry may send no request.

        See :meth:`UpstreamEligibility.min_wait_s`.
        """
        return self._eligibility.min_wait_s(self.views.values(), now_s=now_s)

    def _is_healthy(self, view: UpstreamView, *, now_s: float) -> bool:
        if now_s < view.unresponsive_until_s:
            return False
        return not self.outliers.is_ejected(view.upstream.id, now_s=now_s)

    def candidates(
        self, requirements: PlacementRequirements, *, now_s: float
    ) -> list[UpstreamView]:
        """Return the preferred upstreams; unhealthy ones only if there is no other."""
        width = self.shortlist.width(now_s=now_s)
        avoided = self.reachability.avoided(now_s=now_s)
        usable: list[UpstreamView] = []
        healthy: list[UpstreamView] = []
        for view in self.shortlist.order:
            if view.registration.id in avoided or not self._eligibility.is_usable(
                view, requirements, now_s=now_s
            ):
                continue
            usable.append(view)
            if self._is_healthy(view, now_s=now_s):
                healthy.append(view)
                if len(healthy) >= width:
                    break
        return healthy or usable

    def probe_targets(
        self, requirements: PlacementRequirements, *, count: int, now_s: float
    ) -> list[UpstreamView]:
        """Return the upstreams without a fresh report to probe for a request.

        Parameters
        ----------
        requirements : PlacementRequirements
            Requirements of the request.
        count : int
            Maximum number of probes.
        now_s : float
            Current time in seconds.
        """
        usable = [
            view
            for view in self.candidates(requirements, now_s=now_s)
            if view.report_age_s(now_s=now_s) > FRESH_REPORT_AGE_S
        ]
        preferred = self.shortlist.order[: self.shortlist.width(now_s=now_s)]
        recheck = self._eligibility.limits_to_recheck(
            preferred, requirements, now_s=now_s
        )
        if len(usable) <= count:
            return [*usable, *recheck]
        expected = response_time_estimator(
            usable, requirements, slowdown=self.slowdown, now_s=now_s
        )
        probe_costs = {
            v.registration.id: self._penalty_factor(v)
            * expected(v)
            * (1.0 + PROBE_JITTER * self._rng.random())
            * (1.0 + OWN_REQUEST_PENALTY_FACTOR * v.load.in_flight)
            for v in usable
        }
        usable.sort(key=lambda v: probe_costs[v.registration.id])
        # A random probe keeps the data on the other upstreams up to date.
        others = usable[count - 1 :]
        idle = [v for v in others if v.load.in_flight == 0]
        return [*usable[: count - 1], self._rng.choice(idle or others), *recheck]

    def choose(
        self,
        requirements: PlacementRequirements,
        *,
        now_s: float,
        fresh_only: bool = False,
    ) -> PlacementChoice | None:
        """Choose the upstream with the lowest weighted response time.

        Parameters
        ----------
        requirements : PlacementRequirements
            Requirements of the request.
        now_s : float
            Current time in seconds.
        fresh_only : bool
            Whether to consider only upstreams with a fresh report.

        Returns
        -------
        PlacementChoice or None
            ``None`` if no upstream meets the requirements.
        """
        usable = self.candidates(requirements, now_s=now_s)
        fresh = [v for v in usable if v.report_age_s(now_s=now_s) <= FRESH_REPORT_AGE_S]
        compared = fresh or ([] if fresh_only else usable)
        expected = response_time_estimator(
            compared, requirements, slowdown=self.slowdown, now_s=now_s
        )
        costs = [
            (
                self._penalty_factor(view)
                * expected(view)
                * self._utilization_factor(view, now_s=now_s),
                self._rng.random(),
                view,
            )
            for view in compared
            if self._has_capacity(view, requirements, now_s=now_s)
            and expected(view) <= requirements.max_response_s
        ]
        if not costs:
            return None
        _, _, view = min(costs, key=lambda item: item[:2])
        return PlacementChoice(
            view=view, expected_s=expected(view), candidate_count=len(compared)
        )

    def has_good(self, requirements: PlacementRequirements, *, now_s: float) -> bool:
        """Return whether any candidate is good, as defined by :meth:`is_good`."""
        return any(
            self.is_good(view, requirements, now_s=now_s)
            for view in self.candidates(requirements, now_s=now_s)
        )

    def is_good(
        self, view: UpstreamView, requirements: PlacementRequirements, *, now_s: float
    ) -> bool:
        """Return whether an upstream is fast, lightly loaded and healthy."""
        if (
            view.pace > MAX_GOOD_PACE
            or view.unhealthy
            or view.report_age_s(now_s=now_s) > FRESH_REPORT_AGE_S
        ):
            return False
        if view.load.in_flight + view.load.others + 1 > MAX_GOOD_LOAD * view.load.slots:
            return False
        if self.outliers.state(view.upstream.id).success_rate < MIN_GOOD_SUCCESS_SHARE:
            return False
        healthy = self._is_healthy(view, now_s=now_s)
        return healthy and self._eligibility.is_usable(view, requirements, now_s=now_s)

    def _has_capacity(
        self, view: UpstreamView, requirements: PlacementRequirements, *, now_s: float
    ) -> bool:
        remaining = view.load.remaining_load(work_s=requirements.work_s, now_s=now_s)
        slots = view.load.slots
        usable = self.slowdown.effective_slots(slots)
        capacity = float(max(1, usable - requirements.reserved_slots))
        if capacity == slots:
            capacity *= 1.0 + requirements.queue_ratio
        # Rounded up: a request occupies its slot until it has ended.
        return -(-remaining // 1.0) < capacity

    def _utilization_factor(self, view: UpstreamView, *, now_s: float) -> float:
        requests = view.load.estimate(mean_others=0.0, now_s=now_s)
        utilization = min(1.0, (requests + 1.0) / view.load.slots)
        return 1.0 + UTILIZATION_WEIGHT * utilization**2

    def _penalty_factor(self, view: UpstreamView) -> float:
        success = self.outliers.state(view.upstream.id).success_rate
        penalty = 1.0 + FAILURE_PENALTY_FACTOR * (1.0 - success)
        if view.unhealthy:
            penalty *= UNHEALTHY_PENALTY_FACTOR
        if view.registration.data_centre != self._data_centre:
            penalty *= REMOTE_PENALTY_FACTOR
        return penalty

    def start_request(self, view: UpstreamView, *, now_s: float) -> bool:
        """Count a request to an upstream; return whether it may be sent."""
        if not self._eligibility.take_shares(view, now_s=now_s):
            return False
        view.load.in_flight += 1
        return True

    def undo_start(self, view: UpstreamView) -> None:
        """Undo the count of a request that was not sent."""
        view.load.in_flight -= 1

    def end_request(
        self, view: UpstreamView, result: AttemptResult, *, now_s: float
    ) -> bool:
        """Count the end of a request; return whether it ejected the upstream."""
        view.load.in_flight -= 1
        name = view.upstream.id
        if result is AttemptResult.ANSWERED:
            self.outliers.on_success(name)
            return False
        if result in (AttemptResult.CANCELLED, AttemptResult.SHED):
            # An upstream that sheds answers at once and may accept the next one.
            return False
        if result is AttemptResult.UNREACHABLE:
            view.mark_unresponsive(now_s=now_s)
        return self.outliers.on_failure(
            view.upstream, service_size=len(self.views), now_s=now_s
        )

    def record_latency(
        self, work: WorkEstimate, latency_s: float, *, pace: float, load: LoadSnapshot
    ) -> None:
        """Record the latency of an answer.

        Parameters
        ----------
        work : WorkEstimate
            Work estimate of the request's route; updated.
        latency_s : float
            Latency in seconds.
        pace : float
            Last reported pace of the upstream when the request was sent.
        load : LoadSnapshot
            Load of the upstream at that time.
        """
        slowdown = self.slowdown.factor(load.requests, slots=load.slots, cold=load.cold)
        if pace <= MAX_GOOD_PACE and load.report_age_s <= FRESH_REPORT_AGE_S:
            self.slowdown.on_answer(
                latency_s / (max(0.5, pace) * work.mean_s),
                requests=load.requests,
                slots=load.slots,
                cold=load.cold,
            )
        work.on_answer(latency_s, pace=pace * slowdown)

    def on_notice(self, view: UpstreamView, notice: Notice, *, now_s: float) -> bool:
        """Apply a notice of an upstream; return whether it changed anything."""
        previous = (view.leaving, view.is_paused(now_s=now_s))
        view.on_notice(notice, now_s=now_s)
        if notice.leaving:
            self._kept_notices.on_leaving(view, now_s=now_s)
        return previous != (view.leaving, view.is_paused(now_s=now_s))
