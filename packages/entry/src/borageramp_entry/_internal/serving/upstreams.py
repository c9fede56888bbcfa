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
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    ResponseDone,
)
from twisted.web.client import FileBodyProducer as _FileBodyProducer
from twisted.web.http_headers import Headers as HttpHeaders

from borageramp_core import LoadReport, Result, Upstream
from borageramp_entry._internal.serving.endpoints import (
    EndpointFactory,
    upstream_url,
)
from borageramp_entry._internal.serving.reports import parse_report
from borageramp_entry._internal.serving.requests import AnswerHead, CallerRequest

__all__ = ["TryFailedError", "UpstreamAnswer", "UpstreamClient"]

IDLE_TIMEOUT_S = 30
# Bytes of an answer held for a slow reader before the upstream is paused.
BUFFER_BYTES = 65_536
SHED_HEADER = "borageramp-shed"
SHED_MARK = b"not-run"
STATUS_UNAVAILABLE = 503

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "upstream-load",
    }
)


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


class UpstreamClient:
    """Sends requests to upstreams over pooled connections.

    Parameters
    ----------
    reactor : IReactorTime
        The running reactor.
    """

    def __init__(self, *, reactor: IReactorTime) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        # The pool would send a request again by itself on a broken connection.
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = 32
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self._agents: dict[tuple[float, bool], Agent] = {}

    def _agent(self, connect_timeout_s: float, *, fresh: bool) -> Agent:
        agent = self._agents.get((connect_timeout_s, fresh))
        if agent is None:
            factory = EndpointFactory(
                reactor=self._reactor, connect_timeout_s=connect_timeout_s
            )
            pool = None if fresh else self._pool
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
        headers = _upstream_headers(request, deadline_ms)
        # On a connection that was idle, a break would leave it open whether
        # the request ran; a keyed request must not be lost to that.
        agent = self._agent(connect_timeout_s, fresh=bool(request.key))
        deferred = agent.request(
            request.method.encode(),
            upstream_url(upstream, request.path),
            headers,
            _producer(request.body),
        )
        answering = _as_future(deferred)
        try:
            async with asyncio.timeout(timeout_s):
                response = await answering
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
        return self._answer(response)

    def _answer(self, response: Any) -> UpstreamAnswer:
        body = _Body()
        response.deliverBody(body)
        headers = _answer_headers(response.headers)
        raw_report = response.headers.getRawHeaders("upstream-load")
        report = parse_report(raw_report[0]) if raw_report else None
        shed = response.headers.getRawHeaders(SHED_HEADER.encode()) == [SHED_MARK]
        if response.code == STATUS_UNAVAILABLE and shed:
            raise TryFailedError(Result.SHED, report)
        head = AnswerHead(status=response.code, headers=headers)
        return UpstreamAnswer(head=head, report=report, _body=body)

    async def close(self) -> None:
        """Close the idle connections."""
        await _as_future(self._pool.closeCachedConnections())


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


def _upstream_headers(request: CallerRequest, deadline_ms: int) -> HttpHeaders:
    headers = HttpHeaders()
    for name, value in request.headers:
        if name not in _HOP_BY_HOP:
            headers.addRawHeader(name.encode(), value)
    headers.setRawHeaders("borageramp-request-id", [request.request_id])
    headers.setRawHeaders("borageramp-deadline-ms", [str(max(1, deadline_ms))])
    if request.caller_key:
        headers.setRawHeaders("idempotency-key", [request.caller_key])
    return headers


def _answer_headers(headers: HttpHeaders) -> tuple[tuple[str, bytes], ...]:
    return tuple(
        (name.decode("latin-1").lower(), value)
        for name, values in headers.getAllRawHeaders()
        if name.decode("latin-1").lower() not in _HOP_BY_HOP
        for value in values
    )
