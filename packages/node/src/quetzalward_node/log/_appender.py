"""Appends batches to one stream, one at a time."""

import collections
import collections.abc
import enum
import queue
import random
import threading
import typing

import attrs
import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_node.log import _client
from quetzalward_node.log import _pacing
from quetzalward_node.log import _reader

_LOG = logbook.Logger("log.appender")
# Characters of a group append; a single request may be larger, up to the
# limit of a batch.
MAX_GROUP_CHARS = agreement.MAX_BATCH_BYTES // 4
# How long the appender waits for one request before it looks whether it
# should stop, and for a position before it looks at the log again.
_POLL_MS = 500


class Phase(enum.Enum):
    """Where a request stands."""

    QUEUED = "queued"
    # An attempt may have had an effect.
    SENT = "sent"
    DONE = "done"


@attrs.define(eq=False)
class Request:
    """Entries that belong together in one batch.

    Exactly one of `results` and `error` is set once the phase is `DONE`.
    """

    entries: tuple[agreement.Entry, ...]
    chars: int
    deadline_ms: clocks.Millis | None
    on_done: typing.Callable[["Request"], None] | None = None
    phase: Phase = Phase.QUEUED
    results: list[agreement.EntryResult] | None = None
    error: errors.QuetzalwardError | None = None
    done: threading.Event = attrs.field(factory=threading.Event)


@attrs.define
class _Batch:
    """A batch that is being appended."""

    seq: int
    requests: list[Request]
    data: str
    # An earlier attempt may have had an effect, so the batch stays as it is.
    uncertain: bool = False
    # The log answered the last attempt with an offset, which was then read.
    acknowledged: bool = False


