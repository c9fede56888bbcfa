"""Structured logs, one JSON object a line."""

import logging
import sys
from typing import Any

import structlog

__all__ = ["configure_logs", "get_logger"]


def configure_logs(level: str = "info", *, output: Any = None) -> None:
    """Set up logging for this process.

    Parameters
    ----------
    level : str
        Lowest level that is written, such as ``"info"``.
    output : file-like, optional
        Where lines go; by default standard error.
    """
    structlog.configure(
        processors=[
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


def get_logger(module: str) -> Any:
    """Return a logger that names its module."""
    return structlog.get_logger(module=module.rpartition(".")[2])
