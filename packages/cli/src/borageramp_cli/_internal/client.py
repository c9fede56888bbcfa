"""Talking to an entry's operator port."""

import enum
import os
from dataclasses import dataclass
from typing import Any

import requests

from borageramp_cli._internal.exits import Exit

__all__ = ["CommandError", "OperatorClient", "OutputFormat", "Reply"]

ENTRY_VARIABLE = "BORAGERAMP_ENTRY"
DEFAULT_ENTRY = "127.0.0.1:8081"
CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 20.0


class OutputFormat(enum.Enum):
    """How results are printed."""

    text = "text"
    json = "json"


class CommandError(Exception):
    """A command failed.

    Parameters
    ----------
    message : str
        What to tell the operator.
    exit_code : Exit
        The exit code.
    """

    def __init__(self, message: str, exit_code: Exit) -> None:
        super().__init__(message)
        self.exit_code = exit_code


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An entry's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    value : object
        The JSON body.
    """

    status: int
    value: Any


class OperatorClient:
    """Asks the first entry that answers.

    Parameters
    ----------
    entries : str
        Operator addresses as ``host:port``, separated by commas; empty for
        the environment's or the default.
    """

    def __init__(self, entries: str) -> None:
        chosen = entries or os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
        self._entries = [e.strip() for e in chosen.split(",") if e.strip()]

    def get(self, path: str) -> Reply:
        """Ask for something; each entry is tried in turn.

        Raises
        ------
        CommandError
            If no entry answered.
        """
        failures = []
        for entry in self._entries:
            try:
                return self._exchange("GET", entry, path, None)
            except requests.RequestException as error:
                failures.append(f"{entry}: {_cause(error)}")
        raise CommandError(
            "no entry answered: " + "; ".join(failures), Exit.UNREACHABLE
        )

    def change(self, body: dict[str, Any]) -> Reply:
        """Send a change; it carries an identifier, so a repeat is safe.

        Raises
        ------
        CommandError
            If no entry answered, or if it isn't known whether one took it.
        """
        failures = []
        sent = False
        for entry in self._entries:
            try:
                return self._exchange("POST", entry, "/v1/configuration", body)
            except requests.ConnectionError as error:
                sent = sent or not _not_connected(error)
                failures.append(f"{entry}: {_cause(error)}")
            except requests.RequestException as error:
                sent = True
                failures.append(f"{entry}: {_cause(error)}")
        detail = "; ".join(failures)
        if sent:
            raise unknown_outcome(str(body["operation_id"]), detail)
        raise CommandError(f"no entry answered: {detail}", Exit.UNREACHABLE)

    def _exchange(
        self, method: str, entry: str, path: str, body: dict[str, Any] | None
    ) -> Reply:
        response = requests.request(
            method,
            f"http://{entry}{path}",
            json=body,
            timeout=(CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S),
        )
        return Reply(status=response.status_code, value=response.json())


def unknown_outcome(operation_id: str, detail: str) -> CommandError:
    """Return the error for a change whose outcome is unknown."""
    return CommandError(
        f"unknown outcome: {detail}\n"
        f"repeat the command with --operation-id {operation_id} to settle it",
        Exit.UNKNOWN,
    )


def _not_connected(error: requests.ConnectionError) -> bool:
    return isinstance(error, requests.ConnectTimeout) or "NewConnectionError" in repr(
        error
    )


def _cause(error: Exception) -> str:
    if isinstance(error, requests.ConnectionError) and _not_connected(error):
        return "no connection"
    return type(error).__name__
