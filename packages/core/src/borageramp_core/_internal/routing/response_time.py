"""Expected response times of upstreams."""

from collections.abc import Callable, Collection

from borageramp_core._internal.routing.placement import PlacementRequirements
from borageramp_core._internal.routing.slowdown import SlowdownProfile
from borageramp_core._internal.routing.upstream_view import UpstreamView

__all__ = ["response_time_estimator"]


def response_time_estimator(
    views: Collection[UpstreamView],
    requirements: PlacementRequirements,
    *,
    slowdown: SlowdownProfile,
    now_s: float,
) -> Callable[[UpstreamView], float]:
    """Return a function that estimates an upstream's response time in seconds.

    Parameters
    ----------
    views : collection of UpstreamView
        Upstreams to compare; their means replace outdated or missing values.
    requirements : PlacementRequirements
        Requirements of the request.
    slowdown : SlowdownProfile
        Slowdown of busy and cold upstreams.
    now_s : float
        Current time in seconds.
    """
    count = max(1, len(views))
    mean_pace = sum(v.pace for v in views) / count
    mean_others = sum(v.load.others for v in views) / count

    def expected_s(view: UpstreamView) -> float:
        pace = view.expected_pace(mean_pace=mean_pace, now_s=now_s)
        requests = view.load.estimate(mean_others=mean_others, now_s=now_s) + 1.0
        slots = view.load.slots
        factor = slowdown.factor(requests, slots=slots, cold=view.is_cold(now_s=now_s))
        return requirements.work_s * pace * factor * max(1.0, requests / slots)

    return expected_s
