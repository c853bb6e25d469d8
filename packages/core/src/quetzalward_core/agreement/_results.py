"""Results of applying records, and positions."""

import enum

import attrs

from quetzalward_core.agreement import _records

MAX_ENTRIES = 1024


def position_of(offset: int, index: int) -> int:
    """Return the position of a batch's entry; `index` counts from 0.

    Entries are numbered from 1 inside a batch, because position 0 means
    "none" and the log's first offset is 0.
    """
    return offset * MAX_ENTRIES + index + 1


def offset_of(position: int) -> int:
    """Return the offset of the batch that holds a position."""
    return (position - 1) // MAX_ENTRIES


class VoidReason(enum.StrEnum):
    """Why an entry or a whole batch had no effect."""

    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"
    WRONG_STREAM = "wrong_stream"
    DUPLICATE_BATCH = "duplicate_batch"
    STALE_BASE = "stale_base"
    STALE_LEASE = "stale_lease"
    STALE_EPOCH = "stale_epoch"
    UNKNOWN_EVENT = "unknown_event"
    UNKNOWN_NODE = "unknown_node"
    UNKNOWN_HOST = "unknown_host"
    UNKNOWN_GROUP = "unknown_group"
    HOST_TAKEN = "host_taken"
    GROUP_EXISTS = "group_exists"
    KEY_TAKEN = "key_taken"
    KEY_REUSED = "key_reused"
    ABANDONED = "abandoned"
    WRONG_WRITER = "wrong_writer"
    WRONG_INTENT = "wrong_intent"
    WRONG_STATE = "wrong_state"


@attrs.frozen
class Accepted:
    """An entry that took effect at a position."""

    position: int


@attrs.frozen
class Void:
    """An entry without effect, the same on every node."""

    position: int
    reason: VoidReason
    detail: str = ""


EntryResult = Accepted | Void


@attrs.frozen
class BatchResult:
    """What applying one record of the log did.

    `void` is set, and `results` is empty, if the whole batch had no effect.
    `snapshot_parts` are for a `SnapshotAssembler` beside the fold.
    """

    offset: int
    writer: str = ""
    seq: int = 0
    results: tuple[EntryResult, ...] = ()
    void: VoidReason | None = None
    snapshot_parts: tuple[_records.SnapshotPart, ...] = ()
