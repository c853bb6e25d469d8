"""Plot of gaps and delays of tokens over the number of streams."""

import pathlib
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

LIMIT_MS = 46


def draw(rows: list[dict[str, typing.Any]], file: pathlib.Path) -> None:
    """Write the plot of both paths as PNG."""
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for path in ("direct", "node"):
        found = [row for row in rows if row["path"] == path]
        streams = [row["streams"] for row in found]
        for axis, name in zip(axes, ("gap", "delay")):
            for share in (50, 95):
                values = [row[f"{name}_p{share}_ms"] for row in found]
                label = f"{path} p{share}"
                axis.plot(streams, values, marker="o", label=label)
    axes[0].axhline(LIMIT_MS, color="grey", linestyle=":")
    for axis, title in zip(axes, ("gap between tokens", "engine to caller")):
        axis.set_ylabel(f"{title}, ms")
        axis.set_xlabel("concurrent streams on one node")
        axis.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=80)
    pyplot.close(figure)
