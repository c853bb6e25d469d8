"""Customer limits, fair queueing, early rejection and retries."""

from quetzalward_core.limits._admission import check_wait
from quetzalward_core.limits._admission import DrainRate
from quetzalward_core.limits._admission import Rejection
from quetzalward_core.limits._admission import retry_after
from quetzalward_core.limits._bucket import TokenBucket
from quetzalward_core.limits._meter import DemandMeter
from quetzalward_core.limits._queue import FairQueue
from quetzalward_core.limits._queue import flow_weight
from quetzalward_core.limits._retry import HedgeRule
from quetzalward_core.limits._retry import MIN_RETRIES
from quetzalward_core.limits._retry import RetryBudget
from quetzalward_core.limits._shares import Demand
from quetzalward_core.limits._shares import DEMAND_WINDOW_MS
from quetzalward_core.limits._shares import DemandHistory
from quetzalward_core.limits._shares import divide
from quetzalward_core.limits._shares import Share

__all__ = [
    "MIN_RETRIES",
    "DEMAND_WINDOW_MS",
    "Demand",
    "DemandHistory",
    "DemandMeter",
    "DrainRate",
    "FairQueue",
    "HedgeRule",
    "Rejection",
    "RetryBudget",
    "Share",
    "TokenBucket",
    "check_wait",
    "divide",
    "flow_weight",
    "retry_after",
]
