"""Retries and hedges of one request, and its final verdict."""

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
    """Try another upstream.

    Attributes
    ----------
    submit : Submit
        The next try.
    """

    submit: Submit


@dataclass(frozen=True, kw_only=True, slots=True)
class GiveUp:
    """Tell the caller that the request has failed.

    Attributes
    ----------
    verdict : Verdict
        Over all tries.
    reason : Reason
        Of the last try.
    detail : str
        One sentence for a human reader.
    """

    verdict: Verdict
    reason: Reason
    detail: str


class AttemptPlan:
    """The tries of one request.

    Parameters
    ----------
    first : Submit
        The first try.
    policy : ServicePolicy
        Settings of the service.
    retries, hedges : RatioBudget
        Budgets of the service at this entry.
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
        """Decide what follows a failed try.

        Parameters
        ----------
        result : AttemptResult
            How the try ended.
        upstream_id : str
            Where it ran.
        now_s : float
            Present time.

        Returns
        -------
        Retry or GiveUp
            What to do.
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
            detail=f"the last of {self._attempt_count} tries ended as {result}",
        )

    def on_concurrent_failure(self, result: AttemptResult) -> None:
        """Take in that a try failed while another one goes on."""
        self._raise_verdict(result.verdict)

    def _should_retry_shed(self, result: AttemptResult, *, now_s: float) -> bool:
        """Tell whether a request that was shed waits for room.

        Work that can't be repeated, and urgent work, would rather wait than
        be refused. It costs upstreams little, as each that shed has a pause.
        """
        in_time = now_s < self._last.deadline_s
        return result is AttemptResult.SHED and self._retries_shed and in_time

    def may_retry(self, result: AttemptResult, *, now_s: float) -> bool:
        """Tell whether a failed try may be followed by another."""
        if result in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED):
            return False
        if self._counted_attempts >= self._policy.max_attempts:
            return False
        if now_s >= self._last.deadline_s:
            return False
        return self._policy.idempotent or result.verdict is Verdict.NOT_RUN

    def hedge(self, *, upstream_id: str) -> Submit | None:
        """Return a second try beside a slow one, if that is allowed."""
        if not self._policy.idempotent:
            return None
        if self._counted_attempts >= self._policy.max_attempts:
            return None
        if not self._hedges.spend():
            return None
        self._excluded |= {upstream_id}
        return self._next_submit()

    def hedge_not_placed(self) -> None:
        """Take in that no upstream had room for a hedge; it may come later."""
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
