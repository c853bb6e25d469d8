"""Election of the coordinator, and the messages between nodes."""

from quetzalward_core.coordination._backoff import Backoff
from quetzalward_core.coordination._election import Election
from quetzalward_core.coordination._election import first_number
from quetzalward_core.coordination._election import LOW_CAPACITY_DELAY_MS
from quetzalward_core.coordination._election import Term
from quetzalward_core.coordination._group_labels import group_label
from quetzalward_core.coordination._group_labels import split_group_label
from quetzalward_core.coordination._limit_messages import DemandRow
from quetzalward_core.coordination._limit_messages import LimitList
from quetzalward_core.coordination._limit_messages import LimitReport
from quetzalward_core.coordination._limit_messages import LimitRow
from quetzalward_core.coordination._limit_messages import ObservationRow
from quetzalward_core.coordination._limit_messages import PermitGrant
from quetzalward_core.coordination._limit_messages import PermitRow
from quetzalward_core.coordination._messages import ConfigurationCopy
from quetzalward_core.coordination._messages import decode
from quetzalward_core.coordination._messages import encode
from quetzalward_core.coordination._messages import GroupEntry
from quetzalward_core.coordination._messages import GroupList
from quetzalward_core.coordination._messages import GroupLoadRow
from quetzalward_core.coordination._messages import GroupWork
from quetzalward_core.coordination._messages import Known
from quetzalward_core.coordination._messages import Message
from quetzalward_core.coordination._messages import Outcome
from quetzalward_core.coordination._messages import Relay
from quetzalward_core.coordination._messages import RelayedRecord
from quetzalward_core.coordination._messages import split_echo
from quetzalward_core.coordination._messages import Status
from quetzalward_core.coordination._messages import StoreView
from quetzalward_core.coordination._messages import TopicView
from quetzalward_core.coordination._messages import View
from quetzalward_core.coordination._messages import with_echo
from quetzalward_core.coordination._peer_addresses import PeerAddresses
from quetzalward_core.coordination._peer_clock import PeerClock
from quetzalward_core.coordination._quarantine_messages import BlockRow
from quetzalward_core.coordination._quarantine_messages import CrashReport
from quetzalward_core.coordination._quarantine_messages import CrashRow
from quetzalward_core.coordination._quarantine_messages import HoldRow
from quetzalward_core.coordination._quarantine_messages import HoldView
from quetzalward_core.coordination._quarantine_messages import QuarantineView
from quetzalward_core.coordination._quarantine_messages import SoundRow
from quetzalward_core.coordination._quarantine_messages import TrialGrant
from quetzalward_core.coordination._quarantine_messages import TrialRequest
from quetzalward_core.coordination._relay_buffer import MAX_RELAY_BYTES
from quetzalward_core.coordination._relay_buffer import RelayBuffer
from quetzalward_core.coordination._store_era import EraChange
from quetzalward_core.coordination._store_era import StoreEra
from quetzalward_core.coordination._store_era import UNKNOWN_ERA
from quetzalward_core.coordination._timing import message_interval_ms
from quetzalward_core.coordination._timing import RELAY_CHECK_INTERVAL_MS
from quetzalward_core.coordination._timing import relay_interval_ms
from quetzalward_core.coordination._timing import RelayTiming
from quetzalward_core.coordination._timing import restore_read_spread_ms

__all__ = [
    "group_label",
    "split_group_label",
    "Backoff",
    "BlockRow",
    "ConfigurationCopy",
    "CrashReport",
    "CrashRow",
    "DemandRow",
    "Election",
    "EraChange",
    "GroupEntry",
    "GroupList",
    "GroupLoadRow",
    "GroupWork",
    "Known",
    "LOW_CAPACITY_DELAY_MS",
    "LimitList",
    "LimitReport",
    "LimitRow",
    "MAX_RELAY_BYTES",
    "Message",
    "ObservationRow",
    "Outcome",
    "PeerAddresses",
    "PeerClock",
    "PermitGrant",
    "PermitRow",
    "HoldRow",
    "HoldView",
    "QuarantineView",
    "RELAY_CHECK_INTERVAL_MS",
    "Relay",
    "RelayBuffer",
    "RelayTiming",
    "RelayedRecord",
    "SoundRow",
    "TrialGrant",
    "TrialRequest",
    "Status",
    "StoreEra",
    "StoreView",
    "Term",
    "TopicView",
    "UNKNOWN_ERA",
    "View",
    "decode",
    "encode",
    "first_number",
    "message_interval_ms",
    "relay_interval_ms",
    "restore_read_spread_ms",
    "split_echo",
    "with_echo",
]
