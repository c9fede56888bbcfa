"""Plots of the tables, with matplotlib if it is installed."""

from collections import defaultdict
from collections.abc import Sequence

from borageramp_bench.policies.records import Row

__all__ = ["plot_rows"]


def plot_rows(rows: Sequence[Row], path: str) -> None:
    """Draw the p99 of each policy by load, one panel a disturbance.

    Parameters
    ----------
    rows : sequence of Row
        Rows of the table.
    path : str
        File for the picture.

    Raises
    ------
    SystemExit
        If matplotlib is not installed.
    """
    try:
        from matplotlib import pyplot
    except ImportError:
        raise SystemExit("plots need matplotlib: borageramp-bench[plot]") from None
    panels = sorted({(r.size, r.disturbance) for r in rows})
    columns = min(3, len(panels))
    lines = -(-len(panels) // columns)
    figure, axes = pyplot.subplots(
        lines, columns, figsize=(5 * columns, 3.5 * lines), squeeze=False
    )
    for axis in axes.flat[len(panels) :]:
        axis.set_visible(False)
    for panel, axis in zip(panels, axes.flat, strict=False):
        curves: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for row in rows:
            if (row.size, row.disturbance) == panel:
                curves[row.policy].append((row.load, row.p99_ms))
        for policy, points in curves.items():
            axis.plot(*zip(*sorted(points), strict=True), marker="o", label=policy)
        axis.set_title(", ".join(panel))
        axis.set_xlabel("load")
        axis.set_ylabel("p99, ms")
        axis.set_yscale("log")
    axes.flat[0].legend()
    figure.tight_layout()
    figure.savefig(path)
