"""What the folds of both kinds of stream have in common."""

import abc
import collections
import json
import typing

import attrs

from quetzalward_core.agreement import _codec
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results
from quetzalward_core import errors

# A writer's number is kept this long after its last batch. A retry that is
# older than this cannot exist: records and connections are long gone.
WRITER_RETENTION_MS = 48 * 60 * 60 * 1000
# Idle writers are looked for at every offset that is a multiple of this, so
# that the cost per record stays small and every node forgets at the same
# offset.
WRITER_SWEEP_OFFSETS = 256
FORMAT = 1

Document = dict[str, typing.Any]


@attrs.frozen
class WriterMark:
    """The last batch that was applied for a writer."""

    seq: int
    time_ms: int


def _line(value: typing.Any) -> bytes:
    return _codec.to_json(value).encode() + b"\n"


class Fold(abc.ABC):
    """A deterministic state of one stream.

    The same records give the same bytes on every node, whatever snapshots
    were taken or loaded in between.
    """

    stream_kind: typing.ClassVar[str]

    def __init__(self) -> None:
        """Start with the state before the first record."""
        self.next_offset = 0
        self.time_ms = 0
        self.accepted_count = 0
        self.void_by_reason: collections.Counter[str] = collections.Counter()
        self._writers: dict[str, WriterMark] = {}

    def apply_batch(
        self, offset: int, time_ms: int, data: str
    ) -> _results.BatchResult | None:
        """Apply one record; `None` if its offset was already applied.

        Raises `LogGapError` if records before this one are missing.
        """
        if offset < self.next_offset:
            return None
        if offset > self.next_offset:
            raise errors.LogGapError(self.next_offset, offset)
        self.next_offset = offset + 1
        # The log's time may step back when its clock is set; expiry must not.
        self.time_ms = max(self.time_ms, time_ms)
        self._forget_writers(offset)
        self._expire()
        try:
            batch = _codec.decode_batch(data)
        except errors.QuetzalwardError:
            return self._void_batch(offset, _results.VoidReason.MALFORMED)
        return self._apply(offset, batch)

    def writer_seq(self, writer: str) -> int:
        """Return the last sequence number applied for a writer, or 0."""
        mark = self._writers.get(writer)
        return mark.seq if mark else 0

    def encode(self) -> typing.Iterator[bytes]:
        """Return the canonical bytes of the state, line by line.

        A state may be 60 MB. Pieces keep the memory of a snapshot small and
        let other threads run, since the encoder holds the interpreter's lock.
        """
        header = {
            "format": FORMAT,
            "stream_kind": self.stream_kind,
            "next_offset": self.next_offset,
            "time_ms": self.time_ms,
            "accepted_count": self.accepted_count,
            "void_by_reason": dict(self.void_by_reason),
            "writers": {
                name: [mark.seq, mark.time_ms]
                for name, mark in self._writers.items()
            },
        }
        yield _line(header)
        for name, value in self._members():
            yield _line([name, value])

    def to_bytes(self) -> bytes:
        """Return the canonical bytes of the state."""
        return b"".join(self.encode())

    def copy(self) -> typing.Self:
        """Return an independent copy; cheap next to `to_bytes`."""
        fold = type(self)()
        fold.next_offset = self.next_offset
        fold.time_ms = self.time_ms
        fold.accepted_count = self.accepted_count
        fold.void_by_reason = self.void_by_reason.copy()
        fold._writers = dict(self._writers)
        fold._copy_from(self)
        return fold

    @classmethod
    def from_bytes(cls, data: bytes) -> typing.Self:
        """Return the state of `to_bytes`; see `decode`."""
        return cls.decode(data.splitlines())

    @classmethod
    def decode(cls, lines: typing.Iterable[bytes]) -> typing.Self:
        """Return the state of the lines of `encode`.

        Raises `QuetzalwardError` of kind `malformed_record` otherwise.
        """
        fold = cls()
        try:
            remaining = iter(lines)
            fold._restore(json.loads(next(remaining, b"")))
            for line in remaining:
                name, value = json.loads(line)
                fold._restore_member(name, value)
        except Exception as error:  # cattrs raises many types for bad input
            raise errors.QuetzalwardError(
                errors.ErrorKind.MALFORMED_RECORD, f"snapshot: {error}"
            ) from error
        return fold

    @abc.abstractmethod
    def _apply_entry(
        self, position: int, writer: str, entry: _records.Entry
    ) -> _results.EntryResult:
        """Apply one entry."""

    @abc.abstractmethod
    def _copy_from(self, other: typing.Self) -> None:
        """Take over another fold's state without sharing what changes."""

    @abc.abstractmethod
    def _members(self) -> typing.Iterator[tuple[str, typing.Any]]:
        """Return the state as named JSON values, in a fixed order.

        A name may come repeatedly, each time with some of its items.
        """

    @abc.abstractmethod
    def _restore_member(self, name: str, value: typing.Any) -> None:
        """Add a value of `_members` to the state."""

    def _expire(self) -> None:
        """Drop what is older than its retention, by the log's time."""

    def _restore(self, document: Document) -> None:
        kind = (document["format"], document["stream_kind"])
        if kind != (FORMAT, self.stream_kind):
            raise ValueError(f"unexpected format {kind}")
        self.next_offset = int(document["next_offset"])
        self.time_ms = int(document["time_ms"])
        self.accepted_count = int(document["accepted_count"])
        self.void_by_reason.update(document["void_by_reason"])
        self._writers = {
            name: WriterMark(seq, time_ms)
            for name, (seq, time_ms) in document["writers"].items()
        }

    def _apply(self, offset: int, batch: _codec.Batch) -> _results.BatchResult:
        if batch.seq <= self.writer_seq(batch.writer):
            reason = _results.VoidReason.DUPLICATE_BATCH
            return self._void_batch(offset, reason, batch)
        self._writers[batch.writer] = WriterMark(batch.seq, self.time_ms)
        results = tuple(
            self._apply_one(
                _results.position_of(offset, index), batch.writer, entry
            )
            for index, entry in enumerate(batch.entries)
        )
        parts = tuple(
            entry
            for entry in batch.entries
            if isinstance(entry, _records.SnapshotPart)
        )
        return _results.BatchResult(
            offset, batch.writer, batch.seq, results, None, parts
        )

    def _apply_one(
        self,
        position: int,
        writer: str,
        entry: _records.Entry | _codec.Malformed,
    ) -> _results.EntryResult:
        result: _results.EntryResult
        if isinstance(entry, _codec.Malformed):
            result = _results.Void(position, entry.reason, entry.detail)
        else:
            result = self._apply_entry(position, writer, entry)
        if isinstance(result, _results.Void):
            self.void_by_reason[result.reason.value] += 1
        else:
            self.accepted_count += 1
        return result

    def _void_batch(
        self,
        offset: int,
        reason: _results.VoidReason,
        batch: _codec.Batch | None = None,
    ) -> _results.BatchResult:
        self.void_by_reason[reason.value] += 1
        if batch is None:
            return _results.BatchResult(offset, void=reason)
        return _results.BatchResult(
            offset, batch.writer, batch.seq, void=reason
        )

    def _forget_writers(self, offset: int) -> None:
        if offset % WRITER_SWEEP_OFFSETS:
            return
        oldest_ms = self.time_ms - WRITER_RETENTION_MS
        self._writers = {
            name: mark
            for name, mark in self._writers.items()
            if mark.time_ms >= oldest_ms
        }
