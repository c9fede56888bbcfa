"""Settings as YAML."""

import re
from typing import Any

import yaml

from borageramp_core import SettingsError, SettingsFault

__all__ = ["parse_yaml"]

# The one in C is several times faster, where PyYAML was built with it.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# Parts of the text that PyYAML quotes. An unquoted key of a workspace that begins with
# "*" or "!" is an alias or a tag to YAML, and must not be printed.
QUOTED_TEXT = re.compile(r"\b(alias|tag|handle) ['\"].*", re.DOTALL)


def parse_yaml(text: str) -> Any:
    """Read YAML.

    Raises
    ------
    SettingsError
        If the text is not YAML.
    """
    try:
        return yaml.load(text, Loader=LOADER)
    except (yaml.YAMLError, ValueError):
        return _parse_slowly(text)


def _parse_slowly(text: str) -> Any:
    """Read YAML with the loader that names the line where a fault begins."""
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        path = f"line {mark.line + 1}" if mark is not None else "(top level)"
        problem = str(getattr(error, "problem", None) or error)
        problem = QUOTED_TEXT.sub(r"\1", problem)
        fault = SettingsFault(path=path, problem=problem)
        raise SettingsError(faults=(fault,)) from None
    except ValueError:
        # The message would contain the value.
        problem = "a date or number has no valid value"
        fault = SettingsFault(path="(top level)", problem=problem)
        raise SettingsError(faults=(fault,)) from None
