"""Customer limits, fair queueing, early rejection, retries and hedging."""

from quetzalward_core.limits._admission import check_wait
from quetzalward_core.limits._admission import DrainRate
from quetzalward_core.limits._admission import jittered_retry_after_ms
from quetzalward_core.limits._admission import Rejection
from quetzalward_core.limits._bucket import TokenBucket
from quetzalward_core.limits._demand_rate import PoolDemand
from quetzalward_core.limits._limit_table import LimitTable
from quetzalward_core.limits._meter import DemandMeter
from quetzalward_core.limits._named_limit import LimitNotice
from quetzalward_core.limits._named_limit import PoolKey
from quetzalward_core.limits._named_limit import TargetKey
from quetzalward_core.limits._permits import Permit
from quetzalward_core.limits._permits import PERMIT_MS
from quetzalward_core.limits._permits import PermitIssuer
from quetzalward_core.limits._queue import FairQueue
from quetzalward_core.limits._queue import flow_weight
from quetzalward_core.limits._retry import HedgePolicy
from quetzalward_core.limits._retry import MIN_RETRIES
from quetzalward_core.limits._retry import RetryBudget
from quetzalward_core.limits._returns import ReturnSchedule
from quetzalward_core.limits._shares import Demand
from quetzalward_core.limits._shares import DEMAND_WINDOW_MS
from quetzalward_core.limits._shares import DemandHistory
from quetzalward_core.limits._shares import node_share
from quetzalward_core.limits._shares import Share
from quetzalward_core.limits._target_limits import ListedLimit
from quetzalward_core.limits._target_limits import MAX_WAIT_MS
from quetzalward_core.limits._target_limits import Observation
from quetzalward_core.limits._target_limits import TargetLimits

__all__ = [
    "DEMAND_WINDOW_MS",
    "Demand",
    "DemandHistory",
    "DemandMeter",
    "DrainRate",
    "FairQueue",
    "HedgePolicy",
    "LimitNotice",
    "LimitTable",
    "ListedLimit",
    "MAX_WAIT_MS",
    "MIN_RETRIES",
    "Observation",
    "PERMIT_MS",
    "Permit",
    "PermitIssuer",
    "PoolDemand",
    "PoolKey",
    "Rejection",
    "RetryBudget",
    "ReturnSchedule",
    "Share",
    "TargetKey",
    "TargetLimits",
    "TokenBucket",
    "check_wait",
    "flow_weight",
    "jittered_retry_after_ms",
    "node_share",
]
