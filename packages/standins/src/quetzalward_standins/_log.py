"""Stand-in for the platform's append-only log."""

import collections
import re
import threading
import time

import attrs

from quetzalward_core import clock
from quetzalward_standins import _faults
from quetzalward_standins import _http

MAX_RECORD_BYTES = 1_048_576
MAX_READ_RECORDS = 1000
MAX_WAIT_MS = 30_000
# How often a waiting read looks whether its client has gone.
WAIT_STEP_S = 0.5
_PATH = re.compile(r"/v1/streams/([\w.-]+)/records")


@attrs.frozen
class LogSettings:
    """Limits of the log; retention applies to each stream."""

    appends_per_s: float = 400.0
    burst: float = 100.0
    retained_records: int = 200_000
    retention_ms: int = 24 * 60 * 60 * 1000


@attrs.frozen
class LogFaults:
    """Fault switches of the log."""

    # Answers 503 to everything.
    outage: bool = False
    # Delay of every answer.
    slow_ms: int = 0
    # Appends whose answer is lost after the effect.
    lose_appends: int = 0
    lose_probability: float = 0.0
    # Clients (`/c/{client}` prefix) whose connections are dropped.
    cut_clients: list[str] = attrs.field(factory=list)


@attrs.frozen
class Record:
    """One record; `time_ms` is the wall time of its append."""

    offset: int
    id: str
    data: str
    time_ms: clock.Millis


class ExpiredError(Exception):
    """The offset was dropped by retention, or a stream was cut to it."""

    def __init__(self, first: int, following: int) -> None:
        """Give the oldest kept offset and the next one."""
        super().__init__(f"first kept offset is {first}")
        self.first = first
        self.following = following


@attrs.frozen
class Page:
    """The answer to one read."""

    first: int
    following: int
    records: list[Record]


