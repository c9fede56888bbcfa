"""A stand-in of the key-value service: the etcd v3 subset, with faults.

Commands on the control port: ``fault`` (``down``, ``slow_s``, ``lose_answers``
to writes, ``drop_after_write`` of the configuration),
``expire`` (leases of keys with a prefix),
``counts`` and ``dump``.
"""

import argparse
import asyncio
from collections.abc import Callable
from itertools import groupby
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from borageramp_bench.standins.state import StoreState
from borageramp_bench.standins.web import ControlResource, QuietSite, run_standin
from borageramp_wire import etcd_grpc, etcd_pb2

__all__ = ["StoreStandin", "make_server"]

EXPIRE_INTERVAL_S = 0.1
WATCH_INTERVAL_S = 0.005


class StoreStandin:
    """The state of the stand-in and its faults."""

    def __init__(self) -> None:
        self.state = StoreState()
        self._backup = self.state.backup()
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.drop_after_write = False
        self.reads = 0
        self.writes = 0
        self.watches = 0

    def fault(
        self,
        down: bool = False,
        slow_s: float = 0.0,
        lose_answers: int = 0,
        drop_after_write: bool = False,
    ) -> dict[str, Any]:
        """Set the faults; without arguments all end."""
        self.drop_after_write = drop_after_write
        self.down = down
        self.slow_s = slow_s
        self.lose_answers = lose_answers
        return {}

    def backup(self) -> dict[str, int]:
        """Keep a copy of the state, from which it can be restored."""
        self._backup = self.state.backup()
        return {"revision": self.state.revision}

    def restore(self) -> dict[str, int]:
        """Go back to the copy, empty at first; watches are cut."""
        self.state.restore(self._backup)
        return {"revision": self.state.revision}

    def expire(self, prefix: str) -> dict[str, Any]:
        """End the leases of keys with a prefix before their time."""
        held = {
            item.lease
            for key, item in self.state.items.items()
            if key.startswith(prefix.encode()) and item.lease
        }
        for lease_id in held:
            self.state.revoke(lease_id)
        return {"expired": len(held)}

    def counts(self) -> dict[str, int]:
        """Return how many calls came."""
        return {"reads": self.reads, "writes": self.writes, "watches": self.watches}

    def dump(self, prefix: str = "") -> dict[str, str]:
        """Return the items with a prefix."""
        return {
            key.decode(): item.value.decode()
            for key, item in self.state.items.items()
            if key.startswith(prefix.encode())
        }

    async def before(self) -> None:
        """Apply the faults that come before a call takes effect."""
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            raise GRPCError(Status.UNAVAILABLE, "down")

    async def after_write(self, *, config: bool = False) -> None:
        """Apply the faults that come after a write took effect."""
        self.writes += 1
        if config and self.drop_after_write:
            self.down = True
            await asyncio.sleep(3600)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await asyncio.sleep(3600)


def _written(request: etcd_pb2.TxnRequest) -> bytes:
    """Return the keys that a transaction may write, joined."""
    keys = []
    for op in request.success:
        keys.append(op.request_put.key)
        keys.extend(inner.request_put.key for inner in op.request_txn.success)
    return b" ".join(keys)


class _Kv(etcd_grpc.KVBase):
    def __init__(self, standin: StoreStandin) -> None:
        self._standin = standin

    async def Range(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._standin.before()
        self._standin.reads += 1
        state = self._standin.state
        found = state.range(request.key, request.range_end)
        reply = etcd_pb2.RangeResponse(kvs=found, count=len(found))
        reply.header.revision = state.revision
        reply.header.cluster_id = state.cluster_id
        await stream.send_message(reply)

    async def Txn(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._standin.before()
        reply = self._standin.state.transact(request)
        await self._standin.after_write(config=b"/config/" in _written(request))
        await stream.send_message(reply)


class _Lease(etcd_grpc.LeaseBase):
    def __init__(self, standin: StoreStandin) -> None:
        self._standin = standin

    async def LeaseGrant(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._standin.before()
        try:
            lease_id = self._standin.state.grant(request.TTL, request.ID)
        except ValueError as error:
            raise GRPCError(Status.FAILED_PRECONDITION, str(error)) from None
        await self._standin.after_write()
        reply = etcd_pb2.LeaseGrantResponse(ID=lease_id, TTL=request.TTL)
        await stream.send_message(reply)

    async def LeaseTimeToLive(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._standin.before()
        self._standin.reads += 1
        ttl_s = self._standin.state.time_to_live_s(request.ID)
        reply = etcd_pb2.LeaseTimeToLiveResponse(ID=request.ID, TTL=round(ttl_s))
        await stream.send_message(reply)

    async def LeaseRevoke(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._standin.before()
        self._standin.state.revoke(request.ID)
        await self._standin.after_write()
        await stream.send_message(etcd_pb2.LeaseRevokeResponse())

    async def LeaseKeepAlive(self, stream: Any) -> None:
        async for request in stream:
            await self._standin.before()
            ttl_s = self._standin.state.keep_alive(request.ID)
            await self._standin.after_write()
            reply = etcd_pb2.LeaseKeepAliveResponse(ID=request.ID, TTL=round(ttl_s))
            await stream.send_message(reply)


class _Watch(etcd_grpc.WatchBase):
    def __init__(self, standin: StoreStandin) -> None:
        self._standin = standin

    async def Watch(self, stream: Any) -> None:
        request = await stream.recv_message()
        create = request.create_request
        await self._standin.before()
        self._standin.watches += 1
        await stream.send_message(etcd_pb2.WatchResponse(watch_id=1, created=True))
        index = 0
        cluster_id = self._standin.state.cluster_id
        while cluster_id == self._standin.state.cluster_id:
            await self._standin.before()
            events = list(
                self._standin.state.events_since(
                    index, create.key, create.range_end, create.start_revision
                )
            )
            index = len(self._standin.state.history)
            for _, group in groupby(events, key=lambda e: e.kv.mod_revision):
                reply = etcd_pb2.WatchResponse(watch_id=1, events=list(group))
                await stream.send_message(reply)
            await asyncio.sleep(WATCH_INTERVAL_S)


def make_server(standin: StoreStandin) -> Server:
    """Return a gRPC server of the stand-in."""
    return Server([_Kv(standin), _Lease(standin), _Watch(standin)])


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    args = parser.parse_args()

    async def start(reactor: Any) -> None:
        standin = StoreStandin()
        commands: dict[str, Callable[..., Any]] = {
            "fault": standin.fault,
            "backup": standin.backup,
            "expire": standin.expire,
            "restore": standin.restore,
            "counts": standin.counts,
            "dump": standin.dump,
        }
        site = QuietSite(ControlResource(commands))
        reactor.listenTCP(args.control_port, site, interface="127.0.0.1")
        server = make_server(standin)
        await server.start("127.0.0.1", args.port)
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            standin.state.expire()

    run_standin(start)


if __name__ == "__main__":
    main()
