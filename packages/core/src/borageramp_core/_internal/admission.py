"""What the table of claims says of a request with a key."""

from dataclasses import dataclass

from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.verdict import Verdict

__all__ = ["Admission", "Join", "KeptAnswer", "Reject", "Replay", "Run"]


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """An answer kept for a repeat.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, bytes)
        Headers of the answer.
    body : bytes
        The whole body.
    """

    status: int
    headers: tuple[tuple[str, bytes], ...]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """The request may be dispatched, by the receiver of this message only."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """The request is running; its answer serves this repeat too."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The request was answered.

    Attributes
    ----------
    answer : KeptAnswer
        The first answer.
    """

    answer: KeptAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Reject:
    """The request may not be dispatched.

    Attributes
    ----------
    verdict : Verdict
        Whether it may have run.
    reason : Reason
        Why it is refused.
    detail : str
        One sentence for a human reader.
    """

    verdict: Verdict
    reason: Reason
    detail: str


Admission = Run | Join | Replay | Reject
