"""The decision on one rollout, while this instance takes it."""

from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import replace

from borageramp_core import StoreError, StoreUnavailableError
from borageramp_core.routing import (
    RolloutDecision,
    RolloutPhase,
    RolloutRecord,
    UpstreamView,
    VersionCounts,
)
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.rollouts.messages import (
    MalformedRolloutError,
    decode_record_value,
    encode_record,
    record_key,
)
from borageramp_entry._internal.routed.rollouts.state import ServiceRollout
from borageramp_entry._internal.store.base import Commit, Condition, Item, Put, Store

__all__ = ["RolloutDecider"]

_log = get_logger(__name__)

# Pause after a commit that failed: each costs as much as a request.
COMMIT_RETRY_S = 0.4
# Without contact with the store for this long, another instance may take over.
STALLED_AFTER_S = 1.5
# An instance that isn't listed any more and has reported this lately is stopping, and
# still has requests in flight; one that was killed is silent for longer by then.
RECENT_S = 2.0
# Confirmations take up to 2 s; an operator needs to know who is late then.
UNCONFIRMED_LOG_INTERVAL_S = 2.0


class RolloutDecider:
    """Takes the decisions on one rollout and writes them.

    Parameters
    ----------
    name : str
        Name of this instance.
    rollout : ServiceRollout
        The rollout.
    store : Store
        Store of the record.
    encode_status : callable
        Returns the write of the public status.
    read_listed : callable
        Reads the names of the listed instances from the store.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        rollout: ServiceRollout,
        store: Store,
        encode_status: Callable[[RolloutRecord], Put],
        read_listed: Callable[[], Awaitable[Collection[str]]],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self.rollout = rollout
        self._store = store
        self._encode_status = encode_status
        self._read_listed = read_listed
        self._clock = clock
        self._decision: RolloutDecision | None = None
        self._reported_at_s: dict[str, float] = {}
        self._retry_at_s = float("-inf")
        self._failing_since_s: float | None = None
        self._unconfirmed_logged_at_s = float("-inf")
        # A write of `complete` whose outcome is not known must not be followed by a
        # rollback: old upstreams may have stopped.
        self._completing = False

    @property
    def is_deciding(self) -> bool:
        """Whether this instance has written that it decides."""
        record = self.rollout.record
        return self._decision is not None and (
            record.decider == self._name
            and record.claims == self._decision.record.claims
        )

    @property
    def is_stalled(self) -> bool:
        """Whether the store has not been reached for a while."""
        since_s = self._failing_since_s
        return since_s is not None and self._clock() - since_s > STALLED_AFTER_S

    def on_evidence(
        self,
        instance: str,
        counts: Mapping[str, VersionCounts],
        *,
        confirmed_claims: int | None,
        rolled_back: bool,
    ) -> bool:
        """Take in what an instance tells; return whether it ends in a rollback now.

        A rollback is in force here and in answers to others at once, also while a
        write is under way, and is written when possible.

        Parameters
        ----------
        instance : str
            Name of the instance.
        counts : mapping of str to VersionCounts
            New responses by route.
        confirmed_claims : int or None
            Claims of the record with the switch that it confirms.
        rolled_back : bool
            Whether it was told that the rollout is rolled back.
        """
        now_s = self._clock()
        self._reported_at_s[instance] = now_s
        if self._decision is None:
            return False
        self._decision.on_counts(counts, now_s=now_s)
        if confirmed_claims is not None:
            self._decision.on_confirmed(instance, claims=confirmed_claims)
        if rolled_back:
            self._decision.on_rolled_back()
        return self._roll_back()

    def _roll_back(self) -> bool:
        """Put a rollback in force if there is a reason; return whether it did."""
        if self._decision is None or self._completing or not self.is_deciding:
            return False
        self._follow_record(self._decision)
        wanted = self._decision.rollback(now_s=self._clock())
        if wanted is None:
            return False
        self.rollout.on_record(wanted, evidence=self._decision.evidence)
        return True

    async def step(
        self, views: Mapping[str, UpstreamView], *, listed: Collection[str]
    ) -> bool:
        """Take the next step, if any; return whether all are to be told at once.

        Parameters
        ----------
        views : mapping of str to UpstreamView
            Upstreams of the service.
        listed : collection of str
            Names of the listed instances, as far as known.
        """
        if self.rollout.is_settled:
            return False
        if not self.rollout.record.is_active:
            return await self._write_end()
        if not self.is_deciding:
            await self._claim()
            return False
        assert self._decision is not None
        self._follow_record(self._decision)
        if self._completing:
            return await self._complete(listed)
        if self._roll_back():
            await self._write_end()
            return True
        wanted = self._decision.next_record(
            self.rollout.capacity(views), now_s=self._clock()
        )
        if wanted is not None:
            return await self._move(wanted)
        if self._decision.may_complete(now_s=self._clock()):
            return await self._complete(listed)
        return False

    def _follow_record(self, decision: RolloutDecision) -> None:
        """Go on from the record in force; it may be received before the write ends."""
        decision.on_committed(self.rollout.record, now_s=self._clock())

    async def _claim(self) -> None:
        record = self.rollout.record
        seen_for_s = self._clock() - self.rollout.seen_at_s
        claimed = replace(
            record,
            decider=self._name,
            claims=record.claims + 1,
            elapsed_s=round(max(seen_for_s, record.elapsed_s), 3),
        )
        if not await self._commit(claimed):
            return
        self._decision = RolloutDecision(
            order=self.rollout.order,
            record=self.rollout.record,
            elapsed_s=claimed.elapsed_s,
            now_s=self._clock(),
        )

    async def _move(self, wanted: RolloutRecord) -> bool:
        assert self._decision is not None
        if not await self._commit(wanted):
            return False
        self._follow_record(self._decision)
        return wanted.phase is RolloutPhase.SWITCH

    async def _write_end(self) -> bool:
        """Write the end of the rollout that is in force here."""
        record = replace(self.rollout.record, decider=self._name)
        await self._commit(record)
        return False

    async def _complete(self, listed: Collection[str]) -> bool:
        assert self._decision is not None
        if self._clock() < self._retry_at_s:
            return False
        if missing := self._unconfirmed(listed):
            self._log_unconfirmed(missing)
            return False
        try:
            # The list that this instance has may be late.
            listed = await self._read_listed()
        except StoreError as error:
            self._on_store_failed(error)
            return False
        self._on_store_answered()
        missing = self._unconfirmed(listed)
        if missing:
            self._retry_at_s = self._clock() + COMMIT_RETRY_S
            self._log_unconfirmed(missing)
            return False
        if not self.rollout.record.is_active or not self.is_deciding:
            return False
        await self._commit(self._decision.completed(now_s=self._clock()))
        return False

    def _log_unconfirmed(self, missing: list[str]) -> None:
        """Log which instances `complete` waits for, at intervals."""
        now_s = self._clock()
        if now_s < self._unconfirmed_logged_at_s + UNCONFIRMED_LOG_INTERVAL_S:
            return
        self._unconfirmed_logged_at_s = now_s
        _log.info(
            "rollout not confirmed",
            service=self.rollout.order.service,
            instances=missing[:10],
            count=len(missing),
        )

    def _unconfirmed(self, listed: Collection[str]) -> list[str]:
        """Return the instances that may have requests on the old version."""
        assert self._decision is not None
        now_s = self._clock()
        recent = {n for n, at in self._reported_at_s.items() if now_s - at < RECENT_S}
        return self._decision.unconfirmed({*listed, *recent})

    async def _commit(self, record: RolloutRecord) -> bool:
        """Write a record; return whether it is in force."""
        if self._clock() < self._retry_at_s:
            return False
        self._retry_at_s = float("inf")  # One at a time.
        try:
            return await self._try_commit(record)
        finally:
            if self._retry_at_s == float("inf"):
                self._retry_at_s = self._clock()

    async def _try_commit(self, record: RolloutRecord) -> bool:
        rollout = self.rollout
        service = rollout.order.service
        key = record_key(service)
        puts = [Put(key=key, value=encode_record(record))]
        if rollout.written_state != record.state:
            puts.insert(0, self._encode_status(record))
        commit = Commit(
            conditions=(
                Condition(key=rollout.key, revision=rollout.order.revision),
                Condition(key=key, revision=rollout.store_revision),
            ),
            puts=tuple(puts),
            read_otherwise=(key,),
        )
        self._completing = record.phase is RolloutPhase.COMPLETE
        try:
            (outcome,) = await self._store.commit([commit])
        except StoreError as error:
            self._completing &= not isinstance(error, StoreUnavailableError)
            self._on_store_failed(error)
            return False
        self._completing = False
        self._on_store_answered()
        if outcome.succeeded:
            evidence = None if self._decision is None else self._decision.evidence
            rollout.store_revision = outcome.revision
            rollout.written_state = record.state
            rollout.on_record(
                replace(record, revision=outcome.revision), evidence=evidence
            )
            return True
        return self._on_refused(
            record, next((i for i in outcome.found if i.key == key), None)
        )

    def _on_refused(self, record: RolloutRecord, found: Item | None) -> bool:
        """Follow the record that was found; return whether it is the one written."""
        self._retry_at_s = self._clock() + COMMIT_RETRY_S
        stored = None if found is None else self._decode(found)
        if stored is None or not stored.follows(self.rollout.order):
            self.rollout.on_found(None)
            self.rollout.store_revision = 0 if found is None else found.revision
            if stored is not None:
                self.rollout.on_previous(stored)
            return False
        self.rollout.on_found(stored)
        mine = (record.decider, record.claims, record.phase)
        # An earlier write whose answer was lost.
        return (stored.decider, stored.claims, stored.phase) == mine

    def _decode(self, found: Item) -> RolloutRecord | None:
        try:
            return decode_record_value(found.value, revision=found.revision)
        except MalformedRolloutError as error:
            _log.warning("item unreadable", key=found.key, problem=str(error))
            return None

    def _on_store_failed(self, error: StoreError) -> None:
        now_s = self._clock()
        self._retry_at_s = now_s + COMMIT_RETRY_S
        if self._failing_since_s is None:
            self._failing_since_s = now_s
            _log.warning(
                "rollout not written",
                service=self.rollout.order.service,
                error=str(error),
            )

    def _on_store_answered(self) -> None:
        if self._failing_since_s is not None and self._decision is not None:
            self._decision.on_outage(self._clock() - self._failing_since_s)
        self._failing_since_s = None
