"""Settings as YAML."""

from typing import Any

import yaml

from borageramp_core import SettingsError, SettingsFault

__all__ = ["parse_yaml"]

# The one in C is several times faster, where PyYAML was built with it.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def parse_yaml(text: str) -> Any:
    """Read YAML.

    Raises
    ------
    SettingsError
        If the text is not YAML.
    """
    try:
        return yaml.load(text, Loader=LOADER)
    except yaml.YAMLError:
        return _parse_slowly(text)


def _parse_slowly(text: str) -> Any:
    """Read YAML with the loader that names the line where a fault begins."""
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        path = f"line {mark.line + 1}" if mark is not None else "(top level)"
        problem = str(getattr(error, "problem", None) or error)
        fault = SettingsFault(path=path, problem=problem)
        raise SettingsError(faults=(fault,)) from None
