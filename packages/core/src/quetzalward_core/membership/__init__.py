"""What a node knows of its peers without the log."""

from quetzalward_core.membership._ages import AgeTable
from quetzalward_core.membership._codes import customer_key
from quetzalward_core.membership._codes import Demand
from quetzalward_core.membership._codes import pack_demand
from quetzalward_core.membership._codes import unpack_demand
from quetzalward_core.membership._freshness import FRESH_MS
from quetzalward_core.membership._freshness import heard_lately
from quetzalward_core.membership._freshness import is_isolated
from quetzalward_core.membership._freshness import MAJORITY
from quetzalward_core.membership._freshness import REGION
from quetzalward_core.membership._in_force import InForce
from quetzalward_core.membership._index import node_key
from quetzalward_core.membership._index import NodeIndex
from quetzalward_core.membership._membership import MAX_FACT_BYTES
from quetzalward_core.membership._membership import MAX_STOPS
from quetzalward_core.membership._membership import Membership
from quetzalward_core.membership._merge import bound_stops
from quetzalward_core.membership._merge import merge
from quetzalward_core.membership._merge import retain
from quetzalward_core.membership._merge import stop_in_force
from quetzalward_core.membership._model import Digest
from quetzalward_core.membership._model import Fact
from quetzalward_core.membership._model import Knowledge
from quetzalward_core.membership._model import Member
from quetzalward_core.membership._model import StopKey
from quetzalward_core.membership._model import StopKind

__all__ = [
    "AgeTable",
    "Demand",
    "Digest",
    "FRESH_MS",
    "Fact",
    "InForce",
    "Knowledge",
    "MAJORITY",
    "MAX_FACT_BYTES",
    "MAX_STOPS",
    "Member",
    "Membership",
    "NodeIndex",
    "REGION",
    "StopKey",
    "StopKind",
    "bound_stops",
    "customer_key",
    "heard_lately",
    "is_isolated",
    "merge",
    "node_key",
    "pack_demand",
    "retain",
    "stop_in_force",
    "unpack_demand",
]
