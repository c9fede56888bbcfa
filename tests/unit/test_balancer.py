"""Where a request goes, whether it waits, and when it is given up."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from borageramp_core import (
    AttemptResult,
    Balancer,
    Finished,
    Forward,
    Lifecycle,
    Placed,
    Queued,
    Reason,
    Refused,
    Suspects,
    WarmUp,
    rendezvous_owner,
)
from tests.lib.builders import (
    make_balancer,
    make_report,
    make_service,
    make_snapshot,
    make_submit,
    make_upstream,
)


def finish(
    balancer: Balancer, request_id: str, result: AttemptResult, now_s: float = 0.0
) -> list:
    finished = Finished(request_id=request_id, result=result, latency_s=0.01)
    return balancer.finish(finished, now_s=now_s)


def test_request_is_placed() -> None:
    balancer = make_balancer(make_service(make_upstream()))
    decision = balancer.submit(make_submit(), now_s=0.0)
    assert isinstance(decision, Placed)
    assert decision.upstream.name == "u1"


def test_slots_are_not_exceeded_and_waiting_requests_follow() -> None:
    balancer = make_balancer(make_service(make_upstream(slots=2)))
    decisions = [balancer.submit(make_submit(f"r{i}"), now_s=0.0) for i in range(4)]
    kinds = [type(d) for d in decisions]
    assert kinds == [Placed, Placed, Queued, Queued]
    following = finish(balancer, "r0", AttemptResult.ANSWERED)
    assert [d.request.request_id for d in following] == ["r2"]


@pytest.mark.parametrize("where", ["data centre", "upstream"])
def test_what_is_out_gets_nothing(where: str) -> None:
    upstream = make_upstream()
    balancer = make_balancer(
        make_service(upstream), out=("north",) if where == "data centre" else ()
    )
    if where == "upstream":
        service = make_service(make_upstream(state=Lifecycle.OUT))
        balancer.apply(service, make_snapshot(service))
    decision = balancer.submit(make_submit(), now_s=0.0)
    assert isinstance(decision, Refused)
    assert decision.reason is Reason.NO_UPSTREAM


def test_waiting_requests_do_not_go_to_what_is_taken_out() -> None:
    service = make_service(make_upstream(slots=2))
    balancer = make_balancer(service)
    for i in range(3):
        balancer.submit(make_submit(f"r{i}"), now_s=0.0)
    balancer.apply(service, make_snapshot(service, out=("north",)))
    decisions = balancer.drain(now_s=0.1)
    assert [type(d) for d in decisions] == [Refused]


def test_upstream_removed_and_added_again_keeps_count() -> None:
    upstream = make_upstream(slots=2)
    service, empty = make_service(upstream), make_service()
    balancer = make_balancer(service)
    balancer.submit(make_submit("r0"), now_s=0.0)
    balancer.apply(empty, make_snapshot(empty))
    balancer.apply(service, make_snapshot(service))
    assert balancer.loads[upstream.id].in_flight == 1
    finish(balancer, "r0", AttemptResult.ANSWERED)
    assert balancer.loads[upstream.id].in_flight == 0


def test_leaving_upstream_gets_nothing() -> None:
    upstream = make_upstream()
    balancer = make_balancer(make_service(upstream))
    balancer.on_report(upstream, make_report(leaving=True), now_s=0.0)
    assert isinstance(balancer.submit(make_submit(), now_s=0.0), Refused)


def test_request_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    balancer = make_balancer(make_service(make_upstream(slots=2)))
    balancer.latency_s = 1.0
    for i in range(2):
        balancer.submit(make_submit(f"r{i}"), now_s=0.0)
    decision = balancer.submit(make_submit("late", deadline_s=0.5), now_s=0.0)
    assert isinstance(decision, Refused)
    assert decision.reason is Reason.DEADLINE_UNREACHABLE
    assert decision.retry_after_s > 0


def test_waiting_request_is_given_up_at_its_deadline() -> None:
    balancer = make_balancer(make_service(make_upstream(slots=2)))
    for i in range(3):
        balancer.submit(make_submit(f"r{i}", deadline_s=1.0), now_s=0.0)
    given_up = balancer.drain(now_s=1.0)
    assert [d.reason for d in given_up if isinstance(d, Refused)] == [
        Reason.DEADLINE_PASSED
    ]


def test_full_queue_refuses() -> None:
    balancer = make_balancer(make_service(make_upstream(slots=2), queue_limit=1))
    decisions = [balancer.submit(make_submit(f"r{i}"), now_s=0.0) for i in range(4)]
    assert isinstance(decisions[-1], Refused)
    assert decisions[-1].reason is Reason.OVERLOADED


def test_urgent_goes_first_and_others_are_not_starved() -> None:
    balancer = make_balancer(make_service(make_upstream(slots=2)))
    for i in range(2):
        balancer.submit(make_submit(f"r{i}"), now_s=0.0)
    for i in range(20):
        balancer.submit(make_submit(f"n{i}", class_name="normal"), now_s=0.0)
        balancer.submit(make_submit(f"u{i}", class_name="urgent"), now_s=0.0)
    order = []
    done = "r0"
    while following := finish(balancer, done, AttemptResult.ANSWERED):
        done = following[0].request.request_id
        order.append(done)
    assert sum(1 for name in order[:20] if name.startswith("u")) >= 17
    assert any(name.startswith("n") for name in order[:12])


def test_upstream_that_fails_fast_is_ejected_and_tried_again() -> None:
    upstreams = [make_upstream(f"u{i}", eject_s=5.0) for i in range(3)]
    balancer = make_balancer(make_service(*upstreams))
    placed = 0
    for i in range(60):
        decision = balancer.submit(make_submit(f"r{i}"), now_s=0.0)
        assert isinstance(decision, Placed)
        bad = decision.upstream.name == "u0"
        placed += bad
        finish(
            balancer, f"r{i}", AttemptResult.ERROR if bad else AttemptResult.ANSWERED
        )
    assert placed == 3
    assert [(r.kind, r.upstream) for r in balancer.pop_repairs()] == [
        ("ejection", "records/u0")
    ]
    later = [balancer.submit(make_submit(f"l{i}"), now_s=6.0) for i in range(3)]
    assert "u0" in {d.upstream.name for d in later if isinstance(d, Placed)}


def test_ejection_has_a_ceiling() -> None:
    upstreams = [make_upstream(f"u{i}") for i in range(3)]
    balancer = make_balancer(make_service(*upstreams))
    for i in range(60):
        if isinstance(balancer.submit(make_submit(f"r{i}"), now_s=0.0), Placed):
            finish(balancer, f"r{i}", AttemptResult.ERROR)
    ejected = [u for u in upstreams if balancer.outliers.is_ejected(u.id, now_s=0.0)]
    assert len(ejected) == 1


def test_shedding_upstream_pauses_longer_each_time() -> None:
    balancer = make_balancer(make_service(make_upstream()))
    now_s, pauses = 0.0, []
    for i in range(4):
        while not isinstance(
            balancer.submit(make_submit(f"r{i}"), now_s=now_s), Placed
        ):
            balancer.cancel(f"r{i}")
            now_s += 0.001
        pauses.append(now_s)
        finish(balancer, f"r{i}", AttemptResult.SHED, now_s=now_s)
    gaps = [b - a for a, b in zip(pauses, pauses[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[-1] > 2 * gaps[0]


def test_cold_upstream_is_left_to_its_owner() -> None:
    members = ("e1", "e2", "e3")
    upstream = make_upstream(warmup_s=10.0)
    owner = rendezvous_owner(members, upstream.id)
    assert owner is not None
    for member in members:
        balancer = make_balancer(make_service(upstream), members=members, member=member)
        decision = balancer.submit(make_submit(), now_s=0.0)
        if member == owner:
            assert isinstance(decision, Placed)
        else:
            assert isinstance(decision, Forward)
            assert decision.member == owner


def test_passed_on_request_is_not_passed_on_again() -> None:
    members = ("e1", "e2")
    upstream = make_upstream(warmup_s=10.0)
    owner = rendezvous_owner(members, upstream.id)
    other = next(m for m in members if m != owner)
    balancer = make_balancer(make_service(upstream), members=members, member=other)
    decision = balancer.submit(make_submit(forwarded=True), now_s=0.0)
    assert isinstance(decision, Refused)


def test_new_owner_waits() -> None:
    balancer = make_balancer(make_service(make_upstream(warmup_s=10.0)), settle_s=4.0)
    assert isinstance(balancer.submit(make_submit("a"), now_s=0.0), Queued)
    decisions = balancer.drain(now_s=4.0)
    assert [type(d) for d in decisions] == [Placed]


def test_unannounced_restart_makes_an_upstream_cold() -> None:
    upstream = make_upstream(warmup_s=10.0)
    warmup = WarmUp()
    warmup.merge_warm(upstream.id, start_id="a", age_s=0.0, now_s=0.0)
    balancer = make_balancer(make_service(upstream), warmup=warmup)
    for name, start_id in (("r1", "a"), ("r2", "b")):
        assert isinstance(balancer.submit(make_submit(name), now_s=1.0), Placed)
        report = make_report(1, start_id=start_id)
        balancer.finish(
            Finished(
                request_id=name,
                result=AttemptResult.ANSWERED,
                latency_s=0.01,
                report=report,
            ),
            now_s=1.0,
        )
    assert not warmup.is_warm(upstream.id)
    kinds = [type(balancer.submit(make_submit(f"c{i}"), now_s=1.0)) for i in range(2)]
    assert kinds == [Placed, Queued]


def test_condemned_request_is_refused() -> None:
    suspects = Suspects()
    for start in ("u1@a", "u2@b"):
        suspects.on_crash(["bad"], upstream=start, now_s=0.0)
    balancer = make_balancer(make_service(make_upstream()), suspects=suspects)
    decision = balancer.submit(make_submit(fingerprint="bad"), now_s=0.0)
    assert isinstance(decision, Refused)
    assert decision.reason is Reason.CRASHES_UPSTREAMS


def test_suspects_run_one_at_a_time_on_an_upstream() -> None:
    suspects = Suspects()
    suspects.on_crash(["s1", "s2"], upstream="u9@a", now_s=0.0)
    balancer = make_balancer(make_service(make_upstream()), suspects=suspects)
    kinds = [
        type(balancer.submit(make_submit(n, fingerprint=n), now_s=0.0))
        for n in ("s1", "s2")
    ]
    assert kinds == [Placed, Queued]


class Fleet(RuleBasedStateMachine):
    """Three entries and cold upstreams, with views of members that differ."""

    MEMBERS = ("e1", "e2", "e3")
    SETTLE_S = 4.0
    # Views agree again within this, or the entry has stopped serving.
    LAG_S = 3.0

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.changed_at_s: dict[str, float] = {}
        self.rng = random.Random(1)
        self.upstreams = [
            make_upstream(f"u{i}", warmup_s=10.0, slots=4) for i in range(3)
        ]
        service = make_service(*self.upstreams)
        self.members = set(self.MEMBERS)
        self.balancers = {
            m: make_balancer(
                service, members=self.MEMBERS, member=m, settle_s=self.SETTLE_S
            )
            for m in self.MEMBERS
        }
        self.lagging: dict[str, float] = {}
        self.count = 0

    @rule(member=st.sampled_from(MEMBERS), forwarded=st.booleans())
    def request(self, member: str, forwarded: bool) -> None:
        self.catch_up()
        self.count += 1
        submit = make_submit(
            f"r{self.count}", deadline_s=self.now_s + 5.0, forwarded=forwarded
        )
        self.balancers[member].submit(submit, now_s=self.now_s)

    @rule(member=st.sampled_from(MEMBERS), pick=st.integers(0, 100))
    def answer(self, member: str, pick: int) -> None:
        self.catch_up()
        balancer = self.balancers[member]
        running = sorted(balancer.in_flight_attempts)
        if running:
            request_id = running[pick % len(running)]
            finish(balancer, request_id, AttemptResult.ANSWERED, self.now_s)

    @rule(seconds=st.floats(0.01, 5.0))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        # A request lasts no longer than its deadline.
        for balancer in self.balancers.values():
            for name, running in list(balancer.in_flight_attempts.items()):
                if running.request.deadline_s <= self.now_s:
                    finish(balancer, name, AttemptResult.TIMED_OUT, self.now_s)
        self.catch_up()

    @rule(member=st.sampled_from(MEMBERS))
    def change_members(self, member: str) -> None:
        """Let a member go or come; the others see it at once or late."""
        if self.lagging:
            return
        self.members ^= {member}
        for other in self.MEMBERS:
            self.lagging[other] = self.now_s + self.rng.uniform(0.0, self.LAG_S)
        self.catch_up()

    def catch_up(self) -> None:
        for member, at_s in list(self.lagging.items()):
            if at_s <= self.now_s:
                ownership = self.balancers[member].eligibility._ownership
                ownership.update(self.members, now_s=at_s)
                del self.lagging[member]

    @invariant()
    def cold_upstreams_bear_it(self) -> None:
        for upstream in self.upstreams:
            sent = {
                m: [
                    r
                    for r in b.in_flight_attempts.values()
                    if r.upstream.id == upstream.id
                ]
                for m, b in self.balancers.items()
            }
            allowed = max(
                b.eligibility._warmup.allowance(upstream, now_s=self.now_s)
                for b in self.balancers.values()
            )
            fresh = [
                r
                for runs in sent.values()
                for r in runs
                if r.started_at_s > self.now_s - self.SETTLE_S + self.LAG_S
            ]
            assert len(fresh) <= allowed


TestFleet = Fleet.TestCase


def test_urgent_request_rather_waits_than_goes_to_a_slow_upstream() -> None:
    upstreams = [make_upstream(f"u{i}", slots=1) for i in range(4)]
    balancer = make_balancer(make_service(*upstreams))
    for upstream in upstreams:
        latency_s = 1.0 if upstream.name == "u0" else 0.01
        balancer.loads[upstream.id].on_latency(latency_s, now_s=0.0)
    kinds = {}
    for i in range(4):
        decision = balancer.submit(make_submit(f"r{i}", class_name="urgent"), now_s=0.0)
        kinds[f"r{i}"] = type(decision)
        if isinstance(decision, Placed):
            assert decision.upstream.name != "u0"
    assert list(kinds.values()) == [Placed, Placed, Placed, Queued]
    normal = balancer.submit(make_submit("n"), now_s=0.0)
    assert isinstance(normal, (Placed, Queued))
