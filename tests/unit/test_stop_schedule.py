"""Times of a planned stop."""

import pytest

from borageramp_core.routing import StopSchedule

TIMEOUTS_S = [0.5, 1.0, 3.0, 4.0, 6.0, 10.0, 30.0]


# Guards against requests that are given up before the last sixth of the time, from
# which on the platform excuses it.
@pytest.mark.parametrize("timeout_s", TIMEOUTS_S)
def test_requests_run_until_the_last_sixth_of_the_time(timeout_s: float) -> None:
    schedule = StopSchedule.within(timeout_s)
    assert schedule.requests_end_s >= timeout_s * 5 / 6


# Guards against a process that is killed before it has answered its last requests.
@pytest.mark.parametrize("timeout_s", TIMEOUTS_S)
def test_time_is_left_to_answer_and_to_exit(timeout_s: float) -> None:
    schedule = StopSchedule.within(timeout_s)
    assert schedule.requests_end_s < schedule.answers_end_s < timeout_s


def test_a_long_time_is_used_but_for_what_answers_and_exit_take() -> None:
    schedule = StopSchedule.within(30.0)
    assert schedule.requests_end_s == pytest.approx(29.4)
    assert schedule.answers_end_s == pytest.approx(29.5)
