"""Structured logs, one JSON object a line."""

import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

from borageramp_core import TokenBucket

__all__ = ["RateLimit", "configure_logs", "get_logger", "to_ms"]

# Lines of one kind that a process writes a second, and at once.
LINES_HZ = 200.0
LINES_BURST = 400.0


class RateLimit:
    """Drops lines of a kind that come too fast; warnings and errors stay.

    The next line of the kind tells how many were dropped before it.

    Parameters
    ----------
    rate_hz, burst : float
        Lines of one kind a second, and at once.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        rate_hz: float = LINES_HZ,
        burst: float = LINES_BURST,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate_hz = rate_hz
        self._burst = burst
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}
        self._dropped: dict[str, int] = {}

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on, or drop it."""
        kind = str(event.get("event"))
        bucket = self._buckets.get(kind)
        if bucket is None:
            # It starts full: so many seconds before now it was empty.
            since_s = self._clock() - self._burst / self._rate_hz
            bucket = TokenBucket(
                rate_hz=self._rate_hz, burst=self._burst, now_s=since_s
            )
            self._buckets[kind] = bucket
        if method in ("debug", "info") and not bucket.take(now_s=self._clock()):
            self._dropped[kind] = self._dropped.get(kind, 0) + 1
            raise structlog.DropEvent
        dropped = self._dropped.pop(kind, 0)
        if dropped:
            event["dropped_before"] = dropped
        return event


def configure_logs(level: str = "info", *, output: Any = None) -> None:
    """Set up logging for this process.

    Parameters
    ----------
    level : str
        Lowest level that is written, such as ``"info"``.
    output : file-like, optional
        Where lines go, no more of a kind than a rate allows; by default
        standard error, without a limit.
    """
    structlog.configure(
        processors=[
            *([] if output is None else [RateLimit()]),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=output or sys.stderr),
        cache_logger_on_first_use=True,
    )


def to_ms(duration_s: float | None) -> float | None:
    """Return a duration in milliseconds for a log line; ``None`` stays."""
    return None if duration_s is None else round(duration_s * 1000, 1)


def get_logger(module: str) -> Any:
    """Return a logger that names its module."""
    return structlog.get_logger(module=module.rpartition(".")[2])
