"""Exceptions raised by borageramp."""

from collections.abc import Mapping
from dataclasses import dataclass

from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.verdict import Verdict

__all__ = [
    "BorageRampError",
    "ConfigurationConflictError",
    "ConfigurationInvalidError",
    "HistoryLostError",
    "LeaseLostError",
    "OutcomeUnknownError",
    "RefusedError",
    "SettingsError",
    "SettingsFault",
    "StoreError",
    "StoreUnavailableError",
]


class BorageRampError(Exception):
    """Base class of all borageramp exceptions."""


class RefusedError(BorageRampError):
    """A request was finally refused.

    Parameters
    ----------
    verdict : Verdict
        Whether the request may have run.
    reason : Reason
        Machine-readable cause.
    detail : str
        Human-readable explanation.
    retry_after_s : float, optional
        Seconds after which the caller may retry.
    log_fields : mapping of str to object, optional
        What the decision was based on, for the log; callers are not told.
    may_have_arrived : bool, optional
        Whether an attempt may have arrived at an upstream, also one that was not run.
    """

    def __init__(
        self,
        *,
        verdict: Verdict,
        reason: Reason,
        detail: str,
        retry_after_s: float | None = None,
        log_fields: Mapping[str, object] | None = None,
        may_have_arrived: bool = False,
    ) -> None:
        super().__init__(f"{reason}: {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.log_fields = log_fields or {}
        self.may_have_arrived = may_have_arrived


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsFault:
    """A validation error in a settings file.

    Attributes
    ----------
    path : str
        Dotted path of the field.
    problem : str
        What is wrong with it.
    """

    path: str
    problem: str


class SettingsError(BorageRampError):
    """A settings file is invalid.

    Parameters
    ----------
    faults : tuple of SettingsFault
        All validation errors, in the order of the file.
    """

    def __init__(self, *, faults: tuple[SettingsFault, ...]) -> None:
        super().__init__("; ".join(f"{f.path}: {f.problem}" for f in faults))
        self.faults = faults


class ConfigurationInvalidError(SettingsError):
    """A change would make the configuration tree invalid."""


class ConfigurationConflictError(BorageRampError):
    """Another operator changed the configuration first.

    Parameters
    ----------
    base_revision : int
        Revision on which the change was based.
    current_revision : int
        Current revision in the store.
    changed : tuple of str
        Paths modified by the other change.
    author : str
        Author of the other change.
    """

    def __init__(
        self,
        *,
        base_revision: int,
        current_revision: int,
        changed: tuple[str, ...],
        author: str,
    ) -> None:
        super().__init__(
            f"revision {base_revision} was replaced by {current_revision}"
            f" ({author} changed {', '.join(changed) or 'nothing'})"
        )
        self.base_revision = base_revision
        self.current_revision = current_revision
        self.changed = changed
        self.author = author


class StoreError(BorageRampError):
    """An operation of the key-value service failed."""


class StoreUnavailableError(StoreError):
    """The key-value service didn't answer; a write certainly had no effect."""


class OutcomeUnknownError(StoreError):
    """A write got no answer; it may or may not have taken effect."""


class HistoryLostError(StoreError):
    """The store no longer has the changes from which a watch should resume."""


class LeaseLostError(StoreError):
    """A lease has ended, and the items attached to it are removed."""
