"""Models that load fast, for processes whose start callers wait for.

Loading pydantic and building its models is a fifth of such a start; models of
msgspec check the same when they are read.
"""

from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from borageramp_core import SettingsError, SettingsFault

__all__ = ["StrictStruct", "convert", "decode_json"]

M = TypeVar("M")


class StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A model that refuses unknown fields."""


def convert(raw: Any, model: type[M]) -> M:
    """Check raw settings against a model.

    Raises
    ------
    SettingsError
        With every fault and its path.
    """
    try:
        return msgspec.convert(raw, model)
    except msgspec.ValidationError:
        raise SettingsError(faults=tuple(_faults(raw, model, ""))) from None


def decode_json(text: bytes | str, model: type[M]) -> M:
    """Read settings written as JSON.

    Raises
    ------
    SettingsError
        With every fault and its path.
    """
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        fault = SettingsFault(path="(top level)", problem=str(error))
        raise SettingsError(faults=(fault,)) from None
    return convert(raw, model)


def _faults(raw: Any, model: Any, path: str) -> Iterator[SettingsFault]:
    """Yield the faults of raw settings; msgspec itself stops at the first."""
    if not isinstance(raw, dict) or not _is_struct(model):
        try:
            msgspec.convert(raw, model)
        except msgspec.ValidationError as error:
            problem, _, place = str(error).partition(" - at `$")
            place = path + place.rstrip("`")
            yield SettingsFault(path=place.strip(".") or "(top level)", problem=problem)
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(model)}
    for name, field in fields.items():
        inner = f"{path}.{name}"
        if name in raw:
            yield from _faults(raw[name], field.type, inner)
        elif field.required:
            yield SettingsFault(path=inner.strip("."), problem="is missing")
    if model.__struct_config__.forbid_unknown_fields:
        for name in raw.keys() - fields.keys():
            yield SettingsFault(path=f"{path}.{name}".strip("."), problem="is unknown")


def _is_struct(model: Any) -> bool:
    return isinstance(model, type) and issubclass(model, msgspec.Struct)
