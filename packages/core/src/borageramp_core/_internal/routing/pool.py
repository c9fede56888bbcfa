"""Which upstream of a service takes a request.

Load and pace of upstreams shift within milliseconds, so an entry asks a few
of them right before it places a request, and compares what they say. What
it remembers of the others decides whom to ask.
"""

import random
from collections.abc import Collection, Iterable

from borageramp_core._internal.messages import AttemptResult, LoadReport, Notice
from borageramp_core._internal.outliers import Outliers
from borageramp_core._internal.routing.cold_allowance import ColdAllowance
from borageramp_core._internal.routing.model import Registration, RoutedService
from borageramp_core._internal.routing.placement import (
    PlacementChoice,
    PlacementRequirements,
)
from borageramp_core._internal.routing.response_time import response_time_estimator
from borageramp_core._internal.routing.shortlist import Shortlist
from borageramp_core._internal.routing.slowdown import SlowdownProfile
from borageramp_core._internal.routing.upstream_view import (
    LoadSnapshot,
    UpstreamIncarnation,
    UpstreamView,
    incarnation_of,
    new_view,
)
from borageramp_core._internal.routing.work_estimate import WorkEstimate

__all__ = ["ServicePool"]

# A report of this age is as good as a new one; meanwhile other entries may have
# sent a request or two.
FRESH_REPORT_AGE_S = 0.015
# Upstreams elsewhere cost bytes between data centres: near ones win ties.
REMOTE_PENALTY_FACTOR = 1.3
# How much an upstream's share of failures counts against it.
FAILURE_PENALTY_FACTOR = 4.0
# How much it counts against an upstream that its health endpoint says ill.
UNHEALTHY_PENALTY_FACTOR = 4.0
# What a good upstream reports, and its share of successes.
MAX_GOOD_PACE = 1.2
MIN_GOOD_SUCCESS_SHARE = 0.9
# How much of its slots a good upstream has in use, and how much it counts against
# others that more are: some work slower when they are nearly full.
MAX_GOOD_LOAD = 0.67
UTILIZATION_WEIGHT = 0.3
# Spreads entries that remember the same over upstreams that look alike.
PROBE_JITTER = 0.25
# How much an upstream stands back to be asked for each own request that it has:
# the connection to it is in use, and asking needs another.
OWN_REQUEST_PENALTY_FACTOR = 0.5
# Largest share of a service's upstreams that may be ejected at once.
MAX_EJECTED_SHARE = 0.5
# Time for which a service counts as full once a request found no place.
FULL_HOLD_S = 0.5
# How long it is kept that a start of an upstream said it was leaving: its entry
# in the store may lapse and return while it serves on.
LEAVE_NOTICE_TTL_S = 600.0

_ANY_REQUEST = PlacementRequirements(work_s=0.0, max_response_s=0.0)


