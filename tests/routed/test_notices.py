"""Upstreams that say they are leaving, or ask for a pause."""

from typing import Any

import pytest

from borageramp_core import Notice
from borageramp_core.routing import ServicePool
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
        data_centres_out=(),
        now_s=now_s,
    )


def say(pool: ServicePool, notice: Notice, *, name: str = "u1", now_s: float) -> None:
    pool.on_notice(pool.views[name], notice, now_s=now_s)


def is_used(pool: ServicePool, name: str = "u1", *, now_s: float) -> bool:
    requirements = make_requirements()
    asked = pool.probe_targets(requirements, count=9, now_s=now_s)
    chosen = pool.choose(requirements, now_s=now_s)
    placed = chosen is not None and chosen.view.registration.id == name
    assert placed == any(v.registration.id == name for v in asked)
    return placed


def test_an_upstream_that_says_it_leaves_gets_nothing() -> None:
    pool = make_pool(make_registration())
    assert is_used(pool, now_s=1.0)
    say(pool, LEAVING, now_s=1.0)
    assert not is_used(pool, now_s=1.0)
    assert not pool.can_serve(make_requirements(), now_s=1.0)


def test_it_still_leaves_when_the_store_says_it_is_ready() -> None:
    pool = make_pool(make_registration())
    say(pool, LEAVING, now_s=1.0)
    apply(pool, make_registration(leaving=False, slots=5), now_s=2.0)
    pool.on_report(pool.views["u1"], make_report(), now_s=3.0)
    assert not is_used(pool, now_s=3.0)


def test_it_still_leaves_when_its_entry_lapses_and_returns() -> None:
    pool = make_pool(make_registration())
    say(pool, LEAVING, now_s=1.0)
    apply(pool, now_s=2.0)
    apply(pool, make_registration(), now_s=3.0)
    assert not is_used(pool, now_s=3.0)


def test_a_new_start_under_the_same_name_is_used() -> None:
    pool = make_pool(make_registration(started_ms=1))
    say(pool, LEAVING, now_s=1.0)
    apply(pool, make_registration(started_ms=2), now_s=2.0)
    assert is_used(pool, now_s=2.0)


def test_a_load_report_can_say_it_too() -> None:
    pool = make_pool(make_registration())
    pool.on_report(pool.views["u1"], make_report(leaving=True), now_s=1.0)
    assert not is_used(pool, now_s=1.0)


def test_an_upstream_that_asks_for_a_pause_gets_nothing_until_its_end() -> None:
    pool = make_pool(make_registration())
    say(pool, Notice(pause_s=2.0), now_s=1.0)
    assert not is_used(pool, now_s=2.9)
    assert is_used(pool, now_s=3.1)


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    pool = make_pool(make_registration())
    say(pool, Notice(pause_s=5.0), now_s=1.0)
    say(pool, Notice(pause_s=0.1), now_s=2.0)
    assert not is_used(pool, now_s=5.9)


def test_a_nonsense_pause_does_not_take_an_upstream_out_for_good() -> None:
    pool = make_pool(make_registration())
    say(pool, Notice(pause_s=1e9), now_s=1.0)
    assert is_used(pool, now_s=1000.0)


def test_a_request_waits_for_the_end_of_a_pause_only_if_that_is_in_time() -> None:
    pool = make_pool(make_registration("u1"), make_registration("u2"))
    for name in ("u1", "u2"):
        say(pool, Notice(pause_s=3.0), name=name, now_s=1.0)
    assert not pool.can_serve(make_requirements(max_response_s=2.0), now_s=1.0)
    assert pool.can_serve(make_requirements(max_response_s=4.0), now_s=1.0)
    assert pool.pause_remaining_s(now_s=2.0) == pytest.approx(2.0)


def test_the_others_bear_the_load_of_one_that_pauses() -> None:
    pool = make_pool(make_registration("u1"), make_registration("u2"))
    say(pool, Notice(pause_s=3.0), now_s=1.0)
    assert pool.pause_remaining_s(now_s=2.0) == 0.0
    assert is_used(pool, "u2", now_s=2.0)


def notice_of(status: int, *headers: tuple[str, bytes]) -> Notice:
    return Upstreams().read_head(status, headers, request_id="r").notice


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_answer_can_say_that_its_upstream_leaves(status: int) -> None:
    assert notice_of(status, LEAVING_HEADER).leaving
    assert not notice_of(status).leaving
    assert not notice_of(status, ("server-leaving", b"0")).leaving


def test_another_upstream_at_the_address_does_not_speak_for_the_one_meant() -> None:
    assert notice_of(421, LEAVING_HEADER, ("retry-after", b"3")) == Notice()


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
def test_a_503_can_ask_for_a_pause(status: int, value: bytes, pause_s: float) -> None:
    assert notice_of(status, ("retry-after", value)).pause_s == pause_s
