"""Common parts of the settings models."""

from typing import Annotated, Any, TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageramp_core import SettingsError, SettingsFault

__all__ = ["HostPort", "Name", "StrictModel", "parse_yaml", "validate"]

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
HostPort = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]

# The one in C is several times faster, where PyYAML was built with it.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

M = TypeVar("M", bound=BaseModel)


class StrictModel(BaseModel):
    """A model that refuses unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)


def validate(model: type[M], raw: Any) -> M:
    """Check raw settings against a model.

    Parameters
    ----------
    model : type
        The model.
    raw : object
        What was read.

    Returns
    -------
    BaseModel
        The checked settings.

    Raises
    ------
    SettingsError
        With every fault and its path.
    """
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        faults = tuple(
            SettingsFault(
                path=".".join(str(part) for part in item["loc"]) or "(top level)",
                problem=item["msg"],
            )
            for item in error.errors()
        )
        raise SettingsError(faults=faults) from None


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
