"""Placement and queueing of requests for one service at one entry.

A state machine that performs no I/O: it takes messages and the current time,
and returns messages. It decides which upstream a request goes to, whether the
request waits in the queue, and when it is refused.
"""

import random

from borageramp_core._internal import refusals
from borageramp_core._internal.eligibility import Eligibility
from borageramp_core._internal.in_flight import InFlightAttempt
from borageramp_core._internal.isolation import Isolation
from borageramp_core._internal.limits import ConcurrencyLimit
from borageramp_core._internal.load import UpstreamLoad
from borageramp_core._internal.messages import (
    AttemptResult,
    Finished,
    Forward,
    LoadReport,
    Placed,
    PlacementDecision,
    Queued,
    Refused,
    Repair,
    Submit,
)
from borageramp_core._internal.model import ConfigurationSnapshot, Service, Upstream
from borageramp_core._internal.outliers import Outliers
from borageramp_core._internal.ownership import Ownership
from borageramp_core._internal.placement import LeastExpectedWait, PlacementPolicy
from borageramp_core._internal.queueing import ClassQueue
from borageramp_core._internal.suspects import Suspects
from borageramp_core._internal.warmup import WarmUp

__all__ = ["Balancer"]

LATENCY_EWMA_WEIGHT = 0.05
# Requests over its slots above which an upstream counts as overloaded. A shorter
# queue at the upstream is useful: it keeps the slots busy.
OVERLOAD_QUEUE_DEPTH = 3


