"""Who waits at an entry, for how long, and what it accepts meanwhile."""

from typing import Any

from borageramp_core.routing import Patience, WaitingLine
from tests.lib.routed import make_route

WORK_S = 0.1


def make_patience(**fields: Any) -> Patience:
    return Patience.of(
        make_route(objective_s=0.3, **fields),
        work_s=WORK_S,
        arrived_at_s=0.0,
        deadline_s=2.0,
    )


def test_a_request_of_low_rank_waits_while_it_can_be_in_time() -> None:
    assert abs(make_patience(rank=2).until_s - 0.2) < 1e-9


def test_a_request_of_high_rank_waits_longer() -> None:
    assert make_patience(rank=1).until_s == 1.0


def test_in_time_a_short_queue_is_accepted() -> None:
    wanted = make_patience(rank=2).wanted(excluded=frozenset(), now_s=0.1)
    assert abs(wanted.within_s - 0.2) < 1e-9
    assert wanted.queue_slots > 0.0


def test_a_late_request_of_low_rank_takes_only_an_idle_slot() -> None:
    wanted = make_patience(rank=2).wanted(excluded=frozenset(), now_s=0.25)
    assert wanted.within_s == 1.75
    assert wanted.queue_slots == 0.0


def test_higher_ranks_go_first_and_equals_in_their_order() -> None:
    line: WaitingLine[str] = WaitingLine()
    for name, rank in (("a", 2), ("b", 1), ("c", 2), ("d", 1)):
        line.push(name, rank=rank)
    assert len(line) == 4
    assert line.take_all() == ["b", "d", "a", "c"]
    assert len(line) == 0
