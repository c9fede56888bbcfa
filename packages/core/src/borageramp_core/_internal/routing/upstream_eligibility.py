"""Which upstreams may get a request now, and when the others may."""

from collections.abc import Collection, Iterable

from borageramp_core._internal.routing.placement import PlacementRequirements
from borageramp_core._internal.routing.rate_allowance import RateAllowance
from borageramp_core._internal.routing.upstream_view import UpstreamView

__all__ = ["UpstreamEligibility"]

# An entry without a share of a rate limit hears only by health checks that it has
# ended. If these don't name it, entries send one request each in turns of this length.
TRIAL_TURN_S = 4.0
# Upstreams that a rate limit leaves out are probed in this interval, as they may have
# ended it.
RECHECK_INTERVAL_S = 1.0

# Part of a token that late requests leave to those that can be in time: a share that
# was not used for a while is not needed by these.
LATE_TOKEN_RESERVE = 0.25

_ANY_REQUEST = PlacementRequirements(work_s=0.0, max_response_s=0.0)


class UpstreamEligibility:
    """Conditions under which one entry may send requests to upstreams.

    Parameters
    ----------
    cold : RateAllowance
        Share of this entry in the rate limits of cold upstreams.
    limited : RateAllowance
        Share of this entry in the rate limits that upstreams name.

    Attributes
    ----------
    evacuated_data_centres : collection of str
        Data centres whose upstreams get no requests.
    """

    def __init__(self, *, cold: RateAllowance, limited: RateAllowance) -> None:
        self.evacuated_data_centres: Collection[str] = ()
        self._cold = cold
        self._limited = limited

    def accepts(self, view: UpstreamView, requirements: PlacementRequirements) -> bool:
        """Return whether an upstream may get a request, now or after a wait."""
        if view.registration.leaving or view.leaving or view.address_mismatch:
            return False
        if view.registration.data_centre in self.evacuated_data_centres:
            return False
        name = view.registration.id
        if requirements.eligible is not None and name not in requirements.eligible:
            return False
        return name not in requirements.excluded

    def _wait_s(self, view: UpstreamView, *, now_s: float) -> float:
        """Return the least time for which an upstream gets no requests."""
        pause_s = max(0.0, view.paused_until_s - now_s)
        return max(pause_s, self._limit_wait_s(view, now_s=now_s))

    def _requests_within(
        self,
        view: UpstreamView,
        requirements: PlacementRequirements,
        *,
        max_wait_s: float,
        now_s: float,
    ) -> float:
        """Return how many requests an upstream may get within their time limits.

        Returns
        -------
        float
            Infinity if neither a pause nor a rate limit is in the way.
        """
        if self._wait_s(view, now_s=now_s) >= requirements.max_response_s:
            return 0.0
        limit = view.rate_limit
        if not limit.in_force:
            return float("inf")
        return self._limited.requests_within(
            view.registration.id,
            max_wait_s,
            rate_hz=limit.hz,
            reserve=_token_reserve(requirements),
            now_s=now_s,
        )

    def _limit_wait_s(
        self, view: UpstreamView, *, reserve: float = 0.0, now_s: float
    ) -> float:
        """Return the wait for this entry's share of the limit that was named."""
        limit = view.rate_limit
        if not limit.in_force:
            return 0.0
        wait_s = self._limited.wait_s(
            view.registration.id, rate_hz=limit.hz, reserve=reserve, now_s=now_s
        )
        if wait_s == float("inf") and self._is_trial_due(view, now_s=now_s):
            return 0.0
        return wait_s

    def _is_trial_due(self, view: UpstreamView, *, now_s: float) -> bool:
        limit = view.rate_limit
        return now_s - limit.trial_at_s > TRIAL_TURN_S and self._limited.has_turn(
            view.registration.id,
            elapsed_s=now_s - limit.named_at_s,
            turn_s=TRIAL_TURN_S,
        )

    def _cold_wait_s(self, view: UpstreamView, *, now_s: float) -> float:
        """Return the wait for this entry's share of the limit of a cold upstream."""
        if not view.is_cold(now_s=now_s):
            return 0.0
        return self._cold.wait_s(
            view.registration.id, rate_hz=view.ramp_hz, now_s=now_s
        )

    def is_usable(
        self, view: UpstreamView, requirements: PlacementRequirements, *, now_s: float
    ) -> bool:
        """Return whether an upstream may get a request now."""
        if not self.accepts(view, requirements) or view.is_paused(now_s=now_s):
            return False
        if requirements.steady_only and (
            view.is_cold(now_s=now_s) or view.rate_limit.in_force
        ):
            return False
        return self._has_shares(view, reserve=_token_reserve(requirements), now_s=now_s)

    def _has_shares(
        self, view: UpstreamView, *, reserve: float = 0.0, now_s: float
    ) -> bool:
        """Return whether the shares of this entry allow a request now."""
        waits_s = (
            self._cold_wait_s(view, now_s=now_s),
            self._limit_wait_s(view, reserve=reserve, now_s=now_s),
        )
        return max(waits_s) <= 0.0

    def can_serve(
        self,
        views: Iterable[UpstreamView],
        requirements: PlacementRequirements,
        *,
        max_wait_s: float,
        queued: int,
        now_s: float,
    ) -> bool:
        """Return whether any upstream can accept a request within its time limit.

        Parameters
        ----------
        views : iterable of UpstreamView
            Upstreams of the service.
        requirements : PlacementRequirements
            Requirements of the request.
        max_wait_s : float
            Longest useful wait for a rate limit, in seconds.
        queued : int
            Requests that are placed before it.
        now_s : float
            Current time in seconds.
        """
        allowed = 0.0
        for view in views:
            if self.accepts(view, requirements):
                allowed += self._requests_within(
                    view, requirements, max_wait_s=max_wait_s, now_s=now_s
                )
            if allowed > queued:
                return True
        return False

    def min_wait_s(self, views: Iterable[UpstreamView], *, now_s: float) -> float:
        """Return the least time for which this entry may send no request.

        Returns
        -------
        float
            Time in seconds until a pause ends or a rate limit allows a request; 0 if
            neither is in the way, or if this entry has no share of any limit.
        """
        waits_s = (
            self._wait_s(view, now_s=now_s)
            for view in views
            if self.accepts(view, _ANY_REQUEST)
        )
        return min((w for w in waits_s if w < float("inf")), default=0.0)

    def limits_to_recheck(
        self,
        views: Iterable[UpstreamView],
        requirements: PlacementRequirements,
        *,
        now_s: float,
    ) -> list[UpstreamView]:
        """Return the first upstream whose rate limit may have ended, if any."""
        for view in views:
            limit = view.rate_limit
            heard_at_s = max(limit.named_at_s, limit.probed_at_s)
            if not limit.in_force or now_s - heard_at_s < RECHECK_INTERVAL_S:
                continue
            if self.accepts(view, requirements) and not self.is_usable(
                view, requirements, now_s=now_s
            ):
                limit.probed_at_s = now_s
                return [view]
        return []

    def take_shares(self, view: UpstreamView, *, now_s: float) -> bool:
        """Use up the shares that a request needs; return whether it may be sent."""
        if not self._has_shares(view, now_s=now_s):
            return False
        name = view.registration.id
        if view.is_cold(now_s=now_s):
            self._cold.take(name, rate_hz=view.ramp_hz, now_s=now_s)
        limit = view.rate_limit
        if limit.in_force and not self._limited.take(
            name, rate_hz=limit.hz, now_s=now_s
        ):
            limit.trial_at_s = now_s
        return True


def _token_reserve(requirements: PlacementRequirements) -> float:
    """Return the part of a token that a request has to leave to others."""
    return LATE_TOKEN_RESERVE if requirements.reserved_slots else 0.0
