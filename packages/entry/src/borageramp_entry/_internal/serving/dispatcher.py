"""Takes a request through placement, tries, retries and hedges to its answer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from borageramp_core import (
    AttemptPlan,
    AttemptResult,
    Forward,
    Placed,
    Reason,
    Refused,
    RefusedError,
    Retry,
    Submit,
    Upstream,
    Verdict,
    fingerprint,
)
from borageramp_entry._internal.reporting import Reporter
from borageramp_entry._internal.serving.delivery import Delivered, deliver
from borageramp_entry._internal.serving.placement import PlacementTask
from borageramp_entry._internal.serving.race import Race, RaceLostError
from borageramp_entry._internal.serving.relay import PeerRelay
from borageramp_entry._internal.serving.requests import AnswerSink, CallerRequest
from borageramp_entry._internal.serving.tries import Try
from borageramp_entry._internal.serving.upstreams import UpstreamClient

__all__ = ["DispatchParts", "Dispatcher", "Terms"]

MIN_RETRY_AFTER_S = 0.1
# Owners that can't be reached are few; another is chosen this many times.
MAX_UNSENT_HOPS = 4
HOP_PAUSE_S = 0.02
SUSPECT_PAUSE_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Terms:
    """Terms on which a request is dispatched.

    Attributes
    ----------
    late_s : float
        Time after the deadline for which an answer is still wanted.
    may_dispatch : callable
        Asked right before each dispatch.
    """

    late_s: float = 0.0
    may_dispatch: Callable[[], bool] = lambda: True


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchParts:
    """What a dispatch works with.

    Attributes
    ----------
    client : UpstreamClient
        Connections to upstreams.
    relay : PeerRelay
        Passes requests on to peers.
    reporter : Reporter
        Is told what happens.
    may_serve : callable
        Tells whether this entry may take work now.
    tell_peers : callable
        Tells peers of a crash, before the request is tried again.
    clock : callable
        Returns the present time in seconds.
    """

    client: UpstreamClient
    relay: PeerRelay
    reporter: Reporter
    may_serve: Callable[[], bool]
    tell_peers: Callable[[], Awaitable[None]]
    clock: Callable[[], float]


class Dispatcher:
    """Dispatches requests to upstreams.

    Parameters
    ----------
    find_task : callable
        Returns the placement task of a service, ``None`` if there is none.
    parts : DispatchParts
        What a dispatch works with.
    """

    def __init__(
        self,
        *,
        find_task: Callable[[str], PlacementTask | None],
        parts: DispatchParts,
    ) -> None:
        self._find_task = find_task
        self._parts = parts

    async def run(
        self, request: CallerRequest, sink: AnswerSink, *, terms: Terms | None = None
    ) -> Delivered:
        """Dispatch a request and deliver its answer.

        Parameters
        ----------
        request : CallerRequest
            The request.
        sink : AnswerSink
            Where the answer goes.
        terms : Terms, optional
            Terms of the dispatch.

        Returns
        -------
        Delivered
            How much of the answer was delivered.

        Raises
        ------
        RefusedError
            If there is no answer; nothing was written to the sink.
        """
        task = self._find_task(request.service)
        if task is None:
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UNKNOWN_SERVICE,
                detail=f"there is no service {request.service!r}",
            )
        run = _Run(self._parts, task, request, sink, terms or Terms())
        return await run.to_end()


class _Run:
    """One request on its way."""

    def __init__(
        self,
        parts: DispatchParts,
        task: PlacementTask,
        request: CallerRequest,
        sink: AnswerSink,
        terms: Terms,
    ) -> None:
        self._parts = parts
        self._task = task
        self._request = request
        self._sink = sink
        self._terms = terms
        self._unsent_hops = 0
        self._first = Submit(
            request_id=request.request_id,
            class_name=request.class_name,
            deadline_s=request.deadline_s,
            fingerprint=fingerprint(
                service=request.service,
                key=request.key,
                method=request.method,
                path=request.path,
                body=request.body,
            ),
            excluded=request.excluded,
            forwarded=request.passed_on,
        )
        self._plan = AttemptPlan(
            first=self._first,
            policy=task.balancer.service.policy,
            retries=task.retries,
            hedges=task.hedges_for(request.class_name),
        )

    async def to_end(self) -> Delivered:
        submit = self._first
        while True:
            decision = await self._task.place(submit)
            if isinstance(decision, Refused):
                raise self._refusal(decision)
            if isinstance(decision, Forward):
                delivered = await self._pass_on(decision)
                if delivered is None:
                    continue
                return delivered
            self._check_terms(decision)
            outcome = await self._attempt(decision)
            if isinstance(outcome, Delivered):
                return outcome
            submit = outcome

    def _check_terms(self, placed: Placed) -> None:
        if self._parts.may_serve() and self._terms.may_dispatch():
            return
        self._task.finish(placed.request.request_id, AttemptResult.CANCELLED)
        raise RefusedError(
            verdict=self._plan.verdict,
            reason=Reason.NOT_SERVING,
            detail="this entry may not take work now",
            retry_after_s=MIN_RETRY_AFTER_S,
        )

    def _refusal(self, refused: Refused) -> RefusedError:
        return RefusedError(
            verdict=self._plan.verdict,
            reason=refused.reason,
            detail=refused.detail,
            retry_after_s=refused.retry_after_s,
        )

    async def _pass_on(self, decision: Forward) -> Delivered | None:
        """Have a peer run the request; ``None`` if another may be asked."""
        self._parts.reporter.metrics.extra(service=self._request.service, kind="hop")
        try:
            return await self._parts.relay.execute(
                decision.member,
                self._request,
                purpose=decision.purpose,
                sink=self._sink,
                excluded=decision.request.excluded,
                late_s=self._terms.late_s,
            )
        except RefusedError as error:
            if self._plan.verdict is not Verdict.NOT_RUN:
                error.verdict = Verdict.MAY_HAVE_RUN
                raise
            unsent = error.reason is Reason.OWNER_UNREACHABLE and (
                error.verdict is Verdict.NOT_RUN
            )
            self._unsent_hops += unsent
            if not unsent or self._unsent_hops >= MAX_UNSENT_HOPS:
                raise
        await asyncio.sleep(HOP_PAUSE_S)
        return None

    async def _attempt(self, placed: Placed) -> Delivered | Submit:
        race = Race(
            request=self._request,
            plan=self._plan,
            late_s=self._terms.late_s,
            start_hedge=self._start_hedge,
            on_failed=self._on_failed,
        )
        first = self._try(placed)
        try:
            winner = await race.run(first, hedge_after_s=self._hedge_after_s())
        except RaceLostError as lost:
            return await self._after_failure(lost.last, lost.result)
        if winner.head_result is AttemptResult.ERROR:
            following = self._plan.on_result(
                AttemptResult.ERROR,
                upstream_id=winner.upstream.id,
                now_s=self._parts.clock(),
            )
            if isinstance(following, Retry):
                winner.discard()
                return self._retry(following, winner.upstream, AttemptResult.ERROR)
        return await self._deliver(winner)

    def _try(self, placed: Placed) -> Try:
        return Try(
            placed=placed,
            task=self._task,
            client=self._parts.client,
            clock=self._parts.clock,
        )

    def _hedge_after_s(self) -> float | None:
        policy = self._task.balancer.service.policy
        if not policy.idempotent or self._suspect():
            return None
        return self._task.latencies.quantile_s(policy.hedge_quantile)

    def _suspect(self) -> bool:
        return self._task.balancer.isolation.is_suspect(
            self._first.fingerprint, now_s=self._parts.clock()
        )

    def _start_hedge(self, beside: Try) -> Try | None:
        submit = self._plan.hedge(upstream_id=beside.upstream.id)
        if submit is None:
            return None
        placed = self._task.place_now(submit)
        if placed is None:
            self._plan.hedge_not_placed()
            return None
        self._parts.reporter.metrics.extra(service=self._request.service, kind="hedge")
        return self._try(placed)

    def _on_failed(self, failed: Try, result: AttemptResult) -> None:
        if result is AttemptResult.DIED:
            self._task.on_crash(failed.upstream)

    async def _after_failure(self, failed: Try, result: AttemptResult) -> Submit:
        if result is AttemptResult.DIED:
            await self._parts.tell_peers()
        following = self._plan.on_result(
            result, upstream_id=failed.upstream.id, now_s=self._parts.clock()
        )
        if isinstance(following, Retry):
            if result is AttemptResult.DIED:
                await self._await_heartbeats()
            return self._retry(following, failed.upstream, result)
        raise RefusedError(
            verdict=following.verdict,
            reason=following.reason,
            detail=following.detail,
            retry_after_s=MIN_RETRY_AFTER_S,
        )

    async def _await_heartbeats(self) -> None:
        """Wait until peers may have told which suspects they run, and where.

        They notice a death at about the same time. Without knowing that, this
        request could run beside the one that killed the upstream.
        """
        left_s = self._request.deadline_s - self._parts.clock()
        await asyncio.sleep(max(0.0, min(SUSPECT_PAUSE_S, left_s / 4)))

    def _retry(self, retry: Retry, upstream: Upstream, result: AttemptResult) -> Submit:
        self._parts.reporter.metrics.extra(service=self._request.service, kind="retry")
        self._parts.reporter.decided(
            self._request.request_id,
            "retry",
            after=result.value,
            upstream=upstream.name,
        )
        return retry.submit

    async def _deliver(self, winner: Try) -> Delivered:
        delivered = await deliver(winner, self._sink)
        self._parts.reporter.decided(
            self._request.request_id,
            "answered" if delivered.whole else "cut short",
            upstream=winner.upstream.name,
            status=delivered.status,
            latency_ms=round(winner.latency_s * 1000, 2),
        )
        return delivered
