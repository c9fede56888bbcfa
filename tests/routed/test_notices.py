"""Notices of upstreams that are leaving or ask for a pause."""

from typing import Any

import pytest

from borageramp_core import Notice
from borageramp_core.routing import AnswerKind, ServicePool
from borageramp_platform.messages import Upstreams
from tests.lib.routed import (
    make_pool,
    make_registration,
    make_report,
    make_requirements,
    make_routed_service,
)

LEAVING = Notice(leaving=True)
LEAVING_HEADER = ("server-leaving", b"1")


def apply(pool: ServicePool, *registrations: Any, now_s: float) -> None:
    pool.apply(
        registrations,
        settings=make_routed_service(),
        evacuated_data_centres=(),
        now_s=now_s,
    )


def send_notice(
    pool: ServicePool, notice: Notice, *, name: str = "u1", now_s: float
) -> None:
    pool.on_notice(pool.views[name], notice, now_s=now_s)


def is_used(pool: ServicePool, name: str = "u1", *, now_s: float) -> bool:
    requirements = make_requirements()
    probed = pool.probe_targets(requirements, count=9, now_s=now_s)
    choice = pool.choose(requirements, now_s=now_s)
    placed = choice is not None and choice.view.registration.id == name
    assert placed == any(v.registration.id == name for v in probed)
    return placed


def test_a_leaving_upstream_gets_no_requests() -> None:
    pool = make_pool(make_registration())
    assert is_used(pool, now_s=1.0)
    send_notice(pool, LEAVING, now_s=1.0)
    assert not is_used(pool, now_s=1.0)
    assert not pool.can_serve(make_requirements(), max_wait_s=0.0, now_s=1.0)


def test_a_leave_notice_outlasts_a_ready_registration() -> None:
    pool = make_pool(make_registration())
    send_notice(pool, LEAVING, now_s=1.0)
    apply(pool, make_registration(leaving=False, slots=5), now_s=2.0)
    pool.views["u1"].on_report(make_report(), now_s=3.0)
    assert not is_used(pool, now_s=3.0)


def test_a_leave_notice_outlasts_a_lapsed_registration() -> None:
    pool = make_pool(make_registration())
    send_notice(pool, LEAVING, now_s=1.0)
    apply(pool, now_s=2.0)
    apply(pool, make_registration(), now_s=3.0)
    assert not is_used(pool, now_s=3.0)


# Guards against a limit that is exceeded after an outage of the store.
def test_a_rate_limit_outlasts_a_lapsed_registration() -> None:
    pool = make_pool(make_registration(started_ms=1))
    pool.views["u1"].rate_limit.on_answer(
        3.0, kind=AnswerKind.REQUEST, sent_at_s=1.0, now_s=1.0
    )
    apply(pool, now_s=2.0)
    apply(pool, make_registration(started_ms=1), now_s=3.0)
    assert pool.views["u1"].rate_limit.hz == 3.0
    apply(pool, make_registration(started_ms=2), now_s=4.0)
    assert not pool.views["u1"].rate_limit.in_force


def test_a_new_incarnation_under_the_same_name_is_used() -> None:
    pool = make_pool(make_registration(started_ms=1))
    send_notice(pool, LEAVING, now_s=1.0)
    apply(pool, make_registration(started_ms=2), now_s=2.0)
    assert is_used(pool, now_s=2.0)


def test_a_load_report_can_carry_a_leave_notice() -> None:
    pool = make_pool(make_registration())
    pool.views["u1"].on_report(make_report(leaving=True), now_s=1.0)
    assert not is_used(pool, now_s=1.0)


def test_an_upstream_gets_no_requests_until_the_end_of_its_pause() -> None:
    pool = make_pool(make_registration())
    send_notice(pool, Notice(pause_s=2.0), now_s=1.0)
    assert not is_used(pool, now_s=2.9)
    assert is_used(pool, now_s=3.1)


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    pool = make_pool(make_registration())
    send_notice(pool, Notice(pause_s=5.0), now_s=1.0)
    send_notice(pool, Notice(pause_s=0.1), now_s=2.0)
    assert not is_used(pool, now_s=5.9)


def test_an_excessive_pause_does_not_exclude_an_upstream_permanently() -> None:
    pool = make_pool(make_registration())
    send_notice(pool, Notice(pause_s=1e9), now_s=1.0)
    assert is_used(pool, now_s=1000.0)


def test_a_request_waits_for_the_end_of_a_pause_only_if_that_is_in_time() -> None:
    pool = make_pool(make_registration("u1"), make_registration("u2"))
    for name in ("u1", "u2"):
        send_notice(pool, Notice(pause_s=3.0), name=name, now_s=1.0)
    assert not pool.can_serve(
        make_requirements(max_response_s=2.0), max_wait_s=0.0, now_s=1.0
    )
    assert pool.can_serve(
        make_requirements(max_response_s=4.0), max_wait_s=0.0, now_s=1.0
    )
    assert pool.min_wait_s(now_s=2.0) == pytest.approx(2.0)


def test_other_upstreams_take_the_load_of_a_paused_one() -> None:
    pool = make_pool(make_registration("u1"), make_registration("u2"))
    send_notice(pool, Notice(pause_s=3.0), now_s=1.0)
    assert pool.min_wait_s(now_s=2.0) == 0.0
    assert is_used(pool, "u2", now_s=2.0)


def read_notice(status: int, *headers: tuple[str, bytes]) -> Notice:
    return Upstreams().read_head(status, headers, request_id="r").notice


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_answer_can_carry_a_leave_notice(status: int) -> None:
    assert read_notice(status, LEAVING_HEADER).leaving
    assert not read_notice(status).leaving
    assert not read_notice(status, ("server-leaving", b"0")).leaving


def test_a_notice_of_another_upstream_at_the_address_is_ignored() -> None:
    assert read_notice(421, LEAVING_HEADER, ("retry-after", b"3")) == Notice()


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"1.5", 1.5),
        (503, b"0", 0.0),
        (503, b"soon", 0.0),
        (503, b"-3", 0.0),
        (429, b"2", 0.0),
        (200, b"2", 0.0),
    ],
)
def test_only_a_503_can_request_a_pause(
    status: int, value: bytes, pause_s: float
) -> None:
    assert read_notice(status, ("retry-after", value)).pause_s == pause_s
