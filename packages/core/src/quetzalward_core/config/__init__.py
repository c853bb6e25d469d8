"""The configuration that operators publish."""

from quetzalward_core.config._codec import from_document
from quetzalward_core.config._codec import to_document
from quetzalward_core.config._model import Calls
from quetzalward_core.config._model import Configuration
from quetzalward_core.config._model import Customer
from quetzalward_core.config._model import Engines
from quetzalward_core.config._model import Limits
from quetzalward_core.config._model import Model
from quetzalward_core.config._model import Operator
from quetzalward_core.config._model import RepeatableCall
from quetzalward_core.config._model import Routing
from quetzalward_core.config._model import Service
from quetzalward_core.config._model import ServiceTarget
from quetzalward_core.config._model import Zone

__all__ = [
    "Calls",
    "Configuration",
    "Customer",
    "Engines",
    "Limits",
    "Model",
    "Operator",
    "RepeatableCall",
    "Routing",
    "Service",
    "ServiceTarget",
    "Zone",
    "from_document",
    "to_document",
]
