"""The operators' port: health, metrics and the operators' API."""

from quetzalward_node.operators._api import OperatorsApi
from quetzalward_node.operators._pending import PendingStops
from quetzalward_node.operators._server import Observability
from quetzalward_node.operators._server import OperatorsServer

__all__ = [
    "Observability",
    "OperatorsApi",
    "OperatorsServer",
    "PendingStops",
]
