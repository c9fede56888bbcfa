"""Execution of one routed request: attempts, retries, hedges, and its end."""

import asyncio
import random
from collections.abc import Callable

from borageramp_core import AttemptResult, Reason, RefusedError, Verdict
from borageramp_core.routing import (
    Instance,
    PlacementChoice,
    Reach,
    UpstreamView,
    WaitPolicy,
)
from borageramp_entry._internal.routed.attempt_log import AttemptLog
from borageramp_entry._internal.routed.attempts import (
    Attempt,
    RoutedAnswer,
    RoutedAttempt,
)
from borageramp_entry._internal.routed.charged_retries import ChargedRetries
from borageramp_entry._internal.routed.hedging import HedgeTimer
from borageramp_entry._internal.routed.peer_forwarding import (
    ForwardedAttempt,
    PeerForwarder,
    PeerRefusedError,
)
from borageramp_entry._internal.routed.placement import PendingPlacement, Placer
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.routed.request_refusals import RequestRefusals
from borageramp_entry._internal.serving.upstreams import TryFailedError, UpstreamClient

__all__ = ["RequestExecution"]

# With less time left, as a multiple of the mean work, another attempt is of no use.
MIN_REMAINING_TIME_RATIO = 0.7

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
    forwarder : PeerForwarder or None
        Sends requests to other instances; ``None`` if there is no way to them.

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
        forwarder: PeerForwarder | None = None,
    ) -> None:
        self._request = request
        self._caller = request.caller
        self._route = request.route
        self._placer = placer
        self._pool = placer.pool
        self._pools = pools
        self._client = client
        self._clock = clock
        # A forwarded request is not forwarded again, so that it can't go in circles.
        self._forwarder = None if request.forwarded else forwarder
        retry_budget = pools.retry_budget(request.caller.service)
        self._work_estimate = pools.work_estimate(request.route)
        self._log = AttemptLog(
            request_id=self._caller.request_id, pool=placer.pool, clock=clock
        )
        self._refusals = RequestRefusals(
            request=request,
            pool=placer.pool,
            work=self._work_estimate,
            rng=rng,
            clock=clock,
        )
        self._hedges = HedgeTimer(
            route=request.route,
            work=self._work_estimate,
            pool=placer.pool,
            policy=pools.hedge_policy(request.caller.service),
            clock=clock,
        )
        self._retries = ChargedRetries(budget=retry_budget, hedges=self._hedges)
        self._in_flight: dict[AttemptTask, Attempt] = {}
        self._attempted_ids: set[str] = set()
        self._asked_peers: set[str] = set()
        self._peer_refusal: RefusedError | None = None
        self._run_count = 0
        self._verdict = Verdict.NOT_RUN
        self._last_result = AttemptResult.UNREACHABLE
        self._failed_answer: RoutedAnswer | None = None
        self.disconnected_views: list[UpstreamView] = []
        self._caller_age_s = pools.caller_age_s(
            request.route, request.caller_timeout_s, queued=placer.queued_count
        )
        self._versions = pools.rollouts.draw(placer.pool.name, route=request.route.name)
        if not request.forwarded:
            # The instance that took it from its caller has counted it.
            retry_budget.earn()

    @property
    def _attempt_count(self) -> int:
        return len(self._attempted_ids) + len(self._asked_peers)

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
        if not await self._start_attempt(wait=True):
            raise self._not_placed_error()
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
            is_hedge_due = self._can_hedge() and self._hedges.is_due()
            if (done or is_hedge_due) and await self._start_next_attempt():
                continue
            if not self._in_flight:
                return self._finish()

    def _wait_timeout_s(self) -> float:
        timeout_s = self._remaining_s
        if self._can_hedge():
            timeout_s = min(timeout_s, self._hedges.left_s)
        return max(0.0, timeout_s)

    def _can_hedge(self) -> bool:
        may_run = self._route.idempotent and self._run_count < self._route.max_runs
        return may_run and len(self._in_flight) == 1

    def _process_completed(self, done: set[AttemptTask]) -> RoutedAnswer | None:
        for task in done:
            attempt = self._in_flight.pop(task)
            error = task.exception()
            if error is None:
                answer = task.result()
                if not answer.failed:
                    self._log.ended(attempt, AttemptResult.ANSWERED)
                    self._hedges.on_answer()
                    return answer
                self._on_attempt_failed(attempt, AttemptResult.ERROR)
                self._failed_answer = answer
            elif isinstance(error, TryFailedError):
                if isinstance(error, PeerRefusedError):
                    self._peer_refusal = error.refusal
                self._on_attempt_failed(attempt, error.result)
                self._retries.on_end(task, error.result)
            else:
                raise error
        return None

    def _on_attempt_failed(self, attempt: Attempt, result: AttemptResult) -> None:
        self._log.ended(attempt, result)
        self._last_result = result
        self._refusals.may_have_arrived |= result is not AttemptResult.UNREACHABLE
        if result is AttemptResult.DIED and attempt.view is not None:
            self.disconnected_views.append(attempt.view)
        self._verdict = max(self._verdict, result.verdict, key=_VERDICT_SEVERITY.index)
        if result.verdict is Verdict.NOT_RUN:
            self._run_count -= 1

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
        if self._is_refused_for_good():
            return False
        # Only what has reached an upstream counts as a retry there.
        is_retry = bool(self._in_flight) or self._refusals.may_have_arrived
        # While another attempt is in flight, this one isn't queued.
        is_hedge = bool(self._in_flight)
        queued = self._placer.queued_count
        if is_retry and not self._retries.charge(is_hedge=is_hedge, queued=queued):
            self._log.retry_denied(in_flight=len(self._in_flight))
            return False
        started = await self._start_attempt(wait=not is_hedge)
        if is_retry and started:
            self._retries.on_start(next(reversed(self._in_flight)))
        elif is_retry:
            self._retries.refund(is_hedge=is_hedge)
        return started

    def _is_refused_for_good(self) -> bool:
        """Return whether other instances would refuse the request as well."""
        refusal = self._peer_refusal
        return refusal is not None and refusal.reason is Reason.CRASHES_UPSTREAMS

    @property
    def _reach(self) -> Reach:
        return self._pool.reachability.reach(now_s=self._clock())

    async def _start_attempt(self, *, wait: bool) -> bool:
        """Start an attempt, through another instance if upstreams can't be reached.

        Parameters
        ----------
        wait : bool
            Whether the request may be queued until there is capacity.

        Returns
        -------
        bool
            Whether there is one.
        """
        if await self._attempt_here(wait=wait and self._reach is Reach.FULL):
            return True
        if self._reach is Reach.FULL:
            return False
        return await self._attempt_at_peer() or (
            wait and await self._attempt_here(wait=True)
        )

    async def _attempt_here(self, *, wait: bool) -> bool:
        if self._reach is Reach.NONE:
            return False
        if self._attempted_ids:
            # Retries and hedges go to the version that is known to work.
            self._versions.use_old()
        choice = await self._placer.place(self._pending_placement(), wait=wait)
        if choice is None:
            return False
        self._run_on_upstream(choice)
        return True

    async def _attempt_at_peer(self) -> bool:
        if self._forwarder is None:
            return False
        reach = self._reach
        # What is unreachable for every instance is not passed around.
        min_reach = Reach.PARTIAL if reach is Reach.NONE else Reach.FULL
        peer = await self._forwarder.find(
            self._caller,
            min_reach=min_reach,
            excluded=self._asked_peers,
            # An answer of an attempt under way is not to wait for a hedge.
            max_rounds=1 if self._in_flight else None,
        )
        if peer is None:
            return False
        self._run_at_peer(peer, self._forwarder, reach=reach)
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
            versions=self._versions,
            share_class=self._request.share_class,
            steady_only=self._hedges.is_selective and bool(self._in_flight),
        )

    def _run_on_upstream(self, choice: PlacementChoice) -> None:
        attempt = RoutedAttempt(
            choice=choice,
            pools=self._pools,
            work=self._work_estimate,
            client=self._client,
            clock=self._clock,
            route=self._route.name,
        )
        self._log.placed(
            choice, try_number=self._attempt_count + 1, caller_age_s=self._caller_age_s
        )
        self._attempted_ids.add(choice.view.registration.id)
        self._run(attempt)

    def _run_at_peer(
        self, peer: Instance, forwarder: PeerForwarder, *, reach: Reach
    ) -> None:
        attempt = ForwardedAttempt(
            instance=peer,
            forwarder=forwarder,
            request=self._request,
            caller_age_s=self._caller_age_s,
            clock=self._clock,
        )
        self._log.forwarded(peer, try_number=self._attempt_count + 1, reach=reach)
        self._asked_peers.add(peer.name)
        self._run(attempt)

    def _run(self, attempt: Attempt) -> None:
        self._hedges.on_start()
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
            raise self._not_run_error()
        if self._last_result is AttemptResult.TIMED_OUT:
            raise self._attempts_failed_error(Reason.DEADLINE_PASSED)
        raise self._attempts_failed_error(Reason.UPSTREAM_FAILED)

    def _attempts_failed_error(self, reason: Reason) -> RefusedError:
        verdict = self._verdict
        if self._in_flight:
            verdict = Verdict.MAY_HAVE_RUN
        return self._refusals.failed(
            reason,
            verdict=verdict,
            detail=(
                f"the last of {self._attempt_count} attempts "
                f"ended as {self._last_result}"
            ),
        )

    def given_up_error(self) -> RefusedError:
        """Return the refusal of a request that ends before its deadline."""
        if self._in_flight or self._verdict is not Verdict.NOT_RUN:
            return self._attempts_failed_error(Reason.DEADLINE_PASSED)
        return self._refusals.leaving()

    def _not_placed_error(self) -> RefusedError:
        """Return the refusal of a request that found no upstream."""
        if self._reach is Reach.NONE:
            return self._refusals.unreachable()
        return self._refusals.no_capacity()

    def _not_run_error(self) -> RefusedError:
        """Return the refusal of a request none of whose attempts ran."""
        if self._peer_refusal is not None:
            return self._refusals.by_peer(self._peer_refusal)
        if self._last_result is AttemptResult.UNREACHABLE:
            return self._refusals.unreachable()
        if self._placer.queued_count:
            return self._refusals.no_capacity()
        return self._refusals.shed(len(self._attempted_ids))
