"""Retries of all instances together stay within the configured bound.

In each window, the bound is a share of the requests plus a slack.
"""

import random

import pytest

from tests.lib.routed import make_pools

WINDOW_S = 10
RATIO, SLACK = 0.2, 58.0


def count_retries_by_second(
    entries: int, *, requests_hz: int, unlisted: int, failing_at_s: int
) -> list[int]:
    """Return the retries in each second; all tries fail from ``failing_at_s`` on."""
    rng = random.Random(entries)
    names = [f"e{i}" for i in range(entries)]
    listed = frozenset(names[: entries - unlisted])
    fleet = [
        make_pools(name, listed=listed, retry_ratio=RATIO, retry_slack=SLACK)
        for name in names
    ]
    spent = []
    for second in range(failing_at_s + 2 * WINDOW_S):
        retries = 0
        for _ in range(requests_hz):
            budget = rng.choice(fleet).retry_budget("records")
            budget.earn()
            while second >= failing_at_s and budget.spend():
                retries += 1
        spent.append(retries)
    return spent


@pytest.mark.parametrize("entries", [1, 2, 14, 18, 40, 313])
@pytest.mark.parametrize("unlisted_share", [0.0, 0.3])
@pytest.mark.parametrize("requests_hz", [30, 300])
def test_retries_stay_bounded_when_all_tries_start_to_fail(
    entries: int, unlisted_share: float, requests_hz: int
) -> None:
    """Budget earned before failures stays within the slack, also if lists differ."""
    unlisted = int(unlisted_share * entries)
    spent = count_retries_by_second(
        entries,
        requests_hz=requests_hz,
        unlisted=unlisted,
        # Long enough for each entry to save up what it may.
        failing_at_s=10 * WINDOW_S,
    )
    for start in range(len(spent) - WINDOW_S + 1):
        allowed = RATIO * requests_hz * WINDOW_S + SLACK
        assert sum(spent[start : start + WINDOW_S]) <= allowed


@pytest.mark.parametrize("entries", [14, 313])
def test_more_than_half_of_the_retry_share_is_spent(entries: int) -> None:
    requests_hz = 300
    spent = count_retries_by_second(
        entries, requests_hz=requests_hz, unlisted=0, failing_at_s=0
    )
    assert sum(spent) > 0.5 * RATIO * requests_hz * len(spent)
