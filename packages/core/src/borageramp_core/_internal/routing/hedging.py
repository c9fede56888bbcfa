"""When a slow request gets a second attempt beside its first, and how many may.

A hedge cuts the slowest answers if it starts late enough to be rare and early enough
to be in time [1]_. It is extra work for upstreams, so operators limit its share.

References
----------
.. [1] J. Dean and L. A. Barroso, "The tail at scale", Communications of the ACM
   56(2), 2013.
"""

from borageramp_core._internal.budget import RatioBudget
from borageramp_core._internal.routing.work_estimate import WorkEstimate

__all__ = ["HedgePolicy", "ResponseQuantile"]

# Step of the quantile estimate, as a share of it: follows a change of the response
# times within some tens of answers.
QUANTILE_STEP = 0.05
# Bounds of the estimate in multiples of the mean work: a few outliers must neither
# switch hedges off nor double every request.
MIN_DELAY_RATIO = 1.1
MAX_DELAY_RATIO = 4.0
# Hedges that are due, as a share of those allowed: with as many due as allowed, many
# would find the budget used up by others.
DUE_SHARE = 0.8


class ResponseQuantile:
    """Moving quantile of the response times of a route.

    Each response moves the estimate by a step that depends only on which side of it
    the response lies [1]_, so that outliers count no more than others.

    Parameters
    ----------
    quantile : float
        Share of the responses that take less time, between 0 and 1.

    References
    ----------
    .. [1] H. Robbins and S. Monro, "A stochastic approximation method", Annals of
       Mathematical Statistics 22(3), 1951.
    """

    def __init__(self, *, quantile: float) -> None:
        self._quantile = quantile
        self._ratio: float | None = None

    def on_response(self, response_s: float, *, work: WorkEstimate) -> None:
        """Record the time to a response, in seconds, or to the end of its request."""
        ratio = self._ratio_of(work)
        above = response_s > ratio * work.mean_s
        share = self._quantile if above else self._quantile - 1.0
        moved = ratio * (1.0 + QUANTILE_STEP * share)
        self._ratio = min(MAX_DELAY_RATIO, max(MIN_DELAY_RATIO, moved))

    def value_s(self, work: WorkEstimate) -> float:
        """Return the response time below which the quantile of the responses lies."""
        return self._ratio_of(work) * work.mean_s

    def _ratio_of(self, work: WorkEstimate) -> float:
        if self._ratio is None:
            return work.late_after_s / work.mean_s
        return self._ratio


class HedgePolicy:
    """Hedges of one service at one entry, within the share that operators allow.

    They start after the time that all but a part of this share of the responses take,
    so that the share goes to the slowest.

    Parameters
    ----------
    budget : RatioBudget
        Hedges as a share of the requests that may be repeated.
    """

    def __init__(self, *, budget: RatioBudget) -> None:
        self.budget = budget
        self._quantiles: dict[str, ResponseQuantile] = {}

    def _quantile(self, route: str) -> ResponseQuantile:
        quantile = self._quantiles.get(route)
        if quantile is None:
            quantile = ResponseQuantile(quantile=1.0 - DUE_SHARE * self.budget.ratio)
            self._quantiles[route] = quantile
        return quantile

    def delay_s(self, route: str, *, work: WorkEstimate) -> float:
        """Return the time from an attempt of a route's request to its hedge."""
        return self._quantile(route).value_s(work)

    def on_request(self) -> None:
        """Record a request that may be repeated."""
        self.budget.earn()

    def on_response(self, route: str, response_s: float, *, work: WorkEstimate) -> None:
        """Record the time from the first attempt of a request to its answer.

        That of a request with a hedge is shorter than it would have been, but longer
        than its delay, which is all that counts here.
        """
        self._quantile(route).on_response(response_s, work=work)

    def allows(self, *, queued: int, is_full: bool) -> bool:
        """Return whether a hedge may start, and charge the budget for it.

        Parameters
        ----------
        queued : int
            Requests that wait for an upstream.
        is_full : bool
            Whether a request lately found no upstream with capacity. First attempts
            go before hedges then.
        """
        return not queued and not is_full and self.budget.spend()

    def refund(self) -> None:
        """Refund a hedge that was not started."""
        self.budget.refund()
