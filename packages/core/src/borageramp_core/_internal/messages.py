"""Inputs and outputs of the balancer."""

import enum
from dataclasses import dataclass, field

from borageramp_core._internal.model import Upstream
from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.verdict import Verdict

__all__ = [
    "Finished",
    "LoadReport",
    "Notice",
    "Forward",
    "Placed",
    "PlacementDecision",
    "Queued",
    "Refused",
    "Repair",
    "AttemptResult",
    "Submit",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """The load that an upstream reported with a response or to a probe.

    Attributes
    ----------
    in_flight : int
        Requests that the upstream was running or queueing.
    slots : int
        Requests that it can run concurrently; 0 if not reported.
    start_id : str
        Identifier of its current incarnation; empty if not reported.
    leaving : bool
        Whether it accepts no new requests.
    pace : float
        Current duration of work relative to the normal duration, which is 1.0.
    warmup_left_s : float or None
        Remaining warm-up time in seconds; ``None`` if not reported.
    """

    in_flight: int
    slots: int = 0
    start_id: str = ""
    leaving: bool = False
    pace: float = 1.0
    warmup_left_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """Flow control that an upstream sends with a response.

    Attributes
    ----------
    leaving : bool
        Whether it is shutting down and accepts no requests until it restarts.
    pause_s : float
        Seconds for which it accepts no requests; 0 if it requested no pause.
    rate_limit_hz : float or None
        Requests per second that it accepts from all entries together; infinity if
        it named no limit, ``None`` if that is unknown.
    problem : str
        Why the rate limit could not be read; empty if it could.
    """

    leaving: bool = False
    pause_s: float = 0.0
    rate_limit_hz: float | None = None
    problem: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Submit:
    """An attempt of a request that needs an upstream.

    Attributes
    ----------
    request_id : str
        Identifier of the attempt.
    class_name : str
        Class of the request.
    deadline_s : float
        Time at which the caller stops waiting, in seconds.
    fingerprint : str
        Digest of the request, the same for every retry and resend.
    excluded : frozenset of str
        Identifiers of the upstreams on which earlier attempts failed.
    forwarded : bool
        Whether a peer forwarded the request; it is not forwarded again.
    extra : bool
        Whether the attempt is a retry or a hedge.
    """

    request_id: str
    class_name: str
    deadline_s: float
    fingerprint: str = ""
    excluded: frozenset[str] = field(default_factory=frozenset)
    forwarded: bool = False
    extra: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """The decision to send a request to an upstream.

    Attributes
    ----------
    request : Submit
        The request.
    upstream : Upstream
        The chosen upstream.
    candidates : int
        Number of eligible upstreams.
    why : str
        Reason for the choice, for logs.
    queue_wait_s : float
        Time that the request spent in the queue, in seconds.
    """

    request: Submit
    upstream: Upstream
    candidates: int
    why: str
    queue_wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """The decision to forward a request to a peer.

    Only that peer may send requests to the upstream in question.

    Attributes
    ----------
    request : Submit
        The request.
    member : str
        Incarnation of the peer.
    purpose : str
        ``warm_up`` if the upstream is cold, or ``suspect`` if the request may
        crash upstreams.
    """

    request: Submit
    member: str
    purpose: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """The decision to queue a request.

    Attributes
    ----------
    request : Submit
        The request.
    position : int
        Number of requests ahead of it.
    """

    request: Submit
    position: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The decision to refuse a request before it was sent to an upstream.

    Attributes
    ----------
    request : Submit
        The request.
    reason : Reason
        Machine-readable reason.
    detail : str
        Explanation for people, in one sentence.
    retry_after_s : float
        Seconds after which the caller should retry.
    """

    request: Submit
    reason: Reason
    detail: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Repair:
    """An automatic action on a faulty upstream.

    Attributes
    ----------
    kind : str
        ``warm-up``, ``warm again`` or ``ejection``.
    upstream : str
        Identifier of the upstream.
    why : str
        Cause of the action.
    """

    kind: str
    upstream: str
    why: str


PlacementDecision = Placed | Forward | Queued | Refused


class AttemptResult(enum.StrEnum):
    """Result of an attempt on an upstream.

    Attributes
    ----------
    ANSWERED
        The response was received completely.
    ERROR
        The upstream responded with an error.
    SHED
        The upstream rejected the request without running it.
    UNREACHABLE
        The connection could not be established.
    DIED
        The connection broke while the upstream had the request.
    TIMED_OUT
        No response arrived in time.
    CANCELLED
        The caller disconnected, or another attempt of a hedged request won.
    """

    ANSWERED = "answered"
    ERROR = "error"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    DIED = "died"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"

    @property
    def verdict(self) -> Verdict:
        """Whether the upstream ran the request, as far as the result shows."""
        if self in (AttemptResult.SHED, AttemptResult.UNREACHABLE):
            return Verdict.NOT_RUN
        if self in (AttemptResult.ANSWERED, AttemptResult.ERROR):
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN


@dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """The end of an attempt on an upstream.

    Attributes
    ----------
    request_id : str
        Identifier of the attempt.
    result : AttemptResult
        Result of the attempt.
    latency_s : float
        Time until the first byte of the response or until the failure, in
        seconds.
    report : LoadReport or None
        Load report of the upstream; ``None`` if it sent none.
    """

    request_id: str
    result: AttemptResult
    latency_s: float
    report: LoadReport | None = None
