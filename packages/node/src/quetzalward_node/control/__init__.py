"""The control state as the other tasks of a node use it."""

from quetzalward_node.control._configuration import ConfigurationHolder
from quetzalward_node.control._peers import DemandBoard
from quetzalward_node.control._peers import PeerAdapter
from quetzalward_node.control._registration import Registration
from quetzalward_node.control._source import ControlViewSource

__all__ = [
    "ConfigurationHolder",
    "ControlViewSource",
    "DemandBoard",
    "PeerAdapter",
    "Registration",
]
