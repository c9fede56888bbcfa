"""Simulation of several entries that share the upstreams of a service.

Entries probe upstreams, place or queue requests, and get load from answers,
without a network. Time is simulated and all randomness is seeded.
"""

import heapq
import random
from collections.abc import Callable

from borageramp_core import AttemptResult, LoadReport
from borageramp_core.routing import AnswerKind, Route, WaitPolicy
from tests.lib.overload_model import Caller, Entry, Request, Tally, Upstream
from tests.lib.rate_limits import RateLimits
from tests.lib.routed import (
    make_cold,
    make_limited,
    make_pool,
    make_registration,
    make_work,
)

__all__ = ["Overload"]

PROBES = (3, 4)
PROBE_S = 0.002
STEP_S = 0.015
LATE_STEP_S = 0.06
RETURN_S = (0.1, 0.2)  # Delay after which a refused caller retries.
RECENT_S = 0.004  # Reports up to this age are not requested again.
SPREAD = 0.3
IDLE_S = 9.0  # Idle connections are closed after this time.
SLOW_PACE = 7.0
PACE_CHANGE_S = 0.5  # Interval after which other upstreams are slow.


class Overload:
    """A burst of requests to one service.

    Parameters
    ----------
    route : Route
        Their route.
    entries, upstreams, slots : int
        Size of the fleet, and slots of each upstream.
    work_s : float
        Time that a request takes on an idle upstream.
    rate_hz : float
        Requests a second.
    full_factor : float
        How much longer work takes on an upstream that is nearly full.
    length_s : float
        Length of the burst; two seconds at half the rate follow.
    seed : int
        Seed of all randomness.
    slow_share : float
        Share of the upstreams that are slow at any moment; which ones changes.
    returns : int
        Number of times a refused caller retries.
    calm_s : float
        Time before the burst, at a third of its rate.
    rate_limits : RateLimits, optional
        Rate limits that the upstreams name.
    """

    def __init__(
        self,
        *,
        route: Route,
        entries: int,
        upstreams: int,
        slots: int,
        work_s: float,
        rate_hz: float,
        length_s: float,
        seed: int,
        full_factor: float = 1.3,
        slow_share: float = 0.0,
        returns: int = 0,
        calm_s: float = 0.0,
        rate_limits: RateLimits | None = None,
    ) -> None:
        self._rate_limits = rate_limits or RateLimits()
        self._returns, self._calm_s = returns, calm_s
        self._seed, self._slow_share = seed, slow_share
        self._full_factor = full_factor
        # Slots short of all at which an upstream is nearly full.
        self._near = slots // 4
        self._rng = random.Random(seed)
        self._route = route
        self._work_s = work_s
        names = [f"u{i}" for i in range(upstreams)]
        self._upstreams = {n: Upstream(slots=slots) for n in names}
        self._entries = [
            Entry(
                name=f"e{i}",
                pool=make_pool(
                    *(make_registration(n, slots=slots) for n in names),
                    cold=make_cold(entries, own=i),
                    limited=make_limited(entries, own=i),
                    seed=seed * 1000 + i,
                    member=f"e{i}",
                ),
                work=make_work(route, work_s=work_s, spread=SPREAD),
            )
            for i in range(entries)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._now_s = 0.0
        self._tally = Tally()
        self._arrivals(rate_hz=rate_hz, length_s=length_s)

    def _at(self, time_s: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (time_s, self._count, act))

    def _arrivals(self, *, rate_hz: float, length_s: float) -> None:
        time_s = 0.0
        ends_s = self._calm_s + length_s
        while time_s < ends_s + 2.0:
            share = 1.0 / 3.0 if time_s < self._calm_s else 1.0
            time_s += self._rng.expovariate(
                share * rate_hz if time_s < ends_s else rate_hz / 2
            )
            self._at(time_s, self._arrive_first)

    def run(self) -> Tally:
        """Run until all requests have ended."""
        while self._events:
            self._now_s, _, act = heapq.heappop(self._events)
            act()
        return self._tally

    def _arrive_first(self) -> None:
        # Timeouts of callers vary by up to 15 %.
        patience_s = self._route.timeout_s * (1.0 - 0.15 * self._rng.random())
        deadline_s = self._now_s + patience_s
        caller = Caller(
            first_at_s=self._now_s, deadline_s=deadline_s, returns_left=self._returns
        )
        self._arrive(caller)

    def _arrive(self, caller: Caller) -> None:
        entry = self._rng.choice(self._entries)
        left_s = caller.deadline_s - self._now_s
        if not entry.queue:
            entry.deadlines.on_request(left_s)
        wait_policy = WaitPolicy.for_request(
            self._route,
            work=entry.work,
            arrived_at_s=self._now_s,
            deadline_s=caller.deadline_s,
            age_s=entry.deadlines.caller_age_s(left_s),
        )
        request = Request(entry=entry, wait_policy=wait_policy, caller=caller)
        entry.pool.shortlist.on_request(now_s=self._now_s)
        if self._is_behind(request):
            self._wait(request)
        else:
            self._ask(entry, request, lambda: self._try(request))

    def _is_behind(self, request: Request) -> bool:
        queue = request.entry.queue
        if request.wait_policy.is_late(now_s=self._now_s):
            return bool(queue) or request.entry.pool.is_full(now_s=self._now_s)
        return queue.has_ahead(rank=self._route.rank, now_s=self._now_s)

    def _ask(self, entry: Entry, request: Request, then: Callable[[], None]) -> None:
        """Probe upstreams as an entry does, then call ``then``."""
        self._ask_some(entry, request, list(PROBES), then)

    def _ask_some(
        self,
        entry: Entry,
        request: Request,
        counts: list[int],
        then: Callable[[], None],
    ) -> None:
        needed = request.wait_policy.requirements(
            excluded=frozenset(), now_s=self._now_s
        )
        if entry.pool.has_good(needed, now_s=self._now_s):
            then()
            return
        if len(counts) < len(PROBES):
            entry.pool.shortlist.widen(now_s=self._now_s)
        if not counts:
            then()
            return
        views = entry.pool.probe_targets(needed, count=counts[0], now_s=self._now_s)
        views = [v for v in views if v.report_age_s(now_s=self._now_s) > RECENT_S]

        for view in views:
            self._connect(entry, view.registration.id)
        sent_at_s = self._now_s

        def answered() -> None:
            for view in views:
                self._rate_limits.on_answer(
                    view,
                    entry=entry.name,
                    kind=AnswerKind.HEALTH_CHECK,
                    sent_at_s=sent_at_s,
                    now_s=self._now_s,
                )
                self._report(entry, view.registration.id)
                self._release(entry, view.registration.id)
            self._ask_some(entry, request, counts[1:], then)

        self._at(self._now_s + (PROBE_S if views else 0.0), answered)

    def _pace(self, name: str) -> float:
        """Return the current factor on an upstream's work time, 1.0 if normal."""
        if not self._slow_share:
            return 1.0
        change = int(self._now_s / PACE_CHANGE_S)
        draw = random.Random(f"{self._seed} {name} {change}").random()
        return SLOW_PACE if draw < self._slow_share else 1.0

    def _connect(self, entry: Entry, name: str) -> None:
        """Reuse an idle connection, or open one."""
        idle = self._upstreams[name].idle[entry.name]
        while idle:
            if idle.pop() >= self._now_s:
                return
        self._tally.connections += 1

    def _release(self, entry: Entry, name: str) -> None:
        self._upstreams[name].idle[entry.name].append(self._now_s + IDLE_S)

    def _report(self, entry: Entry, name: str) -> None:
        upstream = self._upstreams[name]
        report = LoadReport(
            in_flight=upstream.requests, slots=upstream.slots, pace=self._pace(name)
        )
        entry.pool.views[name].on_report(report, now_s=self._now_s)

    def _place(self, request: Request) -> bool:
        pool = request.entry.pool
        needed = request.wait_policy.requirements(
            excluded=frozenset(), now_s=self._now_s
        )
        chosen = pool.choose(needed, now_s=self._now_s, fresh_only=True)
        if chosen is None or not pool.start_request(chosen.view, now_s=self._now_s):
            if not request.wait_policy.is_late(now_s=self._now_s):
                pool.on_no_capacity(now_s=self._now_s)
            return False
        request.load_snapshot = chosen.view.load_snapshot(now_s=self._now_s)
        request.upstream = chosen.view.registration.id
        request.sent_at_s = self._now_s
        request.pace = chosen.view.pace
        self._connect(request.entry, request.upstream)
        self._rate_limits.on_arrival(
            request.upstream, entry=request.entry.name, now_s=self._now_s
        )
        upstream = self._upstreams[request.upstream]
        if upstream.running < upstream.slots:
            self._start(upstream, request)
        else:
            upstream.queue.append(request)
        return True

    def _start(self, upstream: Upstream, request: Request) -> None:
        upstream.running += 1
        work_s = self._work_s * self._rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        if upstream.running >= upstream.slots - self._near:
            work_s *= self._full_factor
        work_s *= self._pace(request.upstream)
        self._at(self._now_s + work_s, lambda: self._end(upstream, request))

    def _end(self, upstream: Upstream, request: Request) -> None:
        upstream.running -= 1
        if upstream.queue:
            self._start(upstream, upstream.queue.popleft())
        view = request.entry.pool.views[request.upstream]
        self._rate_limits.on_answer(
            view,
            entry=request.entry.name,
            kind=AnswerKind.REQUEST,
            sent_at_s=request.sent_at_s,
            now_s=self._now_s,
        )
        request.entry.pool.end_request(view, AttemptResult.ANSWERED, now_s=self._now_s)
        self._report(request.entry, request.upstream)
        self._release(request.entry, request.upstream)
        took_s = self._now_s - request.sent_at_s
        if request.load_snapshot is not None:
            work = request.entry.work
            request.entry.pool.record_latency(
                work, took_s, pace=request.pace, load=request.load_snapshot
            )
        if self._now_s <= request.caller.first_at_s + self._route.objective_s:
            self._tally.in_time += 1
        else:
            self._tally.late += 1

    def _try(self, request: Request) -> None:
        if not self._place(request):
            self._wait(request)

    def _may_wait(self, request: Request) -> bool:
        policy, entry = request.wait_policy, request.entry
        return self._now_s < policy.wait_until_s and entry.pool.can_serve(
            policy.requirements(excluded=frozenset(), now_s=self._now_s),
            max_wait_s=policy.in_time_wait_s(now_s=self._now_s),
            queued=0 if request.queued else len(entry.queue),
            now_s=self._now_s,
        )

    def _wait(self, request: Request) -> None:
        if not self._may_wait(request):
            held_s = self._now_s - request.wait_policy.arrived_at_s
            self._tally.longest_hold_s = max(self._tally.longest_hold_s, held_s)
            self._refuse(request.caller)
            return
        entry = request.entry
        request.queued = True
        entry.queue.push(
            request,
            rank=self._route.rank,
            latest_start_s=request.wait_policy.latest_start_s,
        )
        if not entry.steps:
            entry.steps = True
            self._step_later(entry)

    def _refuse(self, caller: Caller) -> None:
        back_at_s = self._now_s + self._rng.uniform(*RETURN_S)
        if caller.returns_left and back_at_s < caller.deadline_s:
            caller.returns_left -= 1
            self._at(back_at_s, lambda: self._arrive(caller))
        else:
            self._tally.refused += 1

    def _step_later(self, entry: Entry) -> None:
        pause_s = STEP_S * (0.5 + self._rng.random())
        self._at(self._now_s + pause_s, lambda: self._step(entry))

    def _step(self, entry: Entry) -> None:
        waiting = entry.queue.pop_all(now_s=self._now_s)
        if not waiting:
            entry.steps = False
            return
        self._ask(entry, waiting[0], lambda: self._round(entry, waiting))

    def _round(self, entry: Entry, waiting: list[Request]) -> None:
        misses = 0
        late_may_look = self._now_s - entry.late_looked_at_s >= LATE_STEP_S
        for request in waiting:
            late = request.wait_policy.is_late(now_s=self._now_s)
            looks = misses < 2 and (late_may_look or not late)
            if looks and late:
                entry.late_looked_at_s = self._now_s
            placed = looks and self._place(request)
            misses += looks and not placed
            if not placed:
                self._wait(request)
        self._step_later(entry)
