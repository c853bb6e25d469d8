"""Snapshots of a state, stored in parts on the stream itself."""

import base64
import collections
import typing
import zlib

import attrs

from quetzalward_core.agreement import _records
from quetzalward_core import errors

# Maximum base64 text of one part; the log limits the size of records.
MAX_PART_CHARS = 256 * 1024
# Several nodes may write snapshots at once, and a writer may stop before its
# last part. Beyond this many incomplete snapshots, the oldest is dropped.
MAX_PENDING_SNAPSHOTS = 8
# States are decompressed in chunks of at most this size to limit memory.
_DECOMPRESS_CHUNK_BYTES = 256 * 1024
# Level 1 takes a quarter of the time of the default level and produces 10%
# more bytes.
_COMPRESSION_LEVEL = 1


@attrs.frozen
class Snapshot:
    """A snapshot's id, the last offset it covers, and the encoded state."""

    snapshot_id: str
    through_offset: int
    lines: typing.Iterable[bytes]


def split_snapshot(
    snapshot: Snapshot, part_chars: int = MAX_PART_CHARS
) -> list[_records.SnapshotPart]:
    """Return the parts of a snapshot, each to be appended as one batch."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    compressed = bytearray()
    for line in snapshot.lines:
        compressed += compressor.compress(line)
    compressed += compressor.flush()
    base64_text = base64.b64encode(compressed).decode("ascii")
    chunks = [
        base64_text[start : start + part_chars]
        for start in range(0, len(base64_text), part_chars)
    ]
    return [
        _records.SnapshotPart(
            snapshot.snapshot_id,
            snapshot.through_offset,
            number,
            len(chunks),
            chunk,
        )
        for number, chunk in enumerate(chunks)
    ]


@attrs.frozen
class CompressedSnapshot:
    """The joined parts of a complete snapshot, still compressed."""

    snapshot_id: str
    through_offset: int
    parts: int
    base64_text: str

    def lines(self) -> typing.Iterator[bytes]:
        """Yield the lines of the state, decompressed on demand.

        Raises `QuetzalwardError` of kind `malformed_record` on reaching
        corrupt data.
        """
        try:
            compressed = base64.b64decode(self.base64_text, validate=True)
            yield from _decompressed_lines(compressed)
        except (ValueError, zlib.error) as error:
            raise errors.QuetzalwardError(
                errors.ErrorKind.MALFORMED_RECORD,
                f"snapshot {self.snapshot_id}: {error}",
            ) from error


def _decompressed_lines(compressed: bytes) -> typing.Iterator[bytes]:
    decompressor = zlib.decompressobj()
    partial_line = b""
    while not decompressor.eof:
        chunk = decompressor.decompress(compressed, _DECOMPRESS_CHUNK_BYTES)
        compressed = decompressor.unconsumed_tail
        if not chunk and not compressed and not decompressor.eof:
            raise ValueError("compressed data is truncated")
        *lines, partial_line = (partial_line + chunk).split(b"\n")
        yield from lines
    if partial_line:
        raise ValueError("last line is truncated")


@attrs.define
class _PendingSnapshot:
    through_offset: int
    parts: int
    chunks_by_part: dict[int, str] = attrs.field(factory=dict)


class SnapshotAssembler:
    """Collects parts until a snapshot is complete.

    Parts may arrive in any order and more than once.
    """

    def __init__(self) -> None:
        """Create an assembler without parts."""
        self._pending_by_id: collections.OrderedDict[str, _PendingSnapshot]
        self._pending_by_id = collections.OrderedDict()

    def add(self, part: _records.SnapshotPart) -> CompressedSnapshot | None:
        """Add a part; return the snapshot if this completes it.

        Parts that are inconsistent with the snapshot's first part are ignored.
        """
        pending = self._pending_for(part)
        if pending is None or not 0 <= part.part < pending.parts:
            return None
        pending.chunks_by_part.setdefault(part.part, part.data)
        if len(pending.chunks_by_part) < pending.parts:
            return None
        del self._pending_by_id[part.snapshot_id]
        chunks = [pending.chunks_by_part[n] for n in range(pending.parts)]
        base64_text = "".join(chunks)
        return CompressedSnapshot(
            part.snapshot_id, part.through_offset, part.parts, base64_text
        )

    def _pending_for(
        self, part: _records.SnapshotPart
    ) -> _PendingSnapshot | None:
        pending = self._pending_by_id.get(part.snapshot_id)
        if pending is None:
            pending = _PendingSnapshot(part.through_offset, part.parts)
            self._pending_by_id[part.snapshot_id] = pending
            if len(self._pending_by_id) > MAX_PENDING_SNAPSHOTS:
                self._pending_by_id.popitem(last=False)
        declared = (part.through_offset, part.parts)
        if (pending.through_offset, pending.parts) != declared:
            return None
        return pending


SNAPSHOT_INTERVAL_RECORDS = 5_000
# A snapshot is due when the records after the last one make up at least one
# fourth of the retained records.
_SNAPSHOT_LAG_DIVISOR = 4


# Minimum interval of snapshots that are due only because older records expire.
# Without it, a log that retains few records would fill up with snapshots.
MIN_IDLE_SNAPSHOT_INTERVAL_MS = 60_000


@attrs.frozen
class SnapshotProgress:
    """Input of the decision whether to write a snapshot.

    `first_offset` is the oldest retained offset. `through_offset` is the last
    offset that the newest complete snapshot covers, -1 without one;
    `records_since` counts the later records that are not snapshot parts, and
    `age_ms` is the time since the node read that snapshot.
    """

    next_offset: int
    first_offset: int
    through_offset: int
    records_since: int
    age_ms: int


def snapshot_due(progress: SnapshotProgress, max_age_ms: int) -> bool:
    """Tell whether a snapshot should be written.

    The age limit `max_age_ms` serves idle streams, whose records expire by
    time although no new ones are appended.
    """
    if not progress.next_offset:
        return False
    if progress.records_since >= SNAPSHOT_INTERVAL_RECORDS:
        return True
    if progress.age_ms >= max_age_ms:
        return True
    if progress.first_offset == 0:
        return False
    if (
        not progress.records_since
        and progress.age_ms < MIN_IDLE_SNAPSHOT_INTERVAL_MS
    ):
        return False
    lag_offsets = progress.next_offset - 1 - progress.through_offset
    retained_offsets = progress.next_offset - progress.first_offset
    return lag_offsets * _SNAPSHOT_LAG_DIVISOR >= retained_offsets
