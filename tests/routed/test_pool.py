"""Selection of the upstream for a request, and of those to probe."""

from typing import Any

import pytest

from borageramp_core import AttemptResult
from borageramp_core.routing import ServicePool
from tests.lib.routed import (
    AWAY,
    make_cold,
    make_pool,
    make_registration,
    make_report,
    make_requirements,
)


def choose(pool: ServicePool, **fields: Any) -> str:
    chosen = pool.choose(make_requirements(**fields), now_s=1.0)
    return "" if chosen is None else chosen.view.registration.id


def report(pool: ServicePool, name: str, **fields: Any) -> None:
    pool.views[name].on_report(make_report(**fields), now_s=1.0)


def test_the_upstream_of_normal_pace_is_chosen() -> None:
    pool = make_pool(make_registration("slow"), make_registration("fast"))
    report(pool, "slow", pace=7.0)
    report(pool, "fast", pace=1.0)
    assert choose(pool) == "fast"


def test_a_slower_free_upstream_is_preferred_to_a_full_one() -> None:
    pool = make_pool(make_registration("full"), make_registration("free"))
    report(pool, "full", in_flight=8)
    report(pool, "free", pace=1.5)
    assert choose(pool) == "free"


def test_a_full_upstream_is_full_until_its_requests_can_have_ended() -> None:
    pool = make_pool(make_registration())
    pool.views["u1"].on_report(make_report(4), now_s=1.0)
    requirements = make_requirements(queue_ratio=0.0)
    assert pool.choose(requirements, now_s=1.02) is None
    # By then, one of four requests of 0.1 s each may have ended.
    assert pool.choose(requirements, now_s=1.03) is not None


def test_near_upstreams_win_ties() -> None:
    pool = make_pool(make_registration("far", data_centre=AWAY), make_registration())
    report(pool, "far")
    report(pool, "u1")
    assert choose(pool) == "u1"


@pytest.mark.parametrize("fields", [{"leaving": True}, {"data_centre": AWAY}])
def test_leaving_and_evacuated_upstreams_get_nothing(fields: dict[str, Any]) -> None:
    pool = make_pool(make_registration(**fields), out=(AWAY,))
    assert choose(pool) == ""


def test_an_address_used_by_another_upstream_gets_nothing() -> None:
    pool = make_pool(make_registration())
    report(pool, "u1", start_id="u2")
    assert choose(pool) == ""


def test_an_unresponsive_upstream_is_chosen_only_without_others() -> None:
    pool = make_pool(make_registration("silent"), make_registration("far"))
    report(pool, "silent")
    report(pool, "far", pace=3.0)
    pool.views["silent"].mark_unresponsive(now_s=1.0)
    assert choose(pool) == "far"
    assert choose(pool, excluded={"far"}) == "silent"


def test_upstreams_that_have_had_the_request_are_not_chosen() -> None:
    pool = make_pool(make_registration())
    assert choose(pool, excluded={"u1"}) == ""


def test_an_upstream_with_a_queue_over_the_limit_gets_nothing() -> None:
    pool = make_pool(make_registration())
    report(pool, "u1", in_flight=8)
    assert choose(pool, queue_ratio=1.0) == ""
    assert choose(pool, queue_ratio=2.0) == "u1"


def test_a_failing_upstream_is_ejected_and_tried_again() -> None:
    pool = make_pool(make_registration("bad"), make_registration("good"))
    bad = pool.views["bad"]
    for _ in range(3):
        pool.start_request(bad, now_s=1.0)
        pool.end_request(bad, AttemptResult.ERROR, now_s=1.0)
    report(pool, "good", pace=5.0)
    assert choose(pool) == "good"
    later = pool.candidates(make_requirements(), now_s=10.0)
    assert {v.registration.id for v in later} == {"bad", "good"}


def test_a_cold_upstream_takes_no_more_than_its_allowance() -> None:
    pool = make_pool(make_registration(warmup_left_s=3.0), cold=make_cold(14, own=0))
    view = pool.views["u1"]
    sent = sum(pool.start_request(view, now_s=step * 0.01) for step in range(100))
    assert sent <= 3


def test_the_state_of_a_restarted_upstream_is_discarded() -> None:
    pool = make_pool(make_registration(started_ms=1))
    before = pool.views["u1"]
    before.mark_unresponsive(now_s=1.0)
    gone = pool.apply(
        [make_registration(started_ms=2)],
        settings=None,
        evacuated_data_centres=(),
        now_s=1.0,
    )
    assert gone == ["u1"]
    assert pool.views["u1"] is not before


def test_probes_go_to_the_best_known_and_one_at_random() -> None:
    pool = make_pool(*(make_registration(f"u{i}") for i in range(10)))
    for i in range(10):
        report(pool, f"u{i}", pace=1.0 if i < 2 else 7.0)
    probed: set[str] = set()
    for _ in range(10):
        # At a high request rate, an entry compares all upstreams.
        pool.shortlist.on_request(now_s=1.1)
    for _ in range(100):
        views = pool.probe_targets(make_requirements(), count=3, now_s=1.1)
        names = [v.registration.id for v in views]
        assert {"u0", "u1"} <= set(names)
        probed |= set(names)
    assert len(probed) == 10


def test_upstreams_that_have_just_reported_are_not_probed_again() -> None:
    pool = make_pool(make_registration("u1"), make_registration("u2"))
    report(pool, "u1")
    views = pool.probe_targets(make_requirements(), count=3, now_s=1.0)
    assert [v.registration.id for v in views] == ["u2"]
