"""Finding the state to start from on a stream."""

import typing

from quetzalward_core import agreement
from quetzalward_core import errors
from quetzalward_node.log import _client

# Records per read when looking for a snapshot: parts hold up to 256 KiB, so
# one answer stays below 16 MiB.
WINDOW_RECORDS = 64
# How far back to look on a log that has lost nothing, before folding it from
# offset 0; snapshots are written more often than this.
SEARCH_RECORDS = 3 * agreement.SNAPSHOT_INTERVAL_RECORDS

FoldT = typing.TypeVar("FoldT", bound=agreement.Fold)


def find_state(
    store: _client.LogStore, stream: str, fold_class: type[FoldT]
) -> FoldT:
    """Return a state from which the log can be read on without a gap.

    Raises `QuetzalwardError` of kind `log_unavailable` if records expired and
    there is no usable snapshot; `LogReadError` or `ExpiredError` if the log
    could not be read, or expired records while it was read.
    """
    first, end = _bounds(store, stream)
    stop = first if first > 0 else max(0, end - SEARCH_RECORDS)
    assembler = agreement.SnapshotAssembler()
    while end > stop:
        start = max(stop, end - WINDOW_RECORDS)
        fold = _search(store, stream, fold_class, assembler, (start, end))
        if fold is not None and fold.next_offset >= first:
            return fold
        end = start
    if first == 0:
        return fold_class()
    raise errors.QuetzalwardError(
        errors.ErrorKind.LOG_UNAVAILABLE,
        f"stream {stream}: records before offset {first} have expired and no "
        "complete snapshot is kept; restore the log's records",
    )


def _bounds(store: _client.LogStore, stream: str) -> tuple[int, int]:
    try:
        page = store.read(stream, 0, 1, 0)
    except _client.ExpiredError as error:
        return error.first, error.next_offset
    return page.first, page.next_offset


def _search(
    store: _client.LogStore,
    stream: str,
    fold_class: type[FoldT],
    assembler: agreement.SnapshotAssembler,
    window: tuple[int, int],
) -> FoldT | None:
    """Return the newest state that a window of records completes."""
    best: FoldT | None = None
    position, end = window
    while position < end:
        page = store.read(stream, position, end - position, 0)
        if not page.records:
            raise _client.LogReadError("records are missing from an answer")
        for record in page.records:
            if record.offset < end:
                best = _newest(best, _complete(record, assembler, fold_class))
        position = page.records[-1].offset + 1
    return best


def _newest(one: FoldT | None, other: FoldT | None) -> FoldT | None:
    if one is None or other is None:
        return one or other
    return one if one.next_offset >= other.next_offset else other


def _complete(
    record: _client.Record,
    assembler: agreement.SnapshotAssembler,
    fold_class: type[FoldT],
) -> FoldT | None:
    """Return the state if this record completes a readable snapshot."""
    # Most records hold no part; this is far cheaper than decoding them.
    if '"snapshot_part"' not in record.data:
        return None
    try:
        batch = agreement.decode_batch(record.data)
    except errors.QuetzalwardError:
        return None
    fold = None
    for entry in batch.entries:
        if isinstance(entry, agreement.SnapshotPart):
            packed = assembler.add(entry)
            if packed is not None:
                fold = _newest(fold, _unpack(packed, fold_class))
    return fold


def _unpack(
    packed: agreement.CompressedSnapshot, fold_class: type[FoldT]
) -> FoldT | None:
    try:
        fold = fold_class.decode(packed.lines())
    except errors.QuetzalwardError:
        return None
    if fold.next_offset != packed.through_offset + 1:
        return None
    return fold
