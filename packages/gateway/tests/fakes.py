"""Fakes of the dependencies that the tasks of a gateway node share."""

import asyncio
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import limits
from quetzalward_core import notices
from quetzalward_gateway import _attempts
from quetzalward_gateway import _crash_guard
from quetzalward_gateway import _http
from quetzalward_gateway import _memory
from quetzalward_gateway import _metrics
from quetzalward_gateway import _pacing
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings
from quetzalward_gateway import _state
from quetzalward_gateway import _watched_store

ADDRESS = fleet.Address("127.0.0.1", 1)


def settings() -> _settings.Settings:
    """Return the settings of a node that does not listen."""
    return _settings.Settings(
        "a", "z", ADDRESS, ADDRESS, ADDRESS, False, _settings.Bounds()
    )


def configuration(
    version: int,
    keys: typing.Iterable[str] = (),
    routes: tuple[fleet.Route, ...] = (),
    requires_keys: bool = True,
) -> fleet.Configuration:
    """Return a configuration with some API keys."""
    customer_by_key = {key: fleet.Customer("c") for key in keys}
    return fleet.Configuration(
        version,
        routes,
        {"s": fleet.Service("s", "/", 0, 0.0)},
        customer_by_key,
        fleet.CallerLimits(),
        requires_keys,
    )


def route(kind: fleet.RequestKind, anonymous: bool = False) -> fleet.Route:
    """Return the route of a host to one service, which can resume."""
    return fleet.Route(
        "r", "h", "/", kind, 5_000, 400, 400, 1, {"s": 1.0}, 2, anonymous, True
    )


class KeyedLog:
    """A keyed topic in memory."""

    def __init__(self) -> None:
        """Start without records."""
        self.records: list[_ports.Record] = []
        self.reads = 0
        self.is_down = False
        self.era: int | None = 1

    def restore(self, lost: int) -> None:
        """Lose the last records, as a store restored from a copy does."""
        self.era = (self.era or 0) + 1
        del self.records[len(self.records) - lost :]

    def put(self, key: str, value: str) -> None:
        """Append a record."""
        record = _ports.Record(len(self.records), key, value.encode())
        self.records.append(record)

    def remove(self, key: str) -> None:
        """Append a record that deletes a key."""
        self.records.append(_ports.Record(len(self.records), key, None))

    async def newest(self, topic: str) -> _ports.Page:
        """Return all records, including older ones of the same key."""
        self._record_call()
        return _ports.Page(tuple(self.records), len(self.records), self.era)

    async def read(
        self, topic: str, offset: int, wait_ms: clock.Millis
    ) -> _ports.Page:
        """Return the records from an offset, without waiting."""
        self._record_call()
        await asyncio.sleep(0)
        end = len(self.records)
        if offset > end:
            raise _ports.HistoryLost(topic, self.era)
        return _ports.Page(tuple(self.records[offset:]), end, self.era)

    async def append(
        self, topic: str, key: str, value: bytes, at: int
    ) -> _ports.Appended:
        """Append a record if the topic ends at `at`."""
        self._record_call()
        if at != len(self.records):
            raise _ports.Conflict(topic, self.era)
        self.put(key, value.decode())
        return _ports.Appended(at, self.era)

    def _record_call(self) -> None:
        self.reads += 1
        if self.is_down:
            raise _ports.StoreError("store is unavailable")


class Platform:
    """Decodes the operators' records, which hold a configuration's version."""

    operations_topic = "operations"
    targets_topic = "targets"
    election_topic = "election"

    def __init__(self) -> None:
        """Start with an empty store."""
        self.store = KeyedLog()

    def decode_operation(
        self, record: _ports.Record
    ) -> fleet.Configuration | _ports.ZoneEvacuation:
        """Return a configuration: a version, and API keys behind it."""
        if record.key.startswith("zone/"):
            zone = record.key.removeprefix("zone/")
            return _ports.ZoneEvacuation(zone, record.value is not None)
        words = (record.value or b"0").decode().split() or [""]
        return configuration(int(words[0]), words[1:])

    def decode_answer(self, head: _http.ResponseHead) -> _ports.TargetAnswer:
        """Return a sealed answer; a 503 says that nothing was executed."""
        return _ports.TargetAnswer(
            head.status,
            True,
            head.status == 503,
            None,
            None,
            False,
            limits.LimitNotice(None),
            [],
            self.decode_notice(head.headers),
        )

    def decode_notice(self, headers: _http.Headers) -> notices.TargetNotice:
        """Return what well-formed headers say."""
        by_name = dict(headers)
        seconds = by_name.get(b"retry-after")
        return notices.TargetNotice(
            b"server-leaving" in by_name,
            None if seconds is None else int(1_000 * float(seconds)),
        )

    def probe_request(self) -> tuple[str, str]:
        """Return the request for a report."""
        return "GET", "/report"

    def decode_report(self, answer: _http.Response) -> fleet.TargetReport:
        """Return the report of a target whose body is its start."""
        return fleet.TargetReport(
            int(answer.body), (), None, False, 0, 0, 0, 1.0
        )

    def decode_target(self, record: _ports.Record) -> fleet.Target | None:
        """Return a target of the service that the record names.

        Raises `ValueError` if the record names none.
        """
        if record.value is None:
            return None
        if not record.value.isalpha():
            raise ValueError("no service")
        return fleet.Target(
            record.key, record.value.decode(), ADDRESS, "z", False, 0, 1
        )


class EventLog:
    """Records the names of logged events."""

    def __init__(self) -> None:
        """Start without events."""
        self.names: list[str] = []

    def event(self, event: str, **fields: typing.Any) -> None:
        """Record an event."""
        self.names.append(event)


