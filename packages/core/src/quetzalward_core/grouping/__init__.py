"""Serving groups of targets: formation, repair and staging of weights."""

from quetzalward_core.grouping._coordinator import Coordinator
from quetzalward_core.grouping._coordinator import EPOCHS_PER_TERM
from quetzalward_core.grouping._model import Close
from quetzalward_core.grouping._model import Command
from quetzalward_core.grouping._model import Group
from quetzalward_core.grouping._model import group_name
from quetzalward_core.grouping._model import Join
from quetzalward_core.grouping._model import Leave
from quetzalward_core.grouping._model import model_of
from quetzalward_core.grouping._model import Open
from quetzalward_core.grouping._model import Order
from quetzalward_core.grouping._model import OrderAnswer
from quetzalward_core.grouping._model import Phase
from quetzalward_core.grouping._model import Probe
from quetzalward_core.grouping._model import Stage

__all__ = [
    "Close",
    "Command",
    "Coordinator",
    "EPOCHS_PER_TERM",
    "Group",
    "Join",
    "Leave",
    "Open",
    "Order",
    "OrderAnswer",
    "Phase",
    "Probe",
    "Stage",
    "group_name",
    "model_of",
]
