"""Control state of the cluster, as used by the other tasks of a node."""

from quetzalward_node.control._configuration import ConfigurationHolder
from quetzalward_node.control._peers import LocalDemand
from quetzalward_node.control._peers import PeerAdapter
from quetzalward_node.control._registration import Registration
from quetzalward_node.control._source import ControlViewSource
from quetzalward_node.control._source import targets_draining
from quetzalward_node.control._source import zones_out

__all__ = [
    "ConfigurationHolder",
    "ControlViewSource",
    "LocalDemand",
    "PeerAdapter",
    "Registration",
    "targets_draining",
    "zones_out",
]
