"""The peers' port: heartbeats, and requests passed on."""

import asyncio
from collections.abc import Callable
from typing import Any

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_entry._internal.border.parsing import ParsedRequest
from borageramp_entry._internal.border.services import EntryServices
from borageramp_entry._internal.control.keyspace import encode
from borageramp_entry._internal.control.status import StatusExchange
from borageramp_entry._internal.serving.delivery import Delivered
from borageramp_entry._internal.serving.handover import adopt_request
from borageramp_entry._internal.serving.passing import unpack_request
from borageramp_entry._internal.serving.relay import refusal_message
from borageramp_entry._internal.serving.requests import AnswerHead
from borageramp_wire import peer_grpc, peer_pb2

__all__ = ["PeerService"]

# Parts of an answer sent in one message.
MAX_CHUNK_BYTES = 262_144


class _StreamSink:
    """Sends an answer back to the peer that passed the request on."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._head: AnswerHead | None = None
        self.started = False

    def start(self, head: AnswerHead) -> None:
        self._head = head
        self.started = True

    async def send_head(self) -> None:
        if self._head is None:
            return
        head = peer_pb2.AnswerHead(
            status=self._head.status,
            headers=[
                peer_pb2.Header(name=name, value=value)
                for name, value in self._head.headers
            ],
        )
        self._head = None
        await self._stream.send_message(peer_pb2.ExecuteReply(head=head))

    async def write(self, chunk: bytes) -> None:
        await self.send_head()
        for start in range(0, len(chunk), MAX_CHUNK_BYTES):
            part = chunk[start : start + MAX_CHUNK_BYTES]
            await self._stream.send_message(peer_pb2.ExecuteReply(chunk=part))

    def finish(self) -> None:
        """Nothing: the end is sent once the answer is known to be whole."""

    def abort(self) -> None:
        """Nothing: the end says that the answer was cut short."""

    async def end(self, delivered: Delivered) -> None:
        await self.send_head()
        end = peer_pb2.AnswerEnd(whole=delivered.whole)
        await self._stream.send_message(peer_pb2.ExecuteReply(end=end))


class PeerService(peer_grpc.PeerBase):
    """Serves the other entries.

    Parameters
    ----------
    services : EntryServices
        The parts of the entry.
    exchange : StatusExchange
        Makes and reads statuses.
    hurry_peers : callable
        Sends all peers a heartbeat at once.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        services: EntryServices,
        exchange: StatusExchange,
        hurry_peers: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._hurry_peers = hurry_peers
        self._services = services
        self._exchange = exchange
        self._clock = clock

    async def Heartbeats(self, stream: Any) -> None:
        async for status in stream:
            self._exchange.take(status)
            reply = self._exchange.status(for_new=status.wants_warm)
            await stream.send_message(reply)

    async def FetchConfiguration(self, stream: Any) -> None:
        request = await stream.recv_message()
        held = self._services.configuration.held
        newer = held.revision > request.known_revision
        await stream.send_message(
            peer_pb2.ConfigurationState(
                revision=held.revision,
                operation_id=held.operation_id,
                tree=encode(held.raw) if newer else b"",
            )
        )

    async def Execute(self, stream: Any) -> None:
        message = await stream.recv_message()
        sink = _StreamSink(stream)
        try:
            delivered = await self._execute(message, sink)
        except RefusedError as error:
            refusal = refusal_message(error)
            await stream.send_message(peer_pb2.ExecuteReply(refusal=refusal))
            return
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._services.reporter.failed(message.request_id, error)
            raise
        await sink.end(delivered)

    async def _execute(
        self, message: peer_pb2.ExecuteRequest, sink: _StreamSink
    ) -> Delivered:
        service = self._services.snapshot().services.get(message.service)
        if service is None or not self._services.may_serve():
            keyed = message.purpose == "claim"
            raise RefusedError(
                verdict=Verdict.MAY_HAVE_RUN if keyed else Verdict.NOT_RUN,
                reason=Reason.NOT_SERVING,
                detail="the peer can't take the request now",
                retry_after_s=0.5,
            )
        request = unpack_request(message, now_s=self._clock())
        self._services.reporter.decided(
            request.request_id, "taken for a peer", purpose=message.purpose
        )
        if message.purpose == "claim":
            parsed = ParsedRequest(request=request, policy=service.policy)
            return await self._services.serve(parsed, sink)
        return await self._services.dispatcher.run(request, sink)

    async def Handover(self, stream: Any) -> None:
        request = await stream.recv_message()
        accepted = not self._services.closing() and adopt_request(
            self._services.claims, request, now_s=self._clock()
        )
        if accepted:
            self._services.reporter.repaired(
                "keys taken over",
                incarnation=request.incarnation,
                keys=len(request.records),
            )
        if accepted and request.last:
            # Until peers hear of it, they look for the keys at the old entry.
            self._hurry_peers()
        await stream.send_message(peer_pb2.HandoverReply(accepted=accepted))

    async def Explain(self, stream: Any) -> None:
        request = await stream.recv_message()
        decisions = self._services.reporter.decisions.explain(request.request_id)
        events = [f"{d.at_s:.6f} {d.entry} {d.event}" for d in decisions]
        await stream.send_message(peer_pb2.ExplainReply(events=events))
