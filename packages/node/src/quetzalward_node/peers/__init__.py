"""Peers task: gossip of digests and calls between nodes."""

from quetzalward_node.peers._knowledge import SharedMembership
from quetzalward_node.peers._task import PeersTask

__all__ = ["PeersTask", "SharedMembership"]
