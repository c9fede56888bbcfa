"""Rollout of one service as this instance follows it."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from random import Random

from borageramp_core.routing import (
    Registration,
    RolloutOrder,
    RolloutRecord,
    UpstreamView,
    VersionCapacity,
    VersionCounts,
    first_record,
    merge_records,
    select_canaries,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.rollouts.evidence import EvidenceCollector

__all__ = ["ServiceRollout"]

_log = get_logger(__name__)


class ServiceRollout:
    """Order and record of one service, and the upstreams that requests may go to.

    Parameters
    ----------
    key : str
        Store key of the order.
    order : RolloutOrder
        The order.
    previous : RolloutRecord or None
        Last record of an earlier order.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    record : RolloutRecord
        Record in force.
    store_revision : int
        Revision of the record in the store, as far as known; 0 if it has none.
    written_state : str or None
        State that the store has for this order; ``None`` if it has none.
    evidence : EvidenceCollector
        Responses that the deciding instance has yet to be told of.
    """

    def __init__(
        self,
        *,
        key: str,
        order: RolloutOrder,
        previous: RolloutRecord | None,
        rng: Random,
        clock: Callable[[], float],
    ) -> None:
        self.key = key
        self.order = order
        self.record = first_record(order, previous)
        self.store_revision = previous.revision if previous is not None else 0
        self.written_state: str | None = None
        self._era = 0
        self._is_in_store = False
        self.evidence = EvidenceCollector(clock=clock)
        self._rng = rng
        self._clock = clock
        self.seen_at_s = clock()
        self._registrations: list[Registration] = []
        self._new_since_s: dict[str, float] = {}
        self._old_ids: frozenset[str] = frozenset()
        # Versions that count as old as no upstream of the base version is registered.
        self._substitutes: frozenset[str] = frozenset()
        self._new_ids: frozenset[str] = frozenset()

    @property
    def is_settled(self) -> bool:
        """Whether the store has the end of the rollout."""
        return self.written_state == self.record.state and not self.record.is_active

    def is_old(self, version: str) -> bool:
        """Return whether a version counts as the old one."""
        return self.record.is_old(version) or version in self._substitutes

    def apply(self, registrations: Iterable[Registration]) -> None:
        """Apply the registered upstreams of the service."""
        now_s = self._clock()
        self._registrations = list(registrations)
        new = {r.id for r in self._new_registrations()}
        self._new_since_s = {n: self._new_since_s.get(n, now_s) for n in new}
        self._update_eligible()

    def _new_registrations(self) -> list[Registration]:
        version = self.record.to_version
        return [r for r in self._registrations if r.version == version]

    def _old_registrations(self) -> list[Registration]:
        return [r for r in self._registrations if self.is_old(r.version)]

    def _find_substitutes(self) -> frozenset[str]:
        """Return the versions to use instead of a base version that is gone.

        After its order was deleted, operators may have changed versions in any way.
        """
        record = self.record
        versions = {r.version for r in self._registrations}
        if any(record.is_old(v) for v in versions):
            return frozenset()
        return frozenset(versions - {record.to_version, *record.excluded_versions})

    def _update_eligible(self) -> None:
        self._substitutes = self._find_substitutes()
        old = self._old_registrations()
        new = self._new_registrations()
        self._old_ids = frozenset(r.id for r in old)
        if self.record.uses_old:
            self._new_ids = select_canaries(
                new,
                old_slots=sum(r.slots for r in old if not r.leaving),
                load_share=self.record.load_share,
                service=self.order.service,
            )
        else:
            self._new_ids = frozenset(r.id for r in new)

    def on_store_record(self, record: RolloutRecord, *, era: int) -> None:
        """Apply the record that the store has for this order.

        Parameters
        ----------
        record : RolloutRecord
            The record.
        era : int
            History of the store that its revision belongs to.
        """
        if (era, record.revision) < (self._era, self.store_revision):
            # Changes arrive later than the outcome of an own write.
            return
        self._era = era
        self._is_in_store = True
        self.store_revision = record.revision
        self.written_state = record.state
        self.on_record(record)

    def on_previous(self, record: RolloutRecord) -> None:
        """Apply what an earlier order came to, if this one wasn't acted on yet.

        Parameters
        ----------
        record : RolloutRecord
            Last record of the earlier order, as the store has it.
        """
        if self.record.claims == 0 and record.order_revision < self.order.revision:
            self.record = first_record(self.order, record)
            self._update_eligible()

    def on_store_lost(self) -> None:
        """Record that the store doesn't have the record any more, if it had it."""
        if self._is_in_store:
            self._is_in_store = False
            self.written_state = None
            self.store_revision = 0

    def on_found(self, record: RolloutRecord | None) -> None:
        """Apply what the store has, which has just answered.

        Parameters
        ----------
        record : RolloutRecord or None
            Its record for this order; ``None`` if it has none.
        """
        self.written_state = None if record is None else record.state
        self.store_revision = 0 if record is None else record.revision
        if record is not None:
            self.on_record(record)

    def on_record(
        self, record: RolloutRecord, *, evidence: VersionCounts | None = None
    ) -> None:
        """Apply a record of this order, from the store or the deciding instance.

        Parameters
        ----------
        record : RolloutRecord
            The record.
        evidence : VersionCounts, optional
            What the decision follows from, for the log.
        """
        previous = self.record
        self.record = merge_records(previous, record)
        if replace(self.record, revision=0) == replace(previous, revision=0):
            return
        self._update_eligible()
        before = (previous.phase, previous.claims)
        if before != (self.record.phase, self.record.claims):
            self._log_phase(evidence)

    def _log_phase(self, evidence: VersionCounts | None) -> None:
        counts: dict[str, int] = {}
        if evidence is not None:
            counts = {
                "old_responses": evidence.old.responses,
                "old_failures": evidence.old.failures,
                "new_responses": evidence.new.responses,
                "new_failures": evidence.new.failures,
            }
        _log.info(
            "rollout phase",
            service=self.order.service,
            version=self.record.to_version,
            phase=self.record.phase.value,
            state=self.record.state.value,
            share=self.record.share,
            reason=self.record.reason,
            decider=self.record.decider,
            claims=self.record.claims,
            since_order_ms=round((self._clock() - self.seen_at_s) * 1000),
            **counts,
        )

    def draw(self, route: str) -> bool:
        """Return whether a request of a route goes to the new version."""
        share = self.record.route_share(route)
        return share > 0.0 and self._rng.random() < share

    @property
    def is_divided(self) -> bool:
        """Whether both versions get requests."""
        return self.record.uses_old and self.record.uses_new

    def eligible(self, *, new: bool) -> Collection[str]:
        """Return the upstreams that a request may go to.

        Parameters
        ----------
        new : bool
            Whether it was drawn for the new version.
        """
        if not self.record.uses_old:
            return self._new_ids
        return self._new_ids if new and self.record.uses_new else self._old_ids

    def capacity(self, views: Mapping[str, UpstreamView]) -> VersionCapacity:
        """Return the registered upstreams of both versions."""
        now_s = self._clock()
        new = [r for r in self._new_registrations() if not r.leaving]
        warm = [
            r for r in new if r.id in views and not views[r.id].is_cold(now_s=now_s)
        ]
        newest_at_s = max(self._new_since_s.values(), default=now_s)
        return VersionCapacity(
            old_slots=sum(r.slots for r in self._old_registrations() if not r.leaving),
            new_slots=sum(r.slots for r in new),
            warm_new_slots=sum(r.slots for r in warm),
            newest_age_s=now_s - newest_at_s,
        )
