"""Execution of one routed request: attempts, retries, hedges, and its end."""

import asyncio
import random
from collections.abc import Callable

from borageramp_core import AttemptResult, Reason, RefusedError, Verdict
from borageramp_core.routing import (
    PlacementChoice,
    UpstreamView,
    WaitPolicy,
    retry_after_s,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.attempts import RoutedAnswer, RoutedAttempt
from borageramp_entry._internal.routed.placement import PendingPlacement, Placer
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.serving.upstreams import TryFailedError, UpstreamClient

__all__ = ["RequestExecution"]

_log = get_logger(__name__)

# With less time left, as a multiple of the mean work, another attempt is of no use.
MIN_REMAINING_TIME_RATIO = 0.7

# Delay before retrying a hedge that found no capacity or no retry budget.
HEDGE_RETRY_INTERVAL_S = 0.02

AttemptTask = asyncio.Task[RoutedAnswer]
_VERDICT_SEVERITY = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class RequestExecution:
    """One routed request, from its first placement to its answer.

    Parameters
    ----------
    request : RoutedRequest
        The request.
    placer : Placer
        Places requests of its service on upstreams.
    pools : PoolRegistry
        Upstream pools of all services.
    client : UpstreamClient
        Connections to upstreams.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    disconnected_views : list of UpstreamView
        Upstreams whose connections broke while they ran the request.
    """

    def __init__(
        self,
        *,
        request: RoutedRequest,
        placer: Placer,
        pools: PoolRegistry,
        client: UpstreamClient,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._caller = request.caller
        self._route = request.route
        self._placer = placer
        self._pool = placer.pool
        self._pools = pools
        self._client = client
        self._rng = rng
        self._clock = clock
        self._retry_budget = pools.retry_budget(request.caller.service)
        self._work_estimate = pools.work_estimate(request.route)
        self._in_flight: dict[AttemptTask, RoutedAttempt] = {}
        self._attempted_ids: set[str] = set()
        self._run_count = 0
        self._hedge_at_s = float("inf")
        self._verdict = Verdict.NOT_RUN
        self._last_result = AttemptResult.UNREACHABLE
        self._failed_answer: RoutedAnswer | None = None
        self.disconnected_views: list[UpstreamView] = []
        self._caller_age_s = self._estimate_caller_age_s()
        self._retry_budget.earn()

    def _estimate_caller_age_s(self) -> float:
        """Return how long the caller had probably waited before this request."""
        caller_timeout_s = self._request.caller_timeout_s
        if caller_timeout_s is None:
            return 0.0
        deadline_profile = self._pools.deadline_profile(self._route)
        if not self._placer.queued_count:
            deadline_profile.on_request(caller_timeout_s)
        return deadline_profile.caller_age_s(caller_timeout_s)

    @property
    def _remaining_s(self) -> float:
        return self._caller.deadline_s - self._clock()

    def cancel(self) -> None:
        """Cancel all attempts in flight."""
        for task in self._in_flight:
            task.cancel()
        self._in_flight.clear()

    async def execute(self) -> RoutedAnswer:
        """Run the request and return its answer.

        Raises
        ------
        RefusedError
            If no upstream answered it.
        """
        choice = await self._placer.place(self._pending_placement(), wait=True)
        if choice is None:
            raise self._no_capacity_error()
        self._start_attempt(choice)
        while True:
            done, _ = await asyncio.wait(
                self._in_flight,
                timeout=self._wait_timeout_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answer = self._process_completed(done)
            if answer is not None:
                return answer
            if self._remaining_s <= 0:
                return self._finish_at_deadline()
            if (done or self._is_hedge_due()) and await self._start_next_attempt():
                continue
            if not self._in_flight:
                return self._finish()

    def _wait_timeout_s(self) -> float:
        timeout_s = self._remaining_s
        if self._can_hedge():
            timeout_s = min(timeout_s, self._hedge_at_s - self._clock())
        return max(0.0, timeout_s)

    def _can_hedge(self) -> bool:
        if not self._route.idempotent or len(self._in_flight) != 1:
            return False
        return self._run_count < self._route.max_runs

    def _is_hedge_due(self) -> bool:
        """Return whether to start a hedge now; one that fails may be retried later."""
        now_s = self._clock()
        if not self._can_hedge() or now_s < self._hedge_at_s:
            return False
        self._hedge_at_s = now_s + HEDGE_RETRY_INTERVAL_S
        return True

    def _process_completed(self, done: set[AttemptTask]) -> RoutedAnswer | None:
        for task in done:
            attempt = self._in_flight.pop(task)
            error = task.exception()
            if error is None:
                answer = task.result()
                if not answer.failed:
                    self._log_attempt_end(attempt, AttemptResult.ANSWERED)
                    return answer
                self._on_attempt_failed(attempt, AttemptResult.ERROR)
                self._failed_answer = answer
            elif isinstance(error, TryFailedError):
                self._on_attempt_failed(attempt, error.result)
            else:
                raise error
        return None

    def _on_attempt_failed(self, attempt: RoutedAttempt, result: AttemptResult) -> None:
        self._log_attempt_end(attempt, result)
        self._last_result = result
        if result is AttemptResult.DIED:
            self.disconnected_views.append(attempt.view)
        self._verdict = max(self._verdict, result.verdict, key=_VERDICT_SEVERITY.index)
        if result.verdict is Verdict.NOT_RUN:
            self._run_count -= 1

    def _log_attempt_end(self, attempt: RoutedAttempt, result: AttemptResult) -> None:
        _log.info(
            "try ended",
            request_id=self._caller.request_id,
            upstream=attempt.view.registration.id,
            result=result.value,
            took_ms=round(attempt.elapsed_s * 1000, 1),
            service_answer_age_ms=_age_ms(self._answer_age_s()),
        )

    def _answer_age_s(self) -> float:
        now_s = self._clock()
        return self._pool.reachability.answer_age_s(now_s=now_s)

    async def _start_next_attempt(self) -> bool:
        """Start another attempt if it is allowed and can still be useful."""
        if self._verdict is not Verdict.NOT_RUN and not self._route.idempotent:
            return False
        if self._run_count >= self._route.max_runs:
            return False
        upload = self._caller.upload
        if upload is not None and (self._in_flight or not upload.repeatable):
            return False
        if self._remaining_s < MIN_REMAINING_TIME_RATIO * self._work_estimate.mean_s:
            return False
        if not self._retry_budget.spend():
            return False
        # While another attempt is in flight, this one isn't queued.
        choice = await self._placer.place(
            self._pending_placement(), wait=not self._in_flight
        )
        if choice is None:
            self._retry_budget.refund()
            return False
        self._start_attempt(choice)
        return True

    def _pending_placement(self) -> PendingPlacement:
        wait_policy = WaitPolicy.for_request(
            self._route,
            work=self._work_estimate,
            arrived_at_s=self._request.arrived_at_s,
            deadline_s=self._caller.deadline_s,
            age_s=self._caller_age_s,
        )
        return PendingPlacement(
            wait_policy=wait_policy,
            rank=self._route.rank,
            excluded=frozenset(self._attempted_ids),
            # Non-idempotent work goes only to an upstream that has just answered.
            fresh_only=not self._route.idempotent,
        )

    def _start_attempt(self, choice: PlacementChoice) -> None:
        attempt = RoutedAttempt(
            choice=choice,
            pools=self._pools,
            work=self._work_estimate,
            client=self._client,
            clock=self._clock,
        )
        view = choice.view
        _log.info(
            "placed",
            request_id=self._caller.request_id,
            upstream=view.registration.id,
            try_number=len(self._attempted_ids) + 1,
            expected_ms=round(choice.expected_s * 1000, 1),
            pace=view.pace,
            in_flight=view.load.in_flight,
            others=view.load.others,
            report_age_ms=_age_ms(view.report_age_s(now_s=self._clock())),
            candidates=choice.candidate_count,
            caller_age_ms=round(self._caller_age_s * 1000, 1),
            limit_hz=view.rate_limit.hz if view.rate_limit.in_force else None,
        )
        self._attempted_ids.add(view.registration.id)
        self._hedge_at_s = self._clock() + self._work_estimate.late_after_s
        self._run_count += 1
        task = asyncio.ensure_future(attempt.run(self._caller))
        self._in_flight[task] = attempt

    def _finish_at_deadline(self) -> RoutedAnswer:
        """Return a failed answer if there is one, even though it is late."""
        if self._failed_answer is not None:
            return self._failed_answer
        raise self._attempts_failed_error(Reason.DEADLINE_PASSED)

    def _finish(self) -> RoutedAnswer:
        if self._failed_answer is not None:
            return self._failed_answer
        if self._verdict is Verdict.NOT_RUN:
            raise (
                self._no_capacity_error()
                if self._placer.queued_count
                else self._shed_error()
            )
        if self._last_result is AttemptResult.TIMED_OUT:
            raise self._attempts_failed_error(Reason.DEADLINE_PASSED)
        raise self._attempts_failed_error(Reason.UPSTREAM_FAILED)

    def _attempts_failed_error(self, reason: Reason) -> RefusedError:
        verdict = self._verdict
        if self._in_flight:
            verdict = Verdict.MAY_HAVE_RUN
        return RefusedError(
            verdict=verdict,
            reason=reason,
            detail=(
                f"the last of {len(self._attempted_ids)} attempts "
                f"ended as {self._last_result}"
            ),
            retry_after_s=self._retry_after_s(self._work_estimate.mean_s),
        )

    def _no_capacity_error(self) -> RefusedError:
        return RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.OVERLOADED if self._pool.views else Reason.NO_UPSTREAM,
            detail=f"no upstream of {self._pool.name} has capacity",
            retry_after_s=self._retry_after_s(
                max(
                    self._work_estimate.mean_s,
                    self._pool.min_wait_s(now_s=self._clock()),
                )
            ),
        )

    def _shed_error(self) -> RefusedError:
        """Return the refusal of a request that was shed by upstreams with capacity.

        The next request may well be accepted, so the caller need not wait.
        """
        return RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.UPSTREAM_SHED,
            detail=f"{len(self._attempted_ids)} upstreams shed the request",
            retry_after_s=self._retry_after_s(0.0),
        )

    def _retry_after_s(self, wait_s: float) -> float:
        return retry_after_s(
            wait_s=wait_s,
            rank=self._route.rank,
            left_s=self._remaining_s,
            rng=self._rng,
        )


def _age_ms(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s * 1000, 1)
