"""Metrics and spans of a node."""

import attrs

from quetzalward_node.telemetry._metrics import CONTENT_TYPE
from quetzalward_node.telemetry._metrics import Counter
from quetzalward_node.telemetry._metrics import Gauge
from quetzalward_node.telemetry._metrics import Latency
from quetzalward_node.telemetry._metrics import Metrics
from quetzalward_node.telemetry._tracing import Tracing

__all__ = [
    "CONTENT_TYPE",
    "Counter",
    "Gauge",
    "Latency",
    "Metrics",
    "Telemetry",
    "Tracing",
]


@attrs.frozen
class Telemetry:
    """Metrics and tracing shared by all tasks of a node."""

    metrics: Metrics
    tracing: Tracing


def create(node: str, trace_file: str | None = None) -> Telemetry:
    """Return the telemetry of a node."""
    return Telemetry(Metrics(), Tracing(node, trace_file))