@attrs.define
class Runtime:
    """Replaces `_runtime.Runtime`, with a clock that the tests advance."""

    time: clock.ManualClock = attrs.field(
        factory=lambda: clock.ManualClock(100_000)
    )
    platform: Platform = attrs.field(factory=Platform)
    log: EventLog = attrs.field(factory=EventLog)
    metrics: _metrics.Metrics = attrs.field(factory=_metrics.Metrics)
    state: _state.NodeState = attrs.field(
        factory=lambda: _state.NodeState(settings(), random.Random(1))
    )
    calls: set[typing.Any] = attrs.field(factory=set)
    drain: None = None
    answer_memory: _memory.AnswerMemory = attrs.field(
        factory=_memory.AnswerMemory
    )
    costly_work: _pacing.CostlyWork = attrs.field(factory=_pacing.CostlyWork)
    _store: _watched_store.WatchedStore | None = None

    def now_ms(self) -> clock.Millis:
        """Return the time of the manual clock."""
        return self.time.now_ms()

    def boot_ms(self) -> clock.Millis:
        """Return the time of the manual clock; there is no suspension."""
        return self.time.now_ms()

    @property
    def store(self) -> _watched_store.WatchedStore:
        """Return the store, whose era this node observes."""
        if self._store is None:
            self._store = _watched_store.WatchedStore(
                self.platform.store,
                typing.cast(typing.Any, self.log),
                self.boot_ms,
            )
        return self._store


def engine() -> fleet.Engine:
    """Return an engine with few slots and no models."""
    return fleet.Engine(
        4, 10_000, 7, 6.0, 0.1, 0.01, 50.0, 0.3, 2_048, 4.0, 6, 1, 100,
        500, 20, {},
    )  # fmt: skip


class Responder:
    """Keeps what a caller would receive."""

    def __init__(self) -> None:
        """Start without a response."""
        self.started = self.finished = self.aborted = False
        self.status: int | None = None
        self.body = b""

    def send_response(
        self, status: int, headers: _http.Headers, body: bytes
    ) -> None:
        """Keep a complete response."""
        self.start_stream(status, headers)
        self.body = body
        self.finish()

    def start_stream(self, status: int, headers: _http.Headers) -> None:
        """Keep the status of a stream."""
        self.started, self.status = True, status

    async def send_chunk(self, data: bytes) -> None:
        """Keep a part of a stream."""
        self.body += data

    def finish(self) -> None:
        """Record that the response is complete."""
        self.finished = True

    def abort(self) -> None:
        """Record that the response was aborted."""
        self.aborted = True


class Call:
    """Replaces `_runtime.Call` for a stream whose prompt has one part."""

    def __init__(self, attempt_id: bytes = b"r") -> None:
        """Give the request a deadline far away."""
        self.runtime = Runtime(clock.SystemClock())
        self.responder = Responder()
        self.raw = RawRequest(received_ms=self.runtime.now_ms())
        self.request = _ports.CallerRequest(
            attempt_id, b"POST", b"/", "h", "/", None, None, None, "m", None,
            ("p",), [],
        )  # fmt: skip

        self.service = fleet.Service("s", "/", 0, 0.0, engine())
        self.route = fleet.Route(
            "r", "h", "/", fleet.RequestKind.NON_IDEMPOTENT, 5_000, 400, 400,
            1, {"s": 1.0}, 1, False, False,
        )  # fmt: skip
        self.deadline_ms = self.runtime.now_ms() + 5_000
        self.is_sent = False
        self.refusals: list[errors.ErrorKind] = []
        self.limits: list[limits.LimitNotice | None] = []

        self.customer = None
        self._guard = None

    @property
    def crash_guard(self) -> _crash_guard.CrashGuard:
        """Return the original one."""
        return _runtime.Call.crash_guard.fget(self)  # type: ignore

    @property
    def is_stream(self) -> bool:
        """Ask the route and the service, as the original does."""
        return _runtime.Call.is_stream.fget(self)  # type: ignore

    def remaining_ms(self) -> clock.Millis:
        """Return the time until the deadline."""
        return 5_000

    def record_first_send(self, pool: limits.PoolKey) -> None:
        """There is no retry budget."""

    def try_spend_retry(self) -> bool:
        """There is no retry budget."""
        return True

    def refuse(self, refused: _runtime.Refused) -> None:
        """Keep the kind of a refusal."""
        self.refusals.append(refused.kind)

    def refusal_of_crash(self, may_have_run: bool) -> _runtime.Refused:
        """Ask the original."""
        return _runtime.Call.refusal_of_crash(
            typing.cast(typing.Any, self), may_have_run
        )

    def withheld(self, target: fleet.Target) -> _attempts.Attempt | None:
        """Ask the node's state, as the original does."""
        return _runtime.Call.withheld(typing.cast(typing.Any, self), target)

    def observe_answer(
        self,
        target: fleet.Target,
        pool: limits.PoolKey,
        answer: _ports.TargetAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Keep what answers say of limits, and record notices."""
        self.limits.append(answer.limit)
        notice = _attempts.target_notice(self.request, answer)
        if notice is not None:
            _runtime.observe_notice(
                typing.cast(typing.Any, self.runtime), target.key, notice
            )

    def log_event(self, event: str, **fields: typing.Any) -> None:
        """Record an event."""
        self.runtime.log.event(event, **fields)

    def target_headers(
        self, target: fleet.Target, last_event_id: str | None
    ) -> _http.Headers:
        """Return the headers of a request without a body."""
        return [(b"host", b"h"), (b"content-length", b"0")]


@attrs.frozen
class RawRequest:
    """The parts of a request that an attempt uses."""

    body: bytes = b""
    received_ms: clock.Millis = 0
