"""Sending a change, and telling what became of it."""

import getpass
import uuid
from typing import Any

from borageramp_cli._internal.client import (
    CommandError,
    OperatorClient,
    OutputFormat,
    Reply,
    unknown_outcome,
)
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.output import print_json, warn

__all__ = ["author_name", "send_change"]


def author_name() -> str:
    """Return the name under which changes are recorded."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"


def send_change(
    *,
    entry: str,
    operation_id: str,
    format: OutputFormat,
    **change: Any,
) -> int:
    """Send a change and print its outcome.

    Parameters
    ----------
    entry : str
        Operator addresses.
    operation_id : str
        Identifier of the change; empty for a new one.
    format : OutputFormat
        How to print.
    **change : object
        Fields of the change.

    Returns
    -------
    int
        The exit code.
    """
    operation_id = operation_id or uuid.uuid4().hex
    body = {"operation_id": operation_id, "author": author_name(), **change}
    reply = OperatorClient(entry).change(body)
    if format is OutputFormat.json:
        print_json(reply.value)
    if reply.status in (200, 202):
        return _tell(reply, format)
    raise _error(reply, operation_id)


def _tell(reply: Reply, format: OutputFormat) -> int:
    told = reply.value
    if format is OutputFormat.text:
        changed = ", ".join(told["changed"]) or "nothing to change"
        print(f"{told['outcome']} at revision {told['revision']}: {changed}")
    if told["outcome"] == "accepted":
        return Exit.OK
    warn("written, but a majority of the entries has not confirmed it yet")
    return Exit.UNCONFIRMED


def _error(reply: Reply, operation_id: str) -> CommandError:
    told = reply.value
    kind = told.get("error", "")
    if kind == "invalid":
        lines = [f"{f['path']}: {f['problem']}" for f in told["faults"]]
        return CommandError("invalid:\n" + "\n".join(lines), Exit.INVALID)
    if kind == "bad_request":
        return CommandError(f"invalid: {told['detail']}", Exit.INVALID)
    if kind == "conflict":
        changed = ", ".join(told["changed"])
        return CommandError(
            f"conflict: {told['author']} changed {changed}"
            f" (revision {told['base_revision']} is now {told['current_revision']})",
            Exit.CONFLICT,
        )
    if kind == "unknown_outcome":
        return unknown_outcome(operation_id, told["detail"])
    if kind == "store_unavailable":
        return CommandError(f"nothing was changed: {told['detail']}", Exit.FAILED)
    return CommandError(f"the entry failed: {told}", Exit.FAILED)
