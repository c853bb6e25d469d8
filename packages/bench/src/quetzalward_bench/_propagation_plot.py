"""Plot of the times until a change is in force."""

import pathlib
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

TITLES = {
    "config_ms": "configuration in force on a node",
    "last_request_ms": "last new request of a zone taken out",
}
WIDTH = 0.25


def draw(figures: dict[str, typing.Any], file: pathlib.Path) -> None:
    """Write the plot of all sizes and scenarios as PNG."""
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for axis, (key, title) in zip(axes, TITLES.items()):
        labels = [
            (size, name)
            for size, rows in figures.items()
            for name, row in rows.items()
            if row.get(key, {}).get("count")
        ]
        for index, share in enumerate(("p50", "p95", "max")):
            places = [n + WIDTH * index for n in range(len(labels))]
            values = [figures[size][name][key][share] for size, name in labels]
            axis.bar(places, values, WIDTH, label=share)
        texts = [f"{size}\n{name}" for size, name in labels]
        axis.set_xticks([n + WIDTH for n in range(len(labels))], texts)
        axis.tick_params(axis="x", labelsize=7)
        axis.set_title(title)
        axis.set_ylabel("ms")
        axis.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=80)
    pyplot.close(figure)
