"""Reports, cache events and the host list for one node."""

from quetzalward_node.targets._task import TargetsTask

__all__ = ["TargetsTask"]
