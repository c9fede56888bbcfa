"""Limits on the use of upstreams that slow down when nearly full."""

import random
from collections.abc import Mapping

from borageramp_core._internal.routing.slowdown import MAX_SLOT_COUNTS
from borageramp_core.routing import SlowdownProfile


def make_profile(
    ratios: Mapping[int, float], *, slots: int = 3, answers: int = 200, seed: int = 1
) -> SlowdownProfile:
    """Return a profile of answers whose latencies have a log-normal sigma of 0.3."""
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


def test_slots_that_lower_the_throughput_are_not_used() -> None:
    """At 1.7 times the latency, three requests have less throughput than two."""
    profile = make_profile({1: 1.0, 2: 1.0, 3: 1.7})
    assert profile.effective_slots(3) == 2


def test_upstreams_that_slow_down_little_are_filled() -> None:
    assert make_profile({1: 1.0, 2: 1.0, 3: 1.2}).effective_slots(3) == 3


def test_the_baseline_is_the_upstreams_with_fewest_requests() -> None:
    """If answers are slow at any load, the requests may have become longer."""
    profile = make_profile({1: 2.0, 2: 2.0, 3: 2.1})
    assert profile.effective_slots(3) == 3
    assert profile.factor(1, slots=3, cold=False) == 1.0


def test_all_slots_are_used_before_full_upstreams_were_measured() -> None:
    assert SlowdownProfile().effective_slots(3) == 3
    assert make_profile({1: 1.0, 2: 1.0}).effective_slots(3) == 3
    assert make_profile({1: 1.0, 3: 1.7}, answers=5).effective_slots(3) == 3


def test_upstreams_are_measured_by_their_slots() -> None:
    profile = make_profile({1: 1.0, 2: 1.0, 3: 1.7})
    assert profile.effective_slots(8) == 8


def test_cold_upstreams_are_expected_to_be_slow() -> None:
    profile = make_profile({1: 1.0})
    for _ in range(50):
        profile.on_answer(2.0, requests=1, slots=3, cold=True)
    assert abs(profile.factor(1, slots=3, cold=True) - 2.0) < 0.1
    assert profile.factor(1, slots=3, cold=False) == 1.0


def test_many_reported_slot_counts_take_bounded_memory() -> None:
    profile = make_profile({1: 1.0, 2: 1.0, 3: 1.7})
    for slots in range(10**9, 10**9 + 1000):
        profile.on_answer(1.0, requests=slots, slots=slots, cold=False)
        assert profile.effective_slots(slots) == slots
    assert len(profile._averages_by_slots) <= MAX_SLOT_COUNTS
