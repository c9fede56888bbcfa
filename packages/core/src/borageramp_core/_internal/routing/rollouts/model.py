"""Orders to roll out a software version, and how far each has come."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

__all__ = [
    "PHASES",
    "RolloutOrder",
    "RolloutPhase",
    "RolloutRecord",
    "RolloutState",
    "first_record",
    "merge_records",
]


class RolloutPhase(StrEnum):
    """Phase of a rollout, each with a larger share than the one before."""

    PREPARE = "prepare"  # No upstream of the new version gets requests.
    CANARY = "canary"
    STEP_TWO = "step_two"
    STEP_THREE = "step_three"
    SWITCH = "switch"  # Nothing more is sent to the old version.
    ROLLED_BACK = "rolled_back"
    COMPLETE = "complete"


class RolloutState(StrEnum):
    """State of a rollout as the operator sees it."""

    ACTIVE = "active"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


PHASES = tuple(RolloutPhase)
_TERMINAL_STATES = {
    RolloutPhase.COMPLETE: RolloutState.COMPLETE,
    RolloutPhase.ROLLED_BACK: RolloutState.ROLLED_BACK,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """Order of an operator to move a service to another software version.

    Attributes
    ----------
    service : str
        Name of the service.
    to_version : str
        Version that its traffic is to move to.
    duration_s : float
        Time in seconds within which the rollout has to be decided.
    revision : int
        Revision of the store at which the order was written; writing it anew makes
        it another order.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutRecord:
    """How far a rollout has come, as all instances follow it.

    Attributes
    ----------
    service : str
        Name of the service.
    order_revision : int
        Revision of the order.
    to_version : str
        The new version.
    phase : RolloutPhase
        Phase in force.
    share : float
        Share of the requests that go to the new version.
    route_shares : mapping of str to float
        Larger shares of routes with few requests, by name.
    load_share : float
        Share of the service's requests, over all routes, that this comes to.
    elapsed_s : float
        Time since the order when the record was written.
    decider : str
        Name of the instance that decides.
    claims : int
        Number of times that an instance took over the decision.
    base_version : str or None
        The only old version that may be used, where an earlier rollout is complete;
        ``None`` for any.
    excluded_versions : tuple of str
        Versions of earlier orders that were rolled back or replaced.
    reason : str
        Why this phase was entered.
    revision : int
        Revision of the store at which it was written; 0 if it was not.
    """

    service: str
    order_revision: int
    to_version: str
    phase: RolloutPhase = RolloutPhase.PREPARE
    share: float = 0.0
    route_shares: Mapping[str, float] = field(default_factory=dict)
    load_share: float = 0.0
    elapsed_s: float = 0.0
    decider: str = ""
    claims: int = 0
    base_version: str | None = None
    excluded_versions: tuple[str, ...] = ()
    reason: str = ""
    revision: int = 0

    @property
    def rank(self) -> int:
        """Position of the phase; it never decreases for one order."""
        return PHASES.index(self.phase)

    @property
    def state(self) -> RolloutState:
        """State of the rollout for the operator."""
        return _TERMINAL_STATES.get(self.phase, RolloutState.ACTIVE)

    @property
    def is_active(self) -> bool:
        """Whether the rollout has yet to be decided."""
        return self.state is RolloutState.ACTIVE

    @property
    def uses_old(self) -> bool:
        """Whether the old version may get requests."""
        return self.phase not in (RolloutPhase.SWITCH, RolloutPhase.COMPLETE)

    @property
    def uses_new(self) -> bool:
        """Whether the new version may get requests."""
        return self.phase not in (RolloutPhase.PREPARE, RolloutPhase.ROLLED_BACK)

    @property
    def is_repeated(self) -> bool:
        """Whether the version was in force before, so that nothing has to move."""
        return self.base_version == self.to_version

    def follows(self, order: RolloutOrder) -> bool:
        """Return whether this is the record of an order."""
        return (self.order_revision, self.to_version) == (
            order.revision,
            order.to_version,
        )

    def route_share(self, route: str) -> float:
        """Return the share of a route's requests that go to the new version."""
        if not self.uses_new:
            return 0.0
        if not self.uses_old:
            return 1.0
        return max(self.share, self.route_shares.get(route, 0.0))

    def is_old(self, version: str) -> bool:
        """Return whether a version counts as the old one."""
        if version == self.to_version or version in self.excluded_versions:
            return False
        return self.base_version is None or version == self.base_version


def first_record(order: RolloutOrder, previous: RolloutRecord | None) -> RolloutRecord:
    """Return the record from which a rollout starts.

    Parameters
    ----------
    order : RolloutOrder
        The order.
    previous : RolloutRecord or None
        Last record of an earlier order for the service.
    """
    record = RolloutRecord(
        service=order.service,
        order_revision=order.revision,
        to_version=order.to_version,
        reason="ordered",
    )
    if previous is None:
        return record
    if previous.phase is RolloutPhase.COMPLETE:
        base: str | None = previous.to_version
        excluded: tuple[str, ...] = ()
    else:
        base = previous.base_version
        excluded = (*previous.excluded_versions, previous.to_version)
    record = replace(
        record,
        base_version=base,
        excluded_versions=tuple(sorted({v for v in excluded if v != order.to_version})),
        revision=previous.revision,
    )
    if record.is_repeated:
        return replace(record, phase=RolloutPhase.SWITCH, share=1.0, load_share=1.0)
    return record


def merge_records(known: RolloutRecord, received: RolloutRecord) -> RolloutRecord:
    """Return what is in force after another record of the same order was received.

    The phase never goes back: a store that was restored from an older copy, and
    answers that cross each other, may name an earlier one.

    Parameters
    ----------
    known, received : RolloutRecord
        Records of one order.
    """
    newer, older = received, known
    if (received.claims, received.rank) < (known.claims, known.rank):
        newer, older = known, received
    revision = max(known.revision, received.revision)
    if older.rank <= newer.rank:
        return replace(newer, revision=revision)
    return replace(older, revision=revision, decider=newer.decider, claims=newer.claims)
