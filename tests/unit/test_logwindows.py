"""Where requests lost their time, from logs that may be cut."""

import json
import time
from pathlib import Path

import pytest

from borageramp_cli._internal.client import CommandError, OutputFormat
from borageramp_cli._internal.commands.explain import explain
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.logwindows import Window, WindowReader


def line(event: str, at_s: float, request_id: str, **fields: object) -> str:
    minute, second = divmod(at_s, 60)
    at = f"2026-01-01T00:{int(minute):02d}:{second:09.6f}Z"
    values = {"event": event, "timestamp": at, "request_id": request_id, **fields}
    return json.dumps(values)


def request(
    name: str,
    *,
    arrived_s: float,
    line_ms: float = 10.0,
    took_ms: float = 100.0,
    outcome: str = "answered",
    upstream: str = "u1",
    tries: int = 1,
) -> list[str]:
    """Return the lines of a request whose tries share the time after the line."""
    ended_s = arrived_s + took_ms / 1000
    lines = []
    try_ms = (took_ms - line_ms) / tries
    for number in range(tries):
        placed_s = arrived_s + (line_ms + number * try_ms) / 1000
        lines.append(
            line("placed", placed_s, name, upstream=upstream, expected_ms=50.0)
        )
        result = "answered" if number == tries - 1 else "died"
        lines.append(
            line(
                "try ended",
                placed_s + try_ms / 1000,
                name,
                upstream=upstream,
                result=result,
                took_ms=try_ms,
            )
        )
    lines.append(
        line(
            "request ended",
            ended_s,
            name,
            outcome=outcome,
            took_ms=took_ms,
            route="r1",
            objective_ms=250.0,
        )
    )
    return lines


def read(tmp_path: Path, *lines: str) -> list[Window]:
    path = tmp_path / "one.log"
    path.write_text("\n".join(lines))
    return WindowReader(window_s=2.0).read([path])


def test_requests_are_counted_by_how_they_ended(tmp_path: Path) -> None:
    (window,) = read(
        tmp_path,
        *request("a", arrived_s=10.0),
        *request("b", arrived_s=10.5, took_ms=300.0),
        *request("c", arrived_s=11.0, outcome="overloaded"),
        *request("d", arrived_s=11.5, outcome="deadline_passed"),
    )
    assert (window.requests, window.in_time, window.late) == (4, 1, 1)
    assert (window.refused, window.lost) == (1, 1)
    assert window.instances == {"one.log": 3}


def test_time_is_told_apart_by_where_it_went(tmp_path: Path) -> None:
    (window,) = read(
        tmp_path,
        *request("a", arrived_s=10.0, line_ms=40.0, took_ms=240.0, tries=2),
    )
    assert window.line_ms == pytest.approx(40.0, abs=1.0)
    # The first try of 100 ms failed, the second took 50 ms longer than expected.
    assert window.failed_ms == pytest.approx(100.0)
    assert window.slow_ms == pytest.approx(50.0)
    assert window.upstreams == {"u1": 150}


def test_the_worst_windows_come_first(tmp_path: Path) -> None:
    windows = read(
        tmp_path,
        *request("a", arrived_s=10.0),
        *request("b", arrived_s=13.0, took_ms=900.0),
    )
    assert [w.start_s for w in windows] == [2.0, 0.0]


def test_lines_that_are_cut_or_foreign_are_passed_over(tmp_path: Path) -> None:
    whole = request("a", arrived_s=10.0)
    windows = read(tmp_path, "no log", whole[0][:40], '{"event": "placed"}', *whole)
    assert windows[0].requests == 1


def test_a_simulated_log_names_its_instances(tmp_path: Path) -> None:
    lines = request("a", arrived_s=10.0, outcome="overloaded")
    windows = read(tmp_path, *(f"  1.25 front-1 {text}" for text in lines))
    assert windows[0].instances == {"front-1": 1}


def test_many_lines_take_seconds(tmp_path: Path) -> None:
    lines = [t for i in range(10_000) for t in request(f"r{i}", arrived_s=i / 1000)]
    started_s = time.monotonic()
    read(tmp_path, *lines)
    # A million lines in half a minute.
    assert time.monotonic() - started_s < len(lines) * 30e-6


def test_the_command_prints_a_table(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "one.log"
    path.write_text("\n".join(request("a", arrived_s=10.0, took_ms=900.0)))
    assert explain(log=[path], windows=2.0) == Exit.OK
    header, row = capsys.readouterr().out.splitlines()
    assert header.startswith("from s") and row.split()[:4] == ["0.0", "r1", "1", "0"]
    explain(log=[path], windows=2.0, format=OutputFormat.json)
    assert json.loads(capsys.readouterr().out)[0]["late"] == "1"


def test_logs_without_requests_are_no_result(tmp_path: Path) -> None:
    path = tmp_path / "one.log"
    path.write_text("")
    with pytest.raises(CommandError) as caught:
        explain(log=[path], windows=2.0)
    assert caught.value.exit_code == Exit.NOT_FOUND


def test_one_request_or_windows_are_asked_for() -> None:
    with pytest.raises(CommandError):
        explain()
