"""Reads one stream and applies its records to a fold."""

import random
import threading
import typing

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_node import interfaces
from quetzalward_node.log import _bootstrap
from quetzalward_node.log import _client
from quetzalward_node.log import _pacing

_LOG = logbook.Logger("log.reader")
READ_LIMIT = 200
# A node that has not read the head for 5 s may be isolated. The head's age
# counts from when a read was sent, so an idle log adds this wait to it.
READ_WAIT_MS = 1_000

FoldT = typing.TypeVar("FoldT", bound=agreement.Fold)
Listener = typing.Callable[[agreement.BatchResult], None]


class StreamReader(typing.Generic[FoldT]):
    """Follows the head of a stream with a fold.

    `changed` guards the attributes after it and is notified after each read.
    """

    def __init__(
        self,
        store: _client.LogStore,
        stream: str,
        fold_class: type[FoldT],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Start with an empty fold; `run` or `step` reads."""
        self.stream = stream
        self.changed = threading.Condition()
        self.fold: FoldT = fold_class()
        self.first_offset = 0
        self.snapshot_through = -1
        self.snapshot_seen_ms = clock.now_ms()
        self.records_since_snapshot = 0
        # When a part of a still incomplete snapshot was last seen.
        self.part_seen_ms: clocks.Millis | None = None
        self.bootstrap_count = 0
        self.failure_count = 0
        self.listeners: list[Listener] = []
        # Called with the fold after each change, while `changed` is held.
        self.publish: typing.Callable[[FoldT], None] | None = None
        self._store = store
        self._fold_class = fold_class
        self._clock = clock
        self._backoff = _pacing.Backoff(rng)
        self._bootstrapped = False
        self._head_read_ms: clocks.Millis | None = None
        self._assembler = agreement.SnapshotAssembler()
        self._failing = False
        # The last record that was applied, and whether it must be found in
        # the log again before the next ones are applied.
        self._last_record: _client.Record | None = None
        self._must_verify = False
        self._lost_record: _client.Record | None = None

    def head_age_ms(self) -> clocks.Millis:
        """Return the time since the last read of the head was sent."""
        head_read_ms = self._head_read_ms
        if head_read_ms is None:
            return interfaces.HEAD_NEVER_READ_MS
        return self._clock.now_ms() - head_read_ms

    def run(self, stopping: threading.Event) -> None:
        """Read until `stopping` is set."""
        while not stopping.is_set():
            pause_ms = self.step()
            if pause_ms:
                stopping.wait(pause_ms / clocks.MILLIS_PER_SECOND)

    def step(self) -> clocks.Millis:
        """Bootstrap or read once; return the pause before the next step.

        The pause is 0 unless the step failed.
        """
        try:
            if self._bootstrapped:
                self._read()
            else:
                self._bootstrap()
        except _client.ExpiredError as error:
            # The old state remains available until a newer one is found.
            self._bootstrapped = False
            _LOG.warning(
                "stream {}: {}; bootstrapping from a snapshot",
                self.stream,
                error,
            )
            return 0
        except (_client.LogReadError, errors.QuetzalwardError) as error:
            return self._record_failure(error)
        if self._failing:
            self._failing = False
            _LOG.info("stream {}: reads succeed again", self.stream)
        self._backoff.reset()
        return 0

    def wait_until(
        self,
        condition: typing.Callable[[], bool],
        timeout_ms: clocks.Millis,
    ) -> bool:
        """Wait until a condition on the fold holds; false at the timeout."""
        with self.changed:
            return self.changed.wait_for(
                condition, max(0, timeout_ms) / clocks.MILLIS_PER_SECOND
            )

    def _record_failure(self, error: Exception) -> clocks.Millis:
        self.failure_count += 1
        self._must_verify = True
        if not self._failing:
            self._failing = True
            _LOG.warning(
                "stream {}: read failed, retrying: {}", self.stream, error
            )
        if isinstance(error, errors.LogGapError):
            self._bootstrapped = False
        return self._backoff.next_ms()

    def _bootstrap(self) -> None:
        fold = _bootstrap.find_state(
            self._store, self.stream, self._fold_class
        )
        with self.changed:
            # Never replace the current state by an older one.
            if fold.next_offset > self.fold.next_offset:
                self.fold = fold
                self.snapshot_through = fold.next_offset - 1
                self.snapshot_seen_ms = self._clock.now_ms()
                self.records_since_snapshot = 0
            self._bootstrapped = True
            self.bootstrap_count += 1
            self._publish_and_notify()

    def _read(self) -> None:
        start = self.fold.next_offset
        if self._must_verify:
            self._verify_last_record()
        sent_ms = self._clock.now_ms()
        page = self._store.read(self.stream, start, READ_LIMIT, READ_WAIT_MS)
        if page.next_offset < start:
            raise _client.LogReadError(
                f"log ends at offset {page.next_offset}, "
                f"already read up to {start}"
            )
        if page.first > start:
            raise _client.ExpiredError(page.first, page.next_offset)
        with self.changed:
            for record in page.records:
                self._apply(record)
                self._last_record = record
            self.first_offset = page.first
            if self.fold.next_offset >= page.next_offset:
                self._head_read_ms = sent_ms
            self._publish_and_notify()

    def _verify_last_record(self) -> None:
        """Check after a failure that the log did not go back meanwhile.

        A log that was restored from a copy gives its offsets out again. The
        fold holds records then that were never written, and applies no more:
        only a restart begins with what the log has now.
        """
        last = self._last_record
        try:
            if self._lost_record is None and last is not None:
                page = self._store.read(self.stream, last.offset, 1, 0)
                if page.next_offset <= last.offset:
                    raise _client.LogReadError(
                        f"log ends at offset {page.next_offset}, "
                        f"already read up to {last.offset + 1}"
                    )
                if page.records and page.records[0] != last:
                    self._lost_record = last
                    _LOG.error(
                        "stream {}: the log lost records that were read; "
                        "this node applies no more until it is restarted",
                        self.stream,
                    )
        except _client.ExpiredError:
            # The record is too old to be compared.
            _LOG.info("stream {}: {} has expired", self.stream, last)
        if self._lost_record is not None:
            raise _client.LogReadError(
                f"offset {self._lost_record.offset} no longer holds batch "
                f"{self._lost_record.batch_id}; the log went back"
            )
        self._must_verify = False

    def _publish_and_notify(self) -> None:
        if self.publish is not None:
            self.publish(self.fold)
        self.changed.notify_all()

    def _apply(self, record: _client.Record) -> None:
        result = self.fold.apply_batch(
            record.offset, record.time_ms, record.data
        )
        if result is None:
            return
        if not result.snapshot_parts:
            self.records_since_snapshot += 1
        for part in result.snapshot_parts:
            self._record_part(part)
        for listener in self.listeners:
            listener(result)

    def _record_part(self, part: agreement.SnapshotPart) -> None:
        now_ms = self._clock.now_ms()
        snapshot = self._assembler.add(part)
        if snapshot is None:
            self.part_seen_ms = now_ms
            return
        self.part_seen_ms = None
        if snapshot.through_offset > self.snapshot_through:
            self.snapshot_through = snapshot.through_offset
            self.snapshot_seen_ms = now_ms
            records_after = self.fold.next_offset - 1 - snapshot.through_offset
            self.records_since_snapshot = max(
                0, records_after - snapshot.parts
            )
