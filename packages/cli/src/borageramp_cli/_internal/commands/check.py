"""``borageramp check``: check files without a network."""

import importlib
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Protocol, cast

from borageramp_cli._internal.client import CommandError, OutputFormat
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.output import print_json, warn
from borageramp_core import SettingsError
from borageramp_core.routing import (
    ConfigChange,
    ConfigWarning,
    RoutingConfig,
    diff_configs,
    review_config,
    review_version,
)
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

    All raise ``SettingsError`` with every fault and its path.
    """

    def check_settings(self, text: str) -> None:
        """Check the settings file of a process."""

    def check_config(self, text: str) -> RoutingConfig:
        """Check a configuration as operators write it."""

    def read_config(self, text: str) -> RoutingConfig:
        """Read the configuration in force, with entries that are not used."""


@dataclass(kw_only=True, slots=True)
class Review:
    """Findings about a valid configuration.

    Attributes
    ----------
    warnings : list of ConfigWarning
        Parts without effect, or that contradict each other.
    changes : list of ConfigChange or None
        Differences from the version in force; ``None`` if it is not given.
    """

    warnings: list[ConfigWarning]
    changes: list[ConfigChange] | None = None


def check(
    file: Path,
    *,
    entry_settings: bool = False,
    adapter: str | None = None,
    against: Path | None = None,
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Check a configuration tree, without a network.

    Warnings alone leave the exit code at 0.

    Parameters
    ----------
    file
        YAML file.
    entry_settings
        Check the settings of an entry process instead.
    adapter
        Module of an adapter that checks the files of its platform instead.
    against
        Configuration in force, to list what changes; needs an adapter.
    format
        How to print the result.
    """
    if against is not None and (adapter is None or entry_settings):
        raise CommandError(
            "--against needs --adapter, and a configuration", Exit.INVALID
        )
    review = Review(warnings=[])
    try:
        if adapter is not None and entry_settings:
            _load(adapter).check_settings(_read_text(file))
        elif adapter is not None:
            review = _review(_load(adapter), file, against)
        elif entry_settings:
            load_entry_settings(file, {})
        else:
            validate_tree(read_tree(file))
    except SettingsError as error:
        faults = [{"path": f.path, "problem": f.problem} for f in error.faults]
        if format is OutputFormat.json:
            print_json({"valid": False, "faults": faults})
        lines = [f"{file}: {f['path']}: {f['problem']}" for f in faults]
        raise CommandError("\n".join(lines), Exit.INVALID) from None
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", Exit.INVALID) from None
    _print(file, review, format)
    return Exit.OK


def _load(adapter: str) -> Adapter:
    try:
        return cast(Adapter, importlib.import_module(adapter))
    except ImportError as error:
        raise CommandError(f"--adapter {adapter}: {error}", Exit.INVALID) from None


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except UnicodeDecodeError:
        raise CommandError(f"{file}: not UTF-8 text", Exit.INVALID) from None
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", Exit.INVALID) from None


def _review(adapter: Adapter, file: Path, against: Path | None) -> Review:
    config = adapter.check_config(_read_text(file))
    warnings = review_config(config)
    if against is None:
        return Review(warnings=warnings)
    try:
        in_force = adapter.read_config(_read_text(against))
    except SettingsError as error:
        raise CommandError(f"{against}: {error}", Exit.INVALID) from None
    warnings += review_version(old=in_force, new=config)
    return Review(warnings=warnings, changes=diff_configs(in_force, config))


def _print(file: Path, review: Review, format: OutputFormat) -> None:
    """Print that a file is valid, with what was found in it."""
    if format is OutputFormat.json:
        result = {"valid": True, "faults": [], **asdict(review)}
        if review.changes is None:
            del result["changes"]
        print_json(result)
        return
    for warning in review.warnings:
        warn(f"{file}: warning: {warning.path}: {warning.problem}")
    for change in review.changes or ():
        detail = f": {change.detail}" if change.detail else ""
        print(f"{change.kind} {change.path}{detail}")
    print(f"{file}: valid")
