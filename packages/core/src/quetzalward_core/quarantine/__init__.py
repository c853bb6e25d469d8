"""Requests under which targets crash: evidence, conclusion and blocks."""

from quetzalward_core.quarantine._correlator import Correlator
from quetzalward_core.quarantine._evidence import BEGUN_WEIGHT
from quetzalward_core.quarantine._evidence import CONTEXT_WEIGHT
from quetzalward_core.quarantine._evidence import Crash
from quetzalward_core.quarantine._evidence import EvidenceLog
from quetzalward_core.quarantine._evidence import SETTLED_MS
from quetzalward_core.quarantine._guard import RequestGuard
from quetzalward_core.quarantine._quarantine import Block
from quetzalward_core.quarantine._quarantine import MAX_BLOCKS
from quetzalward_core.quarantine._quarantine import Quarantine
from quetzalward_core.quarantine._traits import is_request
from quetzalward_core.quarantine._traits import part_ids
from quetzalward_core.quarantine._traits import request_trait

__all__ = [
    "BEGUN_WEIGHT",
    "Block",
    "CONTEXT_WEIGHT",
    "Correlator",
    "Crash",
    "EvidenceLog",
    "MAX_BLOCKS",
    "Quarantine",
    "RequestGuard",
    "SETTLED_MS",
    "is_request",
    "part_ids",
    "request_trait",
]
