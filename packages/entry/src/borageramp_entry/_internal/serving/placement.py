"""The task that places the requests of one service."""

import asyncio
from collections.abc import Callable

from borageramp_core import (
    AttemptResult,
    Balancer,
    ConfigurationSnapshot,
    Finished,
    Forward,
    LatencyWindow,
    LoadReport,
    Placed,
    PlacementDecision,
    Queued,
    RatioBudget,
    Reason,
    Refused,
    Service,
    Submit,
    Upstream,
)
from borageramp_entry._internal.reporting import Reporter

__all__ = ["PlacementTask"]

# Waiting requests are looked at again this often, besides after each answer.
TICK_S = 0.005
# When callers whose requests waited while this entry lost its lease may return.
NOT_SERVING_RETRY_S = 0.5
# Repairs after which peers get a heartbeat at once.
PEERS_HEAR_OF = ("warm-up", "warm again")

Settled = Placed | Forward | Refused


class PlacementTask:
    """Owns the decisions on one service, and the requests that wait for them.

    Parameters
    ----------
    balancer : Balancer
        Decisions on the service.
    may_serve : callable
        Tells whether this entry may take work.
    on_news : callable
        Called when peers should hear at once what this entry knows.
    reporter : Reporter
        Is told each decision.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        balancer: Balancer,
        may_serve: Callable[[], bool],
        on_news: Callable[[], None],
        reporter: Reporter,
        clock: Callable[[], float],
    ) -> None:
        policy = balancer.service.policy
        self.balancer = balancer
        self.retries = RatioBudget(ratio=policy.retry_ratio)
        self.hedges = RatioBudget(ratio=policy.hedge_ratio)
        self.urgent_hedges = RatioBudget(ratio=policy.urgent_hedge_ratio)
        self.latencies = LatencyWindow()
        self._may_serve = may_serve
        self._on_news = on_news
        self._reporter = reporter
        self._clock = clock
        self._waiting: dict[str, asyncio.Future[Settled]] = {}
        self._ticking: asyncio.TimerHandle | None = None

    def is_current(self, service: Service, snapshot: ConfigurationSnapshot) -> bool:
        """Tell whether a revision changes nothing for the service."""
        current = self.balancer
        return (
            current.service is service
            and current.snapshot.data_centres == snapshot.data_centres
        )

    def apply(self, service: Service, snapshot: ConfigurationSnapshot) -> None:
        """Put a new revision of the service in force."""
        self.balancer.apply(service, snapshot)
        self.retries.ratio = service.policy.retry_ratio
        self.hedges.ratio = service.policy.hedge_ratio
        self.urgent_hedges.ratio = service.policy.urgent_hedge_ratio
        self._settle(self.balancer.drain(now_s=self._clock()))

    @property
    def in_flight(self) -> int:
        """Requests that upstreams have, or that wait."""
        return len(self.balancer.in_flight_attempts) + len(self._waiting)

    def hedges_for(self, class_name: str) -> RatioBudget:
        """Return the budget for hedges of a class."""
        urgent = class_name in self.balancer.service.policy.urgent_classes
        return self.urgent_hedges if urgent else self.hedges

    async def place(self, submit: Submit) -> Settled:
        """Decide on a request; waits while it is queued."""
        decision = self.balancer.submit(submit, now_s=self._clock())
        self._report(decision)
        if not isinstance(decision, Queued):
            return decision
        waiting: asyncio.Future[Settled] = asyncio.get_running_loop().create_future()
        self._waiting[submit.request_id] = waiting
        self._tick_later()
        try:
            return await waiting
        except asyncio.CancelledError:
            self._abandon(submit, waiting)
            raise
        finally:
            self._waiting.pop(submit.request_id, None)

    def _abandon(self, submit: Submit, waiting: "asyncio.Future[Settled]") -> None:
        self.balancer.cancel(submit.request_id)
        placed = waiting.done() and not waiting.cancelled()
        if placed and isinstance(waiting.result(), Placed):
            self.finish(submit.request_id, AttemptResult.CANCELLED)

    def place_now(self, submit: Submit) -> Placed | None:
        """Place a request if that needs no waiting."""
        placed = self.balancer.place_now(submit, now_s=self._clock())
        if placed is not None:
            self._report(placed)
        return placed

    def finish(
        self,
        request_id: str,
        result: AttemptResult,
        *,
        latency_s: float = 0.0,
        finished: Finished | None = None,
    ) -> None:
        """Take in the end of a try."""
        if finished is None:
            finished = Finished(
                request_id=request_id, result=result, latency_s=latency_s
            )
        if result is AttemptResult.ANSWERED:
            self.latencies.add(finished.latency_s)
        now_s = self._clock()
        suspect = self.balancer.isolation.is_suspect_attempt(request_id, now_s=now_s)
        name = self.balancer.service.name
        self._reporter.metrics.tried(service=name, result=result)
        self._settle(self.balancer.finish(finished, now_s=now_s))
        self._report_repairs()
        if suspect:
            self._on_news()

    def on_probe(self, upstream: Upstream, report: LoadReport) -> None:
        """Take in the answer to a probe."""
        self.balancer.on_probe(upstream, report, now_s=self._clock())
        self._report_repairs()

    def _report_repairs(self) -> None:
        repairs = self.balancer.pop_repairs()
        for repair in repairs:
            self._reporter.repaired(
                repair.kind, upstream=repair.upstream, why=repair.why
            )
        if any(repair.kind in PEERS_HEAR_OF for repair in repairs):
            self._on_news()

    def on_crash(self, upstream: Upstream) -> tuple[str, ...]:
        """Record that an upstream died with what it was running."""
        names = self.balancer.isolation.on_crash(upstream, now_s=self._clock())
        self._reporter.repaired(
            "crash suspects", upstream=upstream.id, requests=len(names)
        )
        self._on_news()
        return names

    def _settle(self, decisions: list[PlacementDecision]) -> None:
        for decision in decisions:
            self._report(decision)
            waiting = self._waiting.get(decision.request.request_id)
            if waiting is None or waiting.done():
                self._give_back(decision)
            elif not isinstance(decision, Queued):
                waiting.set_result(decision)
        self._tick_later()

    def _give_back(self, decision: PlacementDecision) -> None:
        if isinstance(decision, Placed):
            self.finish(decision.request.request_id, AttemptResult.CANCELLED)

    def _tick_later(self) -> None:
        if self._ticking is None and len(self.balancer.queue) > 0:
            loop = asyncio.get_running_loop()
            self._ticking = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = None
        if not self._may_serve():
            # What waits could otherwise wait on until its deadline.
            self._refuse_waiting()
            return
        self._settle(self.balancer.drain(now_s=self._clock()))

    def _refuse_waiting(self) -> None:
        for waiter in list(self.balancer.queue):
            refused = Refused(
                request=waiter,
                reason=Reason.NOT_SERVING,
                detail="this entry may no longer take work",
                retry_after_s=NOT_SERVING_RETRY_S,
            )
            self.balancer.cancel(waiter.request_id)
            self._settle([refused])

    def _report(self, decision: PlacementDecision) -> None:
        request_id, _, _ = decision.request.request_id.partition("#")
        common = {
            "service": self.balancer.service.name,
            "class_name": decision.request.class_name,
        }
        if isinstance(decision, Placed):
            self._reporter.decided(
                request_id,
                "placed",
                **common,
                upstream=decision.upstream.name,
                data_centre=decision.upstream.data_centre,
                candidates=decision.candidates,
                why=decision.why,
                waited_ms=round(decision.queue_wait_s * 1000, 2),
            )
        elif isinstance(decision, Forward):
            self._reporter.decided(
                request_id,
                "passed on",
                **common,
                member=decision.member,
                why=decision.purpose,
            )
        elif isinstance(decision, Queued):
            self._reporter.decided(
                request_id, "queued", **common, position=decision.position
            )
        else:
            self._reporter.decided(
                request_id,
                "refused",
                **common,
                reason=decision.reason.value,
                detail=decision.detail,
            )
