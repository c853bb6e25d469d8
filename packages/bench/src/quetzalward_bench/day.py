"""Plots a day of the gateway from its nodes' logs.

`python -m quetzalward_bench day LOG --output FILE.png` reads the structured
logs of all nodes, in one file, and prints what it plots as JSON.
"""

import collections.abc
import math
import pathlib
import typing

from matplotlib import figure

from quetzalward_bench import _day_series

FIGURE_INCHES = (10, 11)


def main(log: str, output: str) -> dict[str, typing.Any]:
    """Plot the day in a log file; return its totals.

    Raises `OSError` if a file cannot be read or written, and `ValueError` if
    the log has no events.
    """
    with pathlib.Path(log).open(errors="replace") as lines:
        series = _day_series.make_series(_day_series.parse_lines(lines))
    if not series.results and not series.open_groups:
        raise ValueError(f"{log}: no events of a gateway")
    plot(series).savefig(output)
    return {
        "requests": {
            label: counts.total() for label, counts in series.results.items()
        },
        "failed_attempts": {
            label: counts.total() for label, counts in series.failures.items()
        },
        "terms": len(series.takeovers_s),
        "left_out": dict(series.left_out),
        "output": output,
    }


def plot(series: _day_series.DaySeries) -> figure.Figure:
    """Return the figure: requests, failures, groups and times by second."""
    length_s = series.length_s
    times_ms = {
        "first event": series.first_event_ms,
        "age of loads": series.load_age_ms,
    }
    panels = [
        ("requests/s", _filled(series.results, length_s)),
        ("failed attempts/s", _filled(series.failures, length_s)),
        ("open groups", _filled(series.open_groups, length_s, hold=True)),
        ("median, ms", _filled(times_ms, length_s, missing=math.nan)),
    ]
    drawing = figure.Figure(figsize=FIGURE_INCHES, layout="constrained")
    axes = drawing.subplots(len(panels), 1, sharex=True)
    for axis, (title, values_by_label) in zip(axes, panels, strict=True):
        axis.set_ylabel(title)
        for label, values in sorted(values_by_label.items()):
            axis.step(range(length_s), values, where="post", label=label)
        for at_s in series.takeovers_s:
            axis.axvline(at_s, color="grey", linestyle=":", linewidth=1)
        if values_by_label:
            axis.legend(loc="upper right", fontsize="small")
    axes[-1].set_xlabel("seconds; dotted: a new coordinator")
    return drawing


def _filled(
    values_by_label: collections.abc.Mapping[
        str, collections.abc.Mapping[int, float]
    ],
    length_s: int,
    *,
    hold: bool = False,
    missing: float = 0.0,
) -> dict[str, list[float]]:
    return {
        label: _day_series.fill(values, length_s, hold=hold, missing=missing)
        for label, values in values_by_label.items()
    }
