"""Wait policy and order of the requests that are queued at an entry."""

from typing import Any

from borageramp_core.routing import AdmissionQueue, WaitPolicy
from tests.lib.routed import make_route, make_work

WORK_S = 0.1


def make_wait_policy(*, age_s: float = 0.0, **fields: Any) -> WaitPolicy:
    route = make_route(objective_s=0.3, **fields)
    return WaitPolicy.for_request(
        route,
        work=make_work(route, work_s=WORK_S),
        arrived_at_s=0.0,
        deadline_s=2.0,
        age_s=age_s,
    )


def test_a_request_of_low_rank_waits_while_it_can_be_in_time() -> None:
    assert abs(make_wait_policy(rank=2).wait_until_s - 0.2) < 1e-9


def test_a_request_of_high_rank_waits_longer() -> None:
    assert make_wait_policy(rank=1).wait_until_s == 1.0


def test_a_request_that_can_be_in_time_accepts_a_short_queue() -> None:
    requirements = make_wait_policy(rank=2).requirements(
        excluded=frozenset(), now_s=0.1
    )
    assert abs(requirements.max_response_s - 0.2) < 1e-9
    assert requirements.queue_ratio > 0.0


def test_a_late_request_of_low_rank_takes_only_an_idle_slot() -> None:
    requirements = make_wait_policy(rank=2).requirements(
        excluded=frozenset(), now_s=0.25
    )
    assert requirements.max_response_s == 1.75
    assert requirements.queue_ratio == 0.0


def test_a_late_request_of_high_rank_takes_only_an_idle_slot_too() -> None:
    requirements = make_wait_policy(rank=1).requirements(
        excluded=frozenset(), now_s=0.25
    )
    assert requirements.queue_ratio == 0.0


def test_an_upstream_is_accepted_only_if_most_of_its_answers_are_in_time() -> None:
    route = make_route(objective_s=0.3, rank=1)
    work = make_work(route, work_s=WORK_S, spread=0.3)
    wait_policy = WaitPolicy.for_request(
        route, work=work, arrived_at_s=0.0, deadline_s=2.0
    )
    requirements = wait_policy.requirements(excluded=frozenset(), now_s=0.1)
    assert 0.13 < requirements.max_response_s < 0.15


def test_a_request_that_cannot_be_in_time_takes_an_idle_slot_at_once() -> None:
    route = make_route(objective_s=0.3, rank=2)
    wait_policy = WaitPolicy.for_request(
        route,
        work=make_work(route, work_s=0.5),
        arrived_at_s=0.0,
        deadline_s=2.0,
    )
    requirements = wait_policy.requirements(excluded=frozenset(), now_s=0.0)
    assert requirements.max_response_s == 2.0 and requirements.queue_ratio == 0.0


def test_requests_are_ordered_by_rank_then_arrival() -> None:
    queue: AdmissionQueue[str] = AdmissionQueue()
    for name, rank in (("a", 2), ("b", 1), ("c", 2), ("d", 1)):
        queue.push(name, rank=rank, latest_start_s=1.0)
    assert len(queue) == 4
    assert queue.pop_all(now_s=0.0) == ["b", "d", "a", "c"]
    assert len(queue) == 0


def make_queue() -> AdmissionQueue[str]:
    queue: AdmissionQueue[str] = AdmissionQueue()
    for name, rank, latest_start_s in (
        ("late, low", 2, 0.3),
        ("late", 1, 0.4),
        ("in time", 1, 0.6),
        ("in time, low", 2, 0.6),
        ("later", 1, 0.45),
    ):
        queue.push(name, rank=rank, latest_start_s=latest_start_s)
    return queue


def test_requests_that_can_be_in_time_go_before_late_ones_of_any_rank() -> None:
    order = ["in time", "in time, low", "late", "later", "late, low"]
    assert make_queue().pop_all(now_s=0.5) == order


def test_late_requests_keep_their_rank_among_each_other() -> None:
    order = ["late", "in time", "later", "late, low", "in time, low"]
    assert make_queue().pop_all(now_s=0.7) == order


def test_which_requests_are_ahead_of_a_new_one() -> None:
    queue = make_queue()
    assert queue.has_ahead(rank=1, now_s=0.5) and queue.has_ahead(rank=2, now_s=0.5)
    assert not queue.has_ahead(rank=0, now_s=0.5)
    assert not queue.has_ahead(rank=2, now_s=0.7)


def test_the_objective_of_a_retry_counts_from_the_first_attempt() -> None:
    wait_policy = make_wait_policy(rank=2, age_s=0.4)
    assert wait_policy.latest_start_s < 0.0
    requirements = wait_policy.requirements(excluded=frozenset(), now_s=0.0)
    assert requirements.queue_ratio == 0.0 and requirements.max_response_s == 2.0
    # Another refusal may be its last one, so it waits for an idle slot.
    assert wait_policy.wait_until_s == 1.0


def test_the_latest_start_leaves_time_for_a_slow_answer() -> None:
    route = make_route(objective_s=0.3, rank=1)
    work = make_work(route, work_s=WORK_S, spread=0.3)
    wait_policy = WaitPolicy.for_request(
        route, work=work, arrived_at_s=0.0, deadline_s=2.0
    )
    assert 0.14 < wait_policy.latest_start_s < 0.17


def test_requests_slower_than_their_objective_may_still_wait() -> None:
    route = make_route(objective_s=0.3, rank=1)
    wait_policy = WaitPolicy.for_request(
        route,
        work=make_work(route, work_s=0.5),
        arrived_at_s=0.0,
        deadline_s=2.0,
    )
    assert abs(wait_policy.latest_start_s - 0.12) < 1e-9
