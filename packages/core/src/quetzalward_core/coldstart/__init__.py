"""Bounds on the load of targets during a cold start."""

from quetzalward_core.coldstart._detect import FirstTokenMonitor
from quetzalward_core.coldstart._ramp import ramp_load
from quetzalward_core.coldstart._ramp import RAMP_MS
from quetzalward_core.coldstart._slots import DEFAULT_BEARABLE
from quetzalward_core.coldstart._slots import HANDOVER_MARGIN
from quetzalward_core.coldstart._slots import HANDOVER_MS
from quetzalward_core.coldstart._slots import MAX_UPDATE_GAP_MS
from quetzalward_core.coldstart._slots import slot_owner
from quetzalward_core.coldstart._slots import SlotTable

__all__ = [
    "DEFAULT_BEARABLE",
    "FirstTokenMonitor",
    "HANDOVER_MARGIN",
    "HANDOVER_MS",
    "MAX_UPDATE_GAP_MS",
    "RAMP_MS",
    "SlotTable",
    "ramp_load",
    "slot_owner",
]
