"""Admission, queueing and routing of requests on one node."""

from quetzalward_node.dispatch._task import DispatchTask
from quetzalward_node.dispatch._task import ServiceRouting

__all__ = ["DispatchTask", "ServiceRouting"]
