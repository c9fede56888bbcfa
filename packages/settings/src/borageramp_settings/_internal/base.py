"""Common parts of the settings models."""

from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageramp_core import SettingsError, SettingsFault

__all__ = ["HostPort", "Name", "StrictModel", "validate"]

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
HostPort = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]

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
