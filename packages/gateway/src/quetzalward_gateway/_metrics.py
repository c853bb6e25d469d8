"""Counters and latency histograms, served as text."""

import collections

from hdrh import histogram

# Upper end of the histograms, ten minutes; no request lasts longer.
MAX_LATENCY_MS = 600_000
# Significant digits that a histogram keeps of a latency.
_SIGNIFICANT_DIGITS = 2
# Percentiles to report.
_PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Counters by name and label, and latency histograms by name."""

    def __init__(self) -> None:
        """Start with all counters at zero and without latencies."""
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency_by_name: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increase a counter."""
        self._counts[name, label] += amount

    def record_latency(self, name: str, value_ms: float) -> None:
        """Record a latency."""
        latencies = self._latency_by_name.get(name)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                1, MAX_LATENCY_MS, _SIGNIFICANT_DIGITS
            )
            self._latency_by_name[name] = latencies
        latencies.record_value(max(1, int(value_ms)))

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, label), value in sorted(self._counts.items()):
            labels = f'{{label="{label}"}}' if label else ""
            lines.append(f"quetzalward_{name}_total{labels} {value}")
        for name, latencies in sorted(self._latency_by_name.items()):
            for percentile in _PERCENTILES:
                value = latencies.get_value_at_percentile(percentile)
                lines.append(
                    f"quetzalward_{name}_ms"
                    f'{{quantile="{percentile / 100}"}} {value}'
                )
            lines.append(
                f"quetzalward_{name}_ms_count {latencies.get_total_count()}"
            )
        return "\n".join(lines) + "\n"
