"""Series over time from the structured logs of a day's nodes."""

import collections
import collections.abc
import json
import statistics
import typing

import attrs

# Events that end a caller's request, and how it ended.
RESULT_BY_EVENT = {
    "stream": "answered",
    "answered": "answered",
    "refused": "refused",
    "stream_aborted": "aborted",
}


@attrs.define
class DaySeries:
    """What the nodes logged in each second, counted from the first line."""

    # Number of seconds.
    length_s: int = 0
    # Requests by result.
    results: dict[str, collections.Counter[int]] = attrs.field(factory=dict)
    # Attempts that failed, by result of the attempt.
    failures: dict[str, collections.Counter[int]] = attrs.field(factory=dict)
    # Median time to the first event, and median age of the loads, in ms.
    first_event_ms: dict[int, float] = attrs.field(factory=dict)
    load_age_ms: dict[int, float] = attrs.field(factory=dict)
    # Open groups by model, after the changes of each second.
    open_groups: dict[str, dict[int, int]] = attrs.field(factory=dict)
    # Seconds, with a fraction, at which a term began.
    takeovers_s: list[float] = attrs.field(factory=list)
    # Lines over the limit of a kind, which are missing in the series.
    left_out: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


def parse_lines(
    lines: collections.abc.Iterable[str],
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    """Return the events in log lines, which may have a prefix.

    Lines without a JSON object that has `time_ms` and `event` are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(event, dict) and {"time_ms", "event"} <= event.keys():
            yield event


def make_series(
    events: collections.abc.Iterable[dict[str, typing.Any]],
) -> DaySeries:
    """Return the series of all nodes' events."""
    ordered = sorted(events, key=lambda event: event["time_ms"])
    series = DaySeries()
    if not ordered:
        return series
    first_ms = ordered[0]["time_ms"]
    series.length_s = int((ordered[-1]["time_ms"] - first_ms) // 1_000) + 1
    first_event_times: dict[int, list[float]] = {}
    load_ages: dict[int, list[float]] = {}
    model_by_open_group: dict[str, str] = {}
    for event in ordered:
        second = int((event["time_ms"] - first_ms) // 1_000)
        name = event["event"]
        if event.get("left_out"):
            series.left_out[name] += event["left_out"]
        if name in RESULT_BY_EVENT:
            _count(series.results, RESULT_BY_EVENT[name], second)
        elif name == "attempt_failed":
            _count(series.failures, str(event.get("result")), second)
        elif name == "duty_taken":
            series.takeovers_s.append((event["time_ms"] - first_ms) / 1_000)
            # The new coordinator logs all groups that it adopts.
            model_by_open_group.clear()
        elif name == "group":
            _update_groups(model_by_open_group, event)
            counts = collections.Counter(model_by_open_group.values())
            for model in counts.keys() | series.open_groups.keys():
                series.open_groups.setdefault(model, {})[second] = counts[
                    model
                ]
        if event.get("first_ms") is not None:
            first_event_times.setdefault(second, []).append(event["first_ms"])
        if event.get("load_age_ms") is not None:
            load_ages.setdefault(second, []).append(event["load_age_ms"])
    series.first_event_ms = _medians(first_event_times)
    series.load_age_ms = _medians(load_ages)
    return series


def _count(
    counts: dict[str, collections.Counter[int]], label: str, second: int
) -> None:
    counts.setdefault(label, collections.Counter())[second] += 1


def _update_groups(
    model_by_open_group: dict[str, str], event: dict[str, typing.Any]
) -> None:
    group = str(event.get("group"))
    if event.get("phase") == "open":
        model_by_open_group[group] = group.partition(".")[2]
    else:
        model_by_open_group.pop(group, None)


def _medians(values: dict[int, list[float]]) -> dict[int, float]:
    return {
        second: statistics.median(items) for second, items in values.items()
    }


def fill(
    values: collections.abc.Mapping[int, float],
    length_s: int,
    *,
    hold: bool = False,
    missing: float = 0.0,
) -> list[float]:
    """Return a value for each second.

    A second without one gets `missing`, or the last value with `hold`.
    """
    filled = []
    last = missing
    for second in range(length_s):
        last = values.get(second, last if hold else missing)
        filled.append(last)
    return filled