class Streams:
    """The records of all streams; safe for use from several threads."""

    def __init__(self, settings: LogSettings, source: clock.Clock) -> None:
        """Start without records."""
        self._settings = settings
        self._clock = source
        self._changed = threading.Condition()
        self._records: dict[str, collections.deque[Record]] = {}
        self._next: dict[str, int] = {}
        self._rate = _faults.RateLimit(
            source, settings.appends_per_s, settings.burst
        )

    def append(self, stream: str, id_: str, data: str) -> tuple[int, int]:
        """Append a record; return its offset, or -1 and a wait in ms."""
        with self._changed:
            wait_ms = self._rate.take()
            if wait_ms:
                return -1, wait_ms
            offset = self._next.get(stream, 0)
            self._next[stream] = offset + 1
            records = self._records.setdefault(stream, collections.deque())
            records.append(Record(offset, id_, data, self._clock.wall_ms()))
            self._expire(stream)
            self._changed.notify_all()
            return offset, 0

    def read(self, stream: str, start: int, limit: int) -> Page:
        """Return records from `start`, or raise `ExpiredError`."""
        with self._changed:
            self._expire(stream)
            following = self._next.get(stream, 0)
            records = self._records.get(stream) or collections.deque()
            first = records[0].offset if records else following
            if start < first:
                raise ExpiredError(first, following)
            skipped = start - first
            end = min(len(records), skipped + limit)
            found = [records[index] for index in range(skipped, end)]
            return Page(first, following, found)

    def wait(self, stream: str, start: int, seconds: float) -> None:
        """Wait until a record at or after `start` exists."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._next.get(stream, 0) > start, seconds
            )

    def truncate(self, stream: str, before: int) -> None:
        """Drop the records below an offset, as retention would."""
        with self._changed:
            records = self._records.get(stream, collections.deque())
            while records and records[0].offset < before:
                records.popleft()

    def sizes(self) -> dict[str, dict[str, int]]:
        """Return the next offset and the kept count of every stream."""
        with self._changed:
            return {
                stream: {
                    "next": following,
                    "kept": len(self._records[stream]),
                }
                for stream, following in self._next.items()
            }

    def _expire(self, stream: str) -> None:
        records = self._records.get(stream)
        if not records:
            return
        oldest_ms = self._clock.wall_ms() - self._settings.retention_ms
        while records and (
            len(records) > self._settings.retained_records
            or records[0].time_ms < oldest_ms
        ):
            records.popleft()


class LogService:
    """The HTTP interface of the log."""

    def __init__(self, settings: LogSettings, source: clock.Clock) -> None:
        """Start with empty streams and no faults."""
        self.streams = Streams(settings, source)
        self.faults = LogFaults()
        self._loss = _faults.LossSwitch()
        self._counts: collections.Counter[str] = collections.Counter()

    def handle(self, request: _http.Request) -> _http.Response:
        """Answer one request."""
        if request.path in ("/faults", "/stats", "/truncate"):
            return self._handle_control(request)
        faults = self.faults
        if request.client in faults.cut_clients:
            raise _http.DropConnection
        time.sleep(faults.slow_ms / 1000)
        if faults.outage:
            return _http.error_response(503, "outage")
        match = _PATH.fullmatch(request.path)
        if not match:
            return _http.error_response(404, "not_found")
        if request.method == "POST":
            return self._append(match[1], request)
        return self._read(match[1], request)

    def _handle_control(self, request: _http.Request) -> _http.Response:
        if request.path == "/stats":
            stats = {
                "streams": self.streams.sizes(),
                "counts": dict(self._counts),
            }
            return _http.json_response(200, stats)
        if request.method == "POST":
            document = request.document()
            if request.path == "/truncate":
                self.streams.truncate(document["stream"], document["before"])
            else:
                self.set_faults(document)
        return _http.json_response(200, _faults.to_document(self.faults))

    def set_faults(self, changes: dict[str, _http.Json]) -> None:
        """Change the named switches."""
        self.faults = _faults.merge(self.faults, changes)
        self._loss.set(self.faults.lose_appends, self.faults.lose_probability)
        # The count is consumed by the loss switch.
        self.faults = attrs.evolve(self.faults, lose_appends=0)

    def _append(self, stream: str, request: _http.Request) -> _http.Response:
        document = request.document()
        id_, data = document.get("id"), document.get("data")
        if not isinstance(id_, str) or not isinstance(data, str):
            return _http.error_response(400, "id and data must be strings")
        if len(data) > MAX_RECORD_BYTES:
            return _http.error_response(413, "record_too_large")
        offset, wait_ms = self.streams.append(stream, id_, data)
        if offset < 0:
            self._counts["refused"] += 1
            return _http.error_response(
                429,
                "append_rate",
                (("Retry-After", str(-(-wait_ms // 1000))),),
                retry_after_ms=wait_ms,
            )
        self._counts["appends"] += 1
        self._loss.check()
        return _http.json_response(200, {"offset": offset})

    def _read(self, stream: str, request: _http.Request) -> _http.Response:
        start = request.number("from", 0)
        limit = request.number("limit", MAX_READ_RECORDS)
        wait_ms = min(request.number("wait_ms", 0), MAX_WAIT_MS)
        if start < 0 or limit < 1:
            return _http.error_response(400, "from or limit out of range")
        deadline = time.monotonic() + wait_ms / 1000
        self._counts["reads"] += 1
        try:
            page = self.streams.read(
                stream, start, min(limit, MAX_READ_RECORDS)
            )
            while not page.records and time.monotonic() < deadline:
                left = deadline - time.monotonic()
                self.streams.wait(stream, start, min(left, WAIT_STEP_S))
                if self.faults.outage:
                    return _http.error_response(503, "outage")
                if request.client in self.faults.cut_clients:
                    raise _http.DropConnection
                if request.is_closed():
                    raise _http.DropConnection
                page = self.streams.read(
                    stream, start, min(limit, MAX_READ_RECORDS)
                )
        except ExpiredError as error:
            return _http.error_response(
                410, "expired", first=error.first, next=error.following
            )
        return _http.json_response(
            200,
            {
                "first": page.first,
                "next": page.following,
                "records": [attrs.asdict(record) for record in page.records],
            },
        )
