"""State charts for groups, targets, nodes and availability zones."""

from quetzalward_core.charts._chart import Chart
from quetzalward_core.charts._chart import load_chart

__all__ = ["Chart", "load_chart"]
