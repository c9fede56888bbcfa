"""The record of a rollout, and what instances tell the deciding one."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from borageramp_core.routing import (
    ResponseCounts,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    VersionCounts,
)
from borageramp_entry._internal.routed.message_struct import MessageStruct

__all__ = [
    "RECORDS_PREFIX",
    "ROLLOUT_PATH",
    "Directive",
    "EvidenceMessage",
    "MalformedRolloutError",
    "decode_directive",
    "decode_evidence",
    "decode_record_value",
    "encode_directive",
    "encode_evidence",
    "encode_record",
    "record_key",
]

RECORDS_PREFIX = "borageramp/rollouts/"
# Path at which instances tell of evidence (POST) and of directives (PUT).
ROLLOUT_PATH = "/rollout"
MAX_REASON_CHARS = 200

T = TypeVar("T")
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
Time = Annotated[float, Meta(ge=0)]


class MalformedRolloutError(ValueError):
    """A message of another instance on a rollout can't be decoded."""


class _Record(MessageStruct, frozen=True, kw_only=True):
    service: str
    order_revision: int
    to_version: str
    phase: RolloutPhase
    share: Share
    route_shares: dict[str, Share] = {}
    load_share: Share = 0.0
    elapsed_s: Time = 0.0
    decider: str = ""
    claims: Count = 0
    base_version: str | None = None
    excluded_versions: tuple[str, ...] = ()
    reason: str = ""


class _Directive(MessageStruct, frozen=True, kw_only=True):
    record: _Record
    revision: Count
    deciding: bool
    stalled: bool = False


class _Counts(MessageStruct, frozen=True, kw_only=True):
    responses: Count = 0
    failures: Count = 0
    timed: Count = 0
    log_sum: float = 0.0
    log_squares: float = 0.0


class _RouteCounts(MessageStruct, frozen=True, kw_only=True):
    route: str
    old: _Counts
    new: _Counts


class _Evidence(MessageStruct, frozen=True, kw_only=True):
    instance: str
    service: str
    order_revision: int
    to_version: str
    claims: Count
    confirmed: bool = False
    rolled_back: bool = False
    routes: tuple[_RouteCounts, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Directive:
    """What an instance says of a rollout.

    Attributes
    ----------
    record : RolloutRecord
        Record in force there.
    deciding : bool
        Whether that instance decides.
    stalled : bool
        Whether it decides, but has not reached the store for a while.
    """

    record: RolloutRecord
    deciding: bool = False
    stalled: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceMessage:
    """What an instance tells the deciding one.

    Attributes
    ----------
    instance, service : str
        Name of the instance that tells it, and of the service.
    order_revision, to_version : int, str
        Order that the instance follows.
    claims : int
        Claims of the record that it follows.
    confirmed : bool
        Whether it follows the switch and has nothing in flight on the old version.
    rolled_back : bool
        Whether it was told that the rollout is rolled back.
    counts : mapping of str to VersionCounts
        New responses by route.
    """

    instance: str
    service: str
    order_revision: int
    to_version: str
    claims: int
    confirmed: bool = False
    rolled_back: bool = False
    counts: Mapping[str, VersionCounts] = field(default_factory=dict)

    def is_for(self, order: RolloutOrder) -> bool:
        """Return whether it is about an order."""
        known = (order.revision, order.to_version)
        return (self.order_revision, self.to_version) == known


def record_key(service: str) -> str:
    """Return the store key of the record of a service's rollout."""
    return RECORDS_PREFIX + service


def encode_record(record: RolloutRecord) -> bytes:
    """Encode the record of a rollout for the store."""
    return msgspec.json.encode(_to_message(record))


def decode_record_value(value: bytes, *, revision: int) -> RolloutRecord:
    """Decode the record of a rollout.

    Raises
    ------
    MalformedRolloutError
        If it is invalid.
    """
    return _to_record(_decode(value, _Record), revision=revision)


def encode_directive(directive: Directive) -> bytes:
    """Encode what this instance says of a rollout."""
    message = _Directive(
        record=_to_message(directive.record),
        revision=directive.record.revision,
        deciding=directive.deciding,
        stalled=directive.stalled,
    )
    return msgspec.json.encode(message)


def decode_directive(body: bytes) -> Directive:
    """Decode what another instance says of a rollout.

    Raises
    ------
    MalformedRolloutError
        If it is invalid.
    """
    message = _decode(body, _Directive)
    return Directive(
        record=_to_record(message.record, revision=message.revision),
        deciding=message.deciding,
        stalled=message.stalled,
    )


def encode_evidence(evidence: EvidenceMessage) -> bytes:
    """Encode what this instance tells the deciding one."""
    message = _Evidence(
        instance=evidence.instance,
        service=evidence.service,
        order_revision=evidence.order_revision,
        to_version=evidence.to_version,
        claims=evidence.claims,
        confirmed=evidence.confirmed,
        rolled_back=evidence.rolled_back,
        routes=tuple(
            _RouteCounts(route=route, old=_to_counts(c.old), new=_to_counts(c.new))
            for route, c in evidence.counts.items()
        ),
    )
    return msgspec.json.encode(message)


def decode_evidence(body: bytes) -> EvidenceMessage:
    """Decode what another instance tells this one.

    Raises
    ------
    MalformedRolloutError
        If it is invalid.
    """
    message = _decode(body, _Evidence)
    return EvidenceMessage(
        instance=message.instance,
        service=message.service,
        order_revision=message.order_revision,
        to_version=message.to_version,
        claims=message.claims,
        confirmed=message.confirmed,
        rolled_back=message.rolled_back,
        counts={
            r.route: VersionCounts(old=_from_counts(r.old), new=_from_counts(r.new))
            for r in message.routes
        },
    )


def _to_counts(counts: ResponseCounts) -> _Counts:
    return _Counts(
        responses=counts.responses,
        failures=counts.failures,
        timed=counts.timed,
        log_sum=round(counts.log_sum, 4),
        log_squares=round(counts.log_squares, 4),
    )


def _from_counts(counts: _Counts) -> ResponseCounts:
    return ResponseCounts(**msgspec.structs.asdict(counts))


def _to_message(record: RolloutRecord) -> _Record:
    return _Record(
        service=record.service,
        order_revision=record.order_revision,
        to_version=record.to_version,
        phase=record.phase,
        share=record.share,
        route_shares=dict(record.route_shares),
        load_share=record.load_share,
        elapsed_s=record.elapsed_s,
        decider=record.decider,
        claims=record.claims,
        base_version=record.base_version,
        excluded_versions=record.excluded_versions,
        reason=record.reason[:MAX_REASON_CHARS],
    )


def _to_record(message: _Record, *, revision: int) -> RolloutRecord:
    return RolloutRecord(**msgspec.structs.asdict(message), revision=revision)


def _decode(value: bytes, model: type[T]) -> T:
    try:
        return msgspec.json.decode(value, type=model)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedRolloutError(f"invalid message: {error!r:.200}") from error
