"""How long the requests of a route take, and when one is late."""

from borageramp_core._internal.routing.crowding import NEARLY_FULL
from borageramp_core._internal.routing.model import Route

__all__ = ["WorkEstimate"]

# Weight of a new answer in the moving averages, and of one of an upstream that
# was nearly full: it says less of an idle one.
WEIGHT = 0.05
FULL_WEIGHT = 0.01
# Share of a route's objective that its work is taken to need at first.
PRIOR_SHARE = 0.4
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
        self._mean_s = PRIOR_SHARE * route.objective_s
        self._variance_s2 = (self._mean_s / 3.0) ** 2
        self._answers = 0

    @property
    def mean_s(self) -> float:
        """Expected time."""
        return self._mean_s

    @property
    def late_s(self) -> float:
        """Time after which an answer of an upstream of usual pace is late."""
        return self._mean_s + LATE_DEVIATIONS * float(self._variance_s2**0.5)

    def on_answer(self, latency_s: float, *, pace: float, filled: float = 0.0) -> None:
        """Take in an answer.

        Parameters
        ----------
        latency_s : float
            Its time.
        pace : float
            What the upstream had reported, 1.0 for as usual.
        filled : float
            Share of the upstream's slots in use when it was sent, with itself.
        """
        sample_s = latency_s / max(0.5, pace)
        if filled > NEARLY_FULL:
            weight = FULL_WEIGHT
        else:
            self._answers += 1
            weight = max(WEIGHT, 1.0 / (self._answers + 1))
        # A stall must not make the next ones look early.
        sample_s = min(sample_s, 4.0 * self._mean_s)
        difference_s = sample_s - self._mean_s
        self._mean_s += weight * difference_s
        self._variance_s2 += weight * (difference_s**2 - self._variance_s2)
