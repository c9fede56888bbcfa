"""Differences between a configuration and the version in force."""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields

from borageramp_core._internal.routing.model import RoutingConfig, ServiceShare
from borageramp_core._internal.routing.workspaces import KeyTable

__all__ = ["ChangeKind", "ConfigChange", "diff_configs"]


class ChangeKind(enum.StrEnum):
    """What happens to a part of a configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigChange:
    """Difference between two configurations.

    Attributes
    ----------
    kind : ChangeKind
        What happens to the part.
    path : str
        Dotted path of the part.
    detail : str
        Values before and after. It contains numbers of keys, never a key.
    """

    kind: ChangeKind
    path: str
    detail: str = ""


def diff_configs(old: RoutingConfig, new: RoutingConfig) -> list[ConfigChange]:
    """Return what changes when a configuration replaces the one in force.

    Parameters
    ----------
    old, new : RoutingConfig
        Configuration in force, and the one that is to replace it.

    Raises
    ------
    ValueError
        If their tables of keys were built with different secrets.

    See Also
    --------
    review_version : Whether the new configuration would come into force.
    """
    parts: tuple[tuple[str, Mapping[str, object], Mapping[str, object]], ...] = (
        ("routes.", _routes(old), _routes(new)),
        ("services.", old.services, new.services),
        ("workspaces.", old.workspaces, new.workspaces),
        ("", {"limits": old.limits}, {"limits": new.limits}),
    )
    changes = [
        change
        for prefix, before, after in parts
        for change in _diff_entries(prefix, before, after)
    ]
    return changes + _diff_keys(old.keys, new.keys)


def _routes(config: RoutingConfig) -> dict[str, object]:
    """Return routes by name; those that share a name get numbers."""
    routes: dict[str, object] = {}
    for route in config.routes:
        name, number = route.name, 1
        while name in routes:
            number += 1
            name = f"{route.name}#{number}"
        routes[name] = route
    return routes


def _diff_entries(
    prefix: str, before: Mapping[str, object], after: Mapping[str, object]
) -> Iterator[ConfigChange]:
    for name in sorted(before.keys() | after.keys()):
        path = prefix + name
        if name not in before:
            yield ConfigChange(kind=ChangeKind.ADDED, path=path)
        elif name not in after:
            yield ConfigChange(kind=ChangeKind.REMOVED, path=path)
        elif before[name] != after[name]:
            detail = _describe(before[name], after[name])
            yield ConfigChange(kind=ChangeKind.CHANGED, path=path, detail=detail)


def _describe(before: object, after: object) -> str:
    """Return the fields in which two values of one data class differ."""
    differing = (
        (field.name, getattr(before, field.name), getattr(after, field.name))
        for field in fields(before)  # type: ignore[arg-type]
    )
    return ", ".join(
        f"{name} {_text(old)} -> {_text(new)}"
        for name, old, new in differing
        if old != new
    )


def _text(value: object) -> str:
    if not isinstance(value, tuple):
        return ascii(value)
    shares = [share for share in value if isinstance(share, ServiceShare)]
    return "[" + ", ".join(f"{s.service!a}: {s.weight:g}" for s in shares) + "]"


def _diff_keys(old: KeyTable | None, new: KeyTable | None) -> list[ConfigChange]:
    changes: list[ConfigChange] = []
    if (old is None) != (new is None):
        need = "need no key" if new is None else "need a key"
        detail = f"requests on routes that are not public {need}"
        changes.append(
            ConfigChange(kind=ChangeKind.CHANGED, path="workspaces", detail=detail)
        )
    added = new.count_by_workspace(missing_from=old) if new is not None else {}
    removed = old.count_by_workspace(missing_from=new) if old is not None else {}
    for name in sorted(added.keys() | removed.keys()):
        detail = f"{added.get(name, 0)} added, {removed.get(name, 0)} removed"
        path = f"workspaces.{name}.keys"
        changes.append(ConfigChange(kind=ChangeKind.CHANGED, path=path, detail=detail))
    return changes
