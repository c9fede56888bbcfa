"""The key-value service by the etcd v3 API.

Only the published messages of Range, Txn, Watch and Lease are used.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from borageramp_core import OutcomeUnknownError, StoreUnavailableError
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.store.base import (
    Change,
    Commit,
    Item,
    Listing,
    Outcome,
    Put,
)
from borageramp_wire import etcd_grpc, etcd_pb2

__all__ = ["EtcdStore"]

T = TypeVar("T")
# Identifiers of leases are positive and 63 bits long.
MAX_LEASE_ID = 2**63
_FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    OSError,
)


def _range_end(prefix: bytes) -> bytes:
    """Return the smallest key after all keys with a prefix."""
    return prefix[:-1] + bytes([prefix[-1] + 1])


class EtcdStore:
    """A client of one or more endpoints of the key-value service.

    Parameters
    ----------
    endpoints : tuple of str
        Addresses as ``host:port``; the next is tried when one fails.
    timeout_s : float
        Time for an answer.
    rng : random.Random
        Source of the identifiers of leases.
    """

    def __init__(
        self, *, endpoints: tuple[str, ...], timeout_s: float, rng: random.Random
    ) -> None:
        self._endpoints = endpoints
        self._rng = rng
        self._timeout_s = timeout_s
        self._index = 0
        self._channel: Channel | None = None
        self._retired: set[Channel] = set()
        self.calls = 0
        # etcd names no history in its answers.
        self.era = 0

    def _connect(self) -> Channel:
        if self._channel is None:
            host, port = split_address(self._endpoints[self._index])
            self._channel = Channel(host, port)
        return self._channel

    def _fail_over(self, channel: Channel) -> None:
        """Use another connection from now on.

        Other calls that wait on this one may still get their answers.
        """
        if self._channel is not channel:
            return
        self._channel = None
        self._index = (self._index + 1) % len(self._endpoints)
        self._retired.add(channel)
        loop = asyncio.get_running_loop()
        loop.call_later(self._timeout_s, self._close_retired, channel)

    def _close_retired(self, channel: Channel) -> None:
        self._retired.discard(channel)
        channel.close()

    def close(self) -> None:
        """Close the connections."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None
        for channel in list(self._retired):
            self._close_retired(channel)

    async def _write(self, ask: Callable[[Channel], Awaitable[T]]) -> T:
        """Send a write once; its answer may be lost after it took effect."""
        channel = await self._connected()
        try:
            return await self._answer(channel, ask)
        except _FAILURES as error:
            raise OutcomeUnknownError(f"no answer: {error!r}") from error

    async def _read(self, ask: Callable[[Channel], Awaitable[T]]) -> T:
        """Send a read, again if its connection was lost under it."""
        for _ in self._endpoints:
            try:
                return await self._answer(await self._connected(), ask)
            except (StreamTerminatedError, StoreUnavailableError):
                continue
            except _FAILURES as error:
                raise StoreUnavailableError(f"no answer: {error!r}") from error
        try:
            return await self._answer(await self._connected(), ask)
        except _FAILURES as error:
            raise StoreUnavailableError(f"no answer: {error!r}") from error

    async def _connected(self) -> Channel:
        self.calls += 1
        channel = self._connect()
        try:
            async with asyncio.timeout(self._timeout_s):
                await channel.__connect__()
        except _FAILURES as error:
            self._fail_over(channel)
            raise StoreUnavailableError(f"no connection: {error!r}") from error
        return channel

    async def _answer(
        self, channel: Channel, ask: Callable[[Channel], Awaitable[T]]
    ) -> T:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await ask(channel)
        except _FAILURES:
            self._fail_over(channel)
            raise

    async def read(self, prefix: str) -> Listing:
        """Read all items whose keys start with a prefix, linearizably."""
        key = prefix.encode()
        request = etcd_pb2.RangeRequest(key=key, range_end=_range_end(key))
        return await self._range(request)

    async def read_key(self, key: str) -> Listing:
        """Read one item, linearizably."""
        return await self._range(etcd_pb2.RangeRequest(key=key.encode()))

    async def _range(self, request: etcd_pb2.RangeRequest) -> Listing:
        reply = await self._read(lambda c: etcd_grpc.KVStub(c).Range(request))
        return Listing(
            items=tuple(_item(kv) for kv in reply.kvs),
            revision=reply.header.revision,
        )

    async def commit(self, commits: list[Commit]) -> list[Outcome]:
        """Carry out commits, each on its own, in one call."""
        request = etcd_pb2.TxnRequest(
            success=[etcd_pb2.RequestOp(request_txn=_txn(c)) for c in commits]
        )
        reply = await self._write(lambda c: etcd_grpc.KVStub(c).Txn(request))
        return [
            _outcome(op.response_txn, revision=reply.header.revision)
            for op in reply.responses
        ]

    async def delete_range(self, start: str, end: str) -> None:
        """Delete all items with keys from ``start`` up to, not with, ``end``."""
        delete = etcd_pb2.DeleteRangeRequest(key=start.encode(), range_end=end.encode())
        op = etcd_pb2.RequestOp(request_delete_range=delete)
        request = etcd_pb2.TxnRequest(success=[op])
        await self._write(lambda c: etcd_grpc.KVStub(c).Txn(request))

    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[Change]:
        """Yield the changes to a prefix, from a revision on."""
        key = prefix.encode()
        create = etcd_pb2.WatchCreateRequest(
            key=key, range_end=_range_end(key), start_revision=from_revision
        )
        self.calls += 1
        channel = self._connect()
        try:
            async with etcd_grpc.WatchStub(channel).Watch.open() as stream:
                await stream.send_message(etcd_pb2.WatchRequest(create_request=create))
                async for reply in stream:
                    if reply.canceled:
                        break
                    if reply.events:
                        yield _change(reply)
        except _FAILURES as error:
            raise StoreUnavailableError(f"watch ended: {error!r}") from error
        raise StoreUnavailableError("the store ended the watch")

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its identifier.

        The identifier is chosen here, so that a lost answer can be settled by
        asking whether the lease exists.
        """
        lease_id = self._rng.randrange(1, MAX_LEASE_ID)
        request = etcd_pb2.LeaseGrantRequest(TTL=max(1, round(ttl_s)), ID=lease_id)
        try:
            await self._write(lambda c: etcd_grpc.LeaseStub(c).LeaseGrant(request))
        except OutcomeUnknownError:
            if not await self._lease_exists(lease_id):
                raise
        return lease_id

    async def _lease_exists(self, lease_id: int) -> bool:
        request = etcd_pb2.LeaseTimeToLiveRequest(ID=lease_id)
        reply = await self._read(
            lambda c: etcd_grpc.LeaseStub(c).LeaseTimeToLive(request)
        )
        return int(reply.TTL) > 0

    async def keep_lease(self, lease_id: int) -> bool:
        """Extend a lease; tell whether it still existed."""
        request = etcd_pb2.LeaseKeepAliveRequest(ID=lease_id)

        async def ask(channel: Channel) -> int:
            stub = etcd_grpc.LeaseStub(channel)
            async with stub.LeaseKeepAlive.open() as stream:
                await stream.send_message(request, end=True)
                reply = await stream.recv_message()
                return 0 if reply is None else int(reply.TTL)

        return await self._write(ask) > 0

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its items."""
        request = etcd_pb2.LeaseRevokeRequest(ID=lease_id)
        await self._write(lambda c: etcd_grpc.LeaseStub(c).LeaseRevoke(request))


