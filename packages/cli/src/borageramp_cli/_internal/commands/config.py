"""``borageramp config``: show, set, diff and history of the configuration."""

import time
from pathlib import Path

import yaml

from borageramp_cli._internal.changing import send_change
from borageramp_cli._internal.client import CommandError, OperatorClient, OutputFormat
from borageramp_cli._internal.commands.check import read_tree
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.output import print_json, print_table
from borageramp_settings import diff_trees

__all__ = ["diff", "history", "set_", "show"]


def show(*, entry: str = "", format: OutputFormat = OutputFormat.text) -> int:
    """Show the configuration in force, as YAML.

    Parameters
    ----------
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    value = OperatorClient(entry).get("/v1/configuration").value
    if format is OutputFormat.json:
        print_json(value)
    else:
        print(f"# revision {value['revision']}")
        print(yaml.safe_dump(value["tree"], sort_keys=False), end="")
    return Exit.OK


def set_(
    file: Path,
    *,
    base_revision: int | None = None,
    operation_id: str = "",
    entry: str = "",
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Replace the whole configuration by a file's.

    Parameters
    ----------
    file
        YAML file with the whole tree.
    base_revision
        Refuse if the configuration is not at this revision.
    operation_id
        Identifier of an earlier try, to settle it.
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    tree = read_tree(file)
    if not isinstance(tree, dict):
        raise CommandError(f"{file}: not a mapping", Exit.INVALID)
    return send_change(
        entry=entry,
        operation_id=operation_id,
        format=format,
        tree=tree,
        base_revision=base_revision,
    )


def diff(
    file: Path, *, entry: str = "", format: OutputFormat = OutputFormat.text
) -> int:
    """Show where a file differs from the configuration in force.

    Parameters
    ----------
    file
        YAML file with the whole tree.
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    value = OperatorClient(entry).get("/v1/configuration").value
    paths = list(diff_trees(value["tree"], read_tree(file)))
    if format is OutputFormat.json:
        print_json({"revision": value["revision"], "paths": paths})
    else:
        print("\n".join(paths) or "no difference")
    return Exit.OK


def history(*, entry: str = "", format: OutputFormat = OutputFormat.text) -> int:
    """List the changes of the last day, the newest first.

    Parameters
    ----------
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    reply = OperatorClient(entry).get("/v1/operations")
    if reply.status != 200:
        raise CommandError(f"no history: {reply.value}", Exit.FAILED)
    if format is OutputFormat.json:
        print_json(reply.value)
        return Exit.OK
    rows = [
        (
            o["revision"],
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(o["at_s"])),
            o["author"],
            ", ".join(o["changed"]),
        )
        for o in reply.value["operations"]
    ]
    print_table(("REVISION", "AT (UTC)", "AUTHOR", "CHANGED"), rows)
    return Exit.OK
