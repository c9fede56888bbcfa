"""Messages that go into and come out of the decisions on requests."""

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
    """What an upstream says of itself, with an answer or to a probe.

    Attributes
    ----------
    in_flight : int
        Requests that it was running or holding.
    slots : int
        Requests that it runs at once.
    start_id : str
        Identifier of its present start; empty if not given.
    leaving : bool
        Whether it wants no new work.
    pace : float
        How long work takes there at this moment, 1.0 for as usual.
    warmup_left_s : float or None
        Seconds for which it stays cold; ``None`` if not given.
    """

    in_flight: int
    slots: int = 0
    start_id: str = ""
    leaving: bool = False
    pace: float = 1.0
    warmup_left_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """What an upstream asks of an entry, with any of its answers.

    Attributes
    ----------
    leaving : bool
        Whether it is leaving and wants nothing more until it starts anew.
    pause_s : float
        Seconds for which it wants nothing; 0 if it didn't ask for a pause.
    """

    leaving: bool = False
    pause_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Submit:
    """A request asks for an upstream.

    Attributes
    ----------
    request_id : str
        Identifier of the try.
    class_name : str
        Class of the request.
    deadline_s : float
        Time at which the caller gives up.
    fingerprint : str
        Name of the request that each resend shares.
    excluded : frozenset of str
        Upstreams that have already failed it.
    forwarded : bool
        Whether a peer passed it on; it isn't passed on again.
    extra : bool
        Whether it is a retry or a hedge.
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
    """A request goes to an upstream.

    Attributes
    ----------
    request : Submit
        The request.
    upstream : Upstream
        Where it goes.
    candidates : int
        Upstreams that could have taken it.
    why : str
        What decided for this one.
    queue_wait_s : float
        Time spent in the queue.
    """

    request: Submit
    upstream: Upstream
    candidates: int
    why: str
    queue_wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """A request goes to the peer that alone may use some upstream.

    Attributes
    ----------
    request : Submit
        The request.
    member : str
        Incarnation of the peer.
    purpose : str
        ``warm_up`` or ``suspect``.
    """

    request: Submit
    member: str
    purpose: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """A request waits.

    Attributes
    ----------
    request : Submit
        The request.
    position : int
        Requests ahead of it.
    """

    request: Submit
    position: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A request is given up before any upstream got it.

    Attributes
    ----------
    request : Submit
        The request.
    reason : Reason
        Why.
    detail : str
        One sentence for a human reader.
    retry_after_s : float
        Seconds after which another try makes sense.
    """

    request: Submit
    reason: Reason
    detail: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Repair:
    """Something that was done about a faulty upstream without an operator.

    Attributes
    ----------
    kind : str
        ``warm-up``, ``warm again`` or ``ejection``.
    upstream : str
        Identifier of the upstream.
    why : str
        What gave rise to it.
    """

    kind: str
    upstream: str
    why: str


PlacementDecision = Placed | Forward | Queued | Refused


class AttemptResult(enum.StrEnum):
    """How a try on an upstream ended.

    Attributes
    ----------
    ANSWERED
        The whole answer came.
    ERROR
        The upstream answered that it failed.
    SHED
        The upstream said that it did not run the request.
    UNREACHABLE
        No connection could be made.
    DIED
        The connection broke while the upstream had the request.
    TIMED_OUT
        No answer came in time.
    CANCELLED
        The caller went away, or a hedge won.
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
        """Whether the request may have run."""
        if self in (AttemptResult.SHED, AttemptResult.UNREACHABLE):
            return Verdict.NOT_RUN
        if self in (AttemptResult.ANSWERED, AttemptResult.ERROR):
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN


@dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """A try on an upstream ended.

    Attributes
    ----------
    request_id : str
        Identifier of the try.
    result : AttemptResult
        How it ended.
    latency_s : float
        Time until the first byte of the answer, or until the failure.
    report : LoadReport or None
        What the upstream said of itself.
    """

    request_id: str
    result: AttemptResult
    latency_s: float
    report: LoadReport | None = None