class Balancer:
    """Places, queues and refuses the requests for one service.

    Parameters
    ----------
    service : Service
        The service.
    snapshot : ConfigurationSnapshot
        The configuration revision that defines the service.
    ownership : Ownership
        Owners of upstreams, shared by all services.
    warmup : WarmUp
        Warm-up states, shared by all services.
    suspects : Suspects
        Crash suspects, shared by all services.
    rng : random.Random
        Source of randomness.
    policy : PlacementPolicy, optional
        Policy that chooses among the candidates; least estimate by default.
    """

    def __init__(
        self,
        *,
        service: Service,
        snapshot: ConfigurationSnapshot,
        ownership: Ownership,
        warmup: WarmUp,
        suspects: Suspects,
        rng: random.Random,
        policy: PlacementPolicy | None = None,
    ) -> None:
        self._rng = rng
        self._policy = policy or LeastExpectedWait()
        self._suspects = suspects
        self.loads: dict[str, UpstreamLoad] = {}
        self.in_flight_attempts: dict[str, InFlightAttempt] = {}
        self.outliers = Outliers(max_ejected_share=service.policy.eject_max_share)
        self.queue = ClassQueue(policy=service.policy)
        self.limit = ConcurrencyLimit()
        self.latency_s = 0.0
        self._queued_at_s: dict[str, float] = {}
        # Requests displaced from the queue; the next drain returns their refusals.
        self._displaced_refusals: list[Refused] = []
        self._repairs: list[Repair] = []
        self.isolation = Isolation(suspects=suspects, in_flight=self.in_flight_attempts)
        self.eligibility = Eligibility(
            ownership=ownership,
            warmup=warmup,
            isolation=self.isolation,
            outliers=self.outliers,
            loads=self.loads,
            repairs=self._repairs,
            rng=rng,
        )
        self.apply(service, snapshot)

    def apply(self, service: Service, snapshot: ConfigurationSnapshot) -> None:
        """Apply a new revision of the service."""
        self.service = service
        self.snapshot = snapshot
        upstreams_by_id = {u.id: u for u in service.upstreams}
        for upstream in service.upstreams:
            self.loads.setdefault(upstream.id, UpstreamLoad(slots=upstream.slots))
        for upstream_id, load in list(self.loads.items()):
            # A removed upstream keeps its load until its requests have ended.
            if upstream_id not in upstreams_by_id and load.in_flight == 0:
                del self.loads[upstream_id]
        self.outliers.max_ejected_share = service.policy.eject_max_share
        self.outliers.retain(upstreams_by_id)
        self.queue.apply(service.policy)
        self.eligibility.apply(service, snapshot)

    def submit(self, request: Submit, *, now_s: float) -> PlacementDecision:
        """Decide on a request.

        Parameters
        ----------
        request : Submit
            The request.
        now_s : float
            Current time.

        Returns
        -------
        Placed, Forward, Queued or Refused
            The decision.
        """
        refused = self._refuse_early(request, now_s=now_s)
        if refused is not None:
            return refused
        if self.queue.count_ahead(request.class_name) == 0:
            decision = self._place(request, now_s=now_s)
            if not isinstance(decision, Queued):
                return decision
        return self._enqueue(request, now_s=now_s)

    def place_now(self, request: Submit, *, now_s: float) -> Placed | None:
        """Place a request if that is possible at once; never queue it."""
        if self._refuse_early(request, now_s=now_s) is not None:
            return None
        if self.queue.count_ahead(request.class_name) > 0:
            return None
        decision = self._place(request, now_s=now_s)
        return decision if isinstance(decision, Placed) else None

    def _refuse_early(self, request: Submit, *, now_s: float) -> Refused | None:
        if self._suspects.is_quarantined(request.fingerprint, now_s=now_s):
            return refusals.quarantined(request)
        if request.deadline_s <= now_s:
            return refusals.deadline_passed(request)
        return None

    def _place(
        self, request: Submit, *, now_s: float
    ) -> Placed | Forward | Queued | Refused:
        if self.isolation.has_attempt_in_flight(request, now_s=now_s):
            return Queued(request=request, position=len(self.queue))
        search = self.eligibility.find(request, now_s=now_s)
        self.limit.set_ceiling(
            search.usable_slots, entries=self.eligibility.entry_count
        )
        urgent = request.class_name in self.service.policy.urgent_classes
        if search.candidates and len(self.in_flight_attempts) < self.limit.allowed(
            urgent=urgent
        ):
            if urgent and not self.eligibility.drop_slow(search, now_s=now_s):
                return Queued(request=request, position=0)
            if not urgent and not request.extra:
                self.eligibility.prefer_cold(search)
            choice = self._policy.choose(
                search.candidates, urgent=urgent, rng=self._rng, now_s=now_s
            )
            return self._start(
                request,
                choice.candidate.upstream,
                choice.why,
                len(search.candidates),
                now_s=now_s,
            )
        if search.owners and not search.usable_count:
            member = self._rng.choice(search.owners)
            return Forward(
                request=request, member=member, purpose=search.forward_purpose
            )
        if not search.usable_count and not search.pending_count:
            return refusals.no_upstream(request, why=search.blocked_reason)
        return Queued(request=request, position=len(self.queue))

    def _start(
        self,
        request: Submit,
        upstream: Upstream,
        why: str,
        candidate_count: int,
        *,
        now_s: float,
    ) -> Placed:
        self.loads[upstream.id].in_flight += 1
        self.in_flight_attempts[request.request_id] = InFlightAttempt(
            request=request,
            upstream=upstream,
            started_at_s=now_s,
            start_key=self.eligibility.start_key(upstream, now_s=now_s),
        )
        queued_at_s = self._queued_at_s.pop(request.request_id, now_s)
        return Placed(
            request=request,
            upstream=upstream,
            candidates=candidate_count,
            why=why,
            queue_wait_s=now_s - queued_at_s,
        )

    def _enqueue(self, request: Submit, *, now_s: float) -> Queued | Refused:
        wait_s = self.expected_wait_s(request.class_name)
        if now_s + wait_s + self.latency_s > request.deadline_s:
            return refusals.deadline_unreachable(request, wait_s=wait_s)
        if len(self.queue) >= self.service.policy.queue_limit:
            displaced = self.queue.evict_lower_weight(request.class_name)
            if displaced is None:
                return refusals.queue_full(request, wait_s=wait_s)
            self._displace(displaced)
        position = self.queue.count_ahead(request.class_name)
        self.queue.push(request)
        self._queued_at_s[request.request_id] = now_s
        return Queued(request=request, position=position)

    def _displace(self, request: Submit) -> None:
        self._queued_at_s.pop(request.request_id, None)
        wait_s = self.expected_wait_s(request.class_name)
        self._displaced_refusals.append(refusals.queue_full(request, wait_s=wait_s))

    def expected_wait_s(self, class_name: str) -> float:
        """Estimate the queueing time of a new request of a class."""
        concurrency = max(1, self.limit.value)
        return self.queue.expected_turns(class_name) * self.latency_s / concurrency

    def finish(self, finished: Finished, *, now_s: float) -> list[PlacementDecision]:
        """Record the end of an attempt and serve the queue.

        Returns
        -------
        list of Placed, Forward or Refused
            Decisions on queued requests.
        """
        attempt = self.in_flight_attempts.pop(finished.request_id, None)
        if attempt is None:
            return self.drain(now_s=now_s)
        load = self.loads.get(attempt.upstream.id)
        if load is not None:
            self._record_outcome(attempt, load, finished, now_s=now_s)
        return self.drain(now_s=now_s)

    def _record_outcome(
        self,
        attempt: InFlightAttempt,
        load: UpstreamLoad,
        finished: Finished,
        *,
        now_s: float,
    ) -> None:
        upstream = attempt.upstream
        if finished.report is not None:
            self.on_report(upstream, finished.report, now_s=now_s)
        load.in_flight -= 1
        if finished.result is AttemptResult.ANSWERED:
            self._record_success(attempt, load, finished, now_s=now_s)
        elif finished.result is AttemptResult.SHED:
            self.limit.on_overload(now_s=now_s)
            self.eligibility.on_shed(upstream, now_s=now_s)
        elif finished.result is AttemptResult.CANCELLED:
            load.on_abandoned(finished.latency_s, now_s=now_s)
        else:
            self._record_failure(attempt, finished, now_s=now_s)

    def _record_success(
        self,
        attempt: InFlightAttempt,
        load: UpstreamLoad,
        finished: Finished,
        *,
        now_s: float,
    ) -> None:
        load.on_latency(_latency_without_queueing_s(finished, load.slots), now_s=now_s)
        self.latency_s += (finished.latency_s - self.latency_s) * LATENCY_EWMA_WEIGHT
        self.outliers.on_success(attempt.upstream.id)
        self._suspects.clear(attempt.request.fingerprint, now_s=now_s)
        start_id = finished.report.start_id if finished.report is not None else ""
        self.eligibility.on_success(
            attempt.upstream,
            start_id=start_id,
            sent_at_s=attempt.started_at_s,
            latency_s=finished.latency_s,
            now_s=now_s,
        )
        self.limit.on_success(in_flight=len(self.in_flight_attempts) + 1)

    def _record_failure(
        self, attempt: InFlightAttempt, finished: Finished, *, now_s: float
    ) -> None:
        upstream = attempt.upstream
        ejected = self.outliers.on_failure(
            upstream, service_size=len(self.service.upstreams), now_s=now_s
        )
        if ejected:
            why = f"the last attempt ended as {finished.result}"
            self._repairs.append(Repair(kind="ejection", upstream=upstream.id, why=why))
        if finished.result in (AttemptResult.DIED, AttemptResult.UNREACHABLE):
            self.eligibility.on_connection_broken(upstream, now_s=now_s)

    def pop_repairs(self) -> list[Repair]:
        """Return the repairs since the last call."""
        repairs = list(self._repairs)
        self._repairs.clear()
        return repairs

    def on_report(
        self, upstream: Upstream, report: LoadReport, *, now_s: float
    ) -> None:
        """Record a load report of an upstream."""
        load = self.loads.get(upstream.id)
        if load is None:
            return
        load.on_report(report, now_s=now_s)
        self.eligibility.on_leaving(upstream, report.leaving, now_s=now_s)
        if report.in_flight > load.slots + OVERLOAD_QUEUE_DEPTH:
            self.limit.on_overload(now_s=now_s)

    def on_probe(self, upstream: Upstream, report: LoadReport, *, now_s: float) -> None:
        """Record the load report in the answer to a probe.

        A probe can show that an upstream has restarted, but never that it is
        warm, because health endpoints lag behind.
        """
        self.on_report(upstream, report, now_s=now_s)
        self.eligibility.on_start_id(upstream, report.start_id, now_s=now_s)

    def drain(self, *, now_s: float) -> list[PlacementDecision]:
        """Place the queued requests that can go now and refuse the expired ones."""
        decisions: list[PlacementDecision] = [
            self._refuse_expired(r, now_s=now_s)
            for r in self.queue.remove_expired(now_s=now_s)
        ]
        decisions += self._displaced_refusals
        self._displaced_refusals = []
        deferred: list[Submit] = []
        while len(self.queue) > 0:
            request = self.queue.pop()
            if request is None:
                break
            decision = self._refuse_early(request, now_s=now_s) or self._place(
                request, now_s=now_s
            )
            if isinstance(decision, Queued):
                deferred.append(request)
                # A suspect waits for an upstream without another suspect. It
                # must not block the requests behind it.
                if self.isolation.is_suspect(request.fingerprint, now_s=now_s):
                    continue
                break
            if not isinstance(decision, Placed):
                self._queued_at_s.pop(request.request_id, None)
            decisions.append(decision)
        for request in reversed(deferred):
            self.queue.push_front(request)
        return decisions

    def _refuse_expired(self, request: Submit, *, now_s: float) -> Refused:
        self._queued_at_s.pop(request.request_id, None)
        wait_s = self.expected_wait_s(request.class_name)
        return refusals.deadline_passed(request, wait_s=wait_s)

    def cancel(self, request_id: str) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        self._queued_at_s.pop(request_id, None)
        return self.queue.remove(request_id) is not None


def _latency_without_queueing_s(finished: Finished, slots: int) -> float:
    """Return the latency without the share of the upstream's own queue.

    Under overload, the latencies of all upstreams rise with their queues, which
    would hide a slow upstream.
    """
    if finished.report is None:
        return finished.latency_s
    return finished.latency_s / max(1.0, finished.report.in_flight / slots)
