"""Moving estimate of the work of a route's requests."""

from borageramp_core._internal.routing.model import Route

__all__ = ["WorkEstimate"]

# Smoothing factor of the moving averages; the first samples weigh more.
MIN_SAMPLE_WEIGHT = 0.05
# Initial estimate of the work, as a share of the route's objective.
INITIAL_WORK_SHARE = 0.4
# An answer is late at this many standard deviations above the mean.
LATE_DEVIATIONS = 1.5


class WorkEstimate:
    """Estimate of a request's work: its time on an idle upstream of pace 1.0.

    Parameters
    ----------
    route : Route
        Route whose requests are measured.
    """

    def __init__(self, *, route: Route) -> None:
        self._mean_s = INITIAL_WORK_SHARE * route.objective_s
        self._variance_s2 = (self._mean_s / 3.0) ** 2
        self._answers = 0

    @property
    def mean_s(self) -> float:
        """Mean time of the work."""
        return self._mean_s

    @property
    def late_after_s(self) -> float:
        """Time after which an answer of an upstream of pace 1.0 is late."""
        return self._mean_s + LATE_DEVIATIONS * float(self._variance_s2**0.5)

    def on_answer(self, latency_s: float, *, pace: float) -> None:
        """Record the latency of an answer, normalized by the upstream's pace.

        Parameters
        ----------
        latency_s : float
            Time to the answer.
        pace : float
            Pace that the upstream reported; 1.0 is usual, more is slower.
        """
        self._answers += 1
        sample_s = latency_s / max(0.5, pace)
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self._answers + 1))
        # An outlier must not raise the estimate so far that later answers seem early.
        sample_s = min(sample_s, 4.0 * self._mean_s)
        deviation_s = sample_s - self._mean_s
        self._mean_s += weight * deviation_s
        self._variance_s2 += weight * (deviation_s**2 - self._variance_s2)
