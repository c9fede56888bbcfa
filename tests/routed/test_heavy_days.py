"""Placement and queueing under difficult load patterns, without a network.

Each test covers the load pattern that its name describes.
"""

import heapq
import random

from borageramp_core import AttemptResult
from borageramp_core.routing import AdmissionQueue, ServicePool, WaitPolicy
from tests.lib.routed import (
    make_pool,
    make_registration,
    make_report,
    make_requirements,
    make_route,
    make_work,
)

UPSTREAMS = 16
SLOW_PACE = 7.0


class _Fleet:
    """Upstreams whose pace changes at random, and an entry that probes them."""

    def __init__(self, *, slow_share: float, change_s: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._slow_share = slow_share
        self._change_s = change_s
        names = [f"u{i}" for i in range(UPSTREAMS)]
        self.pool: ServicePool = make_pool(*(make_registration(n) for n in names))
        self._pace = {n: self._draw() for n in names}
        self._changes_at_s = {n: self._rng.random() * change_s for n in names}

    def _draw(self) -> float:
        return SLOW_PACE if self._rng.random() < self._slow_share else 1.0

    def pace(self, name: str, *, now_s: float) -> float:
        while self._changes_at_s[name] <= now_s:
            self._changes_at_s[name] += self._change_s
            self._pace[name] = self._draw()
        return self._pace[name]

    def place(self, *, probes: tuple[int, ...], now_s: float) -> float:
        """Place a request as an entry does; return the upstream's pace."""
        requirements = make_requirements()
        self.pool.shortlist.on_request(now_s=now_s)
        for count in probes:
            if self.pool.has_good(requirements, now_s=now_s):
                break
            for view in self.pool.probe_targets(requirements, count=count, now_s=now_s):
                pace = self.pace(view.registration.id, now_s=now_s)
                view.on_report(make_report(pace=pace), now_s=now_s)
        chosen = self.pool.choose(requirements, now_s=now_s, fresh_only=True)
        assert chosen is not None
        return self.pace(chosen.view.registration.id, now_s=now_s)


def test_a_quarter_of_the_upstreams_slow_at_any_moment() -> None:
    fleet = _Fleet(slow_share=0.25, change_s=0.5, seed=1)
    paces = [fleet.place(probes=(3, 4), now_s=i * 0.05) for i in range(2000)]
    assert sum(p > 1.0 for p in paces) / len(paces) < 0.01


def test_half_of_the_upstreams_slow_at_any_moment() -> None:
    fleet = _Fleet(slow_share=0.5, change_s=0.5, seed=1)
    paces = [fleet.place(probes=(3, 4), now_s=i * 0.05) for i in range(2000)]
    # Seven random upstreams are all slow in one of 128 cases.
    assert sum(p > 1.0 for p in paces) / len(paces) < 0.5**7


def test_more_requests_than_slots_leave_short_queues_at_upstreams() -> None:
    """Of a burst of 40 requests for 16 slots, the rest waits at the entry."""
    pool = make_pool(*(make_registration(f"u{i}", slots=4) for i in range(4)))
    route = make_route(objective_s=0.3, rank=2)
    wait_policy = WaitPolicy.for_request(
        route,
        work=make_work(route, work_s=0.1),
        arrived_at_s=0.0,
        deadline_s=2.0,
    )
    placed = 0
    for _ in range(40):
        requirements = wait_policy.requirements(excluded=frozenset(), now_s=0.0)
        for view in pool.probe_targets(requirements, count=3, now_s=0.0):
            report = make_report(view.load.in_flight)
            view.on_report(report, now_s=0.0)
        chosen = pool.choose(requirements, now_s=0.0, fresh_only=True)
        if chosen is not None:
            assert pool.start_request(chosen.view, now_s=0.0)
            assert chosen.expected_s <= 0.3
            placed += 1
    assert 16 <= placed <= 24


def test_all_upstreams_shed_half_of_the_requests() -> None:
    """Shed requests neither eject an upstream nor make its answers look late."""
    pool = make_pool(*(make_registration(f"u{i}") for i in range(4)))
    rng = random.Random(1)
    for i in range(200):
        requirements = make_requirements(max_response_s=0.25)
        for view in pool.probe_targets(requirements, count=3, now_s=i * 0.01):
            view.on_report(make_report(), now_s=i * 0.01)
        chosen = pool.choose(requirements, now_s=i * 0.01, fresh_only=True)
        assert chosen is not None
        pool.start_request(chosen.view, now_s=i * 0.01)
        result = AttemptResult.SHED if rng.random() < 0.55 else AttemptResult.ANSWERED
        assert not pool.end_request(chosen.view, result, now_s=i * 0.01)


def simulate_queue(*, overload: float, seed: int) -> float:
    """Return the share in time of 4 s of requests that queue for 18 slots."""
    slots, work_s, objective_s = 18, 0.12, 0.3
    rng = random.Random(seed)
    route = make_route(objective_s=objective_s, rank=1)
    work = make_work(route, work_s=work_s, spread=0.3)
    arrivals: list[float] = []
    at_s = 0.0
    while at_s < 4.0:
        at_s += rng.expovariate(overload * slots / work_s)
        arrivals.append(at_s)
    events = [(arrived_at_s, 0, arrived_at_s) for arrived_at_s in arrivals]
    heapq.heapify(events)
    queue: AdmissionQueue[float] = AdmissionQueue()
    free, in_time = slots, 0
    while events:
        now_s, ended, arrived_at_s = heapq.heappop(events)
        if ended:
            free += 1
            in_time += now_s <= arrived_at_s + objective_s
        else:
            wait_policy = WaitPolicy.for_request(
                route, work=work, arrived_at_s=now_s, deadline_s=now_s + 2.5
            )
            queue.push(arrived_at_s, rank=1, latest_start_s=wait_policy.latest_start_s)
        waiting = queue.pop_all(now_s=now_s)
        for arrived_at_s in waiting[:free]:
            ends_at_s = now_s + rng.lognormvariate(-0.045, 0.3) * work_s
            heapq.heappush(events, (ends_at_s, 1, arrived_at_s))
        for arrived_at_s in waiting[free:]:
            latest_start_s = (
                arrived_at_s + wait_policy.latest_start_s - wait_policy.arrived_at_s
            )
            queue.push(arrived_at_s, rank=1, latest_start_s=latest_start_s)
        free -= min(free, len(waiting))
    return in_time / len(arrivals)


def test_a_tenth_more_work_than_slots_for_seconds() -> None:
    """Most requests are in time; in order of arrival, three in five were late."""
    for seed in range(5):
        assert simulate_queue(overload=1.1, seed=seed) > 0.8


def test_a_third_more_work_than_slots_for_seconds() -> None:
    """At this load not all can be in time; in order of arrival, nearly none was."""
    for seed in range(5):
        assert simulate_queue(overload=1.3, seed=seed) > 0.6
