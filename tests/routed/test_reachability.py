"""What an entry concludes from upstreams that it can't reach."""

from typing import Any

import pytest
from structlog.testing import capture_logs

from borageramp_core import AttemptResult
from borageramp_core.routing import Reach, ServiceReachability
from tests.lib.routed import make_pools, make_registration


def make_reachability(upstreams: int = 8) -> ServiceReachability:
    reachability = ServiceReachability()
    reachability.upstream_count = upstreams
    return reachability


def fail(
    reachability: ServiceReachability, *names: str, at_s: float = 0.0
) -> list[bool]:
    return [reachability.on_failure(name, now_s=at_s) for name in names]


def test_failures_of_several_upstreams_in_a_row_make_a_service_unreachable() -> None:
    reachability = make_reachability()
    assert fail(reachability, "u1", "u2", "u2") == [False, False, False]
    assert reachability.reach(now_s=0.0) is Reach.FULL
    assert fail(reachability, "u3", "u4") == [True, False]
    assert reachability.reach(now_s=1.0) is Reach.NONE
    assert reachability.unreachable_s(now_s=1.0) == 1.0


def test_an_answer_in_between_shows_that_the_path_is_there() -> None:
    reachability = make_reachability()
    fail(reachability, "u1", "u2")
    assert not reachability.on_answer("u0", now_s=0.1)
    assert fail(reachability, "u1", "u2") == [False, False]
    assert fail(reachability, "u3") == [True]
    assert reachability.on_answer("u0", now_s=0.3)
    assert reachability.reach(now_s=0.3) is Reach.FULL
    assert reachability.answer_age_s(now_s=0.5) == pytest.approx(0.2)


def test_a_service_of_which_half_fails_is_partly_reachable() -> None:
    reachability = make_reachability()
    fail(reachability, "u1", "u2", "u3", "u4")
    reachability.on_answer("u0", now_s=0.1)
    assert reachability.reach(now_s=0.1) is Reach.PARTIAL
    assert reachability.avoided(now_s=0.1) == {"u1", "u2", "u3", "u4"}
    reachability.on_answer("u1", now_s=0.2)
    assert reachability.reach(now_s=0.2) is Reach.FULL
    assert reachability.avoided(now_s=0.2) == frozenset()


def test_an_upstream_that_is_gone_no_longer_counts_as_failed() -> None:
    reachability = make_reachability()
    fail(reachability, "u1", "u2", "u3")
    reachability.forget("u2")
    assert reachability.reach(now_s=0.0) is Reach.FULL
    assert reachability.failed(now_s=0.0) == ["u1", "u3"]


def test_failures_that_lie_far_apart_say_nothing() -> None:
    reachability = make_reachability()
    for i in range(6):
        assert fail(reachability, f"u{i}", at_s=2.0 * i) == [False]


def test_an_interruption_without_further_failures_is_forgotten() -> None:
    reachability = make_reachability()
    fail(reachability, "u1", "u2", "u3")
    assert reachability.reach(now_s=4.0) is Reach.FULL
    assert reachability.unreachable_s(now_s=4.0) == 0.0


@pytest.mark.parametrize("count", [1, 2])
def test_a_small_service_is_unreachable_after_as_many_failures(count: int) -> None:
    reachability = make_reachability(count)
    names = [f"u{i % count}" for i in range(3)]
    assert fail(reachability, *names) == [False, False, True]
    reachability.on_answer("u0", now_s=0.0)
    assert not any(fail(reachability, *names[:2]))


def test_interruptions_are_logged_once_with_their_length() -> None:
    pools = make_pools()
    pool = pools.pool("records")
    registrations = [make_registration(f"u{i}", port=1000 + i) for i in range(4)]
    pool.apply(registrations, settings=None, evacuated_data_centres=(), now_s=0.0)
    with capture_logs() as lines:
        for view in pool.views.values():
            pools.on_unreached(view, AttemptResult.UNREACHABLE)
        assert pools.unreachable_service_count == 1
        pools.on_reached(pool.views["u0"])
        pools.on_reached(pool.views["u1"])
    assert pools.unreachable_service_count == 0
    events: list[Any] = [line["event"] for line in lines]
    assert events == ["service unreachable", "service reachable"]
    assert lines[0]["result"] == "unreachable" and lines[0]["answer_age_ms"] is None
    assert lines[1]["unreachable_ms"] == 0
