"""Limits on what a message has beside its body."""

import pytest

from borageramp_entry._internal.serving.message_limits import (
    BYTES_PER_EXTRA_PART,
    MAX_BODILESS_BYTES,
    MAX_EXTRA_PARTS,
    MAX_FRAMING_BYTES,
    MAX_HEADERS,
    ExcessiveFramingError,
    FramingMeter,
)


def make_meter() -> FramingMeter:
    """Return a meter of a message whose first bytes were read."""
    meter = FramingMeter()
    meter.on_read(1)
    return meter


def test_headers_and_trailers_are_counted_together() -> None:
    meter = make_meter()
    for _ in range(MAX_HEADERS):
        meter.on_header()
    with pytest.raises(ExcessiveFramingError):
        meter.on_header()
    meter.start()
    meter.on_header()


# Guards against a large body that allows for as much without any of it.
def test_a_body_allows_for_no_more_bytes_without_any_of_it() -> None:
    meter = make_meter()
    for _ in range(1000):
        meter.on_body(MAX_BODILESS_BYTES)
        meter.on_read(MAX_BODILESS_BYTES)
    meter.on_read(MAX_BODILESS_BYTES)
    with pytest.raises(ExcessiveFramingError):
        meter.on_read(1)


def test_framing_between_parts_of_the_body_is_limited() -> None:
    meter = make_meter()
    with pytest.raises(ExcessiveFramingError):
        for _ in range(MAX_FRAMING_BYTES // 1000 + 2):
            meter.on_body(1)
            meter.on_read(1000)


def test_a_body_in_small_reads_is_not_limited() -> None:
    meter = make_meter()
    for _ in range(100_000):
        meter.on_body(1)
        meter.on_read(1)


# Guards against bodies in parts of one byte, each of which costs processor time.
def test_the_parts_that_one_read_brings_are_limited() -> None:
    meter = make_meter()
    with pytest.raises(ExcessiveFramingError):
        for _ in range(2 * MAX_EXTRA_PARTS):
            meter.on_body(1)


def test_large_parts_are_not_limited() -> None:
    meter = make_meter()
    for _ in range(10 * MAX_EXTRA_PARTS):
        meter.on_body(2 * BYTES_PER_EXTRA_PART)
