"""One try of a routed request on one upstream."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from borageramp_core import LoadReport, Notice, Result
from borageramp_core.routing import PlacementChoice, WorkEstimate
from borageramp_entry._internal.routed.pools import Pools
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.serving.upstreams import (
    TryFailedError,
    UpstreamAnswer,
    UpstreamClient,
)

__all__ = ["RoutedAnswer", "RoutedTry"]

# An answer up to this size is read whole before any of it goes to the caller,
# so that one that is cut short can be asked for again.
MAX_HELD_BYTES = 1_048_576
CONNECT_TIMEOUT_S = 0.3
STATUS_ERROR = 500


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedAnswer:
    """An answer of an upstream.

    Attributes
    ----------
    answer : UpstreamAnswer
        Its head, and the part of the body that is not read yet.
    body : bytes
        The part that was read.
    whole : bool
        Whether that is all.
    """

    answer: UpstreamAnswer
    body: bytes
    whole: bool

    @property
    def failed(self) -> bool:
        """Whether the upstream says that it failed."""
        return self.answer.head.status >= STATUS_ERROR


class RoutedTry:
    """A try that an upstream was chosen for.

    Parameters
    ----------
    chosen : PlacementChoice
        The upstream.
    pools : Pools
        All upstreams.
    work : WorkEstimate
        Work of the route.
    client : UpstreamClient
        Connections to upstreams.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        chosen: PlacementChoice,
        pools: Pools,
        work: WorkEstimate,
        client: UpstreamClient,
        clock: Callable[[], float],
    ) -> None:
        self.view = chosen.view
        self.started_at_s = clock()
        self._pace_then = chosen.view.pace
        self._load_snapshot = chosen.view.load_snapshot(now_s=self.started_at_s)
        self._pools = pools
        self._pool = pools.pool(chosen.view.registration.service)
        self._work = work
        self._client = client
        self._clock = clock
        self._ended = False

    async def run(self, request: CallerRequest) -> RoutedAnswer:
        """Send the request and read the answer, or the first part of it.

        Raises
        ------
        TryFailedError
            If there is no answer, or it was cut short.
        """
        try:
            return await self._run(request)
        except TryFailedError as error:
            self._take_in(error.report, error.notice)
            self.end(error.result)
            raise
        except asyncio.CancelledError:
            self.end(Result.CANCELLED)
            raise

    async def _run(self, request: CallerRequest) -> RoutedAnswer:
        left_s = request.deadline_s - self._clock()
        answer = await self._client.send(
            self.view.upstream,
            request,
            timeout_s=max(0.0, left_s),
            deadline_ms=int(left_s * 1000),
            connect_timeout_s=min(CONNECT_TIMEOUT_S, max(0.01, left_s)),
        )
        self._take_in(answer.report, answer.notice)
        try:
            read = await self._read(answer, request)
        except BaseException:
            answer.abort()
            raise
        self._learn(read)
        return read

    def _take_in(self, report: LoadReport | None, notice: Notice) -> None:
        """Take in what the upstream says of itself, as soon as it is there."""
        now_s = self._clock()
        if report is not None:
            self.view.on_report(report, now_s=now_s)
        self._pools.take_notice(self.view, notice, now_s=now_s)

    async def _read(
        self, answer: UpstreamAnswer, request: CallerRequest
    ) -> RoutedAnswer:
        parts: list[bytes] = []
        held_bytes = 0
        while held_bytes <= MAX_HELD_BYTES:
            left_s = request.deadline_s - self._clock()
            try:
                part = await answer.read(max(0.0, left_s))
            except TimeoutError:
                raise TryFailedError(Result.TIMED_OUT) from None
            if not part:
                return RoutedAnswer(answer=answer, body=b"".join(parts), whole=True)
            parts.append(part)
            held_bytes += len(part)
        return RoutedAnswer(answer=answer, body=b"".join(parts), whole=False)

    def _learn(self, read: RoutedAnswer) -> None:
        if read.failed:
            self.end(Result.ERROR)
            return
        self._pool.record_latency(
            self._work, self.elapsed_s, pace=self._pace_then, load=self._load_snapshot
        )
        self.end(Result.ANSWERED)

    @property
    def elapsed_s(self) -> float:
        """Time since the try began."""
        return self._clock() - self.started_at_s

    def end(self, result: Result) -> None:
        """Give the slot back, once."""
        if self._ended:
            return
        self._ended = True
        self._pool.end_request(self.view, result, now_s=self._clock())
