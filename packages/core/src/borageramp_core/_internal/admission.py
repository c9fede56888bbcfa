"""Decisions of the claim table on a request with an idempotency key."""

from dataclasses import dataclass

from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.verdict import Verdict

__all__ = ["Admission", "Join", "KeptAnswer", "Reject", "Replay", "Run"]


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """An answer kept to be replayed to retries.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, bytes)
        HTTP headers.
    body : bytes
        The complete body.
    """

    status: int
    headers: tuple[tuple[str, bytes], ...]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """The request may be dispatched, and only by the receiver of this decision."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """The request is already running; this retry gets the same answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The request was already answered.

    Attributes
    ----------
    answer : KeptAnswer
        The answer to the first request with the key.
    """

    answer: KeptAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Reject:
    """The request may not be dispatched.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run.
    reason : Reason
        Machine-readable cause.
    detail : str
        Human-readable explanation.
    """

    verdict: Verdict
    reason: Reason
    detail: str


Admission = Run | Join | Replay | Reject
