"""The HTTP server for callers: completion requests and plain services."""

from quetzalward_node.callers._connection_manager import ConnectionLimits
from quetzalward_node.callers._server import CallersServer

__all__ = ["CallersServer", "ConnectionLimits"]
