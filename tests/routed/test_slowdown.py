"""How far upstreams are filled that work slower when they are nearly full."""

import random
from collections.abc import Mapping

from borageramp_core._internal.routing.slowdown import MAX_SLOT_COUNTS
from borageramp_core.routing import SlowdownProfile


def make_profile(
    ratios: Mapping[int, float], *, slots: int = 3, answers: int = 200, seed: int = 1
) -> SlowdownProfile:
    """Return what answers teach, whose times spread by a third."""
    rng = random.Random(seed)
    profile = SlowdownProfile()
    for _ in range(answers):
        for requests, ratio in ratios.items():
            profile.on_answer(
                ratio * rng.lognormvariate(-0.045, 0.3),
                requests=requests,
                slots=slots,
                cold=False,
            )
    return profile


def test_upstreams_that_slow_down_more_than_a_request_adds() -> None:
    """1.7 times as long at three of three slots: two are answered faster."""
    profile = make_profile({1: 1.0, 2: 1.0, 3: 1.7})
    assert profile.effective_slots(3) == 2


def test_upstreams_that_slow_down_little_are_filled() -> None:
    assert make_profile({1: 1.0, 2: 1.0, 3: 1.2}).effective_slots(3) == 3


def test_the_measure_is_the_upstreams_with_fewest_requests() -> None:
    """Where all answers are slow, the work itself may have grown."""
    profile = make_profile({1: 2.0, 2: 2.0, 3: 2.1})
    assert profile.effective_slots(3) == 3
    assert profile.factor(1, slots=3, cold=False) == 1.0


def test_nothing_is_held_back_before_full_upstreams_were_seen() -> None:
    assert SlowdownProfile().effective_slots(3) == 3
    assert make_profile({1: 1.0, 2: 1.0}).effective_slots(3) == 3
    assert make_profile({1: 1.0, 3: 1.7}, answers=5).effective_slots(3) == 3


def test_upstreams_of_other_sizes_are_apart() -> None:
    profile = make_profile({1: 1.0, 2: 1.0, 3: 1.7})
    assert profile.effective_slots(8) == 8


def test_cold_upstreams_are_expected_to_be_slow() -> None:
    profile = make_profile({1: 1.0})
    for _ in range(50):
        profile.on_answer(2.0, requests=1, slots=3, cold=True)
    assert abs(profile.factor(1, slots=3, cold=True) - 2.0) < 0.1
    assert profile.factor(1, slots=3, cold=False) == 1.0


def test_upstreams_that_report_nonsense_cost_no_memory() -> None:
    profile = make_profile({1: 1.0, 2: 1.0, 3: 1.7})
    for slots in range(10**9, 10**9 + 1000):
        profile.on_answer(1.0, requests=slots, slots=slots, cold=False)
        assert profile.effective_slots(slots) == slots
    assert len(profile._averages_by_slots) <= MAX_SLOT_COUNTS
