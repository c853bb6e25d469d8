"""Gossip state: what a node knows of its peers without the log."""

from quetzalward_core.membership._ages import LastHeardTable
from quetzalward_core.membership._codes import customer_key
from quetzalward_core.membership._codes import Demand
from quetzalward_core.membership._codes import pack_demand
from quetzalward_core.membership._codes import unpack_demand
from quetzalward_core.membership._freshness import count_recently_heard
from quetzalward_core.membership._freshness import FRESHNESS_LIMIT_MS
from quetzalward_core.membership._freshness import is_isolated
from quetzalward_core.membership._freshness import MAJORITY
from quetzalward_core.membership._freshness import REGION
from quetzalward_core.membership._in_force import RevisionInForce
from quetzalward_core.membership._index import node_key
from quetzalward_core.membership._index import NodeIndex
from quetzalward_core.membership._membership import MAX_FACT_BYTES
from quetzalward_core.membership._membership import MAX_STOPS
from quetzalward_core.membership._membership import Membership
from quetzalward_core.membership._merge import limit_stops
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
    "Demand",
    "Digest",
    "FRESHNESS_LIMIT_MS",
    "Fact",
    "Knowledge",
    "LastHeardTable",
    "MAJORITY",
    "MAX_FACT_BYTES",
    "MAX_STOPS",
    "Member",
    "Membership",
    "NodeIndex",
    "REGION",
    "RevisionInForce",
    "StopKey",
    "StopKind",
    "count_recently_heard",
    "customer_key",
    "is_isolated",
    "limit_stops",
    "merge",
    "node_key",
    "pack_demand",
    "retain",
    "stop_in_force",
    "unpack_demand",
]
