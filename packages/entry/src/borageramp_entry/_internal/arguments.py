"""The command line of ``borageramp-entry``.

Parsed with the standard library: what reads signatures and docstrings would
stay in the memory of a process that has little to spend.
"""

import argparse
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["Arguments", "parse_arguments"]

_OVERRIDES = {
    "name": "Name of the instance",
    "data_centre": "Data centre",
    "caller_address": "Where callers connect",
    "operator_address": "Where operators connect",
    "peer_address": "Where other entries connect",
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Arguments:
    """What the command line says.

    Attributes
    ----------
    settings : Path
        YAML file with the settings of the process.
    overrides : dict of str to object
        Settings given in place of the file's.
    log_level : str
        Lowest level that is logged.
    """

    settings: Path
    overrides: dict[str, object] = field(default_factory=dict)
    log_level: str = "info"


def parse_arguments(given: Sequence[str] | None = None) -> Arguments:
    """Parse a command line; exits on a fault or a call for help.

    Parameters
    ----------
    given : sequence of str, optional
        The arguments; by default those of the process.
    """
    parser = argparse.ArgumentParser(
        prog="borageramp-entry",
        description="Run an entry of borageramp until SIGTERM. "
        "A second SIGTERM ends it at once.",
    )
    parser.add_argument(
        "settings", type=Path, help="YAML file with the settings of the process"
    )
    for name, meaning in _OVERRIDES.items():
        parser.add_argument(
            f"-{name[0]}",
            f"--{name.replace('_', '-')}",
            help=f"{meaning}, in place of the file's",
        )
    parser.add_argument(
        "-l",
        "--log-level",
        default="info",
        help="lowest level that is logged (default: %(default)s)",
    )
    parsed = parser.parse_args(given)
    overrides = {name: getattr(parsed, name) for name in _OVERRIDES}
    return Arguments(
        settings=parsed.settings,
        overrides={k: v for k, v in overrides.items() if v is not None},
        log_level=parsed.log_level,
    )