class ServicePool:
    """The upstreams of one service, as one entry sees them.

    Parameters
    ----------
    name : str
        Name of the service.
    member : str
        Name of this entry.
    data_centre : str
        Where it runs.
    cold : ColdAllowance
        What this entry may send to cold upstreams.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        name: str,
        member: str,
        data_centre: str,
        cold: ColdAllowance,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.views: dict[str, UpstreamView] = {}
        self.shortlist = Shortlist(member=member, data_centre=data_centre)
        self.slowdown = SlowdownProfile()
        self.outliers = Outliers(max_share=MAX_EJECTED_SHARE)
        self._data_centre = data_centre
        self._cold = cold
        self._rng = rng
        self._data_centres_out: Collection[str] = ()
        self._leave_notice_at_s: dict[UpstreamIncarnation, float] = {}
        self._full_until_s = float("-inf")

    def apply(
        self,
        registrations: Iterable[Registration],
        *,
        settings: RoutedService | None,
        data_centres_out: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Take in the registered upstreams.

        Returns
        -------
        list of str
            Names of upstreams that are gone or started anew.
        """
        self._data_centres_out = data_centres_out
        ramp_hz = settings.ramp_hz if settings is not None else 0.0
        previous = self.views
        self.views = {}
        for registration in registrations:
            view = previous.get(registration.id)
            if view is None or incarnation_of(view.registration) != incarnation_of(
                registration
            ):
                view = new_view(registration, now_s=now_s)
                view.leaving = incarnation_of(registration) in self._leave_notice_at_s
            view.registration = registration
            view.ramp_hz = ramp_hz
            self.views[registration.id] = view
        self.outliers.keep_only(v.upstream.id for v in self.views.values())
        self.shortlist.update(self.views.values())
        self._leave_notice_at_s = {
            incarnation: at_s
            for incarnation, at_s in self._leave_notice_at_s.items()
            if now_s - at_s < LEAVE_NOTICE_TTL_S
        }
        return [k for k, v in previous.items() if self.views.get(k) is not v]

    def _accepts(self, view: UpstreamView, requirements: PlacementRequirements) -> bool:
        if view.registration.leaving or view.leaving or view.address_mismatch:
            return False
        if view.registration.data_centre in self._data_centres_out:
            return False
        return view.registration.id not in requirements.excluded

    def on_no_capacity(self, *, now_s: float) -> None:
        """Take in that a request that could be in time found no place."""
        self._full_until_s = now_s + FULL_HOLD_S

    def is_full(self, *, now_s: float) -> bool:
        """Tell whether such requests have found no place lately."""
        return now_s < self._full_until_s

    def can_serve(self, requirements: PlacementRequirements, *, now_s: float) -> bool:
        """Tell whether any upstream may take a request, now or in time."""
        until_s = now_s + requirements.max_response_s
        return any(
            self._accepts(view, requirements) and view.paused_until_s < until_s
            for view in self.views.values()
        )

    def pause_remaining_s(self, *, now_s: float) -> float:
        """Return the time until some upstream takes requests again.

        It is 0 unless all upstreams that take work asked for a pause.
        """
        ends_s = [
            view.paused_until_s
            for view in self.views.values()
            if self._accepts(view, _ANY_REQUEST)
        ]
        return max(0.0, min(ends_s, default=now_s) - now_s)

    def _is_usable(
        self, view: UpstreamView, requirements: PlacementRequirements, *, now_s: float
    ) -> bool:
        if not self._accepts(view, requirements) or view.is_paused(now_s=now_s):
            return False
        return not view.is_cold(now_s=now_s) or self._cold.has_capacity(
            view.registration.id, ramp_hz=view.ramp_hz, now_s=now_s
        )

    def _is_healthy(self, view: UpstreamView, *, now_s: float) -> bool:
        if now_s < view.unresponsive_until_s:
            return False
        return not self.outliers.is_ejected(view.upstream.id, now_s=now_s)

    def candidates(
        self, requirements: PlacementRequirements, *, now_s: float
    ) -> list[UpstreamView]:
        """Return the upstreams to compare for a request, the preferred ones.

        Those that failed lately are left out as long as there are others.
        """
        width = self.shortlist.width(now_s=now_s)
        usable: list[UpstreamView] = []
        healthy: list[UpstreamView] = []
        for view in self.shortlist.order:
            if not self._is_usable(view, requirements, now_s=now_s):
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
        """Return the upstreams to ask before a request is placed.

        Those that have just reported need not be asked.

        Parameters
        ----------
        requirements : PlacementRequirements
            The request.
        count : int
            Upstreams to ask at most.
        now_s : float
            Present time.
        """
        usable = [
            view
            for view in self.candidates(requirements, now_s=now_s)
            if view.report_age_s(now_s=now_s) > FRESH_REPORT_AGE_S
        ]
        if len(usable) <= count:
            return usable
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
        # One at random keeps what is remembered of the others from ageing.
        others = usable[count - 1 :]
        idle = [v for v in others if v.load.in_flight == 0]
        return [*usable[: count - 1], self._rng.choice(idle or others)]

    def choose(
        self,
        requirements: PlacementRequirements,
        *,
        now_s: float,
        fresh_only: bool = False,
    ) -> PlacementChoice | None:
        """Choose the upstream with the least expected time to an answer.

        Parameters
        ----------
        requirements : PlacementRequirements
            The request.
        now_s : float
            Present time.
        fresh_only : bool
            Whether only upstreams that have just reported count.

        Returns
        -------
        PlacementChoice or None
            ``None`` if no upstream has room for it.
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
            view=view,
            expected_s=expected(view),
            candidate_count=len(compared),
        )

    def has_good(self, requirements: PlacementRequirements, *, now_s: float) -> bool:
        """Tell whether an upstream is as good as one may hope for."""
        return any(
            self.is_good(view, requirements, now_s=now_s)
            for view in self.candidates(requirements, now_s=now_s)
        )

    def is_good(
        self, view: UpstreamView, requirements: PlacementRequirements, *, now_s: float
    ) -> bool:
        """Tell whether an upstream is as good as one may hope for.

        It is idle enough, works at the usual pace, and has not failed lately.
        """
        if (
            view.pace > MAX_GOOD_PACE
            or view.unhealthy
            or view.report_age_s(now_s=now_s) > FRESH_REPORT_AGE_S
        ):
            return False
        if view.load.in_flight + view.load.others + 1 > MAX_GOOD_LOAD * view.load.slots:
            return False
        if self.outliers.state(view.upstream.id).success < MIN_GOOD_SUCCESS_SHARE:
            return False
        healthy = self._is_healthy(view, now_s=now_s)
        return healthy and self._is_usable(view, requirements, now_s=now_s)

    def _has_capacity(
        self, view: UpstreamView, requirements: PlacementRequirements, *, now_s: float
    ) -> bool:
        remaining = view.load.left(work_s=requirements.work_s, now_s=now_s)
        slots = view.load.slots
        usable = self.slowdown.effective_slots(slots)
        capacity = float(max(1, usable - requirements.reserved_slots))
        if capacity == slots:
            capacity *= 1.0 + requirements.queue_ratio
        # A request that may have ended in part has not left its slot.
        return -(-remaining // 1.0) < capacity

    def _utilization_factor(self, view: UpstreamView, *, now_s: float) -> float:
        """Return how much an upstream stands back for being nearly full."""
        requests = view.load.estimate(usual_others=0.0, now_s=now_s)
        utilization = min(1.0, (requests + 1.0) / view.load.slots)
        return 1.0 + UTILIZATION_WEIGHT * utilization**2

    def _penalty_factor(self, view: UpstreamView) -> float:
        """Return how much an upstream stands back behind others, as a factor."""
        success = self.outliers.state(view.upstream.id).success
        penalty = 1.0 + FAILURE_PENALTY_FACTOR * (1.0 - success)
        if view.unhealthy:
            penalty *= UNHEALTHY_PENALTY_FACTOR
        if view.registration.data_centre != self._data_centre:
            penalty *= REMOTE_PENALTY_FACTOR
        return penalty

    def start_request(self, view: UpstreamView, *, now_s: float) -> bool:
        """Count a request to an upstream; tell whether it may still be sent."""
        if view.is_cold(now_s=now_s) and not self._cold.take(
            view.registration.id, ramp_hz=view.ramp_hz, now_s=now_s
        ):
            return False
        view.load.in_flight += 1
        return True

    def undo_start(self, view: UpstreamView) -> None:
        """Take back a request that was counted and not sent."""
        view.load.in_flight -= 1

    def end_request(
        self, view: UpstreamView, result: AttemptResult, *, now_s: float
    ) -> bool:
        """Count the end of a request; tell whether the upstream was ejected."""
        view.load.in_flight -= 1
        name = view.upstream.id
        if result is AttemptResult.ANSWERED:
            self.outliers.on_success(name)
            return False
        if result in (AttemptResult.CANCELLED, AttemptResult.SHED):
            # Who sheds says so at once, and may well take the next request.
            return False
        if result is AttemptResult.UNREACHABLE:
            view.mark_unresponsive(now_s=now_s)
        return self.outliers.on_failure(
            view.upstream, service_size=len(self.views), now_s=now_s
        )

    def record_latency(
        self, work: WorkEstimate, latency_s: float, *, pace: float, load: LoadSnapshot
    ) -> None:
        """Take in how long an answer took.

        Parameters
        ----------
        work : WorkEstimate
            What is known of the request's route.
        latency_s : float
            Time of the answer.
        pace : float
            Pace that the upstream reported when it got the request.
        load : LoadSnapshot
            How busy it was then.
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

    def on_report(
        self, view: UpstreamView, report: LoadReport, *, now_s: float
    ) -> None:
        """Take in what an upstream says of itself."""
        view.on_report(report, now_s=now_s)

    def on_notice(self, view: UpstreamView, notice: Notice, *, now_s: float) -> bool:
        """Take in what an upstream asks for; tell whether that is new."""
        previous = (view.leaving, view.is_paused(now_s=now_s))
        view.on_notice(notice, now_s=now_s)
        if notice.leaving:
            self._leave_notice_at_s[incarnation_of(view.registration)] = now_s
        return previous != (view.leaving, view.is_paused(now_s=now_s))
