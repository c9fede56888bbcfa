"""What urgent requests get that others don't."""

import pytest

from borageramp_core import (
    AttemptPlan,
    AttemptResult,
    Balancer,
    Finished,
    GiveUp,
    Placed,
    Queued,
    RatioBudget,
    Reason,
    Refused,
    Retry,
    ServicePolicy,
)
from tests.lib.builders import (
    make_balancer,
    make_report,
    make_service,
    make_submit,
    make_upstream,
)

MEMBERS = ("me", "b", "c", "d")


def make_plan(*, class_name: str = "normal", idempotent: bool = True) -> AttemptPlan:
    """Return the tries of a request for which no retry budget is left."""
    return AttemptPlan(
        first=make_submit(class_name=class_name, deadline_s=10.0),
        policy=ServicePolicy(idempotent=idempotent),
        retries=RatioBudget(ratio=0.0),
        hedges=RatioBudget(ratio=0.0),
    )


def test_urgent_request_goes_past_the_limit_that_others_fill() -> None:
    upstreams = [make_upstream(f"u{i}") for i in range(4)]
    balancer = make_balancer(make_service(*upstreams), members=MEMBERS)
    numbers = iter(range(1000))
    while isinstance(
        balancer.submit(make_submit(f"n{next(numbers)}"), now_s=0.0), Placed
    ):
        pass
    kinds = [
        type(balancer.submit(make_submit(f"u{i}", class_name="urgent"), now_s=0.0))
        for i in range(len(upstreams) * upstreams[0].slots)
    ]
    assert kinds[0] is Placed
    assert kinds[-1] is Queued


@pytest.mark.parametrize(
    ("class_name", "idempotent", "waits"),
    [("urgent", True, True), ("normal", False, True), ("normal", True, False)],
)
def test_shed_request_that_may_wait_is_tried_again_until_its_deadline(
    class_name: str, idempotent: bool, waits: bool
) -> None:
    plan = make_plan(class_name=class_name, idempotent=idempotent)
    for now_s in range(9):
        following = plan.on_result(
            AttemptResult.SHED, upstream_id="u1", now_s=float(now_s)
        )
        assert isinstance(following, Retry) is waits
    late = plan.on_result(AttemptResult.SHED, upstream_id="u1", now_s=10.0)
    assert isinstance(late, GiveUp)


def test_shed_request_waits_while_its_upstream_has_a_pause() -> None:
    balancer = make_balancer(make_service(make_upstream()))
    plan = make_plan(class_name="urgent")
    balancer.submit(make_submit("r1", class_name="urgent"), now_s=0.0)
    shed = Finished(
        request_id="r1",
        result=AttemptResult.SHED,
        latency_s=0.001,
        report=make_report(6),
    )
    balancer.finish(shed, now_s=0.001)
    again = plan.on_result(AttemptResult.SHED, upstream_id="records/u1", now_s=0.001)
    assert isinstance(again, Retry)
    assert isinstance(balancer.submit(again.submit, now_s=0.001), Queued)
    later = balancer.drain(now_s=0.1)
    assert [type(d) for d in later] == [Placed]


def fill_queue(limit: int) -> Balancer:
    """Return a balancer whose queue is full of requests of a light class."""
    service = make_service(
        make_upstream(slots=1),
        queue_limit=limit,
        class_weights={"urgent": 100, "normal": 10},
        urgent_classes=("urgent",),
    )
    balancer = make_balancer(service)
    waiting: list[str] = []
    for number in range(1000):
        decision = balancer.submit(make_submit(f"n{number}"), now_s=0.0)
        if isinstance(decision, Queued):
            waiting.append(decision.request.request_id)
        if len(waiting) == limit:
            return balancer
    raise AssertionError("the queue did not fill")


def test_full_queue_makes_room_for_an_urgent_request() -> None:
    balancer = fill_queue(2)
    newest = list(balancer.queue)[-1].request_id
    urgent = balancer.submit(make_submit("u", class_name="urgent"), now_s=0.0)
    assert isinstance(urgent, Queued)
    refused = [d for d in balancer.drain(now_s=0.0) if isinstance(d, Refused)]
    assert [r.request.request_id for r in refused] == [newest]
    assert refused[0].reason is Reason.OVERLOADED
    assert refused[0].retry_after_s > 0.0
    assert len(balancer.queue) == 2


def test_full_queue_makes_no_room_for_an_equal() -> None:
    balancer = fill_queue(2)
    decision = balancer.submit(make_submit("late"), now_s=0.0)
    assert isinstance(decision, Refused)
    assert not balancer.drain(now_s=0.0)
