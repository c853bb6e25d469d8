"""The configuration that operators publish."""

from quetzalward_core.config._check import check
from quetzalward_core.config._check import check_files
from quetzalward_core.config._check import require_valid
from quetzalward_core.config._codec import from_document
from quetzalward_core.config._codec import Problem
from quetzalward_core.config._codec import to_document
from quetzalward_core.config._diff import Change
from quetzalward_core.config._diff import diff
from quetzalward_core.config._diff import explain
from quetzalward_core.config._diff import Explanation
from quetzalward_core.config._diff import flatten
from quetzalward_core.config._merge import ConfigFile
from quetzalward_core.config._merge import merge
from quetzalward_core.config._merge import MergedDocument
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
    "Change",
    "ConfigFile",
    "Configuration",
    "Customer",
    "Engines",
    "Explanation",
    "Limits",
    "MergedDocument",
    "Model",
    "Operator",
    "Problem",
    "RepeatableCall",
    "Routing",
    "Service",
    "ServiceTarget",
    "Zone",
    "check",
    "check_files",
    "diff",
    "explain",
    "flatten",
    "from_document",
    "merge",
    "require_valid",
    "to_document",
]
