"""Where requests lost their time, by window and route, from the logs of entries."""

import json
from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

__all__ = ["HEADER", "Window", "WindowReader", "rows"]

# Requests under way that are remembered; those of a line that was lost leave last.
MAX_OPEN = 100_000
# Upstreams and instances that a row names.
MOST_NAMED = 2
# Events that tell of a request, in the text of their lines.
EVENTS = ('"placed"', '"try ended"', '"request ended"')
ANSWERED = "answered"
REFUSED = frozenset(
    {
        "overloaded",
        "upstream_shed",
        "upstreams_unreachable",
        "no_upstream",
        "not_serving",
    }
)

HEADER = (
    "from s",
    "route",
    "requests",
    "in time",
    "late",
    "refused",
    "lost",
    "returned",
    "line ms",
    "slow ms",
    "failed tries ms",
    "most at upstreams",
    "most at instances",
)


@dataclass(kw_only=True, slots=True)
class _Open:
    """A request whose end is not read yet."""

    placed_at_s: float | None = None
    expected_ms: float = 0.0
    returned: bool = False
    slow_ms: float = 0.0
    failed_ms: float = 0.0
    upstreams: Counter[str] = field(default_factory=Counter)


@dataclass(kw_only=True, slots=True)
class Window:
    """What became of the requests of one route that arrived in one window.

    Attributes
    ----------
    start_s : float
        Start of the window, since the first line.
    route : str
        Name of the route.
    requests, in_time, late, refused, lost : int
        Requests, and how they ended.
    returned : int
        Requests whose callers had come back with them, of those placed.
    line_ms, slow_ms, failed_ms : float
        Time in line, at upstreams beyond what was expected, and in tries that
        failed, in all.
    upstreams, instances : Counter
        The latter two, by upstream; requests not in time, by instance.
    """

    start_s: float
    route: str
    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    returned: int = 0
    line_ms: float = 0.0
    slow_ms: float = 0.0
    failed_ms: float = 0.0
    upstreams: Counter[str] = field(default_factory=Counter)
    instances: Counter[str] = field(default_factory=Counter)

    @property
    def missed(self) -> int:
        """Requests that were not answered in time."""
        return self.requests - self.in_time


class WindowReader:
    """Reads logs line by line, and keeps no more than a row for each window.

    Parameters
    ----------
    window_s : float
        Length of the windows.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._first_s: float | None = None
        self._open: OrderedDict[tuple[str, str], _Open] = OrderedDict()
        self._windows: dict[tuple[int, str], Window] = {}

    def read(self, files: Iterable[Path]) -> list[Window]:
        """Return the windows, those with most requests not in time first.

        Raises
        ------
        OSError
            If a file can't be read.
        """
        for path in files:
            with path.open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    if any(event in text for event in EVENTS):
                        self._take(text, path.name)
        windows = list(self._windows.values())
        first = min((w.start_s for w in windows), default=0.0)
        for window in windows:
            window.start_s -= first
        return sorted(windows, key=lambda w: (-w.missed, w.start_s, w.route))

    def _take(self, text: str, file: str) -> None:
        before, brace, rest = text.partition("{")
        try:
            line: dict[str, Any] = json.loads(brace + rest)
            at_s = datetime.fromisoformat(line["timestamp"]).timestamp()
            key = (before.split()[-1] if before.strip() else file, line["request_id"])
        except (ValueError, KeyError, TypeError):
            # Lines that are cut tell nothing.
            return
        if line["event"] == "placed":
            self._on_placed(self._request(key), line, at_s)
        elif line["event"] == "try ended":
            _on_try_ended(self._request(key), line)
        else:
            self._on_ended(key, line, at_s)

    def _request(self, key: tuple[str, str]) -> _Open:
        request = self._open.setdefault(key, _Open())
        if len(self._open) > MAX_OPEN:
            self._open.popitem(last=False)
        return request

    def _on_placed(self, request: _Open, line: dict[str, Any], at_s: float) -> None:
        if request.placed_at_s is None:
            request.placed_at_s = at_s
        request.expected_ms = line.get("expected_ms") or 0.0
        request.returned |= bool(line.get("caller_age_ms"))

    def _on_ended(
        self, key: tuple[str, str], line: dict[str, Any], at_s: float
    ) -> None:
        request = self._open.pop(key, _Open())
        took_ms = line.get("took_ms") or 0.0
        arrived_s = at_s - took_ms / 1000
        number = int(arrived_s // self._window_s)
        route = line.get("route") or "-"
        window = self._windows.get((number, route))
        if window is None:
            window = Window(start_s=number * self._window_s, route=route)
            self._windows[number, route] = window
        in_time = _count_end(window, line, took_ms)
        window.requests += 1
        window.returned += request.returned
        placed_s = at_s if request.placed_at_s is None else request.placed_at_s
        window.line_ms += max(0.0, placed_s - arrived_s) * 1000
        window.slow_ms += request.slow_ms
        window.failed_ms += request.failed_ms
        window.upstreams.update(request.upstreams)
        if not in_time:
            window.instances[key[0]] += 1


def _on_try_ended(request: _Open, line: dict[str, Any]) -> None:
    took_ms = line.get("took_ms") or 0.0
    upstream = str(line.get("upstream"))
    if line.get("result") == ANSWERED:
        lost_ms = max(0.0, took_ms - request.expected_ms)
        request.slow_ms += lost_ms
    else:
        lost_ms = took_ms
        request.failed_ms += lost_ms
    request.upstreams[upstream] += round(lost_ms)


def _count_end(window: Window, line: dict[str, Any], took_ms: float) -> bool:
    """Count how a request ended; tell whether it was in time."""
    outcome = line.get("outcome")
    if outcome in REFUSED:
        window.refused += 1
    elif outcome != ANSWERED:
        window.lost += 1
    elif took_ms <= (line.get("objective_ms") or float("inf")):
        window.in_time += 1
        return True
    else:
        window.late += 1
    return False


def rows(windows: Sequence[Window]) -> Iterator[tuple[str, ...]]:
    """Yield the rows of a table, with times as means over the requests."""
    for window in windows:
        means = (window.line_ms, window.slow_ms, window.failed_ms)
        yield (
            f"{window.start_s:.1f}",
            window.route,
            *(
                str(number)
                for number in (
                    window.requests,
                    window.in_time,
                    window.late,
                    window.refused,
                    window.lost,
                    window.returned,
                )
            ),
            *(f"{mean / window.requests:.0f}" for mean in means),
            _most(window.upstreams, unit=" ms"),
            _most(window.instances, unit=""),
        )


def _most(counts: Counter[str], *, unit: str) -> str:
    named = counts.most_common(MOST_NAMED)
    return ", ".join(f"{name} {count}{unit}" for name, count in named)
