"""Polling of engine reports, cache events and the host list."""

from quetzalward_node.targets._task import TargetsTask

__all__ = ["TargetsTask"]
