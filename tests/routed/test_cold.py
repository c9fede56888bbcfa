"""Cold upstreams bear what all entries together send them."""

import pytest

from borageramp_core.routing import ColdAllowance
from tests.lib.routed import make_cold

RAMP_HZ = 21.0
STEP_S = 0.01


def most_in_a_second(entries: list[ColdAllowance], *, ramp_hz: float) -> int:
    """Send as soon as allowed, and return the most arrivals in one second."""
    arrivals: list[float] = []
    for step in range(1000):
        now_s = step * STEP_S
        for entry in entries:
            while entry.take("u1", ramp_hz=ramp_hz, now_s=now_s):
                arrivals.append(now_s)
    return max(
        sum(1 for other in arrivals if start <= other < start + 1.0)
        for start in arrivals
    )


@pytest.mark.parametrize("members", [1, 3, 14, 18, 136])
@pytest.mark.parametrize("ramp_hz", [2.0, 10.0, RAMP_HZ, 100.0])
def test_the_sum_stays_within_the_bound(members: int, ramp_hz: float) -> None:
    entries = [
        make_cold(members, own=i, overage=1.5, slack=5.0) for i in range(members)
    ]
    assert most_in_a_second(entries, ramp_hz=ramp_hz) <= ramp_hz * 1.5 + 5.0


def test_the_sum_stays_within_the_bound_when_views_differ() -> None:
    # Half of the entries have not heard of two that joined.
    old = [make_cold(14, own=i) for i in range(7)]
    new = [make_cold(16, own=i) for i in range(7, 16)]
    assert most_in_a_second(old + new, ramp_hz=RAMP_HZ) <= RAMP_HZ * 1.5 + 5.0


def test_a_cold_upstream_gets_most_of_what_it_bears() -> None:
    entries = [make_cold(14, own=i) for i in range(14)]
    assert most_in_a_second(entries, ramp_hz=RAMP_HZ) >= 0.7 * RAMP_HZ
