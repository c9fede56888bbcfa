"""Connections to upstreams, by HTTP/1.1."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass

from borageramp_core import AttemptResult, LoadReport, Notice, Upstream
from borageramp_entry._internal.serving.dialect import (
    EntryDialect,
    HeadOfAnswer,
    UpstreamDialect,
)
from borageramp_entry._internal.serving.http_client import (
    HttpClient,
    NotConnectedError,
)
from borageramp_entry._internal.serving.http_response import (
    BrokenExchangeError,
    HttpResponse,
)
from borageramp_entry._internal.serving.requests import AnswerHead, CallerRequest

__all__ = [
    "HealthAnswer",
    "TryFailedError",
    "UpstreamAnswer",
    "UpstreamClient",
]

STATUS_OK = 200
# Idle connections are kept this long, and this many to one upstream.
IDLE_S = 30.0
MAX_IDLE = 32
NO_NOTICE = Notice()


class TryFailedError(Exception):
    """A try on an upstream brought no answer.

    Parameters
    ----------
    result : AttemptResult
        How it ended.
    report : LoadReport or None
        What the upstream said of itself.
    notice : Notice
        What it asked for.
    """

    def __init__(
        self,
        result: AttemptResult,
        report: LoadReport | None = None,
        *,
        notice: Notice = NO_NOTICE,
    ) -> None:
        super().__init__(str(result))
        self.result = result
        self.report = report
        self.notice = notice


@dataclass(kw_only=True, slots=True)
class UpstreamAnswer:
    """The head of an answer, and its body as it arrives.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    report : LoadReport or None
        What the upstream said of itself.
    notice : Notice
        What it asked for.
    """

    head: AnswerHead
    report: LoadReport | None
    _response: HttpResponse
    notice: Notice = NO_NOTICE

    @property
    def ready(self) -> bool:
        """Whether a part of the body can be read without waiting."""
        return self._response.ready

    async def read(self, idle_timeout_s: float) -> bytes:
        """Return the next part of the body, as it arrives.

        Parameters
        ----------
        idle_timeout_s : float
            Longest wait for a part.

        Returns
        -------
        bytes
            The part; empty at the end of a whole body.

        Raises
        ------
        TryFailedError
            If the body was cut short.
        TimeoutError
            If no part came in time.
        """
        try:
            if self._response.ready:
                return await self._response.read()
            async with asyncio.timeout(idle_timeout_s):
                return await self._response.read()
        except BrokenExchangeError as error:
            raise TryFailedError(AttemptResult.DIED) from error

    def abort(self) -> None:
        """Drop the rest of the answer and its connection."""
        self._response.abort()


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthAnswer:
    """An answer of an upstream's health endpoint.

    Attributes
    ----------
    healthy : bool
        Whether the upstream says that it is well.
    report : LoadReport or None
        What else it said of itself.
    notice : Notice
        What it asked for.
    """

    healthy: bool
    report: LoadReport | None
    notice: Notice = NO_NOTICE


class UpstreamClient:
    """Sends requests to upstreams over kept connections.

    Parameters
    ----------
    dialect : UpstreamDialect, optional
        Headers of requests and answers; by default this project's own.
    idle_s : float
        Time for which an idle connection is kept if the upstream doesn't say.
    """

    def __init__(
        self, *, dialect: UpstreamDialect | None = None, idle_s: float = IDLE_S
    ) -> None:
        self._dialect = dialect or EntryDialect()
        self._http = HttpClient(idle_s=idle_s, max_idle=MAX_IDLE, max_idle_s=IDLE_S)

    @property
    def opened(self) -> int:
        """Connections opened."""
        return self._http.opened

    async def send(
        self,
        upstream: Upstream,
        request: CallerRequest,
        *,
        timeout_s: float,
        deadline_ms: int,
        connect_timeout_s: float,
    ) -> UpstreamAnswer:
        """Send a request and wait for the head of the answer.

        Parameters
        ----------
        upstream : Upstream
            Where to send it.
        request : CallerRequest
            The request.
        timeout_s : float
            Time for the head of the answer.
        deadline_ms : int
            Time that the upstream is told it has.
        connect_timeout_s : float
            Time for opening a connection.

        Returns
        -------
        UpstreamAnswer
            The answer; its body may still be on its way.

        Raises
        ------
        TryFailedError
            If no answer came, or the upstream shed the request.
        """
        asked = self._http.request(
            (upstream.host, upstream.port),
            request.method,
            request.path,
            headers=self._dialect.request_headers(
                request, upstream=upstream, deadline_ms=deadline_ms
            ),
            body=request.body,
            upload=request.upload,
            connect_timeout_s=connect_timeout_s,
            # On a connection that was idle, a break would leave it open
            # whether a keyed request ran; it must not be lost to that.
            fresh=bool(request.key),
        )
        response = await _head(asked, timeout_s=timeout_s)
        read = self._read_head(response, request_id=request.request_id)
        if read.not_run:
            response.discard()
            raise TryFailedError(AttemptResult.SHED, read.report, notice=read.notice)
        return UpstreamAnswer(
            head=read.head,
            report=read.report,
            notice=read.notice,
            _response=response,
        )

    def _read_head(self, response: HttpResponse, *, request_id: str) -> HeadOfAnswer:
        read = self._dialect.read_head(
            response.status, response.headers, request_id=request_id
        )
        if read.foreign:
            # An answer to an earlier request; ours may still come, or not.
            response.close_connection()
            raise TryFailedError(AttemptResult.DIED)
        return read

    async def ask_health(
        self,
        upstream: Upstream,
        path: str,
        *,
        timeout_s: float,
        connect_timeout_s: float,
    ) -> HealthAnswer:
        """Ask an upstream's health endpoint.

        Parameters
        ----------
        upstream : Upstream
            Whom to ask.
        path : str
            Path of the endpoint.
        timeout_s, connect_timeout_s : float
            Time for the answer, and for opening a connection.

        Raises
        ------
        TryFailedError
            If no answer came.
        """
        asked = self._http.request(
            (upstream.host, upstream.port),
            "GET",
            path,
            connect_timeout_s=connect_timeout_s,
        )
        response = await _head(asked, timeout_s=timeout_s)
        response.discard()
        read = self._read_head(response, request_id="")
        healthy = response.status == STATUS_OK
        return HealthAnswer(healthy=healthy, report=read.report, notice=read.notice)

    def forget(self, upstream: Upstream, *, idle_before_s: float = float("inf")) -> int:
        """Close idle connections to an upstream; see :meth:`HttpClient.forget`."""
        place = (upstream.host, upstream.port)
        return self._http.forget(place, idle_before_s=idle_before_s)

    async def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


async def _head(asked: Awaitable[HttpResponse], *, timeout_s: float) -> HttpResponse:
    try:
        async with asyncio.timeout(timeout_s):
            return await asked
    except TimeoutError:
        raise TryFailedError(AttemptResult.TIMED_OUT) from None
    except NotConnectedError as error:
        raise TryFailedError(AttemptResult.UNREACHABLE) from error
    except BrokenExchangeError as error:
        raise TryFailedError(AttemptResult.DIED) from error
