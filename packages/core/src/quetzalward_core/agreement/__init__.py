"""State replication over the log: records, codec, folds, snapshots, leases.

`ControlState` and `CallState` are deterministic folds over the records of a
stream: the same records produce the same serialized state on every node.
"""

from quetzalward_core.agreement._calls import CallKey
from quetzalward_core.agreement._calls import CallState
from quetzalward_core.agreement._calls import KeyState
from quetzalward_core.agreement._codec import Batch
from quetzalward_core.agreement._codec import decode_batch
from quetzalward_core.agreement._codec import encode_batch
from quetzalward_core.agreement._codec import Malformed
from quetzalward_core.agreement._codec import MAX_BATCH_BYTES
from quetzalward_core.agreement._control import ControlState
from quetzalward_core.agreement._fold import Fold
from quetzalward_core.agreement._intents import Decision
from quetzalward_core.agreement._intents import IntentState
from quetzalward_core.agreement._intents import IntentTracker
from quetzalward_core.agreement._leases import challenger_may_claim
from quetzalward_core.agreement._leases import HeldLease
from quetzalward_core.agreement._leases import holder_may_order
from quetzalward_core.agreement._leases import holder_should_renew
from quetzalward_core.agreement._leases import LEASE_DURATION_MS
from quetzalward_core.agreement._leases import LeaseObserver
from quetzalward_core.agreement._leases import ORDER_LIFETIME_MS
from quetzalward_core.agreement._leases import ORDER_TIMEOUT_MS
from quetzalward_core.agreement._leases import RENEW_INTERVAL_MS
from quetzalward_core.agreement._leases import successor_may_order
from quetzalward_core.agreement._leases import with_clock_margin
from quetzalward_core.agreement._model import ConfigRevision
from quetzalward_core.agreement._model import ControlView
from quetzalward_core.agreement._model import Drain
from quetzalward_core.agreement._model import Group
from quetzalward_core.agreement._model import Host
from quetzalward_core.agreement._model import Lease
from quetzalward_core.agreement._model import Node
from quetzalward_core.agreement._model import ZoneState
from quetzalward_core.agreement._names import call_stream
from quetzalward_core.agreement._names import CONTROL_STREAM
from quetzalward_core.agreement._names import split_writer
from quetzalward_core.agreement._names import writer_name
from quetzalward_core.agreement._records import CallAbandoned
from quetzalward_core.agreement._records import CallIntent
from quetzalward_core.agreement._records import CallResult
from quetzalward_core.agreement._records import CallUnknown
from quetzalward_core.agreement._records import ConfigProposed
from quetzalward_core.agreement._records import Entry
from quetzalward_core.agreement._records import GroupFormed
from quetzalward_core.agreement._records import GroupHost
from quetzalward_core.agreement._records import GroupStateChanged
from quetzalward_core.agreement._records import HostAdmitted
from quetzalward_core.agreement._records import HostRemoved
from quetzalward_core.agreement._records import KIND_BY_CLASS
from quetzalward_core.agreement._records import LeaseClaimed
from quetzalward_core.agreement._records import LeaseReleased
from quetzalward_core.agreement._records import LeaseRenewed
from quetzalward_core.agreement._records import NodeExpired
from quetzalward_core.agreement._records import NodeJoined
from quetzalward_core.agreement._records import NodeLeft
from quetzalward_core.agreement._records import SnapshotPart
from quetzalward_core.agreement._records import TargetDrainSet
from quetzalward_core.agreement._records import ZoneSet
from quetzalward_core.agreement._results import Accepted
from quetzalward_core.agreement._results import BatchResult
from quetzalward_core.agreement._results import EntryResult
from quetzalward_core.agreement._results import MAX_BATCH_ENTRIES
from quetzalward_core.agreement._results import offset_of
from quetzalward_core.agreement._results import position_of
from quetzalward_core.agreement._results import Void
from quetzalward_core.agreement._results import VoidReason
from quetzalward_core.agreement._snapshots import CompressedSnapshot
from quetzalward_core.agreement._snapshots import MAX_PART_CHARS
from quetzalward_core.agreement._snapshots import Snapshot
from quetzalward_core.agreement._snapshots import snapshot_due
from quetzalward_core.agreement._snapshots import SNAPSHOT_INTERVAL_RECORDS
from quetzalward_core.agreement._snapshots import SnapshotAssembler
from quetzalward_core.agreement._snapshots import SnapshotProgress
from quetzalward_core.agreement._snapshots import split_snapshot

__all__ = [
    "Accepted",
    "Batch",
    "BatchResult",
    "CONTROL_STREAM",
    "CallAbandoned",
    "CallIntent",
    "CallKey",
    "CallResult",
    "CallState",
    "CallUnknown",
    "CompressedSnapshot",
    "ConfigProposed",
    "ConfigRevision",
    "ControlState",
    "ControlView",
    "Decision",
    "Drain",
    "Entry",
    "EntryResult",
    "Fold",
    "Group",
    "GroupFormed",
    "GroupHost",
    "GroupStateChanged",
    "HeldLease",
    "Host",
    "HostAdmitted",
    "HostRemoved",
    "IntentState",
    "IntentTracker",
    "KIND_BY_CLASS",
    "KeyState",
    "LEASE_DURATION_MS",
    "Lease",
    "LeaseClaimed",
    "LeaseObserver",
    "LeaseReleased",
    "LeaseRenewed",
    "MAX_BATCH_BYTES",
    "MAX_BATCH_ENTRIES",
    "MAX_PART_CHARS",
    "Malformed",
    "Node",
    "NodeExpired",
    "NodeJoined",
    "NodeLeft",
    "ORDER_LIFETIME_MS",
    "ORDER_TIMEOUT_MS",
    "RENEW_INTERVAL_MS",
    "SNAPSHOT_INTERVAL_RECORDS",
    "Snapshot",
    "SnapshotAssembler",
    "SnapshotPart",
    "SnapshotProgress",
    "TargetDrainSet",
    "Void",
    "VoidReason",
    "ZoneSet",
    "ZoneState",
    "call_stream",
    "challenger_may_claim",
    "decode_batch",
    "encode_batch",
    "holder_may_order",
    "holder_should_renew",
    "offset_of",
    "position_of",
    "snapshot_due",
    "split_snapshot",
    "split_writer",
    "successor_may_order",
    "with_clock_margin",
    "writer_name",
]
