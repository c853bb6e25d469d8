"""Results of applying records, and positions of entries."""

import enum

import attrs

from quetzalward_core.agreement import _records

MAX_BATCH_ENTRIES = 1024


def position_of(offset: int, index: int) -> int:
    """Return the stream position of the entry at `index` in its batch.

    `index` starts at 0. The first entry of offset 0 gets position 1, because
    position 0 means "none".
    """
    return offset * MAX_BATCH_ENTRIES + index + 1


def offset_of(position: int) -> int:
    """Return the offset of the batch that contains a position."""
    return (position - 1) // MAX_BATCH_ENTRIES


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
    """An entry that had no effect; the same on every node."""

    position: int
    reason: VoidReason
    detail: str = ""


EntryResult = Accepted | Void


@attrs.frozen
class BatchResult:
    """Result of applying one record of the log.

    If the whole batch had no effect, `void` is set and `results` is empty.
    `snapshot_parts` are for a `SnapshotAssembler`, which runs outside
    the fold.
    """

    offset: int
    writer: str = ""
    seq: int = 0
    results: tuple[EntryResult, ...] = ()
    void: VoidReason | None = None
    snapshot_parts: tuple[_records.SnapshotPart, ...] = ()
