"""Final refusals of a routed request."""

import random
from collections.abc import Callable

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_core.routing import ServicePool, WorkEstimate, retry_after_s
from borageramp_entry._internal.routed.request import RoutedRequest

__all__ = ["RequestRefusals"]


class RequestRefusals:
    """Builds the refusals of one request, with the time after which to retry.

    Parameters
    ----------
    request : RoutedRequest
        The request.
    pool : ServicePool
        Upstreams of its service.
    work : WorkEstimate
        Work estimate of its route.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    may_have_arrived : bool
        Whether an attempt may have arrived at an upstream.
    """

    def __init__(
        self,
        *,
        request: RoutedRequest,
        pool: ServicePool,
        work: WorkEstimate,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.may_have_arrived = False
        self._request = request
        self._pool = pool
        self._work_estimate = work
        self._rng = rng
        self._clock = clock

    def failed(self, reason: Reason, *, verdict: Verdict, detail: str) -> RefusedError:
        """Return the refusal of a request whose attempts failed."""
        return self._refusal(
            reason, verdict=verdict, detail=detail, wait_s=self._work_estimate.mean_s
        )

    def unreachable(self) -> RefusedError:
        """Return the refusal of a request for upstreams that can't be reached."""
        return self._refusal(
            Reason.UPSTREAMS_UNREACHABLE,
            detail=f"upstreams of {self._pool.name} can't be reached",
            wait_s=self._work_estimate.mean_s,
        )

    def no_capacity(self) -> RefusedError:
        """Return the refusal of a request that no upstream has capacity for."""
        min_wait_s = self._pool.min_wait_s(now_s=self._clock())
        return self._refusal(
            Reason.OVERLOADED if self._pool.views else Reason.NO_UPSTREAM,
            detail=f"no upstream of {self._pool.name} has capacity",
            wait_s=max(self._work_estimate.mean_s, min_wait_s),
        )

    def leaving(self) -> RefusedError:
        """Return the refusal of a request that this instance can't end any more."""
        return self._refusal(
            Reason.LEAVING, detail="this instance is shutting down", wait_s=0.0
        )

    def shed(self, upstream_count: int) -> RefusedError:
        """Return the refusal of a request that was shed by upstreams with capacity.

        The next request may well be accepted, so the caller need not wait.
        """
        return self._refusal(
            Reason.UPSTREAM_SHED,
            detail=f"{upstream_count} upstreams shed the request",
            wait_s=0.0,
        )

    def by_peer(self, refusal: RefusedError) -> RefusedError:
        """Return the refusal of a request that other instances refused unrun."""
        return RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
            may_have_arrived=self.may_have_arrived,
        )

    def _refusal(
        self,
        reason: Reason,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        detail: str,
        wait_s: float,
    ) -> RefusedError:
        return RefusedError(
            verdict=verdict,
            reason=reason,
            detail=detail,
            retry_after_s=retry_after_s(
                wait_s=wait_s,
                rank=self._request.route.rank,
                left_s=self._request.caller.deadline_s - self._clock(),
                rng=self._rng,
            ),
            may_have_arrived=self.may_have_arrived,
        )
