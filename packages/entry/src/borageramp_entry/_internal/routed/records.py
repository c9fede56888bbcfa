"""The record of an instance in the store, by which the others find it."""

from pydantic import ValidationError

from borageramp_core.routing import Fact, Instance, Unreadable
from borageramp_entry._internal.store.base import Item
from borageramp_settings import StrictModel

__all__ = ["INSTANCES_PREFIX", "instance_key", "pack_instance", "unpack_instance"]

INSTANCES_PREFIX = "borageramp/instances/"


class _Record(StrictModel):
    name: str
    incarnation: str
    data_centre: str
    caller_address: str
    check_address: str


def instance_key(name: str) -> str:
    """Return the key of an instance's record."""
    return INSTANCES_PREFIX + name


def pack_instance(instance: Instance) -> bytes:
    """Return the record of an instance."""
    record = _Record(
        name=instance.name,
        incarnation=instance.incarnation,
        data_centre=instance.data_centre,
        caller_address=instance.caller_address,
        check_address=instance.check_address,
    )
    return record.model_dump_json().encode()


def unpack_instance(item: Item) -> Fact | None:
    """Read the record of an instance; ``None`` for any other item."""
    if not item.key.startswith(INSTANCES_PREFIX):
        return None
    try:
        record = _Record.model_validate_json(item.value)
    except ValidationError as error:
        return Unreadable(problem=str(error.errors()[0]["msg"]))
    return Instance(**record.model_dump())
