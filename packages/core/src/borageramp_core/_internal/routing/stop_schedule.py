"""Times of a planned stop, from the time after which the process is killed."""

from dataclasses import dataclass

__all__ = ["StopSchedule"]

# Time to close the connections and exit, and time before that to answer the requests
# that are given up.
EXIT_TIME_S = 0.5
ANSWER_TIME_S = 0.1
# Limits on these as shares of the whole time. Together they stay below a sixth of it:
# before that, no request may be given up that an upstream works on.
MAX_EXIT_SHARE = 1 / 12
MAX_ANSWER_SHARE = 1 / 60


@dataclass(frozen=True, kw_only=True, slots=True)
class StopSchedule:
    """Times of a planned stop, in seconds from its start.

    Attributes
    ----------
    requests_end_s : float
        Requests without an answer are given up, and their callers told.
    answers_end_s : float
        Answers that are still being sent are cut, and the process exits.
    """

    requests_end_s: float
    answers_end_s: float

    @classmethod
    def within(cls, timeout_s: float) -> "StopSchedule":
        """Return the schedule of a stop after which the process is killed.

        Parameters
        ----------
        timeout_s : float
            Time from the start of the stop until the process is killed, in seconds.
        """
        exit_time_s = min(EXIT_TIME_S, MAX_EXIT_SHARE * timeout_s)
        answer_time_s = min(ANSWER_TIME_S, MAX_ANSWER_SHARE * timeout_s)
        answers_end_s = timeout_s - exit_time_s
        return cls(
            requests_end_s=answers_end_s - answer_time_s, answers_end_s=answers_end_s
        )
