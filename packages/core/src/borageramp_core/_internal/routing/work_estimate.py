"""How long the requests of a route take, and when one is late."""

from borageramp_core._internal.routing.model import Route

__all__ = ["WorkEstimate"]

# Weight of a new answer in the moving averages.
MIN_SAMPLE_WEIGHT = 0.05
# Share of a route's objective that its work is taken to need at first.
INITIAL_WORK_SHARE = 0.4
# Standard deviations above the mean at which an answer is late.
LATE_DEVIATIONS = 1.5


class WorkEstimate:
    """Time of a route's requests on an idle upstream of usual pace.

    Parameters
    ----------
    route : Route
        The route.
    """

    def __init__(self, *, route: Route) -> None:
        self._mean_s = INITIAL_WORK_SHARE * route.objective_s
        self._variance_s2 = (self._mean_s / 3.0) ** 2
        self._answers = 0

    @property
    def mean_s(self) -> float:
        """Expected time."""
        return self._mean_s

    @property
    def late_after_s(self) -> float:
        """Time after which an answer of an upstream of usual pace is late."""
        return self._mean_s + LATE_DEVIATIONS * float(self._variance_s2**0.5)

    def on_answer(self, latency_s: float, *, pace: float) -> None:
        """Take in an answer of an upstream that reported its pace."""
        self._answers += 1
        sample_s = latency_s / max(0.5, pace)
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self._answers + 1))
        # A stall must not make the next ones look early.
        sample_s = min(sample_s, 4.0 * self._mean_s)
        deviation_s = sample_s - self._mean_s
        self._mean_s += weight * deviation_s
        self._variance_s2 += weight * (deviation_s**2 - self._variance_s2)
