"""Selection of a target for a request."""

from quetzalward_core.routing._choice import Candidate
from quetzalward_core.routing._choice import cheapest
from quetzalward_core.routing._choice import ChoiceRule
from quetzalward_core.routing._choice import choose
from quetzalward_core.routing._choice import cost_ms
from quetzalward_core.routing._choice import CostParameters
from quetzalward_core.routing._choice import DEFAULT_CHOICES
from quetzalward_core.routing._choice import draw
from quetzalward_core.routing._ejection import Ejector
from quetzalward_core.routing._load import estimate_load
from quetzalward_core.routing._load import LoadTracker
from quetzalward_core.routing._load import REPORT_DECAY_MS
from quetzalward_core.routing._model import EngineReport
from quetzalward_core.routing._model import EngineState
from quetzalward_core.routing._model import GroupView
from quetzalward_core.routing._model import HostEntry
from quetzalward_core.routing._model import HostId
from quetzalward_core.routing._model import HostList
from quetzalward_core.routing._model import SERVING
from quetzalward_core.routing._prefix import prefix_ids
from quetzalward_core.routing._prefix import PrefixIndex
from quetzalward_core.routing._prefix import token_count
from quetzalward_core.routing._presence import HOST_LIST_MAX_AGE_MS
from quetzalward_core.routing._presence import Presence
from quetzalward_core.routing._presence import presence
from quetzalward_core.routing._presence import presence_valid_until_ms
from quetzalward_core.routing._presence import REPORT_MAX_AGE_MS
from quetzalward_core.routing._subset import local_pool
from quetzalward_core.routing._subset import subset

__all__ = [
    "Candidate",
    "ChoiceRule",
    "CostParameters",
    "DEFAULT_CHOICES",
    "Ejector",
    "EngineReport",
    "EngineState",
    "GroupView",
    "HOST_LIST_MAX_AGE_MS",
    "HostEntry",
    "HostId",
    "HostList",
    "LoadTracker",
    "Presence",
    "PrefixIndex",
    "REPORT_DECAY_MS",
    "REPORT_MAX_AGE_MS",
    "SERVING",
    "cheapest",
    "choose",
    "cost_ms",
    "draw",
    "estimate_load",
    "local_pool",
    "prefix_ids",
    "presence",
    "presence_valid_until_ms",
    "subset",
    "token_count",
]
