"""Log lines of the attempts of a request."""

from collections.abc import Callable

from borageramp_core import AttemptResult
from borageramp_core.routing import Instance, PlacementChoice, Reach, ServicePool
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.attempts import Attempt

__all__ = ["AttemptLog"]

_log = get_logger(__name__)


class AttemptLog:
    """Writes the log lines of one request's attempts.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    pool : ServicePool
        Upstreams of its service.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self, *, request_id: str, pool: ServicePool, clock: Callable[[], float]
    ) -> None:
        self._request_id = request_id
        self._pool = pool
        self._clock = clock
        self._retry_denied = False

    def placed(
        self, choice: PlacementChoice, *, try_number: int, caller_age_s: float
    ) -> None:
        """Log an attempt on an upstream."""
        view = choice.view
        _log.info(
            "placed",
            request_id=self._request_id,
            upstream=view.registration.id,
            version=view.registration.version or None,
            try_number=try_number,
            expected_ms=round(choice.expected_s * 1000, 1),
            pace=view.pace,
            in_flight=view.load.in_flight,
            others=view.load.others,
            report_age_ms=_age_ms(view.report_age_s(now_s=self._clock())),
            candidates=choice.candidate_count,
            caller_age_ms=round(caller_age_s * 1000, 1),
            limit_hz=view.rate_limit.hz if view.rate_limit.in_force else None,
        )

    def forwarded(self, peer: Instance, *, try_number: int, reach: Reach) -> None:
        """Log an attempt through another instance."""
        _log.info(
            "forwarded",
            request_id=self._request_id,
            instance=peer.name,
            service=self._pool.name,
            try_number=try_number,
            reach=reach.value,
            service_answer_age_ms=self._answer_age_ms(),
        )

    def ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Log the end of an attempt."""
        _log.info(
            "try ended",
            request_id=self._request_id,
            upstream=attempt.view.registration.id if attempt.view else None,
            instance=attempt.peer_name,
            result=result.value,
            took_ms=round(attempt.elapsed_s * 1000, 1),
            service_answer_age_ms=self._answer_age_ms(),
        )

    def retry_denied(self, *, in_flight: int) -> None:
        """Log, once, that the retry budget allowed no further attempt."""
        if self._retry_denied:
            return
        self._retry_denied = True
        _log.info(
            "retry denied",
            request_id=self._request_id,
            service=self._pool.name,
            in_flight=in_flight,
        )

    def _answer_age_ms(self) -> float | None:
        now_s = self._clock()
        return _age_ms(self._pool.reachability.answer_age_s(now_s=now_s))


def _age_ms(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s * 1000, 1)
