"""A try and, if it is slow, a hedge beside it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from borageramp_core import AttemptPlan, AttemptResult
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.serving.tries import Try
from borageramp_entry._internal.serving.upstreams import TryFailedError

__all__ = ["Race", "RaceLostError"]

Opening = asyncio.Future

HEDGE_PAUSE_S = 0.02


@dataclass(eq=False)
class RaceLostError(Exception):
    """No try of a race brought an answer.

    Attributes
    ----------
    last : Try
        The last one to fail.
    result : AttemptResult
        How it ended.
    """

    last: Try
    result: AttemptResult


class Race:
    """Runs a try, starts one hedge if it is slow, and keeps the first answer.

    Parameters
    ----------
    request : CallerRequest
        The request.
    plan : AttemptPlan
        Tries of the request.
    late_s : float
        Time after the deadline for which an answer is still wanted.
    start_hedge : callable
        Starts a second try beside the given one; ``None`` if not allowed.
    on_failed : callable
        Gets each try that fails, and how, before its slot is given back.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        plan: AttemptPlan,
        late_s: float,
        start_hedge: Callable[[Try], Try | None],
        on_failed: Callable[[Try, AttemptResult], None],
    ) -> None:
        self._request = request
        self._plan = plan
        self._late_s = late_s
        self._start_hedge = start_hedge
        self._on_failed = on_failed
        self._open: dict[Opening, Try] = {}

    async def run(self, first: Try, *, hedge_after_s: float | None) -> Try:
        """Return the try whose answer came first.

        Parameters
        ----------
        first : Try
            The first try.
        hedge_after_s : float or None
            Time after which a hedge starts; ``None`` for no hedge.

        Raises
        ------
        RaceLostError
            If no try brought an answer.
        """
        self._begin(first)
        try:
            return await self._first_answer(first, hedge_after_s)
        finally:
            for opening, other in self._open.items():
                other.cancel(opening)

    def _begin(self, started: Try) -> None:
        opening = asyncio.ensure_future(
            started.open(self._request, late_s=self._late_s)
        )
        self._open[opening] = started

    async def _first_answer(self, first: Try, hedge_after_s: float | None) -> Try:
        timeout_s = hedge_after_s
        while True:
            done, _ = await asyncio.wait(
                self._open, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                hedge = self._start_hedge(first)
                # Without room for it now, there may be some soon.
                timeout_s = HEDGE_PAUSE_S if hedge is None else None
                if hedge is not None:
                    self._begin(hedge)
                continue
            timeout_s = None
            winner = self._take(done)
            if winner is not None:
                return winner

    def _take(self, done: set[Opening]) -> Try | None:
        for opening in done:
            ended = self._open.pop(opening)
            error = opening.exception()
            if error is None:
                return ended
            result = AttemptResult.DIED
            if isinstance(error, TryFailedError):
                result = error.result
            self._on_failed(ended, result)
            ended.end(result)
            if not self._open:
                raise RaceLostError(last=ended, result=result) from error
            self._plan.on_concurrent_failure(result)
        return None
