"""Heartbeats over one stream, each with the answer that belongs to it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from borageramp_bench.processes import free_port
from borageramp_core import Membership, ServingLease
from borageramp_entry._internal.control.configuration import Held
from borageramp_entry._internal.control.peers import PeerTask
from borageramp_wire import peer_grpc, peer_pb2
from tests.lib.builders import make_entry

# Long, so that only what is sent at once arrives within a test.
INTERVAL_S = 60.0
TIMEOUT_S = 1.0


class FakePeer(peer_grpc.PeerBase):
    """Answers each status with the same number of requests in flight."""

    def __init__(self) -> None:
        self.seen: list[int] = []
        self.delay_s = 0.0

    async def Heartbeats(self, stream: Any) -> None:
        async for status in stream:
            self.seen.append(status.in_flight)
            await asyncio.sleep(self.delay_s)
            await stream.send_message(peer_pb2.Status(in_flight=status.in_flight))

    async def FetchConfiguration(self, stream: Any) -> None:
        raise GRPCError(Status.UNIMPLEMENTED)

    Execute = Handover = Explain = FetchConfiguration


class FakeExchange:
    """Numbers the statuses that it makes, and remembers those it took."""

    def __init__(self) -> None:
        self.made = 0
        self.taken: list[int] = []
        self._membership = Membership(own=make_entry("peer"), timeout_s=1.0)

    def status(self, *, wants_warm: bool = False) -> peer_pb2.Status:
        self.made += 1
        return peer_pb2.Status(in_flight=self.made, wants_warm=wants_warm)

    def take(self, status: peer_pb2.Status) -> Any:
        self.taken.append(status.in_flight)
        return self._membership.own

    def heard_at_s(self, address: str) -> float:
        return float("-inf")


class FakeConfiguration:
    held = Held()


Body = Callable[[PeerTask, FakePeer, FakeExchange], Awaitable[None]]


def with_peer(body: Body) -> None:
    """Run a coroutine with a running peer task and the peer behind it."""

    async def run() -> None:
        peer, exchange, port = FakePeer(), FakeExchange(), free_port()
        server = Server([peer])
        await server.start("127.0.0.1", port)
        task = PeerTask(
            address=f"127.0.0.1:{port}",
            exchange=exchange,  # type: ignore[arg-type]
            configuration=FakeConfiguration(),  # type: ignore[arg-type]
            lease=ServingLease(member="me", lease_s=1.0),
            interval_s=INTERVAL_S,
            timeout_s=TIMEOUT_S,
            clock=asyncio.get_running_loop().time,
        )
        running = asyncio.ensure_future(task.run())
        try:
            assert await task.beat()
            await body(task, peer, exchange)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            server.close()

    asyncio.run(run())


def test_news_during_a_heartbeat_is_told_in_the_next_at_once() -> None:
    async def body(task: PeerTask, peer: FakePeer, exchange: FakeExchange) -> None:
        peer.delay_s = TIMEOUT_S / 2
        before = len(peer.seen)
        first = asyncio.ensure_future(task.beat())
        await asyncio.sleep(TIMEOUT_S / 4)
        task.hurry()
        assert await first
        await asyncio.sleep(TIMEOUT_S)
        assert len(peer.seen) == before + 2

    with_peer(body)


def test_late_answer_is_not_taken_for_that_of_the_next_heartbeat() -> None:
    async def body(task: PeerTask, peer: FakePeer, exchange: FakeExchange) -> None:
        peer.delay_s = 2 * TIMEOUT_S
        assert not await task.beat()
        peer.delay_s = 0.0
        assert await task.beat()
        assert exchange.taken[-1] == exchange.made

    with_peer(body)


def test_heartbeats_go_on_after_the_peer_was_away() -> None:
    async def body(task: PeerTask, peer: FakePeer, exchange: FakeExchange) -> None:
        peer.delay_s = 2 * TIMEOUT_S
        assert not await task.beat()
        assert not await task.beat()
        peer.delay_s = 0.0
        assert await task.beat()

    with_peer(body)
