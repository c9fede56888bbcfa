"""Changes to the configuration tree, by path."""

import copy
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from pydantic import Field

from borageramp_settings._internal.base import StrictModel

__all__ = ["Assignment", "ChangeRequest", "apply_assignments", "diff_trees"]


class Assignment(StrictModel):
    """One path and its new value; no value removes the path."""

    path: tuple[str, ...] = Field(min_length=1, description="Names from the top.")
    value: Any = Field(default=None, description="New value; null removes it.")


class ChangeRequest(StrictModel):
    """A change that an operator asks for."""

    operation_id: str = Field(
        min_length=8, max_length=64, description="Identifies the change on a repeat."
    )
    author: str = Field(default="operator", max_length=100)
    base_revision: int | None = Field(
        default=None, description="Refuse if the tree is not at this revision."
    )
    tree: dict[str, Any] | None = Field(
        default=None, description="A whole new tree, in place of assignments."
    )
    assignments: tuple[Assignment, ...] = ()
    must_exist: tuple[tuple[str, ...], ...] = Field(
        default=(), description="Paths without which the change makes no sense."
    )


def apply_assignments(
    tree: Mapping[str, Any], assignments: Sequence[Assignment]
) -> dict[str, Any]:
    """Return a copy of a raw tree with assignments applied."""
    changed = copy.deepcopy(dict(tree))
    for assignment in assignments:
        _assign(changed, assignment)
    return changed


def _assign(tree: dict[str, Any], assignment: Assignment) -> None:
    *parents, last = assignment.path
    node = tree
    for part in parents:
        below = node.get(part)
        if not isinstance(below, dict):
            below = {}
            node[part] = below
        node = below
    if assignment.value is None:
        node.pop(last, None)
    else:
        node[last] = assignment.value


def diff_trees(before: Any, after: Any, path: tuple[str, ...] = ()) -> Iterator[str]:
    """Yield the dotted paths at which two raw trees differ."""
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for name in sorted(set(before) | set(after)):
            yield from diff_trees(before.get(name), after.get(name), (*path, name))
    elif before != after:
        yield ".".join(path)
