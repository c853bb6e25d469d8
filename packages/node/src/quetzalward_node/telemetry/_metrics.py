"""Counters, gauges and latency histograms, rendered as Prometheus text.

Label values come from the configuration or from fixed sets, never from a
request, so that callers cannot create time series.
"""

import threading
import typing

import attrs
from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.95, 0.99)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_Labels = tuple[str, ...]


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _sample_line(
    name: str, names: _Labels, values: _Labels, value: float | int
) -> str:
    pairs = ",".join(
        f'{label}="{_escape(text)}"'
        for label, text in zip(names, values, strict=True)
    )
    braces = f"{{{pairs}}}" if pairs else ""
    return (
        f"{name}{braces} {value:g}"
        if isinstance(value, float)
        else (f"{name}{braces} {value}")
    )


@attrs.define(eq=False)
class Counter:
    """A monotonic counter, by label values."""

    name: str
    help: str
    labels: _Labels = ()
    _lock: threading.Lock = attrs.field(factory=threading.Lock)
    _values: dict[_Labels, int] = attrs.field(factory=dict)

    def add(self, *values: str, amount: int = 1) -> None:
        """Add to the count for the given label values."""
        with self._lock:
            self._values[values] = self._values.get(values, 0) + amount

    def value(self, *values: str) -> int:
        """Return the count for the given label values."""
        return self._values.get(values, 0)

    def lines(self) -> list[str]:
        """Return the counter as Prometheus text."""
        with self._lock:
            items = sorted(self._values.items())
        header_lines = [f"# HELP {self.name} {self.help}"]
        header_lines.append(f"# TYPE {self.name} counter")
        if not self.labels and not items:
            items = [((), 0)]
        return header_lines + [
            _sample_line(self.name, self.labels, values, value)
            for values, value in items
        ]


@attrs.define(eq=False)
class Gauge:
    """A value read by a callback when the metrics are rendered."""

    name: str
    help: str
    read: typing.Callable[[], float]

    def lines(self) -> list[str]:
        """Return the gauge as Prometheus text."""
        return [
            f"# HELP {self.name} {self.help}",
            f"# TYPE {self.name} gauge",
            _sample_line(self.name, (), (), self.read()),
        ]


@attrs.define(eq=False)
class Latency:
    """A histogram of durations, by label values.

    Rendered as a summary in seconds. Values are clamped to the range from
    `LOWEST_MS` to `HIGHEST_MS` and recorded to two significant digits.
    """

    name: str
    help: str
    labels: _Labels = ()
    _lock: threading.Lock = attrs.field(factory=threading.Lock)
    _histogram_by_labels: dict[_Labels, histogram.HdrHistogram] = attrs.field(
        factory=dict
    )
    _sum_ms_by_labels: dict[_Labels, float] = attrs.field(factory=dict)

    def observe_ms(self, value_ms: float, *values: str) -> None:
        """Record one duration."""
        clamped_ms = min(max(round(value_ms), LOWEST_MS), HIGHEST_MS)
        with self._lock:
            recorded = self._histogram_by_labels.get(values)
            if recorded is None:
                recorded = histogram.HdrHistogram(
                    LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
                )
                self._histogram_by_labels[values] = recorded
            recorded.record_value(clamped_ms)
            self._sum_ms_by_labels[values] = (
                self._sum_ms_by_labels.get(values, 0) + value_ms
            )

    def quantile_ms(self, quantile: float, *values: str) -> float | None:
        """Return a quantile in milliseconds, `None` without observations."""
        with self._lock:
            recorded = self._histogram_by_labels.get(values)
            if recorded is None or not recorded.get_total_count():
                return None
            return float(recorded.get_value_at_percentile(quantile * 100))

    def lines(self) -> list[str]:
        """Return the summary as Prometheus text."""
        lines = [f"# HELP {self.name} {self.help}"]
        lines.append(f"# TYPE {self.name} summary")
        for values in sorted(self._histogram_by_labels):
            for quantile in QUANTILES:
                quantile_value_ms = self.quantile_ms(quantile, *values) or 0.0
                lines.append(
                    _sample_line(
                        self.name,
                        (*self.labels, "quantile"),
                        (*values, str(quantile)),
                        quantile_value_ms / 1000,
                    )
                )
            with self._lock:
                total = self._histogram_by_labels[values].get_total_count()
                sum_s = self._sum_ms_by_labels[values] / 1000
            lines.append(
                _sample_line(f"{self.name}_sum", self.labels, values, sum_s)
            )
            lines.append(
                _sample_line(f"{self.name}_count", self.labels, values, total)
            )
        return lines


_Metric = Counter | Gauge | Latency


class Metrics:
    """All metrics of a node."""

    def __init__(self) -> None:
        """Start without metrics."""
        self._lock = threading.Lock()
        self._metrics_by_name: dict[str, _Metric] = {}

    def counter(self, name: str, text: str, *labels: str) -> Counter:
        """Return the counter of that name, registering it on first use."""
        metric = self._register(Counter(name, text, labels))
        return typing.cast(Counter, metric)

    def gauge(
        self, name: str, text: str, read: typing.Callable[[], float]
    ) -> Gauge:
        """Return the gauge of that name, registering it on first use."""
        return typing.cast(Gauge, self._register(Gauge(name, text, read)))

    def latency(self, name: str, text: str, *labels: str) -> Latency:
        """Return the latency of that name, registering it on first use."""
        metric = self._register(Latency(name, text, labels))
        return typing.cast(Latency, metric)

    def render(self) -> str:
        """Return all metrics as Prometheus text."""
        with self._lock:
            metrics = sorted(
                self._metrics_by_name.values(), key=lambda m: m.name
            )
        lines = [line for metric in metrics for line in metric.lines()]
        return "\n".join(lines) + "\n"

    def _register(self, metric: _Metric) -> _Metric:
        with self._lock:
            registered = self._metrics_by_name.setdefault(metric.name, metric)
        if type(registered) is not type(metric):
            raise ValueError(
                f"metric {metric.name} is registered with another type"
            )
        return registered
