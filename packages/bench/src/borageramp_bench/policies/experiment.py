"""One run: entries, fake upstreams and callers in virtual time."""

import random

from borageramp_bench.policies.baselines import ProbePool, SliceThenSpill
from borageramp_bench.policies.clock import VirtualClock
from borageramp_bench.policies.records import (
    CLASSES,
    Outcome,
    Request,
    SimulatedEntry,
    Size,
)
from borageramp_bench.policies.upstreams import FakeUpstream, Job
from borageramp_core import (
    AttemptPlan,
    AttemptResult,
    Balancer,
    ConfigurationSnapshot,
    DataCentre,
    Finished,
    Forward,
    LeastExpectedWait,
    Lifecycle,
    LoadReport,
    Ownership,
    Placed,
    PlacementDecision,
    PlacementPolicy,
    PowerOfTwoChoices,
    Queued,
    Refused,
    Retry,
    Service,
    ServicePolicy,
    Submit,
    Suspects,
    UniformRandom,
    Upstream,
    WarmUp,
)

__all__ = ["POLICIES", "Experiment"]

POLICIES = ("random", "two choices", "probe pool", "slice", "product")
WARMUP_S = 1.0
TICK_S = 0.005
HEDGE_PAUSE_S = 0.02


class Experiment:
    """One run of one policy.

    Parameters
    ----------
    size : Size
        How large.
    policy : str
        One of ``POLICIES``.
    load : float
        Offered work as a share of all slots.
    seconds : float
        Virtual time for which callers send.
    seed : int
        Seed of arrivals and service times, the same for each policy.
    deadline_s : float
        Deadline of each request.
    """

    def __init__(
        self,
        *,
        size: Size,
        policy: str,
        load: float,
        seconds: float,
        seed: int,
        deadline_s: float = 1.0,
    ) -> None:
        self.size = size
        self.clock = VirtualClock()
        self.outcome = Outcome()
        self.burst = 1.0
        self.seconds = seconds
        self._deadline_s = deadline_s
        self._arrivals = random.Random(seed)
        self._rate_hz = load * size.upstreams * size.slots / size.mean_s
        self._ids = 0
        self._probe_pools: list[ProbePool] = []
        self._warmup = WarmUp()
        self._suspects = Suspects()
        self.settings = ServicePolicy()
        specs = [self._spec(i) for i in range(size.upstreams)]
        self.service = Service(name="s", policy=self.settings, upstreams=tuple(specs))
        self.upstreams = {
            s.id: FakeUpstream(
                spec=s,
                clock=self.clock,
                mean_s=size.mean_s,
                rng=random.Random(f"{seed} {s.id}"),
            )
            for s in specs
        }
        self._names = [f"e{i}" for i in range(size.entries)]
        self._entries = {n: self._entry(i, policy) for i, n in enumerate(self._names)}

    def _spec(self, index: int) -> Upstream:
        return Upstream(
            name=f"u{index}",
            service="s",
            data_centre=("a", "b", "c")[index % 3],
            host="127.0.0.1",
            port=1,
            slots=self.size.slots,
            warmup_s=WARMUP_S,
        )

    def _snapshot(self, out: str = "") -> ConfigurationSnapshot:
        centres = {
            n: DataCentre(name=n, state=Lifecycle.OUT if n == out else Lifecycle.IN)
            for n in ("a", "b", "c")
        }
        return ConfigurationSnapshot(
            revision=1, data_centres=centres, services={"s": self.service}
        )

    def _entry(self, index: int, policy: str) -> SimulatedEntry:
        ownership = Ownership(member=self._names[index], settle_s=0.0)
        ownership.update(self._names, now_s=0.0)
        for upstream in self.service.upstreams:
            self._warmup.merge_warm(upstream.id, start_id="first", age_s=0.0, now_s=0.0)
        balancer = Balancer(
            service=self.service,
            snapshot=self._snapshot(),
            ownership=ownership,
            warmup=self._warmup,
            suspects=self._suspects,
            rng=random.Random(index),
            policy=self._policy(policy, index),
        )
        return SimulatedEntry(balancer, self.settings)

    def _policy(self, name: str, index: int) -> PlacementPolicy:
        if name == "random":
            return UniformRandom()
        if name == "two choices":
            return PowerOfTwoChoices()
        if name == "slice":
            return SliceThenSpill(index=index, entries=self.size.entries)
        if name == "probe pool":
            pool = ProbePool(probe=self._send_probe)
            self._probe_pools.append(pool)
            return pool
        return LeastExpectedWait()

    def _send_probe(self, pool: ProbePool, upstream_id: str) -> None:
        upstream = self.upstreams[upstream_id]

        def at_upstream() -> None:
            in_flight = upstream.in_flight
            latency_s = self.size.mean_s * upstream.slow_factor
            self.clock.later(
                self.size.delay_s,
                lambda: pool.take(
                    upstream_id,
                    in_flight=in_flight,
                    latency_s=latency_s,
                    now_s=self.clock.now_s,
                ),
            )

        self.clock.later(self.size.delay_s, at_upstream)

    def set_out(self, data_centre: str) -> None:
        """Take a data centre out, or none; all entries know at once."""
        for entry in self._entries.values():
            entry.balancer.apply(self.service, self._snapshot(data_centre))

    def run(self) -> Outcome:
        """Run to the end and return what was measured."""
        self.clock.later(0.0, self._arrive)
        self.clock.run(until_s=self.seconds + 2 * self._deadline_s)
        self.outcome.probes = sum(pool.sent for pool in self._probe_pools)
        return self.outcome

    def _arrive(self) -> None:
        now_s = self.clock.now_s
        if now_s >= self.seconds:
            return
        rate_hz = self._rate_hz * self.burst
        self.clock.later(self._arrivals.expovariate(rate_hz), self._arrive)
        names = list(CLASSES)
        shares = [CLASSES[n][0] for n in names]
        class_name = self._arrivals.choices(names, shares)[0]
        entry = self._entries[self._arrivals.choice(self._names)]
        request = Request(class_name, now_s, now_s + self._deadline_s)
        offered = self.outcome.offered
        offered[class_name] = offered.get(class_name, 0) + 1
        self._ids += 1
        first = Submit(
            request_id=str(self._ids),
            class_name=class_name,
            deadline_s=request.deadline_s,
        )
        urgent = class_name in self.settings.urgent_classes
        request.plan = AttemptPlan(
            first=first,
            policy=self.settings,
            retries=entry.retries,
            hedges=entry.urgent_hedges if urgent else entry.hedges,
        )
        self._submit(entry, request, first)

    def _submit(self, entry: SimulatedEntry, request: Request, submit: Submit) -> None:
        entry.waiting[submit.request_id] = request
        decision = entry.balancer.submit(submit, now_s=self.clock.now_s)
        self._decide(entry, decision)

    def _decide(self, entry: SimulatedEntry, decision: PlacementDecision) -> None:
        request_id = decision.request.request_id
        if isinstance(decision, Queued):
            self._tick_later(entry)
            return
        request = entry.waiting.pop(request_id)
        if isinstance(decision, Placed):
            self._send(entry, request, decision)
        elif isinstance(decision, Forward):
            self._pass_on(request, decision)
        else:
            self._refused(request, decision)

    def _pass_on(self, request: Request, decision: Forward) -> None:
        peer = self._entries[decision.member]
        submit = decision.request
        passed = Submit(
            request_id=submit.request_id,
            class_name=submit.class_name,
            deadline_s=submit.deadline_s,
            excluded=submit.excluded,
            forwarded=True,
        )
        self.clock.later(self.size.delay_s, lambda: self._submit(peer, request, passed))

    def _refused(self, request: Request, decision: Refused) -> None:
        if any(not job.cancelled for job, _, _ in request.jobs):
            return
        name = f"{request.class_name} {decision.reason.value}"
        self.outcome.refused[name] = self.outcome.refused.get(name, 0) + 1
        request.done = True

    def _send(self, entry: SimulatedEntry, request: Request, placed: Placed) -> None:
        sent_at_s = self.clock.now_s
        upstream = self.upstreams[placed.upstream.id]
        request_id = placed.request.request_id

        def answer(result: AttemptResult, report: LoadReport) -> None:
            self.clock.later(
                self.size.delay_s,
                lambda: self._ended(
                    entry, request, placed, job, result, report, sent_at_s
                ),
            )

        job = Job(answer=answer)
        request.jobs.append((job, entry, request_id))
        self.clock.later(self.size.delay_s, lambda: upstream.arrive(job))
        if not placed.request.extra:
            self._hedge_later(entry, request, placed)

    def _hedge_later(
        self, entry: SimulatedEntry, request: Request, placed: Placed
    ) -> None:
        after_s = entry.latencies.quantile_s(self.settings.hedge_quantile)
        if after_s is None:
            return

        def hedge() -> None:
            if request.done or request.plan is None:
                return
            submit = request.plan.hedge(upstream_id=placed.upstream.id)
            if submit is None:
                return
            decision = entry.balancer.submit(submit, now_s=self.clock.now_s)
            if isinstance(decision, Placed):
                self._send(entry, request, decision)
            else:
                entry.balancer.cancel(submit.request_id)
                request.plan.hedge_not_placed()
                self.clock.later(HEDGE_PAUSE_S, hedge)

        self.clock.later(after_s, hedge)

    def _ended(
        self,
        entry: SimulatedEntry,
        request: Request,
        placed: Placed,
        job: Job,
        result: AttemptResult,
        report: LoadReport,
        sent_at_s: float,
    ) -> None:
        if job.cancelled:
            return
        now_s = self.clock.now_s
        job.cancelled = True
        finished = Finished(
            request_id=placed.request.request_id,
            result=result,
            latency_s=now_s - sent_at_s,
            report=report,
        )
        if result is AttemptResult.ANSWERED:
            entry.latencies.add(finished.latency_s)
            self._served(request)
        else:
            self._failed(entry, request, placed, result)
        for decision in entry.balancer.finish(finished, now_s=now_s):
            self._decide(entry, decision)

    def _served(self, request: Request) -> None:
        now_s = self.clock.now_s
        for job, entry, request_id in request.jobs:
            if not job.cancelled:
                job.cancelled = True
                running = entry.balancer.in_flight_attempts[request_id]
                cancelled = Finished(
                    request_id=request_id,
                    result=AttemptResult.CANCELLED,
                    latency_s=now_s - running.started_at_s,
                )
                for decision in entry.balancer.finish(cancelled, now_s=now_s):
                    self._decide(entry, decision)
        if request.done or now_s > request.deadline_s:
            return
        request.done = True
        name = request.class_name
        self.outcome.served[name] = self.outcome.served.get(name, 0) + 1
        self.outcome.latencies_s.setdefault(name, []).append(now_s - request.sent_at_s)

    def _failed(
        self,
        entry: SimulatedEntry,
        request: Request,
        placed: Placed,
        result: AttemptResult,
    ) -> None:
        if request.done or request.plan is None:
            return
        if any(not job.cancelled for job, _, _ in request.jobs):
            request.plan.on_concurrent_failure(result)
            return
        following = request.plan.on_result(
            result, upstream_id=placed.upstream.id, now_s=self.clock.now_s
        )
        if isinstance(following, Retry):
            submit = following.submit
            self.clock.later(0.0, lambda: self._submit(entry, request, submit))
        else:
            name = f"{request.class_name} {following.reason.value}"
            self.outcome.refused[name] = self.outcome.refused.get(name, 0) + 1
            request.done = True

    def _tick_later(self, entry: SimulatedEntry) -> None:
        if entry.ticking:
            return
        entry.ticking = True
        self.clock.later(TICK_S, lambda: self._tick(entry))

    def _tick(self, entry: SimulatedEntry) -> None:
        entry.ticking = False
        for decision in entry.balancer.drain(now_s=self.clock.now_s):
            self._decide(entry, decision)
        if len(entry.balancer.queue):
            self._tick_later(entry)
