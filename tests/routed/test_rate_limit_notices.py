"""Rate limits as an entry reads, records and logs them."""

from typing import Any

import pytest
from structlog.testing import capture_logs

from borageramp_core import Notice
from borageramp_core.routing import AnswerKind, RateLimitState, UpstreamView
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_platform.messages import Upstreams
from tests.lib.rate_limits import UNLIMITED_HZ
from tests.lib.routed import make_pools, make_registration


def read_notice(*values: bytes, status: int = 200) -> Notice:
    headers = tuple(("server-limit", value) for value in values)
    return Upstreams().read_head(status, headers, request_id="r").notice


@pytest.mark.parametrize(
    ("values", "limit_hz"),
    [
        ((), UNLIMITED_HZ),
        ((b"1.4",), 1.4),
        ((b"0",), 0.0),
        ((b"0.1",), 0.1),
        ((b"9" * 400,), 999_999_999_999_999.0),
        ((b"3", b"2"), 2.0),
        ((b"3", b"soon"), 3.0),
        ((b"",), None),
        ((b"-1",), None),
        ((b"nan",), None),
        ((b"inf",), None),
        ((b"1,5",), None),
        ((b"\xb2",), None),
    ],
)
def test_a_rate_limit_is_a_decimal_number(
    values: tuple[bytes, ...], limit_hz: float | None
) -> None:
    assert read_notice(*values).rate_limit_hz == limit_hz


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_answer_can_name_a_rate_limit(status: int) -> None:
    assert read_notice(b"2", status=status).rate_limit_hz == 2.0


def test_an_answer_of_another_upstream_says_nothing_on_the_rate_limit() -> None:
    assert read_notice(b"2", status=421).rate_limit_hz is None
    assert read_notice(status=421).rate_limit_hz is None


def hear(
    state: RateLimitState,
    limit_hz: float,
    *,
    now_s: float,
    sent_at_s: float | None = None,
    kind: AnswerKind = AnswerKind.REQUEST,
) -> float:
    sent_at_s = now_s if sent_at_s is None else sent_at_s
    state.on_answer(limit_hz, kind=kind, sent_at_s=sent_at_s, now_s=now_s)
    return state.hz


def test_the_rate_limit_named_last_is_in_force_until_an_answer_names_none() -> None:
    state = RateLimitState()
    assert hear(state, 3.0, now_s=1.0) == 3.0
    assert hear(state, 5.0, now_s=2.0) == 5.0
    assert hear(state, UNLIMITED_HZ, now_s=3.0) == UNLIMITED_HZ


def test_an_answer_to_an_earlier_request_does_not_end_a_rate_limit() -> None:
    state = RateLimitState()
    hear(state, 3.0, now_s=2.0)
    assert hear(state, UNLIMITED_HZ, sent_at_s=1.0, now_s=3.0) == 3.0


def test_health_checks_that_never_name_a_rate_limit_do_not_end_it() -> None:
    state = RateLimitState()
    hear(state, 3.0, now_s=1.0)
    health = AnswerKind.HEALTH_CHECK
    assert hear(state, UNLIMITED_HZ, now_s=2.0, kind=health) == 3.0
    hear(state, 3.0, now_s=3.0, kind=health)
    assert hear(state, UNLIMITED_HZ, now_s=4.0, kind=health) == UNLIMITED_HZ


def notify(pools: PoolRegistry, view: UpstreamView, notice: Notice) -> list[Any]:
    with capture_logs() as logs:
        pools.on_notice(view, notice, kind=AnswerKind.REQUEST, sent_at_s=1.0, now_s=1.0)
    return [(line["event"], line.get("limit_hz")) for line in logs]


def make_view(pools: PoolRegistry) -> UpstreamView:
    pool = pools.pool("records")
    pool.apply(
        [make_registration()], settings=None, evacuated_data_centres=(), now_s=0.0
    )
    return pool.views["u1"]


def test_begin_change_and_end_of_a_rate_limit_are_logged_and_counted() -> None:
    pools = make_pools()
    view = make_view(pools)
    event = "upstream rate limit changed"
    assert notify(pools, view, Notice(rate_limit_hz=3.0)) == [(event, 3.0)]
    assert notify(pools, view, Notice(rate_limit_hz=3.0)) == []
    assert notify(pools, view, Notice(rate_limit_hz=2.0)) == [(event, 2.0)]
    pools.on_attempt(view)
    assert (pools.limited_upstream_count, pools.limited_attempts) == (1, 1)
    assert notify(pools, view, Notice()) == []
    assert notify(pools, view, Notice(rate_limit_hz=UNLIMITED_HZ)) == [(event, None)]
    pools.on_attempt(view)
    assert (pools.limited_upstream_count, pools.limited_attempts) == (0, 1)


def test_an_unreadable_rate_limit_is_logged_once_and_changes_nothing() -> None:
    pools = make_pools()
    view = make_view(pools)
    notify(pools, view, Notice(rate_limit_hz=3.0))
    unreadable = read_notice(b"soon")
    event = "upstream rate limit unreadable"
    assert notify(pools, view, unreadable) == [(event, None)]
    assert notify(pools, view, unreadable) == []
    assert view.rate_limit.hz == 3.0


def test_a_notice_of_another_upstream_at_the_address_is_ignored() -> None:
    pools = make_pools()
    view = make_view(pools)
    view.address_mismatch = True
    assert notify(pools, view, Notice(rate_limit_hz=3.0, leaving=True)) == []
    assert not view.rate_limit.in_force and not view.leaving
