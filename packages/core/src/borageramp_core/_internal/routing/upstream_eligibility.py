"""Which upstreams may get a request now, and when the others may."""

from collections.abc import Collection

from borageramp_core._internal.routing.placement import PlacementRequirements
from borageramp_core._internal.routing.rate_allowance import RateAllowance
from borageramp_core._internal.routing.upstream_view import UpstreamView

__all__ = ["UpstreamEligibility"]


class UpstreamEligibility:
    """Conditions under which one entry may send requests to upstreams.

    Parameters
    ----------
    cold : RateAllowance
        Rate limits of this entry for cold upstreams.

    Attributes
    ----------
    evacuated_data_centres : collection of str
        Data centres whose upstreams get no requests.
    """

    def __init__(self, *, cold: RateAllowance) -> None:
        self.evacuated_data_centres: Collection[str] = ()
        self._cold = cold

    def accepts(self, view: UpstreamView, requirements: PlacementRequirements) -> bool:
        """Return whether an upstream may get a request, now or after a wait."""
        if view.registration.leaving or view.leaving or view.address_mismatch:
            return False
        if view.registration.data_centre in self.evacuated_data_centres:
            return False
        return view.registration.id not in requirements.excluded

    def wait_s(self, view: UpstreamView, *, now_s: float) -> float:
        """Return how long an upstream that accepts requests gets none at least."""
        return max(0.0, view.paused_until_s - now_s)

    def is_usable(
        self, view: UpstreamView, requirements: PlacementRequirements, *, now_s: float
    ) -> bool:
        """Return whether an upstream may get a request now."""
        if not self.accepts(view, requirements) or view.is_paused(now_s=now_s):
            return False
        return not view.is_cold(now_s=now_s) or self._cold.has_capacity(
            view.registration.id, rate_hz=view.ramp_hz, now_s=now_s
        )

    def take(self, view: UpstreamView, *, now_s: float) -> bool:
        """Use up what a request needs; return whether it may be sent."""
        return not view.is_cold(now_s=now_s) or self._cold.take(
            view.registration.id, rate_hz=view.ramp_hz, now_s=now_s
        )
