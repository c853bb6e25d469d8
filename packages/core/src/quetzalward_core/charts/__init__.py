"""State charts of groups, serving groups, targets, nodes and zones."""

from quetzalward_core.charts._chart import Chart
from quetzalward_core.charts._chart import load_chart

__all__ = ["Chart", "load_chart"]
