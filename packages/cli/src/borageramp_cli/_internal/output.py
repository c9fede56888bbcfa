"""Printing of results."""

import json
import sys
from collections.abc import Sequence
from typing import Any

__all__ = ["print_json", "print_table", "warn"]


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows in columns."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def warn(message: str) -> None:
    """Print a message on standard error."""
    print(message, file=sys.stderr)
