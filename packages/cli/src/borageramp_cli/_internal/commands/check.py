"""``borageramp check``: check files without a network."""

from pathlib import Path

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


def check(
    file: Path,
    *,
    entry_settings: bool = False,
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Check a configuration tree, without a network.

    Parameters
    ----------
    file
        YAML file.
    entry_settings
        Check the settings of an entry process instead.
    format
        How to print the result.
    """
    try:
        if entry_settings:
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
