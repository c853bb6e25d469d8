"""Base class of the folds of control and call streams."""

import abc
import collections
import json
import typing

import attrs

from quetzalward_core.agreement import _codec
from quetzalward_core.agreement import _records
from quetzalward_core.agreement import _results
from quetzalward_core import errors

# Retention of a writer's last sequence number after its last batch. No older
# retry can exist: the records and connections it would need are gone by then.
WRITER_RETENTION_MS = 48 * 60 * 60 * 1000
# Idle writers are removed at offsets that are multiples of this. This limits
# the cost per record, and all nodes remove them at the same offset.
WRITER_SWEEP_INTERVAL_OFFSETS = 256
FORMAT_VERSION = 1

Document = dict[str, typing.Any]


@attrs.frozen
class LastBatch:
    """Sequence number and log time of the last batch of a writer."""

    seq: int
    time_ms: int


def _json_line(value: typing.Any) -> bytes:
    return _codec.to_json(value).encode() + b"\n"


class Fold(abc.ABC):
    """A deterministic state machine over the records of one stream.

    The same records produce the same serialized state on every node,
    regardless of the snapshots that were taken or loaded in between.
    """

    stream_kind: typing.ClassVar[str]

    def __init__(self) -> None:
        """Create the state before the first record."""
        self.next_offset = 0
        self.time_ms = 0
        self.accepted_count = 0
        self.void_by_reason: collections.Counter[str] = collections.Counter()
        self._writers: dict[str, LastBatch] = {}

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
        # The log's clock may step back when it is set; the time for expiry
        # must not.
        self.time_ms = max(self.time_ms, time_ms)
        self._expire_writers(offset)
        self._expire()
        try:
            batch = _codec.decode_batch(data)
        except errors.QuetzalwardError:
            return self._void_batch(offset, _results.VoidReason.MALFORMED)
        return self._apply_decoded(offset, batch)

    def writer_seq(self, writer: str) -> int:
        """Return the last sequence number applied for a writer, or 0."""
        last_batch = self._writers.get(writer)
        return last_batch.seq if last_batch else 0

    def encode(self) -> typing.Iterator[bytes]:
        """Yield the canonical serialization of the state, line by line.

        A state may be 60 MB. Encoding it in lines limits the memory that a
        snapshot takes, and lets other threads run, because the JSON encoder
        holds the global interpreter lock.
        """
        header = {
            "format": FORMAT_VERSION,
            "stream_kind": self.stream_kind,
            "next_offset": self.next_offset,
            "time_ms": self.time_ms,
            "accepted_count": self.accepted_count,
            "void_by_reason": dict(self.void_by_reason),
            "writers": {
                name: [last_batch.seq, last_batch.time_ms]
                for name, last_batch in self._writers.items()
            },
        }
        yield _json_line(header)
        for name, value in self._sections():
            yield _json_line([name, value])

    def to_bytes(self) -> bytes:
        """Return the canonical serialization of the state."""
        return b"".join(self.encode())

    def copy(self) -> typing.Self:
        """Return an independent copy; much cheaper than `to_bytes`."""
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
        """Restore a state from the output of `to_bytes`; see `decode`."""
        return cls.decode(data.splitlines())

    @classmethod
    def decode(cls, lines: typing.Iterable[bytes]) -> typing.Self:
        """Restore a state from the lines that `encode` yields.

        Raises `QuetzalwardError` of kind `malformed_record` if the lines
        cannot be decoded.
        """
        fold = cls()
        try:
            remaining = iter(lines)
            fold._restore_header(json.loads(next(remaining, b"")))
            for line in remaining:
                name, value = json.loads(line)
                fold._restore_section(name, value)
        except Exception as error:  # cattrs raises many types for bad input
            raise errors.QuetzalwardError(
                errors.ErrorKind.MALFORMED_RECORD, f"snapshot: {error}"
            ) from error
        return fold

    @abc.abstractmethod
    def _apply_entry(
        self, position: int, writer: str, entry: _records.Entry
    ) -> _results.EntryResult:
        """Validate and apply one entry, and return its result."""

    @abc.abstractmethod
    def _copy_from(self, other: typing.Self) -> None:
        """Copy another fold's state, sharing only immutable values."""

    @abc.abstractmethod
    def _sections(self) -> typing.Iterator[tuple[str, typing.Any]]:
        """Yield the sections of the state as JSON values, in a fixed order.

        The items of a section may be split over several values of its name.
        """

    @abc.abstractmethod
    def _restore_section(self, name: str, value: typing.Any) -> None:
        """Add one value that `_sections` yielded to the state."""

    def _expire(self) -> None:
        """Remove items whose retention has ended, by the log's time."""

    def _restore_header(self, document: Document) -> None:
        kind = (document["format"], document["stream_kind"])
        if kind != (FORMAT_VERSION, self.stream_kind):
            raise ValueError(f"unsupported format and stream kind {kind}")
        self.next_offset = int(document["next_offset"])
        self.time_ms = int(document["time_ms"])
        self.accepted_count = int(document["accepted_count"])
        self.void_by_reason.update(document["void_by_reason"])
        self._writers = {
            name: LastBatch(seq, time_ms)
            for name, (seq, time_ms) in document["writers"].items()
        }

    def _apply_decoded(
        self, offset: int, batch: _codec.Batch
    ) -> _results.BatchResult:
        if batch.seq <= self.writer_seq(batch.writer):
            reason = _results.VoidReason.DUPLICATE_BATCH
            return self._void_batch(offset, reason, batch)
        self._writers[batch.writer] = LastBatch(batch.seq, self.time_ms)
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

    def _expire_writers(self, offset: int) -> None:
        if offset % WRITER_SWEEP_INTERVAL_OFFSETS:
            return
        oldest_ms = self.time_ms - WRITER_RETENTION_MS
        self._writers = {
            name: last_batch
            for name, last_batch in self._writers.items()
            if last_batch.time_ms >= oldest_ms
        }
