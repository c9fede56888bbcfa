"""One try of a request on one upstream."""

import asyncio
from collections.abc import Callable

from borageramp_core import AttemptResult, Finished, LoadReport, Placed
from borageramp_entry._internal.serving.placement import PlacementTask
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.serving.upstreams import (
    TryFailedError,
    UpstreamAnswer,
    UpstreamClient,
)

__all__ = ["Try"]

STATUS_ERROR = 500


class Try:
    """A try that an upstream was chosen for.

    Its slot is given back once, by :meth:`end`.

    Parameters
    ----------
    placed : Placed
        The decision.
    task : PlacementTask
        Task of the service.
    client : UpstreamClient
        Connections to upstreams.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        placed: Placed,
        task: PlacementTask,
        client: UpstreamClient,
        clock: Callable[[], float],
    ) -> None:
        self.upstream = placed.upstream
        self.answer: UpstreamAnswer | None = None
        self._id = placed.request.request_id
        self._task = task
        self._client = client
        self._clock = clock
        self._started_at_s = clock()
        self._latency_s = 0.0
        self._report: LoadReport | None = None
        self._ended = False

    async def open(self, request: CallerRequest, *, late_s: float) -> UpstreamAnswer:
        """Send the request and wait for the head of the answer.

        Parameters
        ----------
        request : CallerRequest
            The request.
        late_s : float
            Time after the deadline for which the answer is still wanted.

        Raises
        ------
        TryFailedError
            If no answer came.
        """
        left_s = request.deadline_s - self._clock()
        try:
            self.answer = await self._client.send(
                self.upstream,
                request,
                timeout_s=max(0.0, left_s) + late_s,
                deadline_ms=int(left_s * 1000),
                connect_timeout_s=self._task.balancer.service.policy.connect_timeout_s,
            )
        except TryFailedError as error:
            self._report = error.report
            self._stop_clock()
            raise
        self._report = self.answer.report
        self._stop_clock()
        return self.answer

    def _stop_clock(self) -> None:
        self._latency_s = self._clock() - self._started_at_s

    @property
    def latency_s(self) -> float:
        """Time to the head of the answer."""
        return self._latency_s

    @property
    def head_result(self) -> AttemptResult:
        """What the head of the answer says of the try."""
        if self.answer is not None and self.answer.head.status >= STATUS_ERROR:
            return AttemptResult.ERROR
        return AttemptResult.ANSWERED

    def end(self, result: AttemptResult) -> None:
        """Give the slot back."""
        if self._ended:
            return
        self._ended = True
        if result is AttemptResult.CANCELLED and self.answer is None:
            self._stop_clock()
        if self.answer is not None and result in (
            AttemptResult.CANCELLED,
            AttemptResult.DIED,
        ):
            self.answer.abort()
        finished = Finished(
            request_id=self._id,
            result=result,
            latency_s=self._latency_s,
            report=self._report,
        )
        self._task.finish(self._id, result, finished=finished)

    def discard(self) -> None:
        """Drop an answer that says it failed, and give the slot back."""
        if self.answer is not None:
            self.answer.abort()
        self.end(AttemptResult.ERROR)

    def cancel(self, opening: "asyncio.Future[UpstreamAnswer]") -> None:
        """Cancel the try at the upstream, and give the slot back."""
        opening.cancel()
        self.end(AttemptResult.CANCELLED)
