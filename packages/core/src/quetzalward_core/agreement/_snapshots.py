"""Snapshots as parts on the stream itself."""

import base64
import collections
import typing
import zlib

import attrs

from quetzalward_core.agreement import _records
from quetzalward_core import errors

# Text of one part; the log's records are limited in size.
MAX_PART_CHARS = 256 * 1024
# Several nodes may write at once, and a writer may stop half way; more
# unfinished snapshots than this are dropped, the oldest first.
MAX_PENDING = 8
# A state is unpacked in pieces of this size, to keep the memory small.
_UNPACK_BYTES = 256 * 1024
# Level 1 costs a quarter of the time of the default for a tenth more bytes.
_COMPRESSION_LEVEL = 1


@attrs.frozen
class Snapshot:
    """What a snapshot is called and covers, and the lines of its state."""

    snapshot_id: str
    through_offset: int
    lines: typing.Iterable[bytes]


def split_snapshot(
    snapshot: Snapshot, part_chars: int = MAX_PART_CHARS
) -> list[_records.SnapshotPart]:
    """Return the parts of a snapshot, each to be appended alone."""
    packer = zlib.compressobj(_COMPRESSION_LEVEL)
    packed = bytearray()
    for line in snapshot.lines:
        packed += packer.compress(line)
    packed += packer.flush()
    text = base64.b64encode(packed).decode("ascii")
    chunks = [
        text[start : start + part_chars]
        for start in range(0, len(text), part_chars)
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
class PackedSnapshot:
    """All parts of a snapshot, joined and not yet unpacked."""

    snapshot_id: str
    through_offset: int
    parts: int
    text: str

    def lines(self) -> typing.Iterator[bytes]:
        """Unpack the lines of the state, one after another.

        Raises `QuetzalwardError` of kind `malformed_record` when it comes to
        damaged data.
        """
        try:
            packed = base64.b64decode(self.text, validate=True)
            yield from _unpacked_lines(packed)
        except (ValueError, zlib.error) as error:
            raise errors.QuetzalwardError(
                errors.ErrorKind.MALFORMED_RECORD,
                f"snapshot {self.snapshot_id}: {error}",
            ) from error


def _unpacked_lines(packed: bytes) -> typing.Iterator[bytes]:
    unpacker = zlib.decompressobj()
    rest = b""
    while not unpacker.eof:
        piece = unpacker.decompress(packed, _UNPACK_BYTES)
        packed = unpacker.unconsumed_tail
        if not piece and not packed and not unpacker.eof:
            raise ValueError("the data ends early")
        *lines, rest = (rest + piece).split(b"\n")
        yield from lines
    if rest:
        raise ValueError("the last line ends early")


@attrs.define
class _Pending:
    through_offset: int
    parts: int
    chunks_by_part: dict[int, str] = attrs.field(factory=dict)


class SnapshotAssembler:
    """Collects parts, in any order and repeated, until one is complete."""

    def __init__(self) -> None:
        """Start without parts."""
        self._pending_by_id: collections.OrderedDict[str, _Pending]
        self._pending_by_id = collections.OrderedDict()

    def add(self, part: _records.SnapshotPart) -> PackedSnapshot | None:
        """Take a part; return the snapshot if this completes it.

        Parts that contradict the first one seen are ignored.
        """
        pending = self._pending_for(part)
        if pending is None or not 0 <= part.part < pending.parts:
            return None
        pending.chunks_by_part.setdefault(part.part, part.data)
        if len(pending.chunks_by_part) < pending.parts:
            return None
        del self._pending_by_id[part.snapshot_id]
        chunks = [pending.chunks_by_part[n] for n in range(pending.parts)]
        text = "".join(chunks)
        return PackedSnapshot(
            part.snapshot_id, part.through_offset, part.parts, text
        )

    def _pending_for(self, part: _records.SnapshotPart) -> _Pending | None:
        pending = self._pending_by_id.get(part.snapshot_id)
        if pending is None:
            pending = _Pending(part.through_offset, part.parts)
            self._pending_by_id[part.snapshot_id] = pending
            if len(self._pending_by_id) > MAX_PENDING:
                self._pending_by_id.popitem(last=False)
        named = (part.through_offset, part.parts)
        if (pending.through_offset, pending.parts) != named:
            return None
        return pending


SNAPSHOT_AFTER_RECORDS = 5_000
# The share of the kept records that may follow the last snapshot.
_KEPT_SHARE = 4


# A snapshot that is due only because older records expire is repeated no
# sooner than this; otherwise a log that keeps few records would fill itself
# with snapshots.
MIN_REPEAT_MS = 60_000


@attrs.frozen
class SnapshotProgress:
    """What a node knows when it decides whether to write a snapshot.

    `through_offset` is that of the newest complete snapshot, -1 without one;
    `records_since` counts the later records that are no snapshot parts, and
    `age_ms` is the time since the node saw that snapshot.
    """

    next_offset: int
    first_offset: int
    through_offset: int
    records_since: int
    age_ms: int


def snapshot_due(progress: SnapshotProgress, max_age_ms: int) -> bool:
    """Tell whether a snapshot should be written.

    The age matters on an idle stream, whose records expire by time without
    any new ones.
    """
    if not progress.next_offset:
        return False
    if progress.records_since >= SNAPSHOT_AFTER_RECORDS:
        return True
    if progress.age_ms >= max_age_ms:
        return True
    if progress.first_offset == 0:
        return False
    if not progress.records_since and progress.age_ms < MIN_REPEAT_MS:
        return False
    following = progress.next_offset - 1 - progress.through_offset
    kept = progress.next_offset - progress.first_offset
    return following * _KEPT_SHARE >= kept
