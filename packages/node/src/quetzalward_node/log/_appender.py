"""Group commit: appends queued entries to one stream in batches."""

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
# Size limit of a batch that combines several requests; a single request may be
# larger, up to the limit of a batch.
MAX_COMBINED_CHARS = agreement.MAX_BATCH_BYTES // 4
# Longest wait for a request, or for an offset to be read, before the appender
# checks whether it should stop.
_POLL_INTERVAL_MS = 500


class Phase(enum.Enum):
    """State of a request."""

    QUEUED = "queued"
    # An append attempt may have taken effect.
    SENT = "sent"
    DONE = "done"


@attrs.define(eq=False)
class Request:
    """Entries to be appended together in one batch.

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
    """A batch in flight."""

    seq: int
    requests: list[Request]
    data: str
    # An earlier attempt may have taken effect, so retries must not change it.
    uncertain: bool = False
    # The log acknowledged the last attempt, and its offset has been read.
    acknowledged: bool = False


class Appender:
    """Queues requests and appends them in batches, one batch at a time.

    A batch is retried unchanged until it was read back, or until it is
    certain that no attempt took effect.
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
        """Queue entries; without a deadline they never expire.

        Raises `QuetzalwardError` with outcome `not_run`: malformed_record,
        body_too_large, or log_unavailable if the append budget is exhausted.
        """
        chars = _validate(entries)
        kinds = [agreement.KIND_BY_CLASS[type(entry)] for entry in entries]
        with self._lock:
            wait_ms = self._budget.take(kinds, self._clock.now_ms())
        if wait_ms:
            raise errors.QuetzalwardError(
                errors.ErrorKind.LOG_UNAVAILABLE,
                f"append budget of this node exhausted: {sorted(set(kinds))}",
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
                raise _outcome_unknown(
                    "entries not read back before the deadline"
                )
            if request.phase is Phase.QUEUED:
                self._complete(
                    request,
                    None,
                    _not_appended("entries not sent before the deadline"),
                )
        if request.error is not None:
            raise request.error
        return request.results or []

    def idle(self) -> bool:
        """Return whether nothing is queued or in flight."""
        return not (self._mailbox.qsize() or self._waiting or self._in_flight)

    def stop(self) -> None:
        """Make `run` and `step` return soon."""
        self._stopping.set()
        # Wakes a waiting step; the request has expired, so it is never sent.
        self._mailbox.put(Request((), 0, self._clock.now_ms()))

    def run(self) -> None:
        """Append until `stop`, then fail the requests that were not sent."""
        while not self._stopping.is_set():
            self.step()
        self._drain_mailbox()
        with self._lock:
            for request in self._waiting:
                if request.phase is Phase.QUEUED:
                    self._complete(
                        request,
                        None,
                        _not_appended(
                            "entries not sent, this node is stopping"
                        ),
                    )
            self._waiting.clear()

    def step(self) -> None:
        """Append one batch if a request arrives within a short time."""
        if not self._waiting:
            try:
                timeout_s = _POLL_INTERVAL_MS / clocks.MILLIS_PER_SECOND
                request = self._mailbox.get(timeout=timeout_s)
            except queue.Empty:
                return
            self._waiting.append(request)
        self._in_flight = True
        self._drain_mailbox()
        batch = self._make_batch()
        if batch is not None:
            self._append(batch)
        self._in_flight = False

    def _drain_mailbox(self) -> None:
        while True:
            try:
                self._waiting.append(self._mailbox.get_nowait())
            except queue.Empty:
                return

    def _make_batch(self) -> _Batch | None:
        """Take as many requests as fit and mark them as sent."""
        requests: list[Request] = []
        entries: list[agreement.Entry] = []
        chars = 0
        now_ms = self._clock.now_ms()
        with self._lock:
            while self._waiting:
                request = self._waiting[0]
                count = len(entries) + len(request.entries)
                exceeds_limit = (
                    count > agreement.MAX_BATCH_ENTRIES
                    or chars + request.chars > MAX_COMBINED_CHARS
                )
                if requests and exceeds_limit:
                    break
                self._waiting.popleft()
                if self._complete_if_expired(request, now_ms):
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

    def _complete_if_expired(
        self, request: Request, now_ms: clocks.Millis
    ) -> bool:
        """Fail a request past its deadline; return whether it is done.

        The lock must be held.
        """
        if request.phase is Phase.DONE:
            return True
        if request.deadline_ms is None or now_ms < request.deadline_ms:
            return False
        self._complete(
            request,
            None,
            _not_appended("entries not sent before the deadline"),
        )
        return True

    def _append(self, batch: _Batch) -> None:
        """Retry a batch until its outcome is known."""
        self.batch_count += 1
        while not self._stopping.is_set():
            try:
                self._try_append(batch)
            except _client.AppendRefusedError as error:
                self._fail_rejected(batch, error)
                return
            except _client.NotAppendedError as error:
                if not batch.uncertain:
                    self._return_to_queue(batch)
                self._back_off(error)
                if not batch.uncertain:
                    return
            except _client.UncertainAppendError as error:
                batch.uncertain = True
                self._back_off(error)
            if self._is_read_back(batch):
                self._backoff.reset()
                self._failing = False
                self._resolve(batch)
                return
            if batch.acknowledged:
                self._back_off("acknowledged batch is not on the log")
        with self._lock:
            for request in batch.requests:
                self._complete(
                    request,
                    None,
                    _outcome_unknown(
                        "entries not read back, this node is stopping"
                    ),
                )

    def _try_append(self, batch: _Batch) -> None:
        """Send a batch once; return when its offset was read, or on `stop`."""
        self.append_count += 1
        batch.acknowledged = False
        batch_id = f"{self.writer}:{batch.seq}"
        offset = self._store.append(self._reader.stream, batch_id, batch.data)
        # If it is not read back, the next attempt sends the same batch again.
        batch.uncertain = True
        while not self._stopping.is_set():
            reached = self._reader.wait_until(
                lambda: self._reader.fold.next_offset > offset,
                _POLL_INTERVAL_MS,
            )
            if reached:
                batch.acknowledged = True
                return

    def _is_read_back(self, batch: _Batch) -> bool:
        with self._reader.changed:
            return self._reader.fold.writer_seq(self.writer) >= batch.seq

    def _back_off(self, error: Exception | str) -> None:
        """Count a failure, log the first in a row, and wait for the retry."""
        self.failure_count += 1
        if not self._failing:
            self._failing = True
            _LOG.warning(
                "stream {}: append failed, retrying: {}",
                self._reader.stream,
                error,
            )
        pause_ms = self._backoff.next_ms()
        self._stopping.wait(pause_ms / clocks.MILLIS_PER_SECOND)

    def _return_to_queue(self, batch: _Batch) -> None:
        """Undo `_make_batch` for a batch that certainly was not appended."""
        with self._lock:
            self._seq -= 1
            for request in reversed(batch.requests):
                if request.phase is Phase.SENT:
                    request.phase = Phase.QUEUED
                self._waiting.appendleft(request)

    def _fail_rejected(self, batch: _Batch, error: Exception) -> None:
        detail = f"rejected by the log: {error}"
        failure = (
            _outcome_unknown(detail)
            if batch.uncertain
            else _not_appended(detail)
        )
        _LOG.error("stream {}: batch {}", self._reader.stream, detail)
        with self._lock:
            for request in batch.requests:
                self._complete(request, None, failure)

    def _on_batch(self, result: agreement.BatchResult) -> None:
        """Store the results of this writer's batches until `_resolve`."""
        if result.writer == self.writer and result.void is None:
            self._results_by_seq[result.seq] = result

    def _resolve(self, batch: _Batch) -> None:
        with self._reader.changed:
            result = self._results_by_seq.pop(batch.seq, None)
            self._results_by_seq.clear()
        with self._lock:
            if result is None:
                # The state came from a snapshot that covers the batch.
                failure = _outcome_unknown(
                    "batch applied, but its results were not read"
                )
                for request in batch.requests:
                    self._complete(request, None, failure)
                return
            start = 0
            for request in batch.requests:
                end = start + len(request.entries)
                self._complete(request, list(result.results[start:end]), None)
                start = end

    def _complete(
        self,
        request: Request,
        results: list[agreement.EntryResult] | None,
        error: errors.QuetzalwardError | None,
    ) -> None:
        """Set a request's outcome once; the lock must be held."""
        if request.phase is Phase.DONE:
            return
        request.phase = Phase.DONE
        request.results = results
        request.error = error
        request.done.set()
        if request.on_done is not None:
            request.on_done(request)


def _validate(entries: collections.abc.Sequence[agreement.Entry]) -> int:
    """Check that every fold can decode the entries; return their size."""
    try:
        data = agreement.encode_batch("", 1, entries)
    except (ValueError, TypeError) as error:
        raise _malformed_record(str(error)) from error
    if len(data) > agreement.MAX_BATCH_BYTES - MAX_COMBINED_CHARS:
        raise errors.QuetzalwardError(
            errors.ErrorKind.BODY_TOO_LARGE,
            f"{len(data)} characters of entries exceed the log's record size",
        )
    batch = agreement.decode_batch(data)
    for entry in batch.entries:
        if isinstance(entry, agreement.Malformed):
            raise _malformed_record(entry.detail)
    return len(data)


def _malformed_record(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        errors.ErrorKind.MALFORMED_RECORD,
        detail,
        outcome=errors.Outcome.NOT_RUN,
    )


def _not_appended(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(
        errors.ErrorKind.LOG_UNAVAILABLE, detail, retry_after_ms=1_000
    )


def _outcome_unknown(detail: str) -> errors.QuetzalwardError:
    return errors.QuetzalwardError(errors.ErrorKind.OUTCOME_UNKNOWN, detail)
