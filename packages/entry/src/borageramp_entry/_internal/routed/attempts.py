"""One attempt of a routed request on one upstream."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from borageramp_core import AttemptResult, LoadReport, Notice
from borageramp_core.routing import (
    AnswerKind,
    PlacementChoice,
    UpstreamView,
    WorkEstimate,
)
from borageramp_entry._internal.routed.answer_buffers import (
    AnswerBuffer,
    AnswerBuffers,
)
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.serving.upstreams import (
    TryFailedError,
    UpstreamAnswer,
    UpstreamClient,
)

__all__ = [
    "Attempt",
    "RoutedAnswer",
    "RoutedAttempt",
    "answer_buffers",
    "buffer_body",
]

# Each process is one instance.
answer_buffers = AnswerBuffers()
CONNECT_TIMEOUT_S = 0.3
MIN_ERROR_STATUS = 500


@dataclass(kw_only=True, slots=True)
class RoutedAnswer:
    """The answer of an upstream, with the part of its body read so far.

    Attributes
    ----------
    upstream_answer : UpstreamAnswer
        Its head and the unread part of the body.
    body : bytes
        The part of the body read so far.
    complete : bool
        Whether ``body`` is the complete body.
    buffer : AnswerBuffer
        Counts ``body`` while the answer is in use.
    """

    upstream_answer: UpstreamAnswer
    body: bytes
    complete: bool
    buffer: AnswerBuffer

    def take_body(self) -> bytes:
        """Return the part that was read, which is held no longer."""
        body, self.body = self.body, b""
        self.buffer.release()
        return body

    @property
    def failed(self) -> bool:
        """Whether the upstream answered with a server error."""
        return self.upstream_answer.head.status >= MIN_ERROR_STATUS


async def buffer_body(
    answer: UpstreamAnswer, *, deadline_s: float, clock: Callable[[], float]
) -> RoutedAnswer:
    """Read the body of an answer, or the first part of a large one.

    Parameters
    ----------
    answer : UpstreamAnswer
        The answer.
    deadline_s : float
        Time at which reading ends.
    clock : callable
        Returns the current time in seconds.

    Raises
    ------
    TryFailedError
        If the body was cut short or did not arrive in time.
    """
    buffer = answer_buffers.open()
    complete = False
    while not complete and not buffer.is_full:
        try:
            chunk = await answer.read(max(0.0, deadline_s - clock()))
        except TimeoutError:
            raise TryFailedError(AttemptResult.TIMED_OUT) from None
        buffer.add(chunk)
        complete = not chunk
    return RoutedAnswer(
        upstream_answer=answer, body=buffer.take(), complete=complete, buffer=buffer
    )


class Attempt(Protocol):
    """An attempt of a request, on an upstream or through another instance.

    Attributes
    ----------
    view : UpstreamView or None
        The upstream; ``None`` if another instance chooses it.
    peer_name : str or None
        Name of that instance.
    """

    view: UpstreamView | None
    peer_name: str | None

    async def run(self, request: CallerRequest) -> RoutedAnswer:
        """Send the request and read the answer, or the first part of a large one.

        Raises
        ------
        TryFailedError
            If there is no answer, or it was truncated.
        """

    @property
    def elapsed_s(self) -> float:
        """Time since the start of the attempt."""


class RoutedAttempt:
    """An attempt of a request on a chosen upstream.

    Parameters
    ----------
    choice : PlacementChoice
        The chosen upstream.
    pools : PoolRegistry
        Upstream pools of all services.
    work : WorkEstimate
        Work estimate of the route.
    client : UpstreamClient
        Connections to upstreams.
    clock : callable
        Returns the current time in seconds.
    route : str
        Name of the route.
    """

    def __init__(
        self,
        *,
        choice: PlacementChoice,
        pools: PoolRegistry,
        work: WorkEstimate,
        client: UpstreamClient,
        clock: Callable[[], float],
        route: str = "",
    ) -> None:
        self.view: UpstreamView | None = choice.view
        self.peer_name: str | None = None
        self._view = choice.view
        self.started_at_s = clock()
        self._initial_pace = choice.view.pace
        self._load_snapshot = choice.view.load_snapshot(now_s=self.started_at_s)
        self._pools = pools
        self._pool = pools.pool(choice.view.registration.service)
        self._work_estimate = work
        self._client = client
        self._clock = clock
        self._finished = False
        self._route = route
        self._flight = pools.rollouts.start(choice.view)
        pools.on_attempt(choice.view)

    def __del__(self) -> None:
        # A task that is cancelled before its first step never calls run.
        self.finish(AttemptResult.CANCELLED)

    async def run(self, request: CallerRequest) -> RoutedAnswer:
        """Send the request and read the answer, or the first part of a large one.

        Raises
        ------
        TryFailedError
            If there is no answer, or it was truncated.
        """
        try:
            return await self._run(request)
        except TryFailedError as error:
            self._record_failure(error)
            self.finish(error.result)
            raise
        except asyncio.CancelledError:
            self.finish(AttemptResult.CANCELLED)
            raise

    async def _run(self, request: CallerRequest) -> RoutedAnswer:
        remaining_s = request.deadline_s - self._clock()
        answer = await self._client.send(
            self._view.upstream,
            request,
            timeout_s=max(0.0, remaining_s),
            deadline_ms=int(remaining_s * 1000),
            connect_timeout_s=min(CONNECT_TIMEOUT_S, max(0.01, remaining_s)),
        )
        self._pools.on_reached(self._view)
        self._record_report(answer.report, answer.notice)
        try:
            routed_answer = await buffer_body(
                answer, deadline_s=request.deadline_s, clock=self._clock
            )
        except BaseException:
            answer.abort()
            raise
        self._record_answer(routed_answer)
        return routed_answer

    def _record_failure(self, error: TryFailedError) -> None:
        if error.result is AttemptResult.UNREACHABLE:
            self._pools.on_unreached(self._view, error.result)
        elif error.result is AttemptResult.SHED:
            self._pools.on_reached(self._view)
        self._record_report(error.report, error.notice)

    def _record_report(self, report: LoadReport | None, notice: Notice) -> None:
        """Record the upstream's load report and notice as soon as they arrive."""
        now_s = self._clock()
        if report is not None:
            self._view.on_report(report, now_s=now_s)
        self._pools.on_notice(
            self._view,
            notice,
            kind=AnswerKind.REQUEST,
            sent_at_s=self.started_at_s,
            now_s=now_s,
        )

    def _record_answer(self, routed_answer: RoutedAnswer) -> None:
        if not routed_answer.complete:
            # The upstream still sends the rest.
            routed_answer.buffer.flight = self._flight
        if routed_answer.failed:
            self.finish(AttemptResult.ERROR)
            return
        self._pool.record_latency(
            self._work_estimate,
            self.elapsed_s,
            pace=self._initial_pace,
            load=self._load_snapshot,
        )
        self.finish(AttemptResult.ANSWERED)

    @property
    def elapsed_s(self) -> float:
        """Time since the start of the attempt."""
        return self._clock() - self.started_at_s

    def finish(self, result: AttemptResult) -> None:
        """Release the slot and record the result; further calls do nothing."""
        if self._finished:
            return
        self._finished = True
        self._flight.record(
            self._route,
            result,
            elapsed_s=self.elapsed_s,
            usual_s=self._work_estimate.mean_s,
            cold=self._load_snapshot.cold,
        )
        # An answer that is still being sent holds it, until it is read or given up.
        del self._flight
        self._pool.end_request(self._view, result, now_s=self._clock())
