"""Answers to what other instances tell of rollouts."""

from borageramp_entry._internal.border.server import HttpRequest
from borageramp_entry._internal.routed.rollouts.messages import (
    MalformedRolloutError,
    decode_directive,
    decode_evidence,
    encode_directive,
)
from borageramp_entry._internal.routed.rollouts.task import RolloutTask

__all__ = ["RolloutResource"]

JSON_HEADERS = (("content-type", b"application/json"),)


class RolloutResource:
    """Serves evidence (POST) and directives (PUT).

    Parameters
    ----------
    task : RolloutTask
        Follows the rollouts.
    """

    def __init__(self, *, task: RolloutTask) -> None:
        self._task = task

    async def serve(self, request: HttpRequest) -> None:
        """Handle a request and send its response."""
        status, body = self._answer(request.method, request.body)
        request.answer(status, JSON_HEADERS, body)

    def _answer(self, method: str, body: bytes) -> tuple[int, bytes]:
        try:
            if method == "PUT":
                self._task.on_directive(decode_directive(body))
                return 200, b"{}"
            if method != "POST":
                return 405, b"{}"
            directive = self._task.on_evidence(decode_evidence(body))
        except MalformedRolloutError:
            return 400, b"{}"
        if directive is None:
            return 409, b"{}"
        return 200, encode_directive(directive)
