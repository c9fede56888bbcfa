"""What a broken connection says of an upstream."""

from borageramp_core import AttemptResult, Balancer, Finished, Placed, WarmUp
from tests.lib.builders import (
    make_balancer,
    make_report,
    make_service,
    make_submit,
    make_upstream,
)

UPSTREAM = "records/u1"
WARMUP_S = 5.0


def make_warm(start_id: str = "first") -> tuple[Balancer, WarmUp]:
    """Return the balancer of an upstream that is warm."""
    warmup = WarmUp()
    warmup.merge_warm(UPSTREAM, start_id=start_id, age_s=0.0, now_s=0.0)
    service = make_service(make_upstream(warmup_s=WARMUP_S))
    return make_balancer(service, warmup=warmup), warmup


def run_one(
    balancer: Balancer,
    result: AttemptResult,
    *,
    start_id: str = "",
    sent_at_s: float,
    ended_at_s: float,
) -> None:
    request_id = f"{result} {sent_at_s}"
    placed = balancer.submit(make_submit(request_id), now_s=sent_at_s)
    assert isinstance(placed, Placed)
    report = make_report(start_id=start_id) if start_id else None
    finished = Finished(
        request_id=request_id, result=result, latency_s=0.01, report=report
    )
    balancer.finish(finished, now_s=ended_at_s)


def test_cut_answer_leaves_an_upstream_cold_only_until_its_next_answer() -> None:
    balancer, warmup = make_warm()
    run_one(balancer, AttemptResult.DIED, sent_at_s=1.0, ended_at_s=1.1)
    assert not warmup.is_warm(UPSTREAM)
    run_one(
        balancer,
        AttemptResult.ANSWERED,
        start_id="first",
        sent_at_s=1.2,
        ended_at_s=1.3,
    )
    assert warmup.is_warm(UPSTREAM)
    assert [r.kind for r in balancer.pop_repairs()] == ["warm-up", "warm again"]


def test_answer_of_a_new_start_keeps_it_cold() -> None:
    balancer, warmup = make_warm()
    run_one(balancer, AttemptResult.DIED, sent_at_s=1.0, ended_at_s=1.1)
    for number in range(3):
        at_s = 1.2 + 0.1 * number
        run_one(
            balancer,
            AttemptResult.ANSWERED,
            start_id="second",
            sent_at_s=at_s,
            ended_at_s=at_s + 0.05,
        )
    assert not warmup.is_warm(UPSTREAM)


def test_answer_from_before_the_break_proves_nothing() -> None:
    balancer, warmup = make_warm()
    early = balancer.submit(make_submit("early"), now_s=0.9)
    assert isinstance(early, Placed)
    run_one(balancer, AttemptResult.DIED, sent_at_s=1.0, ended_at_s=1.1)
    finished = Finished(
        request_id="early",
        result=AttemptResult.ANSWERED,
        latency_s=0.2,
        report=make_report(start_id="first"),
    )
    balancer.finish(finished, now_s=1.11)
    assert not warmup.is_warm(UPSTREAM)


def test_upstream_that_names_no_start_warms_up_in_full() -> None:
    balancer, warmup = make_warm(start_id="")
    run_one(balancer, AttemptResult.DIED, sent_at_s=1.0, ended_at_s=1.1)
    run_one(balancer, AttemptResult.ANSWERED, sent_at_s=1.2, ended_at_s=1.3)
    assert not warmup.is_warm(UPSTREAM)


def test_doubt_that_only_time_ended_is_reported_once_at_most() -> None:
    balancer, warmup = make_warm()
    run_one(balancer, AttemptResult.DIED, sent_at_s=1.0, ended_at_s=1.1)
    for number in range(30):
        at_s = 1.2 + 0.4 * number
        run_one(
            balancer, AttemptResult.ANSWERED, sent_at_s=at_s, ended_at_s=at_s + 0.05
        )
    assert warmup.is_warm(UPSTREAM) and not warmup.is_unverified(UPSTREAM)
    assert [r.kind for r in balancer.pop_repairs()] == ["warm-up"]


def test_peers_hear_of_the_doubt_and_of_its_end() -> None:
    peer = WarmUp()
    peer.merge_warm(UPSTREAM, start_id="first", age_s=0.0, now_s=0.0)
    assert peer.merge_cold(
        UPSTREAM, start_id="first", age_s=0.0, now_s=1.0, unverified=True
    )
    assert peer.is_unverified(UPSTREAM)
    assert peer.merge_warm(UPSTREAM, start_id="first", age_s=0.0, now_s=2.0)
    assert peer.is_warm(UPSTREAM) and not peer.is_unverified(UPSTREAM)


def test_doubt_of_an_older_start_is_no_news() -> None:
    peer = WarmUp()
    peer.merge_warm(UPSTREAM, start_id="second", age_s=0.0, now_s=0.0)
    assert not peer.merge_cold(
        UPSTREAM, start_id="first", age_s=0.0, now_s=1.0, unverified=True
    )
    assert peer.is_warm(UPSTREAM)


def make_owner_of_slow_cold_one() -> Balancer:
    """Return the balancer of four upstreams, of which u0 is cold and looks slow."""
    upstreams = [make_upstream(f"u{i}", warmup_s=WARMUP_S) for i in range(4)]
    warmup = WarmUp()
    for upstream in upstreams[1:]:
        warmup.merge_warm(upstream.id, start_id="first", age_s=0.0, now_s=0.0)
    balancer = make_balancer(make_service(*upstreams), warmup=warmup)
    for upstream in upstreams:
        slow_s = 0.5 if upstream is upstreams[0] else 0.01
        balancer.loads[upstream.id].on_latency(slow_s, now_s=0.0)
    return balancer


def test_owner_gives_some_work_to_a_cold_upstream_though_it_looks_slow() -> None:
    balancer = make_owner_of_slow_cold_one()
    names = []
    for number in range(40):
        # One after another: the cold upstream always has room.
        placed = balancer.submit(make_submit(f"r{number}"), now_s=0.1)
        assert isinstance(placed, Placed)
        names.append(placed.upstream.name)
        finish = Finished(
            request_id=f"r{number}", result=AttemptResult.CANCELLED, latency_s=0.001
        )
        balancer.finish(finish, now_s=0.1)
    assert 1 <= names.count("u0") <= len(names) / 2


def test_retries_and_hedges_do_not_prefer_a_cold_upstream() -> None:
    balancer = make_owner_of_slow_cold_one()
    placed = balancer.submit(make_submit("r#2", extra=True), now_s=0.1)
    assert isinstance(placed, Placed)
    assert placed.upstream.name != "u0"