def _item(kv: etcd_pb2.KeyValue) -> Item:
    return Item(key=kv.key.decode(), value=kv.value, revision=kv.mod_revision)


def _change(reply: etcd_pb2.WatchResponse) -> Change:
    put = etcd_pb2.Event.EventType.PUT
    return Change(
        written=tuple(_item(e.kv) for e in reply.events if e.type == put),
        deleted=tuple(e.kv.key.decode() for e in reply.events if e.type != put),
    )


def _txn(commit: Commit) -> etcd_pb2.TxnRequest:
    return etcd_pb2.TxnRequest(
        compare=[
            etcd_pb2.Compare(
                result=etcd_pb2.Compare.CompareResult.EQUAL,
                target=etcd_pb2.Compare.CompareTarget.MOD,
                key=condition.key.encode(),
                mod_revision=condition.revision,
            )
            for condition in commit.conditions
        ],
        success=[_put(p) for p in commit.puts],
        failure=[
            etcd_pb2.RequestOp(request_range=etcd_pb2.RangeRequest(key=key.encode()))
            for key in commit.read_otherwise
        ],
    )


def _put(put: Put) -> etcd_pb2.RequestOp:
    if put.value is None:
        delete = etcd_pb2.DeleteRangeRequest(key=put.key.encode())
        return etcd_pb2.RequestOp(request_delete_range=delete)
    request = etcd_pb2.PutRequest(
        key=put.key.encode(), value=put.value, lease=put.lease_id
    )
    return etcd_pb2.RequestOp(request_put=request)


def _outcome(reply: etcd_pb2.TxnResponse, *, revision: int) -> Outcome:
    found: list[Item] = []
    if not reply.succeeded:
        for op in reply.responses:
            found.extend(_item(kv) for kv in op.response_range.kvs)
    return Outcome(succeeded=reply.succeeded, revision=revision, found=tuple(found))
