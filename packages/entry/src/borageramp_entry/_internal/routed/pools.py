"""Upstream pools, retry budgets and estimates of all services and routes."""

import random
from collections import defaultdict
from collections.abc import Callable

from borageramp_core import AttemptResult, Notice, RatioBudget
from borageramp_core.routing import (
    RATE_LIMIT_BOUNDS,
    AnswerKind,
    DeadlineProfile,
    FleetState,
    HedgePolicy,
    RateAllowance,
    Reach,
    Registration,
    Route,
    ServicePool,
    UpstreamView,
    WorkEstimate,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.rollouts.registry import RolloutRegistry
from borageramp_settings import FleetBounds, HedgingSettings

__all__ = ["PoolRegistry"]

_log = get_logger(__name__)

# Shares of the bounds on retries that are used. The rest allows for member lists
# that differ between entries, and for requests counted in another window.
RETRY_RATIO_SHARE = 0.8
RETRY_SLACK_SHARE = 0.5
# Balance from which a hedge is allowed.
EARLY_BALANCE = 0.5
# Upstreams that are asked to tell a crash from a loss of network.
MAX_CONFIRMING_UPSTREAMS = 3


class PoolRegistry:
    """Pools, budgets and estimates that one entry keeps by service and route.

    Parameters
    ----------
    member : str
        Name of this entry.
    data_centre : str
        Data centre of this entry.
    bounds : FleetBounds
        Bounds that all entries share.
    cold : RateAllowance
        Allowance of this entry for requests to cold upstreams.
    on_removed : callable
        Called with each upstream that was removed or restarted.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    rollouts : RolloutRegistry
        Rollouts of new software versions.
    hedging : HedgingSettings or None
        Share of hedges that operators allow; ``None`` if only the retry budget limits
        them.
    on_impaired : callable
        Called with the name of a service when another of its upstreams can't be
        reached while many can't.
    """

    def __init__(
        self,
        *,
        member: str,
        data_centre: str,
        bounds: FleetBounds,
        cold: RateAllowance,
        on_removed: Callable[[UpstreamView], None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.bounds = bounds
        self.cold = cold
        self._limited = RateAllowance(member=member, bounds=RATE_LIMIT_BOUNDS)
        self._member = member
        self._data_centre = data_centre
        self._on_removed = on_removed
        self._rng = rng
        self._clock = clock
        self.rollouts = RolloutRegistry(rng=rng, clock=clock)
        self.on_impaired: Callable[[str], None] = lambda service: None
        self._entry_count = 1
        self.limited_attempts = 0
        self._pools: dict[str, ServicePool] = {}
        self._retry_budgets: dict[str, RatioBudget] = {}
        self.hedging: HedgingSettings | None = None
        self._hedge_policies: dict[str, HedgePolicy] = {}
        self._work_estimates: dict[str, WorkEstimate] = {}
        self._deadline_profiles: defaultdict[str, DeadlineProfile] = defaultdict(
            DeadlineProfile
        )

    def apply(
        self, fleet_state: FleetState, *, entries: frozenset[str], now_s: float
    ) -> None:
        """Update all pools to the current state of the fleet."""
        self._entry_count = max(1, len(entries))
        self.cold.update_members(entries)
        self._limited.update_members(entries)
        by_service: defaultdict[str, list[Registration]] = defaultdict(list)
        for registration in fleet_state.registrations():
            by_service[registration.service].append(registration)
        self.rollouts.apply(fleet_state, by_service)
        services = fleet_state.config.services if fleet_state.config is not None else {}
        for name in {*by_service, *services, *self._pools}:
            pool = self.pool(name)
            previous_views = dict(pool.views)
            removed_ids = pool.apply(
                by_service.get(name, ()),
                settings=services.get(name),
                evacuated_data_centres=fleet_state.evacuated_data_centres(),
                now_s=now_s,
            )
            for upstream_id in removed_ids:
                self.cold.forget(upstream_id)
                self._limited.forget(upstream_id)
                self._on_removed(previous_views[upstream_id])

    @property
    def upstream_count(self) -> int:
        """Number of upstreams of all services."""
        return sum(len(p.views) for p in self._pools.values())

    @property
    def entry_count(self) -> int:
        """Number of entries that share the bounds."""
        return self._entry_count

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service."""
        pool = self._pools.get(service)
        if pool is None:
            pool = ServicePool(
                name=service,
                member=self._member,
                data_centre=self._data_centre,
                cold=self.cold,
                limited=self._limited,
                rng=self._rng,
            )
            self._pools[service] = pool
        return pool

    def has_upstreams(self, service: str) -> bool:
        """Return whether any upstream of a service is registered."""
        pool = self._pools.get(service)
        return pool is not None and bool(pool.views)

    def answered_last(self, view: UpstreamView) -> list[UpstreamView]:
        """Return a few upstreams besides one, those that answered last first."""
        others = [
            other
            for pool in self._pools.values()
            for other in pool.views.values()
            if other is not view
        ]
        others.sort(key=lambda v: v.pace_reported_at_s, reverse=True)
        return others[:MAX_CONFIRMING_UPSTREAMS]

    def retry_budget(self, service: str) -> RatioBudget:
        """Return this entry's retry budget for a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RatioBudget(ratio=0.0, burst=1.0, rng=self._rng)
            self._retry_budgets[service] = budget
        budget.ratio = self.bounds.retry_ratio * RETRY_RATIO_SHARE
        self._set_burst(budget, early=self.hedging is not None)
        return budget

    def _set_burst(self, budget: RatioBudget, *, early: bool) -> None:
        """Set how many extra attempts this entry may save up, and whether early."""
        slack_per_entry = self.bounds.retry_slack / self._entry_count
        # Each may save up a whole retry only if the slack has room for all of these.
        min_burst = 1.0 if slack_per_entry >= 1.0 else 0.0
        budget.burst = max(min_burst, RETRY_SLACK_SHARE * slack_per_entry)
        # Few requests come to each entry of a large fleet, and a hedge that waits for a
        # whole attempt to be saved up is too late. The slack has to cover the rest.
        owed = 1.0 - EARLY_BALANCE
        may_owe = early and budget.burst >= 1.0 and slack_per_entry >= 1.0 + owed
        budget.min_balance = EARLY_BALANCE if may_owe else 1.0

    def hedge_policy(self, service: str) -> HedgePolicy | None:
        """Return the conditions for hedges of a service, if operators set any."""
        if self.hedging is None:
            return None
        share = self.hedging.services.get(service, self.hedging.share)
        policy = self._hedge_policies.get(service)
        if policy is None or policy.budget.ratio != share:
            budget = RatioBudget(ratio=share, burst=1.0, rng=self._rng)
            policy = self._hedge_policies[service] = HedgePolicy(budget=budget)
        self._set_burst(policy.budget, early=True)
        return policy

    @property
    def limited_upstream_count(self) -> int:
        """Number of upstreams with a rate limit in force."""
        views = (v for p in self._pools.values() for v in p.views.values())
        return sum(v.rate_limit.in_force for v in views)

    @property
    def unreachable_service_count(self) -> int:
        """Number of services none of whose upstreams seems to be reachable."""
        now_s = self._clock()
        pools = self._pools.values()
        return sum(p.reachability.reach(now_s=now_s) is Reach.NONE for p in pools)

    def on_reached(self, view: UpstreamView) -> None:
        """Record that an upstream answered, whatever it answered."""
        now_s = self._clock()
        service = view.registration.service
        reachability = self.pool(service).reachability
        unreachable_s = reachability.unreachable_s(now_s=now_s)
        if reachability.on_answer(view.registration.id, now_s=now_s):
            _log.warning(
                "service reachable",
                service=service,
                upstream=view.registration.id,
                unreachable_ms=round(unreachable_s * 1000),
            )

    def on_unreached(self, view: UpstreamView, result: AttemptResult) -> None:
        """Record that an upstream could not be reached.

        Parameters
        ----------
        view : UpstreamView
            The upstream.
        result : AttemptResult
            How the last attempt or probe ended.
        """
        now_s = self._clock()
        service = view.registration.service
        pool = self.pool(service)
        age_s = pool.reachability.answer_age_s(now_s=now_s)
        if pool.reachability.on_failure(view.registration.id, now_s=now_s):
            _log.warning(
                "service unreachable",
                service=service,
                upstreams=len(pool.views),
                result=result.value,
                answer_age_ms=None if age_s == float("inf") else round(age_s * 1000),
            )
        if pool.reachability.reach(now_s=now_s) is not Reach.FULL:
            self.on_impaired(service)

    def on_attempt(self, view: UpstreamView) -> None:
        """Count an attempt if its upstream has a rate limit."""
        self.limited_attempts += view.rate_limit.in_force

    def on_notice(
        self,
        view: UpstreamView,
        notice: Notice,
        *,
        kind: AnswerKind,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Apply the notice that came with an answer.

        Parameters
        ----------
        view : UpstreamView
            The upstream that the request was sent to.
        notice : Notice
            The notice.
        kind : AnswerKind
            What the upstream answered.
        sent_at_s : float
            Time at which the request was sent.
        now_s : float
            Current time in seconds.
        """
        if view.address_mismatch:
            return
        pool = self.pool(view.registration.service)
        if pool.on_notice(view, notice, now_s=now_s):
            _log.info(
                "upstream asks for nothing",
                upstream=view.registration.id,
                service=view.registration.service,
                leaving=view.leaving,
                pause_s=notice.pause_s,
            )
        if notice.problem and not view.rate_limit.unreadable:
            view.rate_limit.unreadable = True
            _log.warning(
                "upstream rate limit unreadable",
                upstream=view.registration.id,
                problem=notice.problem,
            )
        limit_hz = notice.rate_limit_hz
        if limit_hz is not None and view.rate_limit.on_answer(
            limit_hz, kind=kind, sent_at_s=sent_at_s, now_s=now_s
        ):
            _log.info(
                "upstream rate limit changed",
                upstream=view.registration.id,
                service=view.registration.service,
                limit_hz=limit_hz if view.rate_limit.in_force else None,
                answer=kind.value,
            )

    def work_estimate(self, route: Route) -> WorkEstimate:
        """Return the work estimate of a route."""
        estimate = self._work_estimates.get(route.name)
        if estimate is None:
            estimate = WorkEstimate(route=route)
            self._work_estimates[route.name] = estimate
        return estimate

    def deadline_profile(self, route: Route) -> DeadlineProfile:
        """Return the profile of the deadlines that callers of a route set."""
        return self._deadline_profiles[route.name]

    def caller_age_s(
        self, route: Route, caller_timeout_s: float | None, *, queued: int
    ) -> float:
        """Return how long a caller had probably waited before its request.

        Parameters
        ----------
        route : Route
            Route of the request.
        caller_timeout_s : float or None
            Time from arrival for which the caller waits; ``None`` if it set none.
        queued : int
            Requests of the service that are queued.
        """
        if caller_timeout_s is None:
            return 0.0
        deadline_profile = self.deadline_profile(route)
        if not queued:
            deadline_profile.on_request(caller_timeout_s)
        return deadline_profile.caller_age_s(caller_timeout_s)

    def will_be_late(self, route: Route, *, caller_timeout_s: float | None) -> bool:
        """Return whether a caller has waited too long for an answer in time.

        Parameters
        ----------
        route : Route
            Route of the request.
        caller_timeout_s : float or None
            Time for which the caller still waits; ``None`` if it set none.
        """
        if caller_timeout_s is None:
            return False
        age_s = self.deadline_profile(route).caller_age_s(caller_timeout_s)
        expected_s = age_s + self.work_estimate(route).mean_s
        return age_s > 0.0 and expected_s > route.objective_s
