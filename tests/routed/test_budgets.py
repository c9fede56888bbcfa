"""Repeated tries over all instances stay within their bound.

The bound is that of the operators: in each window, a share of the requests
and a slack, over all instances together.
"""

import random

import pytest

from borageramp_core import WindowBudget
from borageramp_core.routing import ColdAllowance, ColdBounds, World
from borageramp_entry._internal.routed.pools import Pools
from borageramp_settings import FleetBounds

WINDOW_S = 10
RATIO, SLACK = 0.2, 58.0
REQUESTS_HZ = 300


def make_pools(name: str, listed: frozenset[str]) -> Pools:
    pools = Pools(
        member="e0",
        data_centre="north",
        bounds=FleetBounds(retry_ratio=RATIO, retry_slack=SLACK),
        cold=ColdAllowance(member=name, bounds=ColdBounds()),
        on_gone=lambda view: None,
        rng=random.Random(1),
        now_s=float("-inf"),
    )
    pools.apply(World(), entries=listed, now_s=0.0)
    return pools


def spent_by_second(entries: int, *, unlisted: int, failing_at_s: int) -> list[int]:
    """Return repeated tries by second; all tries fail from a time on."""
    rng = random.Random(entries)
    names = [f"e{i}" for i in range(entries)]
    listed = frozenset(names[: entries - unlisted])
    fleet = [make_pools(name, listed) for name in names]
    spent = []
    for second in range(3 * WINDOW_S):
        repeats = 0
        for number in range(REQUESTS_HZ):
            now_s = second + number / REQUESTS_HZ
            budget = rng.choice(fleet).repeats("records")
            budget.earn(now_s=now_s)
            while second >= failing_at_s and budget.spend(now_s=now_s):
                repeats += 1
        spent.append(repeats)
    return spent


@pytest.mark.parametrize("entries", [1, 2, 14, 18, 40])
@pytest.mark.parametrize("unlisted_share", [0.0, 0.3])
def test_a_calm_spell_then_failures_everywhere(
    entries: int, unlisted_share: float
) -> None:
    """What was saved up in calm stays within the slack, also if lists differ."""
    unlisted = int(unlisted_share * entries)
    spent = spent_by_second(entries, unlisted=unlisted, failing_at_s=WINDOW_S)
    for start in range(len(spent) - WINDOW_S + 1):
        allowed = RATIO * REQUESTS_HZ * WINDOW_S + SLACK
        assert sum(spent[start : start + WINDOW_S]) <= allowed


def test_budgets_are_used_and_not_only_kept() -> None:
    spent = spent_by_second(14, unlisted=0, failing_at_s=0)
    assert sum(spent) > 0.8 * RATIO * REQUESTS_HZ * len(spent)


def test_many_upstreams_fail_at_once_after_a_calm_spell() -> None:
    """What calm seconds left of the window is there in the first second."""
    spent = spent_by_second(14, unlisted=0, failing_at_s=2 * WINDOW_S)
    assert spent[2 * WINDOW_S] > 0.8 * RATIO * REQUESTS_HZ * WINDOW_S


def test_a_restart_does_not_give_the_slack_a_second_time() -> None:
    budget = WindowBudget(window_s=10.0, now_s=100.0)
    budget.ratio, budget.slack = 0.2, 5.0
    assert not budget.spend(now_s=109.9)
    assert budget.spend(now_s=110.0)


def test_an_extra_try_that_was_not_made_is_there_again() -> None:
    budget = WindowBudget(window_s=10.0, now_s=-10.0)
    budget.slack = 1.0
    assert budget.spend(now_s=1.0) and not budget.spend(now_s=2.0)
    budget.give_back(spent_at_s=1.0)
    assert budget.spend(now_s=3.0) and not budget.spend(now_s=3.0)
    # One that has left the window has nothing to give back.
    budget.give_back(spent_at_s=-5.0)
    assert not budget.spend(now_s=3.0)


def test_extra_tries_count_for_no_less_than_the_window() -> None:
    budget = WindowBudget(window_s=10.0, now_s=-10.0)
    budget.slack = 1.0
    assert budget.spend(now_s=0.49)
    assert not budget.spend(now_s=10.48)
    assert budget.spend(now_s=11.01)
