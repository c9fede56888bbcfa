"""Where things are kept in the key-value service."""

import json
from typing import Any

__all__ = [
    "CLAIMS",
    "CONFIG",
    "ENTRIES",
    "HEAD",
    "OPERATIONS",
    "decode",
    "encode",
    "from_tree",
    "to_tree",
]

ROOT = "/borageramp"
CONFIG = f"{ROOT}/config/"
HEAD = f"{CONFIG}head"
TREE = f"{CONFIG}tree/"
OPERATIONS = f"{ROOT}/operations/"
ENTRIES = f"{ROOT}/entries/"
CLAIMS = f"{ROOT}/claims/"

_GROUPS = ("data_centres", "services", "workspaces")


def encode(value: Any) -> bytes:
    """Return the stored form of a value."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()


def decode(value: bytes) -> Any:
    """Return a value from its stored form."""
    return json.loads(value)


def from_tree(tree: dict[str, Any]) -> dict[str, Any]:
    """Split a raw tree into the values of single keys."""
    parts: dict[str, Any] = {}
    if tree.get("global"):
        parts[f"{TREE}global"] = tree["global"]
    for group in _GROUPS:
        for name, value in (tree.get(group) or {}).items():
            parts[f"{TREE}{group}/{name}"] = value or {}
    return parts


def to_tree(parts: dict[str, Any]) -> dict[str, Any]:
    """Join the values of single keys into a raw tree."""
    tree: dict[str, Any] = {"global": {}, "data_centres": {}, "services": {}}
    for key, value in parts.items():
        group, _, name = key.removeprefix(TREE).partition("/")
        if not name:
            tree[group] = value
        elif group in _GROUPS:
            # No workspaces in a tree without any: earlier builds refuse the name.
            tree.setdefault(group, {})[name] = value
    return tree
