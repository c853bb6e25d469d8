"""Writes snapshots of a stream's fold back to the stream."""

import random
import threading
import typing

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_node.log import _appender
from quetzalward_node.log import _reader

_LOG = logbook.Logger("log.snapshots")
CHECK_INTERVAL_MS = 1_000
# A snapshot becomes due at the same offset on all nodes, so each node delays
# its check at random. With 380 nodes and 20 ms from an append to its readers,
# delays of up to 30 s give about one writer.
MAX_WRITE_DELAY_MS = 30_000
# The writer of an incomplete snapshot is presumed dead this long after the
# last part.
WRITER_TIMEOUT_MS = 20_000
PART_TIMEOUT_MS = 30_000
# A quarter of the shortest supported retention, which is one day.
MAX_SNAPSHOT_AGE_MS = 6 * 60 * 60 * 1000


class SnapshotWriter:
    """Writes a snapshot when one is due and no other node writes it."""

    def __init__(
        self,
        reader: _reader.StreamReader[typing.Any],
        appender: _appender.Appender,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Snapshot the reader's fold and write through the appender."""
        self.written_count = 0
        self._reader = reader
        self._appender = appender
        self._clock = clock
        self._rng = rng
        self._last_snapshot_number = 0

    def run(self, stopping: threading.Event) -> None:
        """Write snapshots until `stopping` is set."""
        while not _wait(stopping, CHECK_INTERVAL_MS):
            if not self.due():
                continue
            if _wait(stopping, self._rng.randint(0, MAX_WRITE_DELAY_MS)):
                return
            if self.due():
                self.write(stopping)

    def due(self) -> bool:
        """Return whether a snapshot should be written now."""
        reader = self._reader
        now_ms = self._clock.now_ms()
        with reader.changed:
            part_seen_ms = reader.part_seen_ms
            if (
                part_seen_ms is not None
                and now_ms - part_seen_ms < WRITER_TIMEOUT_MS
            ):
                return False
            progress = agreement.SnapshotProgress(
                reader.fold.next_offset,
                reader.first_offset,
                reader.snapshot_through,
                reader.records_since_snapshot,
                now_ms - reader.snapshot_seen_ms,
            )
        return agreement.snapshot_due(progress, MAX_SNAPSHOT_AGE_MS)

    def write(self, stopping: threading.Event) -> bool:
        """Append all parts of a snapshot; return false if a part failed."""
        with self._reader.changed:
            fold = self._reader.fold.copy()
        self._last_snapshot_number += 1
        snapshot = agreement.Snapshot(
            f"{self._appender.writer}/{self._last_snapshot_number}",
            fold.next_offset - 1,
            fold.encode(),
        )
        parts = agreement.split_snapshot(snapshot)
        for part in parts:
            if not self._append(part, stopping):
                return False
        self.written_count += 1
        _LOG.info(
            "stream {}: wrote snapshot through offset {} in {} parts",
            self._reader.stream,
            snapshot.through_offset,
            len(parts),
        )
        return True

    def _append(
        self, part: agreement.SnapshotPart, stopping: threading.Event
    ) -> bool:
        deadline_ms = self._clock.now_ms() + PART_TIMEOUT_MS
        while not stopping.is_set():
            try:
                request = self._appender.submit([part], deadline_ms)
                self._appender.wait(request)
                return True
            except errors.QuetzalwardError as error:
                left_ms = deadline_ms - self._clock.now_ms()
                # Without a retry delay the cause is the log, not the budget.
                if not error.retry_after_ms or left_ms <= 0:
                    return False
                _wait(stopping, min(left_ms, error.retry_after_ms))
        return False


def _wait(stopping: threading.Event, pause_ms: clocks.Millis) -> bool:
    return stopping.wait(pause_ms / clocks.MILLIS_PER_SECOND)
