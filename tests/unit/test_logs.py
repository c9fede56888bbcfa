"""Logs are bounded, and never block."""

import os
from typing import Any

import pytest
import structlog

from borageramp_entry._internal.logs import RateLimit
from borageramp_entry._internal.output import BoundedOutput


class _Clock:
    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def passed(limit: RateLimit, event: str, *, method: str = "info") -> Any:
    try:
        return limit(None, method, {"event": event})
    except structlog.DropEvent:
        return None


def test_lines_of_one_kind_are_limited_and_the_dropped_ones_counted() -> None:
    clock = _Clock()
    limit = RateLimit(rate_hz=10.0, burst=5.0, clock=clock)
    lines = [passed(limit, "placed") for _ in range(8)]
    assert [line is not None for line in lines] == [True] * 5 + [False] * 3
    assert passed(limit, "other") is not None
    clock.now_s += 0.15
    assert passed(limit, "placed") == {"event": "placed", "dropped_before": 3}


def test_warnings_are_not_dropped() -> None:
    limit = RateLimit(rate_hz=10.0, burst=1.0, clock=_Clock())
    lines = [passed(limit, "bad", method="warning") for _ in range(5)]
    assert None not in lines


def test_a_reader_that_stops_costs_lines_and_no_time() -> None:
    reading, writing = os.pipe()
    output = BoundedOutput(descriptor=writing, max_held_bytes=1000)
    for _ in range(20_000):
        output.write("0123456789\n")
        output.flush()
    assert output.dropped > 0
    os.set_blocking(reading, False)
    data = b""
    while True:
        output.flush()
        try:
            data += os.read(reading, 65_536)
        except BlockingIOError:
            break
    os.close(reading)
    os.close(writing)
    # Lines are whole, whatever was dropped between them.
    assert set(data.split(b"\n")) == {b"0123456789", b""}


def test_a_reader_that_is_gone_is_no_error() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    output = BoundedOutput(descriptor=writing)
    output.write("line\n")
    output.flush()
    os.close(writing)
    assert output.dropped == 1


@pytest.mark.parametrize("text", ["\ud800\n", "\u00e9\n"])
def test_any_text_can_be_written(text: str) -> None:
    reading, writing = os.pipe()
    output = BoundedOutput(descriptor=writing)
    output.write(text)
    output.flush()
    assert os.read(reading, 100).endswith(b"\n")
    os.close(reading)
    os.close(writing)
