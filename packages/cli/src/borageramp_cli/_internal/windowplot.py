"""A picture of what became of requests over time."""

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path

from borageramp_cli._internal.client import CommandError
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.logwindows import Window

__all__ = ["plot_windows"]

ENDS = ("in_time", "late", "refused", "lost")


def plot_windows(windows: Sequence[Window], path: Path, *, window_s: float) -> None:
    """Draw how requests ended, window by window.

    Raises
    ------
    CommandError
        If matplotlib is not installed.
    """
    try:
        from matplotlib import pyplot
    except ImportError:
        raise CommandError(
            "pictures need matplotlib: borageramp-cli[plot]", Exit.INVALID
        ) from None
    counts: defaultdict[float, dict[str, int]] = defaultdict(
        lambda: dict.fromkeys(ENDS, 0)
    )
    for window in windows:
        for end in ENDS:
            counts[window.start_s][end] += getattr(window, end)
    starts = sorted(counts)
    figure, axis = pyplot.subplots(figsize=(10, 4))
    below = [0] * len(starts)
    for end in ENDS:
        heights = [counts[start][end] for start in starts]
        axis.bar(
            starts,
            heights,
            bottom=below,
            width=0.9 * window_s,
            align="edge",
            label=end.replace("_", " "),
        )
        below = [b + h for b, h in zip(below, heights, strict=True)]
    axis.set_xlabel("seconds since the first line")
    axis.set_ylabel("requests")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
