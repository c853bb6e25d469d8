"""Planning of group changes: forming, repairing, draining, dissolving.

A group is the set of hosts that serves one replica of a model.
"""

from quetzalward_core.formation._apply import apply_plan
from quetzalward_core.formation._exhaustive import place as place_exhaustive
from quetzalward_core.formation._greedy import place as place_greedy
from quetzalward_core.formation._model import Action
from quetzalward_core.formation._model import ActionKind
from quetzalward_core.formation._model import Demand
from quetzalward_core.formation._model import DomainCapacity
from quetzalward_core.formation._model import DomainKey
from quetzalward_core.formation._model import Fleet
from quetzalward_core.formation._model import Group
from quetzalward_core.formation._model import GroupState
from quetzalward_core.formation._model import Host
from quetzalward_core.formation._model import HOST_LIST_MAX_AGE_MS
from quetzalward_core.formation._model import Options
from quetzalward_core.formation._model import PlacedReplica
from quetzalward_core.formation._model import Plan
from quetzalward_core.formation._model import Presence
from quetzalward_core.formation._model import Reason
from quetzalward_core.formation._model import REFORM_AFTER_MS
from quetzalward_core.formation._place import place
from quetzalward_core.formation._plan import DEFAULT_OPTIONS
from quetzalward_core.formation._plan import make_plan
from quetzalward_core.formation._score import score

__all__ = [
    "Action",
    "ActionKind",
    "DEFAULT_OPTIONS",
    "Demand",
    "DomainCapacity",
    "DomainKey",
    "Fleet",
    "Group",
    "GroupState",
    "HOST_LIST_MAX_AGE_MS",
    "Host",
    "Options",
    "PlacedReplica",
    "Plan",
    "Presence",
    "REFORM_AFTER_MS",
    "Reason",
    "apply_plan",
    "make_plan",
    "place",
    "place_exhaustive",
    "place_greedy",
    "score",
]
