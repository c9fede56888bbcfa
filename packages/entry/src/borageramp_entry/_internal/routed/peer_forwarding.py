"""Forwarding of requests to instances that reach upstreams which this one doesn't."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable
from urllib.parse import quote

from borageramp_core import AttemptResult, Reason, RefusedError
from borageramp_core.routing import (
    Instance,
    KnownReach,
    PeerReport,
    PeerSelector,
    Reach,
    UpstreamView,
)
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.attempts import RoutedAnswer, buffer_body
from borageramp_entry._internal.routed.forwarding_messages import (
    REACHABILITY_PATH,
    MalformedMessageError,
    attempt_result,
    decode_refusal,
    decode_report,
    encode_terms,
)
from borageramp_entry._internal.routed.peer_search import NoReportError, PeerSearch
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.serving.dialect import HOP_BY_HOP, pass_headers
from borageramp_entry._internal.serving.http_client import (
    HttpClient,
    NotConnectedError,
)
from borageramp_entry._internal.serving.http_response import (
    BrokenExchangeError,
    HttpResponse,
)
from borageramp_entry._internal.serving.requests import AnswerHead, CallerRequest
from borageramp_entry._internal.serving.upstreams import (
    TryFailedError,
    UpstreamAnswer,
)

__all__ = ["ForwardedAttempt", "PeerForwarder", "PeerRefusedError"]

_log = get_logger(__name__)

ASK_TIMEOUT_S = 0.15
CONNECT_TIMEOUT_S = 0.15
IDLE_TIMEOUT_S = 5.0
# Idle connections kept to one instance.
MAX_IDLE_CONNECTIONS = 8
STATUS_OK = 200
MAX_REPORT_BYTES = 65_536


class PeerRefusedError(TryFailedError):
    """Another instance refused a forwarded request.

    Parameters
    ----------
    refusal : RefusedError
        Its refusal.
    """

    def __init__(self, refusal: RefusedError) -> None:
        super().__init__(attempt_result(refusal))
        self.refusal = refusal


class PeerForwarder:
    """Finds instances that reach a service, and sends them requests.

    Parameters
    ----------
    own : Instance
        This instance.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.
    http : HttpClient, optional
        Connections to other instances; by default its own.

    Attributes
    ----------
    search : PeerSearch
        Search for instances that reach a service.
    forwarded : int
        Requests sent to other instances.
    """

    def __init__(
        self,
        *,
        own: Instance,
        rng: random.Random,
        clock: Callable[[], float],
        http: HttpClient | None = None,
    ) -> None:
        self._selector = PeerSelector(own=own, rng=rng)
        self._clock = clock
        # An instance may be cut off while its upstream works on a request.
        self._http = http or HttpClient(
            idle_s=IDLE_TIMEOUT_S, max_idle=MAX_IDLE_CONNECTIONS, watched=True
        )
        self.search = PeerSearch(
            selector=self._selector, ask=self._request_report, rng=rng, clock=clock
        )
        self.forwarded = 0

    def update(self, instances: Iterable[Instance]) -> None:
        """Apply the list of instances."""
        self._selector.update(instances)

    async def find(
        self,
        request: CallerRequest,
        *,
        min_reach: Reach,
        excluded: Collection[str],
        max_rounds: int | None = None,
    ) -> Instance | None:
        """Return an instance that reaches the service of a request.

        See :meth:`PeerSearch.find` for the other parameters.
        """
        return await self.search.find(
            request.service,
            request_id=request.request_id,
            min_reach=min_reach,
            excluded=excluded,
            max_rounds=max_rounds,
        )

    def known_reaching(self, service: str) -> list[KnownReach]:
        """Return a few instances that lately said that they reach a service."""
        return self._selector.known_reaching(service, now_s=self._clock())

    async def _request_report(self, instance: Instance, service: str) -> PeerReport:
        path = f"{REACHABILITY_PATH}?service={quote(service, safe='')}"
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                response = await self._http.request(
                    _place(instance), "GET", path, connect_timeout_s=CONNECT_TIMEOUT_S
                )
                body = await response.read_all(max_bytes=MAX_REPORT_BYTES)
                return decode_report(body, response.headers)
        except (
            NotConnectedError,
            BrokenExchangeError,
            MalformedMessageError,
            TimeoutError,
        ) as error:
            raise NoReportError(repr(error)) from error

    async def send(
        self, instance: Instance, request: RoutedRequest, *, caller_age_s: float
    ) -> UpstreamAnswer:
        """Send a request to an instance and wait for the head of the answer.

        Parameters
        ----------
        instance : Instance
            Instance that takes the request.
        request : RoutedRequest
            The request.
        caller_age_s : float
            Time that its caller had probably waited before it arrived.

        Raises
        ------
        TryFailedError
            If no answer came, or the instance refused the request.
        """
        now_s = self._clock()
        caller = request.caller
        service = caller.service
        terms = encode_terms(request, caller_age_s=caller_age_s, now_s=now_s)
        self.forwarded += 1
        self._selector.on_start(instance.name)
        try:
            async with asyncio.timeout(max(0.0, caller.deadline_s - now_s)):
                response = await self._http.request(
                    _place(instance),
                    caller.method,
                    caller.path,
                    headers=(*caller.headers, terms),
                    body=caller.body,
                    upload=caller.upload,
                    connect_timeout_s=CONNECT_TIMEOUT_S,
                )
        except TimeoutError:
            raise TryFailedError(AttemptResult.TIMED_OUT) from None
        except NotConnectedError as error:
            raise self._failed(instance, service, AttemptResult.UNREACHABLE) from error
        except BrokenExchangeError as error:
            raise self._failed(instance, service, AttemptResult.DIED) from error
        finally:
            self._selector.on_end(instance.name)
        self._check_refusal(instance, service, response)
        head = AnswerHead(
            status=response.status,
            headers=pass_headers(response.headers, but=HOP_BY_HOP),
        )
        return UpstreamAnswer(head=head, report=None, _response=response)

    def _failed(
        self, instance: Instance, service: str, result: AttemptResult
    ) -> TryFailedError:
        self._selector.on_no_answer(instance.name, service, now_s=self._clock())
        return TryFailedError(result)

    def _check_refusal(
        self, instance: Instance, service: str, response: HttpResponse
    ) -> None:
        try:
            refusal = decode_refusal(response.headers)
        except MalformedMessageError as error:
            response.close_connection()
            _log.warning("refusal unreadable", instance=instance.name, error=str(error))
            raise self._failed(instance, service, AttemptResult.DIED) from error
        if refusal is not None:
            response.discard()
            self._on_refusal(instance, service, refusal)
            raise PeerRefusedError(refusal)

    def _on_refusal(
        self, instance: Instance, service: str, refusal: RefusedError
    ) -> None:
        now_s = self._clock()
        if refusal.reason is Reason.UPSTREAMS_UNREACHABLE:
            self._selector.on_unreachable(instance.name, service, now_s=now_s)
        else:
            self._selector.avoid(instance.name, service, now_s=now_s)

    def close(self) -> None:
        """End all questions and close the idle connections."""
        self.search.close()
        self._http.close()


class ForwardedAttempt:
    """An attempt of a request through another instance.

    Parameters
    ----------
    instance : Instance
        Instance that chooses the upstream.
    forwarder : PeerForwarder
        Sends the request there.
    request : RoutedRequest
        The request.
    caller_age_s : float
        Time that its caller had probably waited before it arrived.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        forwarder: PeerForwarder,
        request: RoutedRequest,
        caller_age_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.view: UpstreamView | None = None
        self.peer_name: str | None = instance.name
        self._instance = instance
        self._forwarder = forwarder
        self._request = request
        self._caller_age_s = caller_age_s
        self._clock = clock
        self._started_at_s = clock()

    async def run(self, request: CallerRequest) -> RoutedAnswer:
        """Forward the request and read the answer, or the first part of a large one.

        Raises
        ------
        TryFailedError
            If there is no answer, or it was truncated.
        """
        answer = await self._forwarder.send(
            self._instance, self._request, caller_age_s=self._caller_age_s
        )
        try:
            return await buffer_body(
                answer, deadline_s=request.deadline_s, clock=self._clock
            )
        except BaseException:
            answer.abort()
            raise

    @property
    def elapsed_s(self) -> float:
        """Time since the start of the attempt."""
        return self._clock() - self._started_at_s


def _place(instance: Instance) -> tuple[str, int]:
    assert instance.peer_address is not None
    return split_address(instance.peer_address)
