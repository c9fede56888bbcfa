"""The part of this instance in one rollout: following, reporting and deciding."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from dataclasses import replace

from borageramp_core.routing import (
    Instance,
    RolloutPhase,
    UpstreamView,
    choose_decider,
    decider_order,
    silence_limit_s,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.rollouts.decider import RolloutDecider
from borageramp_entry._internal.routed.rollouts.messages import (
    Directive,
    EvidenceMessage,
)
from borageramp_entry._internal.routed.rollouts.state import ServiceRollout

__all__ = ["NoDirectiveError", "RolloutFollower"]

_log = get_logger(__name__)

REPORT_INTERVAL_S = 0.3
# An instance that can't decide, or was silent, is asked again after this.
AVOIDED_S = 5.0
# So many instances that come first report without evidence as well, so that one of
# them notices if the deciding instance is gone.
WATCHING_INSTANCES = 4


class NoDirectiveError(Exception):
    """An instance gave no directive.

    Parameters
    ----------
    detail : str
        What happened.
    can_decide : bool
        Whether it may do so later; earlier builds can't.
    may_have_arrived : bool
        Whether it may have taken in what it was told.
    """

    def __init__(
        self, detail: str, *, can_decide: bool = True, may_have_arrived: bool = False
    ) -> None:
        super().__init__(detail)
        self.can_decide = can_decide
        self.may_have_arrived = may_have_arrived


class RolloutFollower:
    """Follows one rollout, and decides on it if this instance is to.

    Parameters
    ----------
    name : str
        Name of this instance.
    rollout : ServiceRollout
        The rollout.
    decider : RolloutDecider
        Takes the decisions.
    views : callable
        Returns the upstreams of the service.
    is_off_old : callable
        Returns whether nothing is in flight on the old version.
    send_report : callable
        Sends evidence to an instance; returns its directive or raises
        `NoDirectiveError`.
    broadcast : callable
        Sends a directive to all other instances.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        rollout: ServiceRollout,
        decider: RolloutDecider,
        views: Callable[[], Mapping[str, UpstreamView]],
        is_off_old: Callable[[], bool],
        send_report: Callable[[Instance, EvidenceMessage], Awaitable[Directive]],
        broadcast: Callable[[Directive], None],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self.rollout = rollout
        self.decider = decider
        self._views = views
        self._is_off_old = is_off_old
        self._send_report = send_report
        self._broadcast = broadcast
        self._clock = clock
        self._listed: dict[str, Instance] = {}
        self._order: list[str] = []
        self._task: asyncio.Task[None] | None = None
        self._reported_at_s = float("-inf")
        self._confirmed_claims: int | None = None
        self._relayed: dict[str, EvidenceMessage] = {}
        self._silent_since_s: dict[str, float] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._stalled_until_s: dict[str, float] = {}

    def tick(self, instances: Iterable[Instance]) -> None:
        """Report or decide, unless the last call is still under way.

        Parameters
        ----------
        instances : iterable of Instance
            Listed instances.
        """
        if self._task is not None:
            if not self._task.done():
                return
            error = None if self._task.cancelled() else self._task.exception()
            self._task = None
            if error is not None:
                # Requests are served on whatever becomes of a rollout.
                _log.error("rollout step failed", error=repr(error))
        by_name = {i.name: i for i in instances}
        if by_name != self._listed:
            self._listed = by_name
            service = self.rollout.order.service
            self._order = decider_order(by_name.values(), service)
            if by_name.keys() == {self._name}:
                # Alone, it needs no address for others.
                self._order = [self._name]
        order = self._order
        target = self._target(order)
        if target == self._name or self._may_take_over(order):
            self._task = asyncio.ensure_future(self._decide(by_name))
        elif target is not None and self._is_report_due(order):
            self._task = asyncio.ensure_future(self._report(by_name[target]))

    def _target(self, order: Collection[str]) -> str | None:
        current = self.rollout.record.decider
        return choose_decider(
            order, current=current, silent=self._current(self._avoided_until_s)
        )

    def _may_take_over(self, order: Collection[str]) -> bool:
        """Return whether this instance follows one that doesn't reach the store."""
        stalled = self._current(self._stalled_until_s)
        # Without a record yet, the first one may hear of the order from others only.
        if (self.rollout.record.decider or self._target(order)) not in stalled:
            return False
        silent = stalled | self._current(self._avoided_until_s)
        return choose_decider(order, current="", silent=silent) == self._name

    def _current(self, until_s: Mapping[str, float]) -> set[str]:
        now_s = self._clock()
        return {name for name, at_s in until_s.items() if now_s < at_s}

    @property
    def confirmed(self) -> bool:
        """Whether nothing is or will be in flight on the old version here."""
        record = self.rollout.record
        return record.phase is RolloutPhase.SWITCH and self._is_off_old()

    @property
    def _rolled_back(self) -> bool:
        return self.rollout.record.phase is RolloutPhase.ROLLED_BACK

    def _is_report_due(self, order: list[str]) -> bool:
        now_s = self._clock()
        claims = self.rollout.record.claims
        if self.confirmed and self._confirmed_claims != claims:
            return True
        if now_s - self._reported_at_s < REPORT_INTERVAL_S:
            return False
        return (
            bool(self.rollout.evidence or self._relayed)
            or self.rollout.record.phase is RolloutPhase.SWITCH
            or self._rolled_back
            or self._name in order[:WATCHING_INSTANCES]
        )

    async def _decide(self, by_name: Mapping[str, Instance]) -> None:
        record = self.rollout.record
        rolled_back = self.decider.on_evidence(
            self._name,
            self.rollout.evidence.take() if self.decider.is_deciding else {},
            confirmed_claims=record.claims if self.confirmed else None,
            rolled_back=False,
        )
        if rolled_back:
            self._broadcast(self.directive())
        if await self.decider.step(self._views(), listed=by_name.keys()):
            self._broadcast(self.directive())

    def directive(self) -> Directive:
        """Return what this instance says of the rollout."""
        return Directive(
            record=self.rollout.record,
            deciding=self.decider.is_deciding,
            stalled=self.decider.is_stalled,
        )

    def on_evidence(self, message: EvidenceMessage) -> Directive:
        """Take in what another instance tells; return the directive for it."""
        if self.decider.is_deciding:
            if self.decider.on_evidence(
                message.instance,
                message.counts,
                confirmed_claims=message.claims if message.confirmed else None,
                rolled_back=message.rolled_back,
            ):
                self._broadcast(self.directive())
        elif message.confirmed or message.rolled_back:
            self._relayed[message.instance] = replace(message, counts={})
        return self.directive()

    def on_directive(self, directive: Directive) -> None:
        """Follow what another instance says, if it is about this order."""
        record = directive.record
        # One that was replaced must not undo what was confirmed to its successor.
        is_current = record.claims >= self.rollout.record.claims
        if record.follows(self.rollout.order) and is_current:
            self.rollout.on_record(record)

    async def _report(self, target: Instance) -> None:
        self._reported_at_s = self._clock()
        evidence = self.rollout.evidence
        since_s = evidence.since_s
        confirmed = self.confirmed
        order = self.rollout.order
        message = EvidenceMessage(
            instance=self._name,
            service=order.service,
            order_revision=order.revision,
            to_version=order.to_version,
            claims=self.rollout.record.claims,
            confirmed=confirmed,
            rolled_back=self._rolled_back,
            counts=evidence.take(),
        )
        try:
            directive = await self._send_report(target, message)
        except NoDirectiveError as error:
            # Responses that are counted twice would make several failures of one.
            if not error.may_have_arrived:
                evidence.put_back(message.counts, since_s=since_s)
            self._on_silent(target.name, error)
            return
        self._silent_since_s.pop(target.name, None)
        if directive.stalled:
            self._stalled_until_s[target.name] = self._clock() + REPORT_INTERVAL_S * 3
        if not directive.deciding:
            evidence.put_back(message.counts, since_s=since_s)
        elif confirmed:
            self._confirmed_claims = message.claims
        self.on_directive(directive)
        if directive.deciding:
            await self._relay(target)

    async def _relay(self, target: Instance) -> None:
        """Pass on what instances tell that don't reach the deciding one."""
        relayed, self._relayed = self._relayed, {}
        try:
            for message in relayed.values():
                await self._send_report(target, message)
        except NoDirectiveError as error:
            self._on_silent(target.name, error)

    def _on_silent(self, name: str, error: NoDirectiveError) -> None:
        now_s = self._clock()
        since_s = self._silent_since_s.setdefault(name, now_s)
        limit_s = silence_limit_s(self.rollout.record.claims)
        if error.can_decide and now_s - since_s < limit_s:
            return
        self._silent_since_s.pop(name)
        self._avoided_until_s[name] = now_s + AVOIDED_S
        _log.info(
            "rollout decider silent",
            service=self.rollout.order.service,
            instance=name,
            why=str(error),
        )

    def close(self) -> None:
        """End the call under way."""
        if self._task is not None:
            self._task.cancel()
