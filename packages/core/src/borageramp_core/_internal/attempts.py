"""Retry and hedge decisions for one request, and its final verdict."""

from dataclasses import dataclass

from borageramp_core._internal.budget import RatioBudget
from borageramp_core._internal.messages import AttemptResult, Submit
from borageramp_core._internal.model import ServicePolicy
from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.verdict import Verdict

__all__ = ["AttemptPlan", "GiveUp", "Retry"]

_REASONS = {
    AttemptResult.SHED: Reason.UPSTREAM_SHED,
    AttemptResult.TIMED_OUT: Reason.DEADLINE_PASSED,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Retry:
    """Decision to make another attempt.

    Attributes
    ----------
    submit : Submit
        The next attempt.
    """

    submit: Submit


@dataclass(frozen=True, kw_only=True, slots=True)
class GiveUp:
    """Decision to report a failure to the caller.

    Attributes
    ----------
    verdict : Verdict
        Verdict over all attempts.
    reason : Reason
        Reason for the failure of the last attempt.
    detail : str
        Explanation for humans.
    """

    verdict: Verdict
    reason: Reason
    detail: str


class AttemptPlan:
    """Decides on the retries and hedges of one request.

    Parameters
    ----------
    first : Submit
        The first attempt.
    policy : ServicePolicy
        Settings of the service.
    retries, hedges : RatioBudget
        Retry and hedge budgets of the service at this entry.
    """

    def __init__(
        self,
        *,
        first: Submit,
        policy: ServicePolicy,
        retries: RatioBudget,
        hedges: RatioBudget,
    ) -> None:
        self.verdict = Verdict.NOT_RUN
        self._last = first
        self._policy = policy
        self._retries = retries
        self._hedges = hedges
        self._attempt_count = 1
        self._counted_attempts = 1
        urgent = first.class_name in policy.urgent_classes
        self._retries_shed = urgent or not policy.idempotent
        self._excluded = first.excluded
        retries.earn()
        hedges.earn()

    def on_result(
        self, result: AttemptResult, *, upstream_id: str, now_s: float
    ) -> Retry | GiveUp:
        """Decide what to do after a failed attempt.

        Parameters
        ----------
        result : AttemptResult
            Result of the attempt.
        upstream_id : str
            Upstream of the attempt.
        now_s : float
            Present time.

        Returns
        -------
        Retry or GiveUp
            The decision.
        """
        self._raise_verdict(result.verdict)
        if self._should_retry_shed(result, now_s=now_s):
            return Retry(submit=self._next_submit(counted=False))
        self._excluded |= {upstream_id}
        if self.may_retry(result, now_s=now_s) and self._retries.spend():
            return Retry(submit=self._next_submit())
        return GiveUp(
            verdict=self.verdict,
            reason=_REASONS.get(result, Reason.UPSTREAM_FAILED),
            detail=f"the last of {self._attempt_count} attempts ended as {result}",
        )

    def on_concurrent_failure(self, result: AttemptResult) -> None:
        """Record the failure of an attempt while another one is in flight."""
        self._raise_verdict(result.verdict)

    def _should_retry_shed(self, result: AttemptResult, *, now_s: float) -> bool:
        """Return whether a shed request is retried without using the retry budget.

        Urgent and non-idempotent requests wait for capacity instead of failing.
        This adds little load, because each upstream that sheds gets a backoff.
        """
        in_time = now_s < self._last.deadline_s
        return result is AttemptResult.SHED and self._retries_shed and in_time

    def may_retry(self, result: AttemptResult, *, now_s: float) -> bool:
        """Return whether a failed attempt may be retried, budget aside."""
        if result in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED):
            return False
        if self._counted_attempts >= self._policy.max_attempts:
            return False
        if now_s >= self._last.deadline_s:
            return False
        return self._policy.idempotent or result.verdict is Verdict.NOT_RUN

    def hedge(self, *, upstream_id: str) -> Submit | None:
        """Return a hedge for a slow attempt, or ``None`` if none is allowed."""
        if not self._policy.idempotent:
            return None
        if self._counted_attempts >= self._policy.max_attempts:
            return None
        if not self._hedges.spend():
            return None
        self._excluded |= {upstream_id}
        return self._next_submit()

    def hedge_not_placed(self) -> None:
        """Give back the budget of a hedge for which no upstream had capacity.

        A hedge may be attempted again later.
        """
        self._hedges.refund()
        self._counted_attempts -= 1

    def _next_submit(self, *, counted: bool = True) -> Submit:
        self._attempt_count += 1
        self._counted_attempts += counted
        base, _, _ = self._last.request_id.partition("#")
        self._last = Submit(
            request_id=f"{base}#{self._attempt_count}",
            class_name=self._last.class_name,
            deadline_s=self._last.deadline_s,
            fingerprint=self._last.fingerprint,
            excluded=self._excluded,
            forwarded=self._last.forwarded,
            extra=True,
        )
        return self._last

    def _raise_verdict(self, verdict: Verdict) -> None:
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        self.verdict = max(self.verdict, verdict, key=order.index)
