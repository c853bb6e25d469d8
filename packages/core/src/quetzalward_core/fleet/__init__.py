"""The configuration and the targets, as the gateway uses them."""

from quetzalward_core.fleet._addresses import parse_address
from quetzalward_core.fleet._directory import Directory
from quetzalward_core.fleet._directory import RETURN_GRACE_MS
from quetzalward_core.fleet._freshness import Freshness
from quetzalward_core.fleet._model import Address
from quetzalward_core.fleet._model import CallerLimits
from quetzalward_core.fleet._model import Configuration
from quetzalward_core.fleet._model import Customer
from quetzalward_core.fleet._model import Engine
from quetzalward_core.fleet._model import Membership
from quetzalward_core.fleet._model import MemberState
from quetzalward_core.fleet._model import Model
from quetzalward_core.fleet._model import RequestKind
from quetzalward_core.fleet._model import Route
from quetzalward_core.fleet._model import Service
from quetzalward_core.fleet._model import Target
from quetzalward_core.fleet._model import TargetReport
from quetzalward_core.fleet._precedence import ConfirmationGate
from quetzalward_core.fleet._precedence import Precedence
from quetzalward_core.fleet._precedence import RENUMBER_MS
from quetzalward_core.fleet._precedence import REWRITE_GRACE_MS
from quetzalward_core.fleet._precedence import START_GRACE_MS
from quetzalward_core.fleet._routes import pick_service
from quetzalward_core.fleet._routes import RouteTable

__all__ = [
    "Address",
    "CallerLimits",
    "Configuration",
    "ConfirmationGate",
    "Customer",
    "Directory",
    "Engine",
    "Freshness",
    "MemberState",
    "Membership",
    "Model",
    "Precedence",
    "RENUMBER_MS",
    "RETURN_GRACE_MS",
    "REWRITE_GRACE_MS",
    "RequestKind",
    "Route",
    "RouteTable",
    "START_GRACE_MS",
    "Service",
    "Target",
    "TargetReport",
    "parse_address",
    "pick_service",
]
