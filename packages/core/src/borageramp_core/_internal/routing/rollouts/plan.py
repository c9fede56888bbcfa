"""When each phase of a rollout starts, and which share of the requests it gets."""

from collections.abc import Mapping
from dataclasses import dataclass

from borageramp_core._internal.routing.rollouts.model import RolloutPhase

__all__ = ["ExposureBounds", "PhaseShares", "RolloutTiming", "plan_shares"]

# Instances learn of a change of the store this much later, at most.
STORE_DELAY_S = 1.3
# From the write of `switch` to that of `complete`: the order was learned late, all
# learn of `switch`, requests in flight end, confirmations and the commit.
SWITCH_ALLOWANCE_S = 2 * STORE_DELAY_S + 1.6
# The switch comes no later than this in long rollouts.
MAX_SWITCH_SHARE = 0.7
MIN_SWITCH_SHARE = 0.3
STEP_S = 1.0
MAX_STEP_SHARE = 0.1
# Time for the commit that ends a rollout that wasn't decided.
END_ALLOWANCE_S = 0.5

CANARY_SHARE = 0.05
STEP_SHARES = (0.15, 0.35)
# A route with fewer requests gets a larger share, for evidence within seconds.
MIN_ROUTE_HZ = 3.0
MAX_ROUTE_SHARE = 0.5
# Part of the bound that is planned for; the rest allows for random draws.
PLANNED_BOUND_SHARE = 0.9
# From a fault that appears with the switch until no instance sends any more: some
# ten responses, the next report, and the directive to all.
SWITCH_VERDICT_S = 0.8


@dataclass(frozen=True, kw_only=True, slots=True)
class ExposureBounds:
    """Requests that a bad version may get.

    Attributes
    ----------
    share : float
        Share of the requests of the service during the rollout.
    slack : float
        Requests beyond that.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutTiming:
    """Earliest times of the phases, from when the deciding instance saw the order.

    Parameters
    ----------
    duration_s : float
        Time in seconds that the order allows.
    """

    duration_s: float

    @property
    def switch_at_s(self) -> float:
        """Time of the switch."""
        latest_s = min(
            self.duration_s - SWITCH_ALLOWANCE_S, MAX_SWITCH_SHARE * self.duration_s
        )
        return max(MIN_SWITCH_SHARE * self.duration_s, latest_s)

    @property
    def step_s(self) -> float:
        """Shortest time in each phase between the canary and the switch."""
        return min(STEP_S, MAX_STEP_SHARE * self.duration_s)

    @property
    def give_up_at_s(self) -> float:
        """Time at which a rollout that has not come to the switch is rolled back."""
        return max(self.switch_at_s, self.duration_s - STORE_DELAY_S - END_ALLOWANCE_S)

    def starts_at_s(self, phase: RolloutPhase) -> float:
        """Return the earliest time of a phase in seconds."""
        steps = {
            RolloutPhase.STEP_TWO: 2,
            RolloutPhase.STEP_THREE: 1,
            RolloutPhase.SWITCH: 0,
        }
        if phase not in steps:
            return 0.0
        return self.switch_at_s - steps[phase] * self.step_s


@dataclass(frozen=True, kw_only=True, slots=True)
class PhaseShares:
    """Share of the requests that one phase sends to the new version.

    Attributes
    ----------
    share : float
        Share of the requests of each route.
    route_shares : mapping of str to float
        Larger shares of some routes.
    load_share : float
        Share of the requests of all routes.
    """

    share: float
    route_shares: Mapping[str, float]
    load_share: float


def plan_shares(
    phase: RolloutPhase,
    *,
    rates_hz: Mapping[str, float],
    timing: RolloutTiming,
    bounds: ExposureBounds,
) -> PhaseShares:
    """Return the shares of a phase, such that all phases stay within the bound.

    The expected requests of a bad version are those of the canary phase until the
    others have learned of its end, of the steps, and of the switch until its verdict.
    What the bound leaves to the steps is divided between them.

    Parameters
    ----------
    phase : RolloutPhase
        The phase.
    rates_hz : mapping of str to float
        Requests per second by route, over all instances.
    timing : RolloutTiming
        Times of the phases.
    bounds : ExposureBounds
        Bound on the requests of a bad version.
    """
    if phase in (RolloutPhase.SWITCH, RolloutPhase.COMPLETE):
        return PhaseShares(share=1.0, route_shares={}, load_share=1.0)
    boosts = {
        route: min(MAX_ROUTE_SHARE, MIN_ROUTE_HZ / rate_hz)
        for route, rate_hz in rates_hz.items()
        if 0.0 < rate_hz * CANARY_SHARE < MIN_ROUTE_HZ
    }
    shares = {RolloutPhase.CANARY: CANARY_SHARE}
    scale = _step_scale(rates_hz, boosts, timing=timing, bounds=bounds)
    shares[RolloutPhase.STEP_TWO] = max(CANARY_SHARE, STEP_SHARES[0] * scale)
    shares[RolloutPhase.STEP_THREE] = max(CANARY_SHARE, STEP_SHARES[1] * scale)
    share = shares.get(phase, 0.0)
    if share == 0.0:
        return PhaseShares(share=0.0, route_shares={}, load_share=0.0)
    route_shares = {r: round(s, 4) for r, s in boosts.items() if s > share}
    return PhaseShares(
        share=round(share, 4),
        route_shares=route_shares,
        load_share=round(_load_share(rates_hz, route_shares, share=share), 4),
    )


def _load_share(
    rates_hz: Mapping[str, float], route_shares: Mapping[str, float], *, share: float
) -> float:
    total_hz = sum(rates_hz.values())
    if total_hz <= 0.0:
        return share
    new_hz = sum(r * max(share, route_shares.get(n, 0.0)) for n, r in rates_hz.items())
    return new_hz / total_hz


def _step_scale(
    rates_hz: Mapping[str, float],
    boosts: Mapping[str, float],
    *,
    timing: RolloutTiming,
    bounds: ExposureBounds,
) -> float:
    """Return the factor by which the steps are reduced to stay within the bound."""
    total_hz = sum(rates_hz.values())
    if total_hz <= 0.0:
        return 1.0
    budget = bounds.share * total_hz * timing.duration_s + bounds.slack
    canary_s = timing.starts_at_s(RolloutPhase.STEP_TWO) + STORE_DELAY_S
    canary_hz = total_hz * _load_share(rates_hz, boosts, share=CANARY_SHARE)
    left = PLANNED_BOUND_SHARE * budget
    left -= canary_hz * canary_s + total_hz * SWITCH_VERDICT_S
    steps_hz = total_hz * sum(STEP_SHARES)
    return min(1.0, max(0.0, left / (steps_hz * timing.step_s)))
