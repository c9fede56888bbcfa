"""Connections to upstreams, by HTTP/1.1."""

import asyncio
import io
from collections import deque
from dataclasses import dataclass
from typing import Any, cast

from twisted.internet import defer, protocol
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.client import Agent, RequestNotSent, ResponseDone
from twisted.web.client import FileBodyProducer as _FileBodyProducer

from borageramp_core import LoadReport, Result, Upstream
from borageramp_entry._internal.serving.connections import ConnectionPool
from borageramp_entry._internal.serving.dialect import EntryDialect, UpstreamDialect
from borageramp_entry._internal.serving.endpoints import (
    EndpointFactory,
    upstream_url,
)
from borageramp_entry._internal.serving.requests import AnswerHead, CallerRequest

__all__ = [
    "HealthAnswer",
    "TryFailedError",
    "UpstreamAnswer",
    "UpstreamClient",
]

# Bytes of an answer held for a slow reader before the upstream is paused.
BUFFER_BYTES = 65_536
STATUS_OK = 200
# Idle connections are kept this long, and this many to one upstream.
IDLE_S = 30.0
MAX_IDLE = 32


class TryFailedError(Exception):
    """A try on an upstream brought no answer.

    Parameters
    ----------
    result : Result
        How it ended.
    report : LoadReport or None
        What the upstream said of itself.
    """

    def __init__(self, result: Result, report: LoadReport | None = None) -> None:
        super().__init__(str(result))
        self.result = result
        self.report = report


class _Body(protocol.Protocol):
    """Receives the body of an answer, with back-pressure."""

    def __init__(self) -> None:
        self._chunks: deque[bytes] = deque()
        self._held_bytes = 0
        self._paused = False
        self._wake = asyncio.Event()
        self._ended = False
        self._whole = False

    def dataReceived(self, data: bytes) -> None:
        self._chunks.append(data)
        self._held_bytes += len(data)
        self._wake.set()
        if self._held_bytes > BUFFER_BYTES and not self._paused:
            self._paused = True
            cast(Any, self.transport).pauseProducing()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self._ended = True
        self._whole = reason.check(ResponseDone) is not None
        self._wake.set()

    @property
    def ready(self) -> bool:
        """Whether a part can be read without waiting."""
        return bool(self._chunks) or self._ended

    async def read(self, idle_timeout_s: float) -> bytes:
        """Return the next part; empty at the end, raise if cut short."""
        while not self.ready:
            self._wake.clear()
            async with asyncio.timeout(idle_timeout_s):
                await self._wake.wait()
        if self._chunks:
            chunk = self._chunks.popleft()
            self._held_bytes -= len(chunk)
            self._resume()
            return chunk
        if not self._whole:
            raise TryFailedError(Result.DIED)
        return b""

    def _resume(self) -> None:
        if self._paused and self._held_bytes <= BUFFER_BYTES and not self._ended:
            self._paused = False
            cast(Any, self.transport).resumeProducing()

    def abort(self) -> None:
        """Close the connection, so that it isn't used again."""
        if not self._ended and self.transport is not None:
            cast(Any, self.transport).stopProducing()


@dataclass(kw_only=True, slots=True)
class UpstreamAnswer:
    """The head of an answer, and its body as it arrives.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    report : LoadReport or None
        What the upstream said of itself.
    """

    head: AnswerHead
    report: LoadReport | None
    _body: _Body

    @property
    def ready(self) -> bool:
        """Whether a part of the body can be read without waiting."""
        return self._body.ready

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
        return await self._body.read(idle_timeout_s)

    def abort(self) -> None:
        """Drop the rest of the answer and its connection."""
        self._body.abort()


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthAnswer:
    """An answer of an upstream's health endpoint.

    Attributes
    ----------
    healthy : bool
        Whether the upstream says that it is well.
    report : LoadReport or None
        What else it said of itself.
    """

    healthy: bool
    report: LoadReport | None


