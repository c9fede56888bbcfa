"""The command ``borageramp``."""

import os
import sys

import defopt

from borageramp_cli._internal.client import CommandError
from borageramp_cli._internal.commands.check import check
from borageramp_cli._internal.commands.config import diff, history, set_, show
from borageramp_cli._internal.commands.data_centre import in_, out
from borageramp_cli._internal.commands.explain import explain
from borageramp_cli._internal.commands.reference import reference
from borageramp_cli._internal.commands.status import status
from borageramp_cli._internal.commands.upstream import drain, undrain
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.output import warn

__all__ = ["main"]

COMMANDS = {
    "check": check,
    "config": {"show": show, "set": set_, "diff": diff, "history": history},
    "data-centre": {"out": out, "in": in_},
    "upstream": {"drain": drain, "undrain": undrain},
    "status": status,
    "explain": explain,
    "reference": reference,
}


def main() -> None:
    """Run the command."""
    try:
        code = defopt.run(COMMANDS, cli_options="has_default")
        sys.stdout.flush()
    except CommandError as error:
        warn(str(error))
        sys.exit(error.exit_code)
    except BrokenPipeError:
        # The interpreter flushes once more at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(Exit.OUTPUT_CUT)
    sys.exit(code)
