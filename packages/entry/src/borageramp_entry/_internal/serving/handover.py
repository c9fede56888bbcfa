"""Moving the table of keys from a stopping entry to one successor."""

import asyncio
from collections.abc import Callable, Iterator

from borageramp_core import (
    BorageRampError,
    Claim,
    ClaimState,
    ClaimTable,
    KeptAnswer,
    Member,
    Membership,
    parse_key,
)
from borageramp_entry._internal.control.peers import PEER_FAILURES, PeerTasks
from borageramp_entry._internal.logs import get_logger
from borageramp_wire import peer_grpc, peer_pb2

__all__ = ["adopt_request", "hand_over"]

_log = get_logger(__name__)

# Below the largest message that gRPC accepts by default.
MAX_BATCH_BYTES = 1_000_000
TIMEOUT_S = 3.0


async def hand_over(
    *,
    claims: ClaimTable,
    membership: Membership,
    peers: PeerTasks,
    clock: Callable[[], float],
) -> Member | None:
    """Move a sealed table to one successor.

    A candidate that refuses the first message has taken nothing, so the next
    is asked. Once a message may have been taken no other is asked: two
    successors could run the same request.

    Returns
    -------
    Member or None
        The successor; ``None`` if there is none.
    """
    if not claims.sealed:
        raise ValueError("the table has to be sealed first")
    for candidate in _candidates(membership, clock()):
        task = peers.get(candidate)
        if task is None:
            continue
        accepted = await _hand_to(task.stub, claims, clock)
        if accepted is None:
            _log.warning("handover in doubt", successor=candidate.listed.name)
            return None
        if accepted:
            _log.info("keys handed over", successor=candidate.listed.name)
            return candidate
    return None


def _candidates(membership: Membership, now_s: float) -> list[Member]:
    alive = [
        m
        for m in membership.peers()
        if m.serving and not m.leaving and membership.is_alive(m, now_s=now_s)
    ]
    return sorted(alive, key=lambda m: (m.in_flight, m.listed.name))


async def _hand_to(
    stub: peer_grpc.PeerStub, claims: ClaimTable, clock: Callable[[], float]
) -> bool | None:
    """Send the table; ``None`` if the answer to a message was lost."""
    accepted = False
    for request in _requests(claims, clock()):
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reply = await stub.Handover(request)
        except PEER_FAILURES:
            return None
        if not reply.accepted:
            return None if accepted else False
        accepted = True
    return accepted


def _requests(claims: ClaimTable, now_s: float) -> Iterator[peer_pb2.HandoverRequest]:
    for incarnation, clock_ms in claims.clocks_ms(now_s=now_s).items():
        batch: list[peer_pb2.ClaimRecord] = []
        size_bytes = 0
        for claim in claims:
            if claim.key.incarnation != incarnation:
                continue
            record = _record(claim)
            size_bytes += record.ByteSize()
            batch.append(record)
            if size_bytes > MAX_BATCH_BYTES:
                yield peer_pb2.HandoverRequest(
                    incarnation=incarnation, clock_ms=clock_ms, records=batch
                )
                batch, size_bytes = [], 0
        yield peer_pb2.HandoverRequest(
            incarnation=incarnation, clock_ms=clock_ms, records=batch, last=True
        )


def _record(claim: Claim) -> peer_pb2.ClaimRecord:
    record = peer_pb2.ClaimRecord(
        key=str(claim.key), state=claim.state.value, digest=claim.digest
    )
    if claim.answer is not None:
        record.kept = True
        record.body = claim.answer.body
        record.head.status = claim.answer.status
        record.head.headers.extend(
            peer_pb2.Header(name=name, value=value)
            for name, value in claim.answer.headers
        )
    return record


def adopt_request(
    claims: ClaimTable, request: peer_pb2.HandoverRequest, *, now_s: float
) -> bool:
    """Take part of a table over.

    A part of a table is not enough to answer for its keys, so parts are held
    until the last one came.

    Returns
    -------
    bool
        Whether it was taken.
    """
    return claims.adopt(
        request.incarnation,
        clock_ms=request.clock_ms,
        claims=[_claim(record) for record in request.records],
        last=request.last,
        now_s=now_s,
    )


def _claim(record: peer_pb2.ClaimRecord) -> Claim:
    key = parse_key(record.key)
    if key is None:
        raise BorageRampError(f"not a bound key: {record.key!r}")
    answer = None
    if record.kept:
        answer = KeptAnswer(
            status=record.head.status,
            headers=tuple((h.name, h.value) for h in record.head.headers),
            body=record.body,
        )
    return Claim(
        key=key, state=ClaimState(record.state), digest=record.digest, answer=answer
    )