class UpstreamClient:
    """Sends requests to upstreams over kept connections.

    Parameters
    ----------
    reactor : IReactorTime
        The running reactor.
    dialect : UpstreamDialect, optional
        Headers of requests and answers; by default this project's own.
    idle_s : float
        Time for which an idle connection is kept.
    """

    def __init__(
        self,
        *,
        reactor: IReactorTime,
        dialect: UpstreamDialect | None = None,
        idle_s: float = IDLE_S,
    ) -> None:
        self._reactor = reactor
        self._dialect = dialect or EntryDialect()
        self.pool = ConnectionPool(reactor=reactor, idle_s=idle_s, max_idle=MAX_IDLE)
        self._agents: dict[tuple[float, bool], Agent] = {}

    def _agent(self, connect_timeout_s: float, *, fresh: bool) -> Agent:
        agent = self._agents.get((connect_timeout_s, fresh))
        if agent is None:
            factory = EndpointFactory(
                reactor=self._reactor, connect_timeout_s=connect_timeout_s
            )
            pool: Any = None if fresh else self.pool
            agent = Agent.usingEndpointFactory(self._reactor, factory, pool=pool)
            self._agents[connect_timeout_s, fresh] = agent
        return agent

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
        headers = self._dialect.request_headers(
            request, upstream=upstream, deadline_ms=deadline_ms
        )
        # On a connection that was idle, a break would leave it open whether
        # the request ran; a keyed request must not be lost to that.
        agent = self._agent(connect_timeout_s, fresh=bool(request.key))
        deferred = agent.request(
            request.method.encode(),
            upstream_url(upstream, request.path),
            headers,
            _producer(request.body),
        )
        response = await self._response(deferred, timeout_s=timeout_s)
        return self._answer(response, request_id=request.request_id)

    async def _response(
        self, deferred: "defer.Deferred[Any]", *, timeout_s: float
    ) -> Any:
        answering = _as_future(deferred)
        try:
            async with asyncio.timeout(timeout_s):
                return await answering
        except TimeoutError:
            _drop(answering)
            raise TryFailedError(Result.TIMED_OUT) from None
        except (ConnectError, ConnectingCancelledError, RequestNotSent):
            raise TryFailedError(Result.UNREACHABLE) from None
        except asyncio.CancelledError:
            _drop(answering)
            raise
        except Exception as error:
            raise TryFailedError(Result.DIED) from error

    def _answer(self, response: Any, *, request_id: str) -> UpstreamAnswer:
        body = _Body()
        response.deliverBody(body)
        read = self._dialect.read_head(
            response.code, response.headers, request_id=request_id
        )
        if read.foreign:
            # An answer to an earlier request; ours may still come, or not.
            body.abort()
            raise TryFailedError(Result.DIED)
        if read.not_run:
            raise TryFailedError(Result.SHED, read.report)
        return UpstreamAnswer(head=read.head, report=read.report, _body=body)

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
        agent = self._agent(connect_timeout_s, fresh=False)
        deferred = agent.request(b"GET", upstream_url(upstream, path))
        response = await self._response(deferred, timeout_s=timeout_s)
        read = self._dialect.read_head(response.code, response.headers, request_id="")
        body = _Body()
        response.deliverBody(body)
        if read.foreign:
            body.abort()
            raise TryFailedError(Result.DIED)
        return HealthAnswer(healthy=response.code == STATUS_OK, report=read.report)

    async def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


def _as_future(deferred: "defer.Deferred[Any]") -> "asyncio.Future[Any]":
    return deferred.asFuture(asyncio.get_running_loop())


def _drop(answering: "asyncio.Future[Any]") -> None:
    """Close the connection of an answer that came too late to be wanted."""
    if answering.cancelled() or not answering.done() or answering.exception():
        return
    body = _Body()
    answering.result().deliverBody(body)
    body.abort()


def _producer(body: bytes) -> Any:
    if not body:
        return None
    return _FileBodyProducer(io.BytesIO(body))
