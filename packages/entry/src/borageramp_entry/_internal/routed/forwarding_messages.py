"""Messages between an instance that forwards a request and the one that takes it.

A request is forwarded as it is, by HTTP/1.1, with one header more. So are answers of
upstreams; a header marks a refusal of the instance itself.
"""

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from borageramp_core import AttemptResult, Reason, RefusedError, Verdict
from borageramp_core.routing import (
    KnownReach,
    PeerReport,
    Reach,
    Route,
    ServiceShare,
)
from borageramp_entry._internal.routed.message_struct import MessageStruct
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_entry._internal.serving.requests import Headers

__all__ = [
    "FORWARDED_HEADER",
    "REACHABILITY_PATH",
    "REFUSAL_HEADER",
    "ForwardedTerms",
    "MalformedMessageError",
    "attempt_result",
    "decode_refusal",
    "decode_report",
    "decode_terms",
    "encode_refusal",
    "encode_report",
    "encode_terms",
    "encode_terms_message",
    "has_terms",
]

FORWARDED_HEADER = "borageramp-forwarded"
REFUSAL_HEADER = "borageramp-refusal"
# Names instances that lately reached a service that the one that answers doesn't reach.
REACHING_HEADER = "borageramp-reaching"
# Path at which an instance says how much of a service it reaches.
REACHABILITY_PATH = "/reachability"

T = TypeVar("T")
NotNegative = Annotated[float, Meta(ge=0)]


class MalformedMessageError(Exception):
    """A message of another instance can't be decoded."""


class ForwardedTerms(MessageStruct, frozen=True, kw_only=True):
    """Terms of a forwarded request, as the instance that took it knows them.

    Attributes
    ----------
    request_id : str
        Identifier of the request.
    remaining_s : float
        Time until its deadline.
    age_s : float
        Time since its caller probably first sent it.
    service : str
        Service that was chosen for it.
    route : str
        Name of its route.
    idempotent : bool
        Whether it may run more than once.
    objective_s : float
        Latency objective of the route.
    rank : int
        Priority; 0 is the highest.
    """

    request_id: str
    remaining_s: NotNegative
    age_s: NotNegative
    service: str
    route: str
    idempotent: bool
    objective_s: NotNegative
    rank: int

    def to_route(self) -> Route:
        """Return a route for one attempt of the request.

        The instance that forwards it decides on retries and hedges.
        """
        return Route(
            name=self.route,
            host="",
            path_prefix="",
            shares=(ServiceShare(service=self.service),),
            idempotent=self.idempotent,
            timeout_s=self.remaining_s,
            objective_s=self.objective_s,
            rank=self.rank,
            max_runs=1,
        )


class _Refusal(MessageStruct, frozen=True, kw_only=True):
    verdict: Verdict
    # Not a Reason: later builds may have others.
    reason: str
    detail: str
    retry_after_s: NotNegative | None = None


class _Report(MessageStruct, frozen=True, kw_only=True):
    reach: Reach
    in_flight: Annotated[int, Meta(ge=0)]


class _KnownReach(MessageStruct, frozen=True, kw_only=True):
    name: str
    reach: Reach
    age_s: NotNegative


def encode_terms(
    request: RoutedRequest, *, caller_age_s: float, now_s: float
) -> tuple[str, bytes]:
    """Return the header with the terms of a request.

    Parameters
    ----------
    request : RoutedRequest
        The request.
    caller_age_s : float
        Time that its caller had probably waited before it arrived.
    now_s : float
        Current time in seconds.
    """
    terms = ForwardedTerms(
        request_id=request.caller.request_id,
        remaining_s=max(0.0, request.caller.deadline_s - now_s),
        age_s=max(0.0, now_s - request.arrived_at_s + caller_age_s),
        service=request.caller.service,
        route=request.route.name,
        idempotent=request.route.idempotent,
        objective_s=request.route.objective_s,
        rank=request.route.rank,
    )
    return FORWARDED_HEADER, encode_terms_message(terms)


def encode_terms_message(terms: ForwardedTerms) -> bytes:
    """Return the value of the header with the terms of a request."""
    return msgspec.json.encode(terms)


def has_terms(headers: Headers) -> bool:
    """Return whether a request was forwarded by another instance."""
    return any(name == FORWARDED_HEADER for name, _ in headers)


def decode_terms(headers: Headers) -> ForwardedTerms:
    """Decode the terms of a forwarded request.

    Raises
    ------
    MalformedMessageError
        If they are missing or invalid.
    """
    # The forwarding instance puts its own after those of the caller.
    values = [value for name, value in headers if name == FORWARDED_HEADER]
    if not values:
        raise MalformedMessageError("the request has no terms")
    return _decode(values[-1], ForwardedTerms)


def encode_refusal(error: RefusedError) -> tuple[str, bytes]:
    """Return the header that marks a refusal of an instance."""
    refusal = _Refusal(
        verdict=error.verdict,
        reason=error.reason.value,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
    )
    return REFUSAL_HEADER, msgspec.json.encode(refusal)


def decode_refusal(headers: Headers) -> RefusedError | None:
    """Return the refusal that an answer is; ``None`` for an upstream's answer.

    Raises
    ------
    MalformedMessageError
        If it is invalid.
    """
    value = dict(headers).get(REFUSAL_HEADER)
    if value is None:
        return None
    refusal = _decode(value, _Refusal)
    known = refusal.reason in set(Reason)
    return RefusedError(
        verdict=refusal.verdict,
        reason=Reason(refusal.reason) if known else Reason.INTERNAL,
        detail=refusal.detail if known else f"{refusal.reason}: {refusal.detail}",
        retry_after_s=refusal.retry_after_s,
    )


def attempt_result(refusal: RefusedError) -> AttemptResult:
    """Return how an attempt ended that another instance refused."""
    if refusal.verdict is Verdict.NOT_RUN:
        # Only a shed request has reached an upstream.
        if refusal.reason is Reason.UPSTREAM_SHED:
            return AttemptResult.SHED
        return AttemptResult.UNREACHABLE
    if refusal.reason is Reason.DEADLINE_PASSED:
        return AttemptResult.TIMED_OUT
    return AttemptResult.DIED


def encode_report(report: PeerReport) -> tuple[Headers, bytes]:
    """Return headers and body of what an instance says of itself, and of others."""
    message = _Report(reach=report.reach, in_flight=report.in_flight)
    headers: Headers = (("content-type", b"application/json"),)
    if report.known:
        known = [
            _KnownReach(name=k.name, reach=k.reach, age_s=k.age_s) for k in report.known
        ]
        headers = (*headers, (REACHING_HEADER, msgspec.json.encode(known)))
    return headers, msgspec.json.encode(message)


def decode_report(body: bytes, headers: Headers) -> PeerReport:
    """Decode what an instance says of itself, and of others.

    Raises
    ------
    MalformedMessageError
        If it is invalid.
    """
    message = _decode(body, _Report)
    value = dict(headers).get(REACHING_HEADER)
    known = [] if value is None else _decode(value, list[_KnownReach])
    return PeerReport(
        reach=message.reach,
        in_flight=message.in_flight,
        known=tuple(
            KnownReach(name=k.name, reach=k.reach, age_s=k.age_s) for k in known
        ),
    )


def _decode(value: bytes, model: type[T]) -> T:
    try:
        return msgspec.json.decode(value, type=model)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"invalid message: {error!r:.200}") from error
