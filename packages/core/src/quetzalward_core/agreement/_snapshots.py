"""Snapshots as parts on the stream itself."""

import base64
import binascii
import collections
import zlib

import attrs

from quetzalward_core.agreement import _records

# Text of one part; the log's records are limited in size.
MAX_PART_CHARS = 256 * 1024
# Several nodes may write at once, and a writer may stop half way; more
# unfinished snapshots than this are dropped, the oldest first.
MAX_PENDING = 8
MAX_STATE_BYTES = 512 * 1024 * 1024
# Level 1 costs a quarter of the time of the default for a tenth more bytes.
_COMPRESSION_LEVEL = 1


@attrs.frozen
class Snapshot:
    """A complete snapshot; `data` is a fold's `to_bytes()`."""

    snapshot_id: str
    through_offset: int
    data: bytes


def split_snapshot(snapshot: Snapshot) -> list[_records.SnapshotPart]:
    """Return the parts of a snapshot, each to be appended alone."""
    packed = zlib.compress(snapshot.data, _COMPRESSION_LEVEL)
    text = base64.b64encode(packed).decode("ascii")
    chunks = [
        text[start : start + MAX_PART_CHARS]
        for start in range(0, len(text), MAX_PART_CHARS)
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
    text: str

    def unpack(self) -> Snapshot | None:
        """Return the snapshot, or `None` if its data is damaged."""
        try:
            packed = base64.b64decode(self.text, validate=True)
            unpacker = zlib.decompressobj()
            data = unpacker.decompress(packed, MAX_STATE_BYTES)
        except (binascii.Error, ValueError, zlib.error):
            return None
        if not unpacker.eof:
            return None
        return Snapshot(self.snapshot_id, self.through_offset, data)


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
        return PackedSnapshot(part.snapshot_id, part.through_offset, text)

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
