"""Election of the coordinator, and the messages between nodes."""

from quetzalward_core.coordination._backoff import Backoff
from quetzalward_core.coordination._election import Election
from quetzalward_core.coordination._election import LOW_CAPACITY_DELAY_MS
from quetzalward_core.coordination._election import MAX_STAGGER_MS
from quetzalward_core.coordination._election import Term
from quetzalward_core.coordination._messages import decode
from quetzalward_core.coordination._messages import encode
from quetzalward_core.coordination._messages import GroupEntry
from quetzalward_core.coordination._messages import GroupWork
from quetzalward_core.coordination._messages import Outcome
from quetzalward_core.coordination._messages import RelayedRecord
from quetzalward_core.coordination._messages import split_echo
from quetzalward_core.coordination._messages import Status
from quetzalward_core.coordination._messages import StoreView
from quetzalward_core.coordination._messages import TopicView
from quetzalward_core.coordination._messages import View
from quetzalward_core.coordination._messages import with_echo

__all__ = [
    "Backoff",
    "Election",
    "GroupEntry",
    "GroupWork",
    "LOW_CAPACITY_DELAY_MS",
    "MAX_STAGGER_MS",
    "Outcome",
    "RelayedRecord",
    "Status",
    "StoreView",
    "Term",
    "TopicView",
    "View",
    "decode",
    "encode",
    "split_echo",
    "with_echo",
]
