"""``borageramp check``: check files without a network."""

import importlib
from pathlib import Path
from typing import Protocol, cast

from borageramp_cli._internal.client import CommandError, OutputFormat
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.output import print_json
from borageramp_core import SettingsError
from borageramp_settings import load_entry_settings, parse_yaml, validate_tree

__all__ = ["check", "read_tree"]


def read_tree(file: Path) -> object:
    """Read a configuration tree.

    Raises
    ------
    CommandError
        If the file can't be read, or is no YAML.
    """
    try:
        return parse_yaml(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", Exit.INVALID) from None
    except UnicodeDecodeError:
        raise CommandError(f"{file}: not UTF-8 text", Exit.INVALID) from None
    except SettingsError as error:
        raise CommandError(f"{file}: {error}", Exit.INVALID) from None


class Adapter(Protocol):
    """What an adapter to a platform offers to check its files.

    Both raise ``SettingsError`` with every fault and its path.
    """

    def check_settings(self, text: str) -> None:
        """Check the settings file of a process."""

    def check_config(self, text: str) -> None:
        """Check a configuration as operators write it."""


def check(
    file: Path,
    *,
    entry_settings: bool = False,
    adapter: str | None = None,
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Check a configuration tree, without a network.

    Parameters
    ----------
    file
        YAML file.
    entry_settings
        Check the settings of an entry process instead.
    adapter
        Module of an adapter that checks the files of its platform instead.
    format
        How to print the result.
    """
    try:
        if adapter is not None:
            _check_with(_load(adapter), file, entry_settings=entry_settings)
        elif entry_settings:
            load_entry_settings(file, {})
        else:
            validate_tree(read_tree(file))
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", Exit.INVALID) from None
    except SettingsError as error:
        faults = [{"path": f.path, "problem": f.problem} for f in error.faults]
        if format is OutputFormat.json:
            print_json({"valid": False, "faults": faults})
        lines = [f"{file}: {f['path']}: {f['problem']}" for f in faults]
        raise CommandError("\n".join(lines), Exit.INVALID) from None
    if format is OutputFormat.json:
        print_json({"valid": True, "faults": []})
    else:
        print(f"{file}: valid")
    return Exit.OK


def _load(adapter: str) -> Adapter:
    try:
        return cast(Adapter, importlib.import_module(adapter))
    except ImportError as error:
        raise CommandError(f"--adapter {adapter}: {error}", Exit.INVALID) from None


def _check_with(adapter: Adapter, file: Path, *, entry_settings: bool) -> None:
    try:
        text = file.read_text(encoding="utf-8")
    except UnicodeDecodeError:
        raise CommandError(f"{file}: not UTF-8 text", Exit.INVALID) from None
    if entry_settings:
        adapter.check_settings(text)
    else:
        adapter.check_config(text)
