"""Plot of goodput and first-token time while a zone leaves and returns."""

import pathlib
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from quetzalward_bench import _stats  # noqa: E402

BIN_S = 2.0

Series = list[dict[str, typing.Any]]


def _bins(
    series: Series, value: typing.Callable[[Series], float]
) -> tuple[list[float], list[float]]:
    """Return the middle and the value of each interval of the run."""
    end_s = max(row["at_s"] for row in series)
    places = [BIN_S * n for n in range(int(end_s / BIN_S))]
    values = [
        value([r for r in series if at_s <= r["at_s"] < at_s + BIN_S])
        for at_s in places
    ]
    return [at_s + BIN_S / 2 for at_s in places], values


def _good_per_s(rows: Series) -> float:
    return sum(row["good"] for row in rows) / BIN_S


def _first_p95_ms(rows: Series) -> float:
    firsts = [row["first_ms"] for row in rows if row["first_ms"] is not None]
    return max(1.0, _stats.quantile(firsts, 0.95))


def draw(
    series_by_policy: dict[str, Series],
    bounds: dict[str, tuple[float, float]],
    file: pathlib.Path,
) -> None:
    """Write the plot of all policies as PNG."""
    figure, axes = pyplot.subplots(2, 2, figsize=(10, 6), sharex=True)
    for column, size in enumerate(("large", "small")):
        for policy, series in series_by_policy.items():
            rows = [row for row in series if row["size"] == size]
            axes[0][column].plot(*_bins(rows, _good_per_s), label=policy)
            axes[1][column].plot(*_bins(rows, _first_p95_ms), label=policy)
        axes[0][column].set_title(f"{size} customers")
        axes[0][column].set_ylabel("good answers/s")
        axes[1][column].set_ylabel("first token p95, ms")
        axes[1][column].set_yscale("log")
        axes[1][column].set_xlabel("s; the zone is away between the lines")
        for row in (0, 1):
            for at_s in bounds["away"]:
                axes[row][column].axvline(at_s, color="grey", linestyle=":")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(file, dpi=80)
    pyplot.close(figure)
