"""The story of a request, from the logs of entries."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

__all__ = ["LogLine", "read_logs", "read_rollout", "tell"]

# Fields that every line has, and that say nothing of the decision.
_COMMON = frozenset({"event", "request_id", "timestamp", "module", "level"})


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """A line of a log.

    Attributes
    ----------
    at : str
        Time of the line, as written.
    source : str
        What stood before the line, such as a name of an instance, or its file.
    event : str
        What was decided.
    fields : dict of str to object
        Inputs and outcome of the decision.
    """

    at: str
    source: str
    event: str
    fields: dict[str, Any]


def read_logs(files: Iterable[Path], request_id: str) -> list[LogLine]:
    """Return the lines on a request, the oldest first.

    Lines that are cut, or are no JSON, are passed over, and so is text before
    the JSON of a line.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    lines = [line for path in files for line in _read(path, request_id)]
    return sorted(lines, key=lambda line: line.at)


def read_rollout(files: Iterable[Path], service: str) -> list[LogLine]:
    """Return the lines on rollouts of a service, the oldest first.

    Of the lines with which instances tell that they follow a phase, the first is
    returned, which is that of the instance that decided.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    lines = [
        line
        for path in files
        for line in _read(path, "rollout", name="service", value=service)
        if line.event.startswith("rollout")
    ]
    first: dict[tuple[object, ...], LogLine] = {}
    for line in sorted(lines, key=lambda line: line.at):
        told = line.fields.get
        phase = (line.event, told("version"), told("phase"), told("claims"))
        first.setdefault(phase if told("phase") else (line.at, line.source), line)
    return list(first.values())


def _read(
    path: Path, word: str, *, name: str = "request_id", value: str = ""
) -> Iterator[LogLine]:
    """Yield the lines with a word of which a field has a value, or is the word."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if word not in text:
                continue
            before, brace, rest = text.partition("{")
            parsed = _parse(brace + rest)
            if parsed is None or parsed.get(name) != (value or word):
                continue
            words = before.split()
            yield LogLine(
                at=str(parsed.get("timestamp", "")),
                source=words[-1] if words else path.name,
                event=str(parsed.get("event", "")),
                fields={k: v for k, v in parsed.items() if k not in _COMMON},
            )


def _parse(text: str) -> dict[str, Any] | None:
    try:
        parsed = json.loads(text)
    except ValueError:
        return None
    return parsed if isinstance(parsed, dict) else None


def tell(lines: Iterable[LogLine]) -> Iterator[str]:
    """Yield the story of a request, a decision a line."""
    for line in lines:
        told = ", ".join(f"{k}={v}" for k, v in line.fields.items() if v is not None)
        yield f"{line.at}  {line.source:<20} {line.event}: {told}"
        if "quota_owners" in line.fields:
            yield _describe_quota(line.fields)


def _describe_quota(fields: dict[str, Any]) -> str:
    """Return what is known of the shards of a quota that refused a request."""
    owners: dict[str, str] = fields["quota_owners"] or {}
    shards = ", ".join(f"{owner}: {said}" for owner, said in owners.items())
    return (
        f"    workspace {fields.get('workspace')} has a quota of"
        f" {fields.get('quota_hz')} requests a second in configuration"
        f" {fields.get('config_version')}; shards at {shards or 'no instance'};"
        f" {fields.get('quota_left')} tokens left, the next in"
        f" {fields.get('quota_wait_ms')} ms"
    )
