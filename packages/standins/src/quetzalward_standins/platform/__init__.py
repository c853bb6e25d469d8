"""Stand-ins of the operators' platform: store, targets and operators."""

from quetzalward_standins.platform._http import Reply
from quetzalward_standins.platform._http import Request
from quetzalward_standins.platform._http import Server
from quetzalward_standins.platform._limits import Period
from quetzalward_standins.platform._notices import Outage
from quetzalward_standins.platform._notices import Sender
from quetzalward_standins.platform._notices import TargetNotices
from quetzalward_standins.platform._operator import Operator
from quetzalward_standins.platform._proxy import Proxy
from quetzalward_standins.platform._proxy import ProxyMode
from quetzalward_standins.platform._silence import Silence
from quetzalward_standins.platform._store import Store
from quetzalward_standins.platform._targets import Arrival
from quetzalward_standins.platform._targets import Crash
from quetzalward_standins.platform._targets import Execution
from quetzalward_standins.platform._targets import Targets

__all__ = [
    "Arrival",
    "Crash",
    "Execution",
    "Operator",
    "Outage",
    "Period",
    "Proxy",
    "ProxyMode",
    "Reply",
    "Request",
    "Sender",
    "Server",
    "Silence",
    "Store",
    "TargetNotices",
    "Targets",
]
