"""Estimates of how long callers have waited, from their deadlines."""

import random

from borageramp_core.routing import DeadlineProfile


def make_profile(
    *shares: tuple[float, float, float], count: int = 500, seed: int = 1
) -> DeadlineProfile:
    """Return a profile of ``count`` requests with random deadlines.

    Parameters
    ----------
    shares : tuple of (float, float, float)
        Share of the requests, and the bounds of their deadlines in seconds.
    count : int
        Number of requests.
    seed : int
        Seed of the deadlines.
    """
    rng = random.Random(seed)
    profile = DeadlineProfile()
    weights = [share for share, _, _ in shares]
    for _ in range(count):
        _, low_s, high_s = rng.choices(shares, weights)[0]
        profile.on_request(rng.uniform(low_s, high_s))
    return profile


def test_slightly_different_deadlines_are_all_first_attempts() -> None:
    profile = make_profile((1.0, 1.7, 2.0))
    assert profile.caller_age_s(1.85) == 0.0 and profile.caller_age_s(1.99) == 0.0


def test_a_caller_with_less_time_than_the_others_is_a_retry() -> None:
    profile = make_profile((0.95, 1.7, 2.0), (0.05, 0.2, 1.6))
    assert profile.caller_age_s(1.9) == 0.0
    assert 0.35 < profile.caller_age_s(1.4) < 0.55


def test_a_common_shorter_deadline_is_a_first_attempt() -> None:
    """Both kinds arrive without overload, so neither is taken for retries."""
    profile = make_profile((0.7, 1.9, 2.0), (0.3, 0.9, 1.0))
    assert profile.caller_age_s(0.95) == 0.0
    assert profile.caller_age_s(0.5) > 0.0


def test_with_few_samples_only_a_much_shorter_deadline_is_a_retry() -> None:
    profile = make_profile((1.0, 1.9, 2.0), count=5)
    assert profile.caller_age_s(1.7) == 0.0
    assert profile.caller_age_s(1.0) > 0.8


def test_the_profile_adapts_to_deadlines_that_callers_change() -> None:
    profile = make_profile((1.0, 1.9, 2.0), count=1000)
    for _ in range(20_000):
        profile.on_request(0.9)
    assert profile.caller_age_s(0.9) == 0.0


def test_expired_deadlines_are_ignored() -> None:
    profile = DeadlineProfile()
    profile.on_request(0.0)
    profile.on_request(-1.0)
    assert profile.caller_age_s(1.0) == 0.0
