"""``borageramp explain``: why a request went where it went, and where time goes."""

from pathlib import Path

from borageramp_cli._internal.client import CommandError, OperatorClient, OutputFormat
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.logstory import LogLine, read_logs, read_rollout, tell
from borageramp_cli._internal.logwindows import HEADER, WindowReader, rows
from borageramp_cli._internal.output import print_json, print_table
from borageramp_cli._internal.windowplot import plot_windows

__all__ = ["explain"]


def explain(
    *request_id: str,
    entry: str = "",
    log: list[Path] | None = None,
    rollout: str = "",
    windows: float = 0.0,
    most: int = 10,
    plot: Path | None = None,
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Tell what was decided on a request or rollout, or where time was lost.

    Parameters
    ----------
    request_id
        Identifier, from the header Borageramp-Request-Id of the answer.
    entry
        Operator addresses, separated by commas.
    log
        Log files to read in place of asking entries.
    rollout
        Service whose rollouts to tell of, from the logs of all entries.
    windows
        Length in seconds of windows to compare, from the logs of all entries.
    most
        Windows to print, the worst first; 0 for all.
    plot
        File for a picture of all windows.
    format
        How to print the result.
    """
    if windows > 0:
        return _explain_windows(windows, log or [], most, plot, format)
    if rollout:
        return _explain_rollout(rollout, log or [], format)
    if len(request_id) != 1:
        raise CommandError("give the identifier of one request", Exit.INVALID)
    return _explain_request(request_id[0], entry, log, format)


def _explain_windows(
    window_s: float,
    files: list[Path],
    most: int,
    plot: Path | None,
    format: OutputFormat,
) -> int:
    try:
        windows = WindowReader(window_s=window_s).read(files)
    except OSError as error:
        problem = f"{error.filename}: {error.strerror}"
        raise CommandError(problem, Exit.INVALID) from None
    if not windows:
        raise CommandError("no request ended in these logs", Exit.NOT_FOUND)
    if plot is not None:
        plot_windows(windows, plot, window_s=window_s)
    worst = windows[:most] if most > 0 else windows
    if format is OutputFormat.json:
        print_json([dict(zip(HEADER, row, strict=True)) for row in rows(worst)])
    else:
        print_table(HEADER, list(rows(worst)))
    return Exit.OK


def _explain_request(
    request_id: str, entry: str, log: list[Path] | None, format: OutputFormat
) -> int:
    if log:
        return _explain_from_logs(request_id, log, format)
    reply = OperatorClient(entry).get(f"/v1/explain/{request_id}")
    if format is OutputFormat.json:
        print_json(reply.value)
    if reply.status != 200:
        raise CommandError(f"no entry remembers request {request_id}", Exit.NOT_FOUND)
    if format is OutputFormat.text:
        _print(reply.value["events"])
    return Exit.OK


def _explain_rollout(service: str, files: list[Path], format: OutputFormat) -> int:
    try:
        lines = read_rollout(files, service)
    except OSError as error:
        problem = f"{error.filename}: {error.strerror}"
        raise CommandError(problem, Exit.INVALID) from None
    if not lines:
        raise CommandError(f"no line on a rollout of {service}", Exit.NOT_FOUND)
    _print_lines(lines, {"service": service}, format)
    return Exit.OK


def _explain_from_logs(request_id: str, files: list[Path], format: OutputFormat) -> int:
    try:
        lines = read_logs(files, request_id)
    except OSError as error:
        problem = f"{error.filename}: {error.strerror}"
        raise CommandError(problem, Exit.INVALID) from None
    if not lines:
        raise CommandError(
            f"no line on request {request_id}: is the log of the instance that "
            "took it among the files, and does it reach back far enough?",
            Exit.NOT_FOUND,
        )
    _print_lines(lines, {"request_id": request_id}, format)
    return Exit.OK


def _print_lines(
    lines: list[LogLine], subject: dict[str, str], format: OutputFormat
) -> None:
    if format is OutputFormat.json:
        events = [
            {"at": n.at, "source": n.source, "event": n.event, **n.fields}
            for n in lines
        ]
        print_json({**subject, "events": events})
    else:
        print("\n".join(tell(lines)))


def _print(events: list[str]) -> None:
    first_s: float | None = None
    for event in events:
        at, where, what = event.split(" ", 2)
        first_s = float(at) if first_s is None else first_s
        print(f"{(float(at) - first_s) * 1000:9.2f} ms  {where:<12} {what}")
