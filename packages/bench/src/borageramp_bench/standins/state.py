"""The data of the key-value stand-in."""

import copy
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from borageramp_wire import etcd_pb2

__all__ = ["StoreState"]


@dataclass(kw_only=True)
class _Lease:
    ttl_s: float
    until_s: float
    keys: set[bytes] = field(default_factory=set)


class StoreState:
    """Keys, revisions and leases, as the etcd v3 API defines them.

    Attributes
    ----------
    cluster_id : int
        Identifier that answers name; another one after a restore, as of a cluster that
        is made from a backup.
    """

    def __init__(self) -> None:
        self.cluster_id = 1
        self.revision = 1
        self.items: dict[bytes, etcd_pb2.KeyValue] = {}
        self.history: list[etcd_pb2.Event] = []
        self.leases: dict[int, _Lease] = {}
        self._next_lease = 1000

    def backup(self) -> "StoreState":
        """Return a copy from which the state can be restored."""
        return copy.deepcopy(self)

    def restore(self, backup: "StoreState") -> None:
        """Go back to a copy; leases run anew, as after a restart."""
        cluster_id = self.cluster_id + 1
        self.__dict__.update(copy.deepcopy(backup).__dict__)
        self.cluster_id = cluster_id
        for lease in self.leases.values():
            lease.until_s = time.monotonic() + lease.ttl_s

    def range(self, key: bytes, end: bytes) -> list[etcd_pb2.KeyValue]:
        """Return the items of one key, or from a key up to an end."""
        if not end:
            return [self.items[key]] if key in self.items else []
        return [self.items[k] for k in sorted(self.items) if key <= k < end]

    def transact(self, request: etcd_pb2.TxnRequest) -> etcd_pb2.TxnResponse:
        """Carry out a transaction at one revision."""
        events: list[etcd_pb2.Event] = []
        response = self._transact(request, self.revision + 1, events)
        if events:
            self.revision += 1
            self.history.extend(events)
        response.header.revision = self.revision
        response.header.cluster_id = self.cluster_id
        return response

    def _transact(
        self,
        request: etcd_pb2.TxnRequest,
        revision: int,
        events: list[etcd_pb2.Event],
    ) -> etcd_pb2.TxnResponse:
        succeeded = all(self._holds(c) for c in request.compare)
        response = etcd_pb2.TxnResponse(succeeded=succeeded)
        for op in request.success if succeeded else request.failure:
            response.responses.append(self._carry_out(op, revision, events))
        return response

    def _holds(self, compare: etcd_pb2.Compare) -> bool:
        item = self.items.get(compare.key, etcd_pb2.KeyValue())
        names = {0: "version", 1: "create_revision", 2: "mod_revision", 3: "value"}
        name = names[compare.target]
        found, wanted = getattr(item, name), getattr(compare, name)
        holds = (found == wanted, found > wanted, found < wanted, found != wanted)
        return bool(holds[compare.result])

    def _carry_out(
        self, op: etcd_pb2.RequestOp, revision: int, events: list[etcd_pb2.Event]
    ) -> etcd_pb2.ResponseOp:
        kind = op.WhichOneof("request")
        if kind == "request_range":
            found = self.range(op.request_range.key, op.request_range.range_end)
            reply = etcd_pb2.RangeResponse(kvs=found, count=len(found))
            return etcd_pb2.ResponseOp(response_range=reply)
        if kind == "request_put":
            self._put(op.request_put, revision, events)
            return etcd_pb2.ResponseOp(response_put=etcd_pb2.PutResponse())
        if kind == "request_txn":
            inner = self._transact(op.request_txn, revision, events)
            return etcd_pb2.ResponseOp(response_txn=inner)
        delete = op.request_delete_range
        keys = [kv.key for kv in self.range(delete.key, delete.range_end)]
        for key in keys:
            self._delete(key, revision, events)
        deleted = etcd_pb2.DeleteRangeResponse(deleted=len(keys))
        return etcd_pb2.ResponseOp(response_delete_range=deleted)

    def _put(
        self, put: etcd_pb2.PutRequest, revision: int, events: list[etcd_pb2.Event]
    ) -> None:
        before = self.items.get(put.key)
        item = etcd_pb2.KeyValue(
            key=put.key,
            value=put.value,
            lease=put.lease,
            mod_revision=revision,
            create_revision=before.create_revision if before else revision,
            version=before.version + 1 if before else 1,
        )
        self.items[put.key] = item
        if put.lease in self.leases:
            self.leases[put.lease].keys.add(put.key)
        events.append(etcd_pb2.Event(type="PUT", kv=item))

    def _delete(self, key: bytes, revision: int, events: list[etcd_pb2.Event]) -> None:
        del self.items[key]
        item = etcd_pb2.KeyValue(key=key, mod_revision=revision)
        events.append(etcd_pb2.Event(type="DELETE", kv=item))

    def grant(self, ttl_s: float, lease_id: int = 0) -> int:
        """Create a lease, under an identifier of the caller's if it has one."""
        if not lease_id:
            self._next_lease += 1
            lease_id = self._next_lease
        if lease_id in self.leases:
            raise ValueError("lease already exists")
        until_s = time.monotonic() + ttl_s
        self.leases[lease_id] = _Lease(ttl_s=ttl_s, until_s=until_s)
        return lease_id

    def time_to_live_s(self, lease_id: int) -> float:
        """Return how long a lease has left; -1 if there is none."""
        lease = self.leases.get(lease_id)
        return -1.0 if lease is None else max(0.0, lease.until_s - time.monotonic())

    def keep_alive(self, lease_id: int) -> float:
        """Extend a lease; 0 if it is gone."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0.0
        lease.until_s = time.monotonic() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its items."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return
        events: list[etcd_pb2.Event] = []
        for key in lease.keys:
            if key in self.items and self.items[key].lease == lease_id:
                self._delete(key, self.revision + 1, events)
        if events:
            self.revision += 1
            self.history.extend(events)

    def expire(self) -> None:
        """End the leases that have lapsed."""
        now_s = time.monotonic()
        for lease_id in [k for k, v in self.leases.items() if v.until_s < now_s]:
            self.revoke(lease_id)

    def events_since(
        self, index: int, key: bytes, end: bytes, revision: int
    ) -> Iterator[etcd_pb2.Event]:
        """Yield events of a range from a place in the history on."""
        for event in self.history[index:]:
            inside = key <= event.kv.key < end if end else event.kv.key == key
            if inside and event.kv.mod_revision >= revision:
                yield event
