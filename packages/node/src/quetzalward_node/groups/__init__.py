"""Group manager: zone leases, plans, and orders to engines."""

from quetzalward_node.groups._hosts import ListedHostSource
from quetzalward_node.groups._http import HttpEngineClient
from quetzalward_node.groups._platform import EngineClient
from quetzalward_node.groups._platform import EngineReport
from quetzalward_node.groups._platform import HostListing
from quetzalward_node.groups._platform import HostSource
from quetzalward_node.groups._platform import ListedHost
from quetzalward_node.groups._platform import Order
from quetzalward_node.groups._platform import OrderAnswer
from quetzalward_node.groups._task import GroupManagerTask

__all__ = [
    "EngineClient",
    "EngineReport",
    "GroupManagerTask",
    "HostListing",
    "HostSource",
    "HttpEngineClient",
    "ListedHost",
    "ListedHostSource",
    "Order",
    "OrderAnswer",
]
