"""Upstreams that answer fewer requests in all if they are filled."""

from borageramp_core.routing import Crowding
from tests.lib.routed import make_pool, make_registration, make_report, make_wanted


def tell(crowding: Crowding, *, free: float, full: float, answers: int) -> None:
    for _ in range(answers):
        crowding.on_answer(free, filled=0.5)
        crowding.on_answer(full, filled=1.0)


def test_slots_are_filled_while_nothing_speaks_against_it() -> None:
    crowding = Crowding()
    assert crowding.usable(6) == 6
    tell(crowding, free=1.0, full=1.2, answers=9)
    assert crowding.usable(6) == 6


def test_slots_that_make_all_slow_are_left_free() -> None:
    crowding = Crowding()
    tell(crowding, free=1.0, full=1.8, answers=4)
    assert crowding.usable(6) == 4
    assert crowding.usable(3) == 2
    assert crowding.usable(1) == 1


def test_that_fewer_answers_are_slow_does_not_count() -> None:
    crowding = Crowding()
    tell(crowding, free=1.0, full=1.0, answers=5)
    tell(crowding, free=1.0, full=6.0, answers=4)
    assert crowding.usable(6) == 6


def test_what_waited_in_a_queue_first_does_not_count() -> None:
    crowding = Crowding()
    for _ in range(9):
        crowding.on_answer(1.0, filled=0.5)
        crowding.on_answer(3.0, filled=1.5)
    assert crowding.usable(6) == 6


def test_a_service_of_which_little_is_known_is_taken_for_like_the_others() -> None:
    everywhere = Crowding()
    known, unknown = Crowding(elsewhere=everywhere), Crowding(elsewhere=everywhere)
    tell(known, free=1.0, full=1.8, answers=9)
    assert unknown.is_costly
    tell(unknown, free=1.0, full=1.1, answers=9)
    assert not unknown.is_costly and known.is_costly


def test_a_request_waits_rather_than_take_the_last_slot_of_a_costly_service() -> None:
    pool = make_pool(make_registration(slots=4))
    pool.on_report(pool.views["u1"], make_report(2), now_s=1.0)
    wanted = make_wanted(queue_slots=0.5)
    assert pool.choose(wanted, now_s=1.0) is not None
    tell(pool.crowding, free=1.0, full=1.8, answers=9)
    assert pool.choose(wanted, now_s=1.0) is None
