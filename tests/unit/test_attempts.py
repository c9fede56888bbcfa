"""Retries, hedges and verdicts of one request."""

from borageramp_core import (
    AttemptPlan,
    AttemptResult,
    GiveUp,
    RatioBudget,
    Retry,
    ServicePolicy,
)
from tests.lib.builders import make_submit


def test_hedge_that_found_no_room_costs_nothing() -> None:
    policy = ServicePolicy(hedge_ratio=1.0, max_attempts=2)
    hedges = RatioBudget(ratio=1.0)
    plan = AttemptPlan(
        first=make_submit(),
        policy=policy,
        retries=RatioBudget(ratio=0.0),
        hedges=hedges,
    )
    for _ in range(3):
        assert plan.hedge(upstream_id="u1") is not None
        plan.hedge_not_placed()
    assert hedges.spent == 0


def test_retry_keeps_off_upstreams_that_failed_at_the_peer_before() -> None:
    plan = AttemptPlan(
        first=make_submit(excluded=frozenset({"u1"})),
        policy=ServicePolicy(),
        retries=RatioBudget(ratio=1.0),
        hedges=RatioBudget(ratio=0.0),
    )
    following = plan.on_result(AttemptResult.DIED, upstream_id="u2", now_s=0.0)
    assert isinstance(following, Retry)
    assert following.submit.excluded == {"u1", "u2"}


def test_retry_follows_only_what_did_not_run_unless_idempotent() -> None:
    for idempotent in (True, False):
        for result in AttemptResult:
            plan = AttemptPlan(
                first=make_submit(),
                policy=ServicePolicy(idempotent=idempotent),
                retries=RatioBudget(ratio=1.0),
                hedges=RatioBudget(ratio=0.0),
            )
            following = plan.on_result(result, upstream_id="u1", now_s=0.0)
            retried = isinstance(following, Retry)
            if not idempotent and retried:
                assert result in (AttemptResult.SHED, AttemptResult.UNREACHABLE)
            if isinstance(following, GiveUp):
                assert following.verdict is result.verdict
