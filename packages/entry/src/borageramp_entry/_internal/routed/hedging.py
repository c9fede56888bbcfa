"""Second attempts of a slow request, beside its first one."""

from collections.abc import Callable

from borageramp_core.routing import HedgePolicy, Route, ServicePool, WorkEstimate

__all__ = ["HedgeTimer"]

# Delay before retrying a hedge that found no capacity or no budget.
RETRY_INTERVAL_S = 0.02


class HedgeTimer:
    """Tells when one request gets a hedge.

    Parameters
    ----------
    route : Route
        Route of the request.
    work : WorkEstimate
        Work estimate of the route.
    pool : ServicePool
        Upstreams of its service.
    policy : HedgePolicy or None
        What operators allow. With ``None``, a hedge starts once the answer is late by
        the estimate, and only the retry budget limits hedges.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        route: Route,
        work: WorkEstimate,
        pool: ServicePool,
        policy: HedgePolicy | None,
        clock: Callable[[], float],
    ) -> None:
        self._route = route
        self._work_estimate = work
        self._pool = pool
        self._policy = policy
        self._clock = clock
        self._started_at_s: float | None = None
        self._due_at_s = float("inf")
        if policy is not None and route.idempotent:
            policy.on_request()

    @property
    def is_selective(self) -> bool:
        """Whether hedges go only to warm upstreams without a limit and with room."""
        return self._policy is not None

    def on_start(self) -> None:
        """Record that an attempt starts."""
        now_s = self._clock()
        if self._started_at_s is None:
            self._started_at_s = now_s
        delay_s = self._work_estimate.late_after_s
        if self._policy is not None:
            delay_s = self._policy.delay_s(self._route.name, work=self._work_estimate)
        self._due_at_s = now_s + delay_s

    @property
    def left_s(self) -> float:
        """Time until a hedge may start."""
        return self._due_at_s - self._clock()

    def is_due(self) -> bool:
        """Return whether to start a hedge now; one that fails may be retried later."""
        if self.left_s > 0.0:
            return False
        self._due_at_s = self._clock() + RETRY_INTERVAL_S
        return True

    def charge(self, *, queued: int) -> bool:
        """Return whether operators allow a hedge now, and charge their budget.

        Parameters
        ----------
        queued : int
            Requests of the service that wait for an upstream.
        """
        if self._policy is None:
            return True
        is_full = self._pool.is_full(now_s=self._clock())
        return self._policy.allows(queued=queued, is_full=is_full)

    def refund(self) -> None:
        """Refund a hedge that was not started."""
        if self._policy is not None:
            self._policy.refund()

    def on_answer(self) -> None:
        """Record that the request was answered."""
        if self._policy is None or self._started_at_s is None:
            return
        self._policy.on_response(
            self._route.name,
            self._clock() - self._started_at_s,
            work=self._work_estimate,
        )
