"""Rate limits of cold upstreams, which hold over all entries."""

import pytest

from borageramp_core.routing import RateAllowance
from tests.lib.routed import make_cold

RAMP_HZ = 21.0
STEP_S = 0.01


def max_arrivals_per_second(entries: list[RateAllowance], *, ramp_hz: float) -> int:
    """Send whenever allowed; return the highest number of arrivals in a second."""
    arrivals: list[float] = []
    for step in range(1000):
        now_s = step * STEP_S
        for entry in entries:
            while entry.take("u1", rate_hz=ramp_hz, now_s=now_s):
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
    assert max_arrivals_per_second(entries, ramp_hz=ramp_hz) <= ramp_hz * 1.5 + 5.0


def test_the_sum_stays_within_the_bound_when_member_lists_differ() -> None:
    # About half of the entries do not yet list two that joined.
    old = [make_cold(14, own=i) for i in range(7)]
    new = [make_cold(16, own=i) for i in range(7, 16)]
    assert max_arrivals_per_second(old + new, ramp_hz=RAMP_HZ) <= RAMP_HZ * 1.5 + 5.0


def test_a_cold_upstream_gets_most_of_its_rate_limit() -> None:
    entries = [make_cold(14, own=i) for i in range(14)]
    assert max_arrivals_per_second(entries, ramp_hz=RAMP_HZ) >= 0.7 * RAMP_HZ


# Guards against the rate of an earlier configuration that stays in force.
@pytest.mark.parametrize(("before_hz", "after_hz"), [(100.0, 2.0), (2.0, 100.0)])
def test_a_changed_rate_limit_is_in_force_at_once(
    before_hz: float, after_hz: float
) -> None:
    entry = make_cold(1)
    for step in range(100):
        entry.take("u1", rate_hz=before_hz, now_s=step * STEP_S)
    taken = sum(
        entry.take("u1", rate_hz=after_hz, now_s=1.0 + step * STEP_S)
        for step in range(100)
    )
    assert 0.5 * after_hz <= taken <= 1.5 * after_hz + 5.0
