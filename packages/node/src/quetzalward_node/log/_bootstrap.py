"""Bootstrap: finds the newest usable snapshot of a stream."""

import typing

from quetzalward_core import agreement
from quetzalward_core import errors
from quetzalward_node.log import _client

# Records per read while searching for a snapshot. Parts hold up to 256 KiB, so
# that a response stays below 16 MiB.
WINDOW_RECORDS = 64
# How far to search back on a log without expired records before reading it
# from offset 0. Snapshots are written more often than this.
SEARCH_RECORDS = 3 * agreement.SNAPSHOT_INTERVAL_RECORDS

FoldT = typing.TypeVar("FoldT", bound=agreement.Fold)


def find_state(
    store: _client.LogStore, stream: str, fold_class: type[FoldT]
) -> FoldT:
    """Return a state after which every record of the log is available.

    Raises `QuetzalwardError` of kind `log_unavailable` if records have expired
    and there is no usable snapshot, `LogReadError` if the log cannot be read,
    and `ExpiredError` if records expire during the search.
    """
    first, end = _stream_bounds(store, stream)
    stop = first if first > 0 else max(0, end - SEARCH_RECORDS)
    assembler = agreement.SnapshotAssembler()
    while end > stop:
        start = max(stop, end - WINDOW_RECORDS)
        fold = _search_window(
            store, stream, fold_class, assembler, (start, end)
        )
        if fold is not None and fold.next_offset >= first:
            return fold
        end = start
    if first == 0:
        return fold_class()
    raise errors.QuetzalwardError(
        errors.ErrorKind.LOG_UNAVAILABLE,
        f"stream {stream}: records before offset {first} have expired and no "
        "complete snapshot is available; restore the records of the log",
    )


def _stream_bounds(store: _client.LogStore, stream: str) -> tuple[int, int]:
    try:
        page = store.read(stream, 0, 1, 0)
    except _client.ExpiredError as error:
        return error.first, error.next_offset
    return page.first, page.next_offset


def _search_window(
    store: _client.LogStore,
    stream: str,
    fold_class: type[FoldT],
    assembler: agreement.SnapshotAssembler,
    window: tuple[int, int],
) -> FoldT | None:
    """Return the newest state of the snapshots completed in a window.

    `window` holds the first offset and the offset after the last.
    """
    best: FoldT | None = None
    position, end = window
    while position < end:
        page = store.read(stream, position, end - position, 0)
        if not page.records:
            raise _client.LogReadError(
                "log response contains no records of the requested range"
            )
        for record in page.records:
            if record.offset < end:
                best = _newer(
                    best, _completed_state(record, assembler, fold_class)
                )
        position = page.records[-1].offset + 1
    return best


def _newer(one: FoldT | None, other: FoldT | None) -> FoldT | None:
    if one is None or other is None:
        return one or other
    return one if one.next_offset >= other.next_offset else other


def _completed_state(
    record: _client.Record,
    assembler: agreement.SnapshotAssembler,
    fold_class: type[FoldT],
) -> FoldT | None:
    """Return the state if this record completes a valid snapshot."""
    # Most records hold no part; this check is far cheaper than decoding.
    if '"snapshot_part"' not in record.data:
        return None
    try:
        batch = agreement.decode_batch(record.data)
    except errors.QuetzalwardError:
        return None
    fold = None
    for entry in batch.entries:
        if isinstance(entry, agreement.SnapshotPart):
            snapshot = assembler.add(entry)
            if snapshot is not None:
                fold = _newer(fold, _decode_snapshot(snapshot, fold_class))
    return fold


def _decode_snapshot(
    snapshot: agreement.CompressedSnapshot, fold_class: type[FoldT]
) -> FoldT | None:
    try:
        fold = fold_class.decode(snapshot.lines())
    except errors.QuetzalwardError:
        return None
    if fold.next_offset != snapshot.through_offset + 1:
        return None
    return fold
