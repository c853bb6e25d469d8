"""Counters and latency histograms, served as text."""

import collections

from hdrh import histogram

# Ten minutes; no request lasts longer.
MAX_LATENCY_MS = 600_000
# Significant digits of a recorded latency.
_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Counts by name and label, and latencies by name."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency_by_name: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name, label] += amount

    def latency(self, name: str, value_ms: float) -> None:
        """Note a latency."""
        values = self._latency_by_name.get(name)
        if values is None:
            values = histogram.HdrHistogram(1, MAX_LATENCY_MS, _DIGITS)
            self._latency_by_name[name] = values
        values.record_value(max(1, int(value_ms)))

    def text(self) -> str:
        """Return everything in the Prometheus text format."""
        lines = []
        for (name, label), value in sorted(self._counts.items()):
            tag = f'{{label="{label}"}}' if label else ""
            lines.append(f"quetzalward_{name}_total{tag} {value}")
        for name, values in sorted(self._latency_by_name.items()):
            for quantile in _QUANTILES:
                value = values.get_value_at_percentile(quantile)
                lines.append(
                    f"quetzalward_{name}_ms"
                    f'{{quantile="{quantile / 100}"}} {value}'
                )
            lines.append(
                f"quetzalward_{name}_ms_count {values.get_total_count()}"
            )
        return "\n".join(lines) + "\n"