class Appender:
    """Queues requests and appends them together.

    A batch is repeated unchanged until it was read back, or until it is
    certain that no attempt had an effect.
    """

    def __init__(
        self,
        store: _client.LogStore,
        reader: _reader.StreamReader[typing.Any],
        writer: str,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Append as `writer` to the reader's stream."""
        self.writer = writer
        self.append_count = 0
        self.batch_count = 0
        self.failure_count = 0
        self._store = store
        self._reader = reader
        self._clock = clock
        self._backoff = _pacing.Backoff(rng)
        self._budget = _pacing.AppendBudget(clock.now_ms())
        self._mailbox: queue.Queue[Request] = queue.Queue()
        self._waiting: collections.deque[Request] = collections.deque()
        # Reentrant, because `on_done` runs while it is held.
        self._lock = threading.RLock()
        self._seq = 0
        self._results_by_seq: dict[int, agreement.BatchResult] = {}
        self._stopping = threading.Event()
        self._in_flight = False
        self._failing = False
        reader.listeners.append(self._on_batch)

    def submit(
        self,
        entries: collections.abc.Sequence[agreement.Entry],
        deadline_ms: clocks.Millis | None,
        on_done: typing.Callable[[Request], None] | None = None,
    ) -> Request:
        """Queue entries; without a deadline they are never given up.

        Raises `QuetzalwardError` with outcome `not_run`: malformed_record,
        body_too_large, or log_unavailable if the budget is used up.
        """
        chars = _check(entries)
        kinds = [agreement.KIND_BY_CLASS[type(entry)] for entry in entries]
        with self._lock:
            wait_ms = self._budget.take(kinds, self._clock.now_ms())
        if wait_ms:
            raise errors.QuetzalwardError(
                errors.ErrorKind.LOG_UNAVAILABLE,
                f"this node's append budget is used up: {sorted(set(kinds))}",
                retry_after_ms=wait_ms,
            )
        request = Request(tuple(entries), chars, deadline_ms, on_done)
        self._mailbox.put(request)
        return request

    def wait(self, request: Request) -> list[agreement.EntryResult]:
        """Return a request's results, waiting until its deadline.

        Raises `QuetzalwardError`: log_unavailable if the entries will never
        be on the log, outcome_unknown if they may be.
        """
        timeout_s = None
        if request.deadline_ms is not None:
            left_ms = max(0, request.deadline_ms - self._clock.now_ms())
            timeout_s = left_ms / clocks.MILLIS_PER_SECOND
        request.done.wait(timeout_s)
        with self._lock:
            if request.phase is Phase.SENT:
                raise _unknown("not read back before the deadline")
            if request.phase is Phase.QUEUED:
                self._end(request, None, _never("not sent in time"))
        if request.error is not None:
            raise request.error
        return request.results or []

    def idle(self) -> bool:
        """Tell whether nothing is queued or being appended."""
        return not (self._mailbox.qsize() or self._waiting or self._in_flight)

    def stop(self) -> None:
        """Make `run` and `step` return soon."""
        self._stopping.set()
        # Wakes a step that waits for a request; overdue, so never sent.
        self._mailbox.put(Request((), 0, self._clock.now_ms()))

    def run(self) -> None:
        """Append until `stop`, then fail what was not sent."""
        while not self._stopping.is_set():
            self.step()
        self._collect_all()
        with self._lock:
            for request in self._waiting:
                if request.phase is Phase.QUEUED:
                    self._end(request, None, _never("this node stops"))
            self._waiting.clear()

    def step(self) -> None:
        """Append one batch if a request arrives within a short time."""
        if not self._waiting:
            try:
                timeout_s = _POLL_MS / clocks.MILLIS_PER_SECOND
                request = self._mailbox.get(timeout=timeout_s)
            except queue.Empty:
                return
            self._waiting.append(request)
        self._in_flight = True
        self._collect_all()
        batch = self._make_batch()
        if batch is not None:
            self._append(batch)
        self._in_flight = False

    def _collect_all(self) -> None:
        while True:
            try:
                self._waiting.append(self._mailbox.get_nowait())
            except queue.Empty:
                return

    def _make_batch(self) -> _Batch | None:
        """Take the requests that fit, and mark them as sent."""
        requests: list[Request] = []
        entries: list[agreement.Entry] = []
        chars = 0
        now_ms = self._clock.now_ms()
        with self._lock:
            while self._waiting:
                request = self._waiting[0]
                count = len(entries) + len(request.entries)
                full = (
                    count > agreement.MAX_BATCH_ENTRIES
                    or chars + request.chars > MAX_GROUP_CHARS
                )
                if requests and full:
                    break
                self._waiting.popleft()
                if self._overdue(request, now_ms):
                    continue
                request.phase = Phase.SENT
                requests.append(request)
                entries += request.entries
                chars += request.chars
        if not requests:
            return None
        self._seq += 1
        data = agreement.encode_batch(self.writer, self._seq, entries)
        return _Batch(self._seq, requests, data)

    def _overdue(self, request: Request, now_ms: clocks.Millis) -> bool:
        """Drop a request that nobody waits for; the lock is held."""
        if request.phase is Phase.DONE:
            return True
        if request.deadline_ms is None or now_ms < request.deadline_ms:
            return False
        self._end(request, None, _never("not sent in time"))
        return True

    def _append(self, batch: _Batch) -> None:
        """Repeat a batch until its fate is known."""
        self.batch_count += 1
        while not self._stopping.is_set():
            try:
                self._attempt(batch)
            except _client.AppendRefusedError as error:
                self._refuse(batch, error)
                return
            except _client.NotAppendedError as error:
                if not batch.uncertain:
                    self._return_to_queue(batch)
                self._pause(error)
                if not batch.uncertain:
                    return
            except _client.UncertainAppendError as error:
                batch.uncertain = True
                self._pause(error)
            if self._read_back(batch):
                self._backoff.reset()
                self._failing = False
                self._resolve(batch)
                return
            if batch.acknowledged:
                self._pause("acknowledged, but not on the log")
        with self._lock:
            for request in batch.requests:
                self._end(request, None, _unknown("this node stops"))

    def _attempt(self, batch: _Batch) -> None:
        """Send a batch; return once its offset was read, or after a while."""
        self.append_count += 1
        batch.acknowledged = False
        batch_id = f"{self.writer}:{batch.seq}"
        offset = self._store.append(self._reader.stream, batch_id, batch.data)
        # If it is not read back, the next attempt repeats the same batch.
        batch.uncertain = True
        while not self._stopping.is_set():
            reached = self._reader.wait_until(
                lambda: self._reader.fold.next_offset > offset, _POLL_MS
            )
            if reached:
                batch.acknowledged = True
                return

    def _read_back(self, batch: _Batch) -> bool:
        with self._reader.changed:
            return self._reader.fold.writer_seq(self.writer) >= batch.seq

    def _pause(self, error: Exception | str) -> None:
        """Wait before the next attempt, or until something was read."""
        self.failure_count += 1
        if not self._failing:
            self._failing = True
            _LOG.warning("{}: append: {}", self._reader.stream, error)
        pause_ms = self._backoff.next_ms()
        self._stopping.wait(pause_ms / clocks.MILLIS_PER_SECOND)

    def _return_to_queue(self, batch: _Batch) -> None:
        """Undo `_make_batch`: nothing of this batch was sent."""
        with self._lock:
            self._seq -= 1
            for request in reversed(batch.requests):
                if request.phase is Phase.SENT:
                    request.phase = Phase.QUEUED
                self._waiting.appendleft(request)

    def _refuse(self, batch: _Batch, error: Exception) -> None:
        detail = f"refused by the log: {error}"
        failure = _unknown(detail) if batch.uncertain else _never(detail)
        _LOG.error("{}: batch {}", self._reader.stream, detail)
        with self._lock:
            for request in batch.requests:
                self._end(request, None, failure)

    def _on_batch(self, result: agreement.BatchResult) -> None:
        """Keep the results of this writer's batches until they are used."""
        if result.writer == self.writer and result.void is None:
            self._results_by_seq[result.seq] = result

    def _resolve(self, batch: _Batch) -> None:
        with self._reader.changed:
            result = self._results_by_seq.pop(batch.seq, None)
            self._results_by_seq.clear()
        with self._lock:
            if result is None:
                # A snapshot covers the batch; its results were not seen.
                failure = _unknown("applied, but its results were not read")
                for request in batch.requests:
                    self._end(request, None, failure)
                return
            start = 0
            for request in batch.requests:
                end = start + len(request.entries)
                self._end(request, list(result.results[start:end]), None)
                start = end

    def _end(
        self,
        request: Request,
        results: list[agreement.EntryResult] | None,
        error: errors.QuetzalwardError | None,
    ) -> None:
        """Finish a request; the lock is held."""
        if request.phase is Phase.DONE:
            return
        request.phase = Phase.DONE
        request.results = results
        request.error = error
        request.done.set()
        if request.on_done is not None:
            request.on_done(request)


def _check(entries: collections.abc.Sequence[agreement.Entry]) -> int:
    """Return the encoded size of entries that every fold can read."""
    try:
        data = agreement.encode_batch("", 1, entries)
    except (ValueError, TypeError) as error:
        raise _malformed(str(error)) from error
    if len(data) > agreement.MAX_BATCH_BYTES - MAX_GROUP_CHARS:
        raise errors.QuetzalwardError(
            errors.ErrorKind.BODY_TOO_LARGE,
            f"{len(data)} characters do not fit into one record of the log",
        )
    batch = agreement.decode_batch(data)
    for entry in batch.entries:
        if isinstance(entry, agreement.Malformed):
            raise _malformed(entry.detail)
    return len(data)


def _malformed(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        errors.ErrorKind.MALFORMED_RECORD,
        detail,
        outcome=errors.Outcome.NOT_RUN,
    )


def _never(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        errors.ErrorKind.LOG_UNAVAILABLE, detail, retry_after_ms=1_000
    )


def _unknown(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.OUTCOME_UNKNOWN, detail)
