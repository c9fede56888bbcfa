"""``borageramp explain``: why a request went where it went."""

from borageramp_cli._internal.client import CommandError, OperatorClient, OutputFormat
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.output import print_json

__all__ = ["explain"]


def explain(
    request_id: str, *, entry: str = "", format: OutputFormat = OutputFormat.text
) -> int:
    """Tell what was decided on a request, by all entries.

    Parameters
    ----------
    request_id
        Identifier, from the header Borageramp-Request-Id of the answer.
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    reply = OperatorClient(entry).get(f"/v1/explain/{request_id}")
    if format is OutputFormat.json:
        print_json(reply.value)
    if reply.status != 200:
        raise CommandError(f"no entry remembers request {request_id}", Exit.NOT_FOUND)
    if format is OutputFormat.text:
        _print(reply.value["events"])
    return Exit.OK


def _print(events: list[str]) -> None:
    first_s: float | None = None
    for event in events:
        at, where, what = event.split(" ", 2)
        first_s = float(at) if first_s is None else first_s
        print(f"{(float(at) - first_s) * 1000:9.2f} ms  {where:<12} {what}")
