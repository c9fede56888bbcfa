"""Constructors for the refusals of placement: reason, detail and retry delay."""

from borageramp_core._internal.messages import Refused, Submit
from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.suspects import Suspects

__all__ = [
    "deadline_passed",
    "deadline_unreachable",
    "no_upstream",
    "quarantined",
    "queue_full",
]

MIN_RETRY_AFTER_S = 0.05
NO_UPSTREAM_RETRY_AFTER_S = 1.0


def quarantined(request: Submit) -> Refused:
    """Refuse a request that has crashed too many upstreams."""
    return Refused(
        request=request,
        reason=Reason.CRASHES_UPSTREAMS,
        detail="upstreams died while they ran this request",
        retry_after_s=Suspects.RETENTION_S,
    )


def no_upstream(request: Submit, *, why: str) -> Refused:
    """Refuse a request for which no upstream is eligible."""
    return Refused(
        request=request,
        reason=Reason.NO_UPSTREAM,
        detail=why,
        retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
    )


def deadline_unreachable(request: Submit, *, wait_s: float) -> Refused:
    """Refuse a request whose expected wait exceeds its deadline."""
    return Refused(
        request=request,
        reason=Reason.DEADLINE_UNREACHABLE,
        detail=f"expected wait of {wait_s:.3f} s exceeds the deadline",
        retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
    )


def deadline_passed(request: Submit, *, wait_s: float = 0.0) -> Refused:
    """Refuse a request whose deadline has passed."""
    return Refused(
        request=request,
        reason=Reason.DEADLINE_PASSED,
        detail="the deadline has passed",
        retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
    )


def queue_full(request: Submit, *, wait_s: float) -> Refused:
    """Refuse a request because the queue is full."""
    return Refused(
        request=request,
        reason=Reason.OVERLOADED,
        detail="the queue is full",
        retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
    )
