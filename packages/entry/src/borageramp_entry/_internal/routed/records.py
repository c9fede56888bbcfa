"""Records that instances share through the store."""

from typing import Annotated

import msgspec

from borageramp_core.routing import CrashSuspect, Instance, MalformedItem, StateItem
from borageramp_entry._internal.addresses import split_remote_address
from borageramp_entry._internal.routed.message_struct import MessageStruct
from borageramp_entry._internal.routed.rollouts.messages import (
    RECORDS_PREFIX,
    decode_record_value,
)
from borageramp_entry._internal.store.base import Item

__all__ = [
    "INSTANCES_PREFIX",
    "instance_key",
    "encode_instance",
    "encode_suspect",
    "decode_record",
    "suspect_key",
]

INSTANCES_PREFIX = "borageramp/instances/"
SUSPECTS_PREFIX = "borageramp/suspects/"


class _InstanceRecord(MessageStruct, frozen=True, kw_only=True):
    name: str
    incarnation: str
    data_centre: str
    caller_address: str
    check_address: str
    peer_address: str | None = None
    capacity: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class _SuspectRecord(MessageStruct, frozen=True, kw_only=True):
    fingerprint: str
    upstreams: tuple[str, ...]


def instance_key(name: str) -> str:
    """Return the store key of an instance record."""
    return INSTANCES_PREFIX + name


def encode_instance(instance: Instance) -> bytes:
    """Encode the record of an instance."""
    record = _InstanceRecord(
        name=instance.name,
        incarnation=instance.incarnation,
        data_centre=instance.data_centre,
        caller_address=instance.caller_address,
        check_address=instance.check_address,
        peer_address=instance.peer_address,
        capacity=instance.capacity,
    )
    return msgspec.json.encode(record)


def suspect_key(fingerprint: str, *, instance: str) -> str:
    """Return the store key under which an instance publishes a crash suspect."""
    return f"{SUSPECTS_PREFIX}{fingerprint}/{instance}"


def encode_suspect(suspect: CrashSuspect) -> bytes:
    """Encode the record of a crash suspect."""
    record = _SuspectRecord(
        fingerprint=suspect.fingerprint, upstreams=suspect.upstreams
    )
    return msgspec.json.encode(record)


def decode_record(item: Item) -> StateItem | None:
    """Decode a record of this system; return ``None`` for any other item."""
    try:
        if item.key.startswith(INSTANCES_PREFIX):
            record = msgspec.json.decode(item.value, type=_InstanceRecord)
            _check_addresses(record)
            return Instance(**msgspec.structs.asdict(record))
        if item.key.startswith(SUSPECTS_PREFIX):
            suspect = msgspec.json.decode(item.value, type=_SuspectRecord)
            return CrashSuspect(**msgspec.structs.asdict(suspect))
        if item.key.startswith(RECORDS_PREFIX):
            return decode_record_value(item.value, revision=item.revision)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return MalformedItem(problem=str(error))
    return None


def _check_addresses(record: _InstanceRecord) -> None:
    """Raise ``ValueError`` if an address can't be connected to."""
    addresses = (record.caller_address, record.check_address, record.peer_address)
    for address in addresses:
        if address is not None:
            split_remote_address(address)
