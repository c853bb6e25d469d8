"""What targets say of themselves, and whether a node may send to them."""

from quetzalward_core.notices._model import Allowed
from quetzalward_core.notices._model import MAX_REST_MS
from quetzalward_core.notices._model import Reason
from quetzalward_core.notices._model import Refused
from quetzalward_core.notices._model import rest_end_ms
from quetzalward_core.notices._model import TargetNotice
from quetzalward_core.notices._model import Verdict
from quetzalward_core.notices._target_notices import ABSENT_MS
from quetzalward_core.notices._target_notices import TargetNotices

__all__ = [
    "ABSENT_MS",
    "Allowed",
    "MAX_REST_MS",
    "Reason",
    "Refused",
    "TargetNotice",
    "TargetNotices",
    "Verdict",
    "rest_end_ms",
]
