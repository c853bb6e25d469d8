"""The HTTP server for callers: completion requests and plain services."""

from quetzalward_node.callers._gate import GateLimits
from quetzalward_node.callers._server import CallersServer

__all__ = ["CallersServer", "GateLimits"]
