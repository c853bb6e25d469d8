"""Log task: reads and appends to the control and call streams."""

from quetzalward_node.log._calls import CallRegistryTask
from quetzalward_node.log._client import HttpLogStore
from quetzalward_node.log._client import LogStore
from quetzalward_node.log._control import ControlLogTask

__all__ = [
    "CallRegistryTask",
    "ControlLogTask",
    "HttpLogStore",
    "LogStore",
]
