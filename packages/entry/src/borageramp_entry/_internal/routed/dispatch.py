"""Takes a routed request to its answer: placement, tries, hedges."""

import asyncio
import random
from collections.abc import Callable

from borageramp_core import (
    Reason,
    RefusedError,
    Result,
    Verdict,
    fingerprint,
)
from borageramp_core.routing import (
    PlacementChoice,
    UpstreamView,
    WaitPolicy,
    retry_after_s,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.crashes import CrashWatch
from borageramp_entry._internal.routed.placing import Placer, Seeker
from borageramp_entry._internal.routed.pools import Pools
from borageramp_entry._internal.routed.prober import Prober
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.routed.tries import RoutedAnswer, RoutedTry
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.serving.upstreams import TryFailedError, UpstreamClient

__all__ = ["RoutedDispatcher"]

_log = get_logger(__name__)

# Less time than this, in multiples of the work, is no use to another try.
MIN_LEFT_SHARE = 0.7

# Time after which a hedge that found no room or no budget is tried again.
HEDGE_PAUSE_S = 0.02
# Bytes of a body that tell requests apart: of a larger one no more may be known.
FINGERPRINT_BODY_BYTES = 65_536

Running = asyncio.Task[RoutedAnswer]
_ORDER = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class RoutedDispatcher:
    """Dispatches routed requests to upstreams.

    Parameters
    ----------
    pools : Pools
        All upstreams.
    prober : Prober
        Asks upstreams for their load.
    client : UpstreamClient
        Connections to upstreams.
    crashes : CrashWatch
        Knows requests that crash upstreams.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        pools: Pools,
        prober: Prober,
        client: UpstreamClient,
        crashes: CrashWatch,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.crashes = crashes
        self.pools = pools
        self.prober = prober
        self.client = client
        self.rng = rng
        self.clock = clock

        self._placers: dict[str, Placer] = {}

    def placer(self, service: str) -> Placer:
        """Return the placer of a service."""
        placer = self._placers.get(service)
        if placer is None:
            placer = Placer(
                pool=self.pools.pool(service),
                prober=self.prober,
                rng=self.rng,
                clock=self.clock,
            )
            self._placers[service] = placer
        return placer

    async def run(self, request: RoutedRequest) -> RoutedAnswer:
        """Return the answer to a request.

        Raises
        ------
        RefusedError
            If there is none.
        """
        name = _fingerprint(request.caller)
        if self.crashes.is_condemned(name):
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.CRASHES_UPSTREAMS,
                detail="upstreams died while they ran this request",
                retry_after_s=request.route.timeout_s,
            )
        run = _Run(self, request)
        try:
            answer = await run.to_end()
        except RefusedError:
            if run.broken:
                self.crashes.on_broken(name, run.broken)
            raise
        finally:
            run.cancel()
        self.crashes.on_answer(name)
        return answer


def _fingerprint(caller: CallerRequest) -> str:
    return fingerprint(
        service="",
        key="",
        method=caller.method,
        path=caller.path,
        body=caller.body[:FINGERPRINT_BODY_BYTES],
    )


class _Run:
    """One request on its way."""

    def __init__(self, parts: RoutedDispatcher, request: RoutedRequest) -> None:
        self._parts = parts
        self._request = request
        self._caller = request.caller
        self._route = request.route
        self._placer = parts.placer(request.caller.service)
        self._pool = self._placer.pool
        self._repeats = parts.pools.repeats(request.caller.service)
        self._work = parts.pools.work(request.route)
        self._open: dict[Running, RoutedTry] = {}
        self._excluded: set[str] = set()
        self._runs = 0
        self._hedge_at_s = float("inf")
        self._verdict = Verdict.NOT_RUN
        self._last = Result.UNREACHABLE
        self._failure: RoutedAnswer | None = None
        self.broken: list[UpstreamView] = []
        self._age_s = self._find_age_s()
        self._repeats.earn()

    def _find_age_s(self) -> float:
        """Return the time for which the caller has probably waited before."""
        patience_s = self._request.patience_s
        if patience_s is None:
            return 0.0
        deadlines = self._parts.pools.deadlines(self._route)
        if not self._placer.waiting:
            deadlines.on_request(patience_s)
        return deadlines.caller_age_s(patience_s)

    @property
    def _left_s(self) -> float:
        return self._caller.deadline_s - self._parts.clock()

    def cancel(self) -> None:
        """Cancel what is under way."""
        for task in self._open:
            task.cancel()
        self._open.clear()

    async def to_end(self) -> RoutedAnswer:
        chosen = await self._placer.place(self._seeker(), wait=True)
        if chosen is None:
            raise self._no_room()
        self._start(chosen)
        while True:
            done, _ = await asyncio.wait(
                self._open,
                timeout=self._wait_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answer = self._take(done)
            if answer is not None:
                return answer
            if self._left_s <= 0:
                return self._end_late()
            if (done or self._hedge_due()) and await self._start_another():
                continue
            if not self._open:
                return self._end()

    def _wait_s(self) -> float:
        wait_s = self._left_s
        if self._may_hedge():
            wait_s = min(wait_s, self._hedge_at_s - self._parts.clock())
        return max(0.0, wait_s)

    def _may_hedge(self) -> bool:
        if not self._route.idempotent or len(self._open) != 1:
            return False
        return self._runs < self._route.max_runs

    def _hedge_due(self) -> bool:
        """Tell whether to try for a hedge; a hedge refused may come later."""
        now_s = self._parts.clock()
        if not self._may_hedge() or now_s < self._hedge_at_s:
            return False
        self._hedge_at_s = now_s + HEDGE_PAUSE_S
        return True

    def _take(self, done: set[Running]) -> RoutedAnswer | None:
        for task in done:
            ended = self._open.pop(task)
            error = task.exception()
            if error is None:
                answer = task.result()
                if not answer.failed:
                    self._log_end(ended, Result.ANSWERED)
                    return answer
                self._on_failed(ended, Result.ERROR)
                self._failure = answer
            elif isinstance(error, TryFailedError):
                self._on_failed(ended, error.result)
            else:
                raise error
        return None

    def _on_failed(self, ended: RoutedTry, result: Result) -> None:
        self._log_end(ended, result)
        self._last = result
        if result is Result.DIED:
            self.broken.append(ended.view)
        self._verdict = max(self._verdict, result.verdict, key=_ORDER.index)
        if result.verdict is Verdict.NOT_RUN:
            self._runs -= 1

    def _log_end(self, ended: RoutedTry, result: Result) -> None:
        _log.info(
            "try ended",
            request_id=self._caller.request_id,
            upstream=ended.view.registration.id,
            result=result.value,
            took_ms=round(ended.elapsed_s * 1000, 1),
        )

    async def _start_another(self) -> bool:
        """Start another try, if that is allowed and of use."""
        if self._verdict is not Verdict.NOT_RUN and not self._route.idempotent:
            return False
        if self._runs >= self._route.max_runs:
            return False
        upload = self._caller.upload
        if upload is not None and (self._open or not upload.repeatable):
            return False
        if self._left_s < MIN_LEFT_SHARE * self._work.mean_s:
            return False
        if not self._repeats.spend():
            return False
        # While another try is under way, this one takes what there is.
        chosen = await self._placer.place(self._seeker(), wait=not self._open)
        if chosen is None:
            self._repeats.give_back()
            return False
        self._start(chosen)
        return True

    def _seeker(self) -> Seeker:
        wait_policy = WaitPolicy.for_request(
            self._route,
            work=self._work,
            arrived_at_s=self._request.arrived_at_s,
            deadline_s=self._caller.deadline_s,
            age_s=self._age_s,
        )
        return Seeker(
            wait_policy=wait_policy,
            rank=self._route.rank,
            excluded=frozenset(self._excluded),
            # What runs once goes only where the upstream has just answered.
            fresh_only=not self._route.idempotent,
        )

    def _start(self, chosen: PlacementChoice) -> None:
        started = RoutedTry(
            chosen=chosen,
            pools=self._parts.pools,
            work=self._work,
            client=self._parts.client,
            clock=self._parts.clock,
        )
        view = chosen.view
        _log.info(
            "placed",
            request_id=self._caller.request_id,
            upstream=view.registration.id,
            try_number=len(self._excluded) + 1,
            expected_ms=round(chosen.expected_s * 1000, 1),
            pace=view.pace,
            in_flight=view.load.in_flight,
            others=view.load.others,
            report_age_ms=_age_ms(view.report_age_s(now_s=self._parts.clock())),
            candidates=chosen.candidate_count,
            caller_age_ms=round(self._age_s * 1000, 1),
        )
        self._excluded.add(view.registration.id)
        self._hedge_at_s = self._parts.clock() + self._work.late_after_s
        self._runs += 1
        task = asyncio.ensure_future(started.run(self._caller))
        self._open[task] = started

    def _end_late(self) -> RoutedAnswer:
        """Deliver what there is, also when it is late and says it failed."""
        if self._failure is not None:
            return self._failure
        raise self._given_up(Reason.DEADLINE_PASSED)

    def _end(self) -> RoutedAnswer:
        if self._failure is not None:
            return self._failure
        if self._verdict is Verdict.NOT_RUN:
            raise self._no_room() if self._placer.waiting else self._shed()
        if self._last is Result.TIMED_OUT:
            raise self._given_up(Reason.DEADLINE_PASSED)
        raise self._given_up(Reason.UPSTREAM_FAILED)

    def _given_up(self, reason: Reason) -> RefusedError:
        verdict = self._verdict
        if self._open:
            verdict = Verdict.MAY_HAVE_RUN
        return RefusedError(
            verdict=verdict,
            reason=reason,
            detail=f"the last of {len(self._excluded)} tries ended as {self._last}",
            retry_after_s=self._retry_after_s(self._work.mean_s),
        )

    def _no_room(self) -> RefusedError:
        return RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.OVERLOADED if self._pool.views else Reason.NO_UPSTREAM,
            detail=f"no upstream of {self._pool.name} has room",
            retry_after_s=self._retry_after_s(
                max(
                    self._work.mean_s,
                    self._pool.pause_remaining_s(now_s=self._parts.clock()),
                )
            ),
        )

    def _shed(self) -> RefusedError:
        """Return the refusal of a request that upstreams with room shed.

        The next one may well be taken, so that the caller need not wait.
        """
        return RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.UPSTREAM_SHED,
            detail=f"{len(self._excluded)} upstreams shed the request",
            retry_after_s=self._retry_after_s(0.0),
        )

    def _retry_after_s(self, wait_s: float) -> float:
        return retry_after_s(
            wait_s=wait_s,
            rank=self._route.rank,
            left_s=self._left_s,
            rng=self._parts.rng,
        )


def _age_ms(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s * 1000, 1)
