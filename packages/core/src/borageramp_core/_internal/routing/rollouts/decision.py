"""Steps of one rollout, as the deciding instance takes them."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from borageramp_core._internal.routing.rollouts.counts import VersionCounts
from borageramp_core._internal.routing.rollouts.evidence import (
    EvidenceReport,
    EvidenceVerdict,
    RouteEvidence,
)
from borageramp_core._internal.routing.rollouts.model import (
    PHASES,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from borageramp_core._internal.routing.rollouts.plan import (
    ExposureBounds,
    RolloutTiming,
    plan_shares,
)

__all__ = ["RolloutDecision", "VersionCapacity"]

# Time for which the rates of the routes are measured before the canary.
MIN_RATE_TIME_S = 0.9
# Responses of the new version on a route for a step, or this part of those to expect
# there if they are fewer.
MIN_RESPONSES = 8.0
EXPECTED_PART = 0.4
# Time from a step until its responses arrive: instances learn of it, requests run, and
# reports are sent.
RESPONSE_DELAY_S = 0.8
# Warm slots of the new version for the switch, as parts of those of the old one: as a
# rule, and of all that are registered if no more come.
SWITCH_CAPACITY = 0.8
MIN_SWITCH_CAPACITY = 0.3
SETTLED_S = 3.0
# Outage of the store that is added to the duration at most.
MAX_OUTAGE_S = 5.0
ALL_ROUTES = "all routes"


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionCapacity:
    """Registered upstreams of both versions.

    Attributes
    ----------
    old_slots : int
        Slots of the old version.
    new_slots, warm_new_slots : int
        Slots of the new version, and those of its warm upstreams.
    newest_age_s : float
        Time since the last upstream of the new version was registered.
    """

    old_slots: int = 0
    new_slots: int = 0
    warm_new_slots: int = 0
    newest_age_s: float = 0.0

    @property
    def can_switch(self) -> bool:
        """Whether the new version can take all requests."""
        if self.warm_new_slots >= SWITCH_CAPACITY * self.old_slots:
            return self.warm_new_slots > 0
        settled = self.newest_age_s >= SETTLED_S and (
            self.warm_new_slots == self.new_slots
        )
        return settled and self.new_slots >= MIN_SWITCH_CAPACITY * self.old_slots


class RolloutDecision:
    """Decides on the next phase of one rollout.

    Parameters
    ----------
    order : RolloutOrder
        The order.
    record : RolloutRecord
        Record from which to go on.
    elapsed_s : float
        Time since the order was seen, as far as known.
    bounds : ExposureBounds
        Bound on the requests of a bad version.
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    record : RolloutRecord
        Record in force.
    """

    def __init__(
        self,
        *,
        order: RolloutOrder,
        record: RolloutRecord,
        elapsed_s: float,
        now_s: float,
        bounds: ExposureBounds | None = None,
    ) -> None:
        self.record = record
        self._timing = RolloutTiming(duration_s=order.duration_s)
        self._bounds = bounds or ExposureBounds()
        self._ordered_at_s = now_s - max(elapsed_s, record.elapsed_s)
        self._started_at_s = self._stepped_at_s = now_s
        self._routes: dict[str, RouteEvidence] = {}
        self._all = RouteEvidence(now_s=now_s)
        self._confirmed: dict[str, int] = {}
        self._rollback_reported = False
        self._outage_s = 0.0

    def elapsed_s(self, *, now_s: float) -> float:
        """Return the time since the order in seconds."""
        return now_s - self._ordered_at_s

    @property
    def evidence(self) -> VersionCounts:
        """Responses counted so far, for the log."""
        return self._all.total

    def on_counts(self, counts: Mapping[str, VersionCounts], *, now_s: float) -> None:
        """Add new responses by route."""
        for route, more in counts.items():
            evidence = self._routes.get(route)
            if evidence is None:
                evidence = self._routes[route] = RouteEvidence(now_s=self._started_at_s)
            evidence.add(more, now_s=now_s)
            # The times of different routes can't be compared.
            untimed = VersionCounts(
                old=replace(more.old, timed=0, log_sum=0.0),
                new=replace(more.new, timed=0, log_sum=0.0),
            )
            self._all.add(untimed, now_s=now_s)

    def on_confirmed(self, instance: str, *, claims: int) -> None:
        """Record that an instance has nothing in flight on the old version.

        Parameters
        ----------
        instance : str
            Name of the instance.
        claims : int
            Claims of the record with the switch that it follows; confirmations to
            earlier deciders don't count.
        """
        self._confirmed[instance] = claims

    def on_rolled_back(self) -> None:
        """Record that an instance was told to roll back by an earlier decider."""
        self._rollback_reported = True

    def on_outage(self, duration_s: float) -> None:
        """Add time in seconds for which the store was not available."""
        self._outage_s = min(MAX_OUTAGE_S, self._outage_s + duration_s)

    def unconfirmed(self, instances: Collection[str]) -> list[str]:
        """Return those of some instances that have yet to confirm the switch."""
        claims = self.record.claims
        return [n for n in instances if self._confirmed.get(n) != claims]

    def on_committed(self, record: RolloutRecord, *, now_s: float) -> None:
        """Go on from a record that was written."""
        if record.phase is not self.record.phase:
            self._stepped_at_s = now_s
            for evidence in (*self._routes.values(), self._all):
                evidence.start_step()
        self.record = record

    def next_record(
        self, capacity: VersionCapacity, *, now_s: float
    ) -> RolloutRecord | None:
        """Return the record to write now; ``None`` if nothing changes.

        `complete` follows from confirmations, with :meth:`completed`.
        """
        rollback = self.rollback(now_s=now_s)
        if rollback is not None or not self.record.is_active:
            return rollback
        judged = self._judge(now_s=now_s)
        if not self.record.uses_old or not self._may_step(
            judged, capacity, now_s=now_s
        ):
            return None
        following = PHASES[self.record.rank + 1]
        return self._moved(following, judged.reason, now_s=now_s)

    def rollback(self, *, now_s: float) -> RolloutRecord | None:
        """Return the record that rolls the new version back, if there is a reason."""
        if not self.record.is_active:
            return None
        reason = self._rollback_reason(self._judge(now_s=now_s), now_s=now_s)
        if reason is None:
            return None
        return self._moved(RolloutPhase.ROLLED_BACK, reason, now_s=now_s)

    def may_complete(self, *, now_s: float) -> bool:
        """Return whether the switch has been in force long enough to judge it."""
        if self.record.phase is not RolloutPhase.SWITCH:
            return False
        if self.record.is_repeated:
            return True
        step_s = now_s - self._stepped_at_s
        for evidence in (*self._routes.values(), self._all):
            # A version that hangs under the full load, or on one route, shows no
            # failures until requests time out.
            expected = evidence.rate_hz(now_s=now_s) * step_s
            if evidence.new_responses < int(
                min(MIN_RESPONSES, EXPECTED_PART * expected)
            ):
                return False
        judged = self._all.judge(ALL_ROUTES, needed=0.0)
        return step_s >= RESPONSE_DELAY_S and judged.verdict is not EvidenceVerdict.BAD

    def completed(self, *, now_s: float) -> RolloutRecord:
        """Return the record to write once all instances have confirmed."""
        reason = "all instances confirmed the switch"
        return self._moved(RolloutPhase.COMPLETE, reason, now_s=now_s)

    def _judge(self, *, now_s: float) -> EvidenceReport:
        reports = [
            evidence.judge(route, needed=self._needed(route, evidence, now_s=now_s))
            for route, evidence in self._routes.items()
        ]
        reports.append(
            self._all.judge(ALL_ROUTES, needed=0.0),
        )
        for verdict in (EvidenceVerdict.BAD, EvidenceVerdict.NOT_ENOUGH):
            for report in reports:
                if report.verdict is verdict:
                    return report
        return reports[-1]

    def _needed(self, route: str, evidence: RouteEvidence, *, now_s: float) -> float:
        """Return the responses of the new version that a step needs on a route."""
        if self.record.phase is RolloutPhase.PREPARE:
            return 0.0
        step_s = max(0.0, now_s - self._stepped_at_s - RESPONSE_DELAY_S)
        expected = (
            evidence.rate_hz(now_s=now_s) * self.record.route_share(route) * step_s
        )
        # Of less than one response, none may come for long.
        return float(int(min(MIN_RESPONSES, EXPECTED_PART * expected)))

    def _rollback_reason(self, judged: EvidenceReport, *, now_s: float) -> str | None:
        if self.record.is_repeated:
            return None
        if self._rollback_reported:
            return "rolled back by an earlier decider"
        if judged.verdict is EvidenceVerdict.BAD:
            return judged.reason
        give_up_at_s = self._timing.give_up_at_s + self._outage_s
        if self.record.uses_old and self.elapsed_s(now_s=now_s) >= give_up_at_s:
            return f"not decided in time: {judged.reason}"
        return None

    def _may_step(
        self, judged: EvidenceReport, capacity: VersionCapacity, *, now_s: float
    ) -> bool:
        step_s = now_s - self._stepped_at_s
        if self.record.phase is RolloutPhase.PREPARE:
            return step_s >= MIN_RATE_TIME_S and capacity.new_slots > 0
        following = PHASES[self.record.rank + 1]
        if self.elapsed_s(now_s=now_s) < self._timing.starts_at_s(following):
            return False
        if step_s < max(self._timing.step_s, RESPONSE_DELAY_S):
            return False
        if following is RolloutPhase.SWITCH and not capacity.can_switch:
            return False
        return judged.verdict is EvidenceVerdict.GOOD

    def _moved(
        self, phase: RolloutPhase, reason: str, *, now_s: float
    ) -> RolloutRecord:
        rates_hz = {r: e.rate_hz(now_s=now_s) for r, e in self._routes.items()}
        shares = plan_shares(
            phase, rates_hz=rates_hz, timing=self._timing, bounds=self._bounds
        )
        return replace(
            self.record,
            phase=phase,
            reason=reason,
            share=shares.share,
            route_shares=shares.route_shares,
            load_share=shares.load_share,
            elapsed_s=round(self.elapsed_s(now_s=now_s), 3),
        )
