"""Passing a request on to a peer, and its answer back."""

import asyncio
from collections.abc import Callable

from grpclib.exceptions import GRPCError

from borageramp_core import Member, Membership, Reason, RefusedError, Verdict
from borageramp_entry._internal.control.peers import PEER_FAILURES, PeerTasks
from borageramp_entry._internal.serving.delivery import BODY_IDLE_S, Delivered
from borageramp_entry._internal.serving.passing import pack_request
from borageramp_entry._internal.serving.requests import (
    AnswerHead,
    AnswerSink,
    CallerRequest,
)
from borageramp_wire import peer_grpc, peer_pb2

__all__ = ["PeerRelay", "refusal_error", "refusal_message"]

CONNECT_TIMEOUT_S = 0.5
RETRY_AFTER_S = 0.5
# The peer's own refusal at the deadline goes before ours.
HEAD_SLACK_S = 0.1
MS_PER_S = 1000


def refusal_message(error: RefusedError) -> peer_pb2.Refusal:
    """Return the message for a refusal."""
    return peer_pb2.Refusal(
        verdict=error.verdict.value,
        reason=error.reason.value,
        detail=error.detail,
        retry_after_ms=int((error.retry_after_s or 0.0) * MS_PER_S),
    )


def refusal_error(message: peer_pb2.Refusal) -> RefusedError:
    """Return the refusal that a message tells of."""
    return RefusedError(
        verdict=Verdict(message.verdict),
        reason=Reason(message.reason),
        detail=message.detail,
        retry_after_s=message.retry_after_ms / MS_PER_S or None,
    )


class PeerRelay:
    """Passes requests on to peers.

    Parameters
    ----------
    membership : Membership
        The entries.
    peers : PeerTasks
        Connections to them.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        peers: PeerTasks,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock

    async def execute(
        self,
        incarnation: str,
        request: CallerRequest,
        *,
        purpose: str,
        sink: AnswerSink,
        excluded: frozenset[str] = frozenset(),
        late_s: float = 0.0,
    ) -> Delivered:
        """Have a peer run a request, and deliver its answer.

        Parameters
        ----------
        incarnation : str
            The peer.
        request : CallerRequest
            The request.
        purpose : str
            ``claim``, ``warm_up`` or ``suspect``.
        sink : AnswerSink
            Where the answer goes.
        excluded : frozenset of str
            Upstreams that have already failed it.
        late_s : float
            Time after the deadline for which an answer is still wanted.

        Raises
        ------
        RefusedError
            If the peer refused, or can't be reached.
        """
        # A claim may have reached its owner by an earlier try of the caller.
        unsent = Verdict.MAY_HAVE_RUN if purpose == "claim" else Verdict.NOT_RUN
        member = self._membership.get(incarnation)
        if member is None:
            raise _unreachable(unsent, "the peer is not known")
        if not self._membership.is_alive(member, now_s=self._clock()):
            raise _unreachable(unsent, "the peer has been silent")
        stub = await self._connected(member, unsent)
        left_s = max(0.0, request.deadline_s - self._clock()) + late_s
        message = pack_request(
            request,
            purpose=purpose,
            owner=incarnation,
            excluded=excluded,
            now_s=self._clock(),
        )
        reader = _AnswerReader(sink)
        try:
            async with stub.Execute.open() as stream:
                await stream.send_message(message, end=True)
                head_wait_s = left_s + HEAD_SLACK_S
                async with asyncio.timeout(head_wait_s):
                    part = await stream.recv_message()
                while part is not None and not await reader.take(part):
                    async with asyncio.timeout(BODY_IDLE_S):
                        part = await stream.recv_message()
        except PEER_FAILURES as error:
            if isinstance(error, GRPCError) and reader.done:
                return reader.delivered()
            return reader.broken(error)
        return reader.delivered()

    async def _connected(self, member: Member, unsent: Verdict) -> peer_grpc.PeerStub:
        task = self._peers.get(member)
        if task is None:
            raise _unreachable(unsent, "no connection to the peer")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await task.channel.__connect__()
        except PEER_FAILURES as error:
            raise _unreachable(unsent, repr(error)) from None
        return task.stub


class _AnswerReader:
    """Reads the parts of a peer's answer into a sink."""

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink
        self._status = 0
        self._whole = False
        self.done = False

    async def take(self, part: peer_pb2.ExecuteReply) -> bool:
        kind = part.WhichOneof("part")
        if kind == "refusal":
            raise refusal_error(part.refusal)
        if kind == "head":
            self._status = part.head.status
            self._sink.start(
                AnswerHead(
                    status=part.head.status,
                    headers=tuple((h.name, h.value) for h in part.head.headers),
                )
            )
        elif kind == "chunk":
            await self._sink.write(part.chunk)
        elif kind == "end":
            self.done = True
            self._whole = part.end.whole
        return self.done

    def delivered(self) -> Delivered:
        if self._status == 0:
            raise _unreachable(Verdict.MAY_HAVE_RUN, "the peer gave no answer")
        if self._whole:
            self._sink.finish()
        else:
            self._sink.abort()
        return Delivered(whole=self._whole, status=self._status)

    def broken(self, error: BaseException) -> Delivered:
        if self._status == 0:
            raise _unreachable(Verdict.MAY_HAVE_RUN, repr(error)) from None
        self._sink.abort()
        return Delivered(whole=False, status=self._status)


def _unreachable(verdict: Verdict, detail: str) -> RefusedError:
    return RefusedError(
        verdict=verdict,
        reason=Reason.OWNER_UNREACHABLE,
        detail=detail,
        retry_after_s=RETRY_AFTER_S,
    )
