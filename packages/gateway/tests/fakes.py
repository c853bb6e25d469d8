"""Fakes of what the tasks of a gateway node share."""

import asyncio
import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _metrics
from quetzalward_gateway import _ports
from quetzalward_gateway import _settings
from quetzalward_gateway import _state

ADDRESS = fleet.Address("127.0.0.1", 1)


def settings() -> _settings.Settings:
    """Return the settings of a node that listens nowhere."""
    return _settings.Settings(
        "a", "z", ADDRESS, ADDRESS, ADDRESS, False, _settings.Bounds()
    )


def configuration(version: int) -> fleet.Configuration:
    """Return a configuration without routes."""
    return fleet.Configuration(version, (), {}, {}, fleet.CallerLimits())


class Log:
    """A keyed topic in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[_ports.Record] = []
        self.reads = 0
        self.is_down = False

    def put(self, key: str, value: str) -> None:
        """Append a record."""
        record = _ports.Record(len(self.records), key, value.encode())
        self.records.append(record)

    async def newest(self, topic: str) -> _ports.Page:
        """Return all records; the tests write each key once."""
        self._call()
        return _ports.Page(tuple(self.records), len(self.records))

    async def read(
        self, topic: str, offset: int, wait_ms: clock.Millis
    ) -> _ports.Page:
        """Return the records from an offset, without waiting."""
        self._call()
        await asyncio.sleep(0)
        return _ports.Page(tuple(self.records[offset:]), len(self.records))

    async def append(self, topic: str, key: str, value: bytes, at: int) -> int:
        """Append a record if the topic ends at `at`."""
        self._call()
        if at != len(self.records):
            raise _ports.Conflict(topic)
        self.put(key, value.decode())
        return at

    def _call(self) -> None:
        self.reads += 1
        if self.is_down:
            raise _ports.StoreError("the store is down")


class Platform:
    """Reads a record of the operators' topic as a configuration's version."""

    operations_topic = "operations"
    targets_topic = "targets"

    def __init__(self) -> None:
        """Start with an empty topic."""
        self.log = Log()

    def decode_operation(self, record: _ports.Record) -> fleet.Configuration:
        """Return the configuration whose version the record starts with."""
        return configuration(int((record.value or b"0").split()[0]))


class EventLog:
    """Keeps the events."""

    def __init__(self) -> None:
        """Start empty."""
        self.names: list[str] = []

    def event(self, event: str, **fields: typing.Any) -> None:
        """Take an event."""
        self.names.append(event)


@attrs.define
class Runtime:
    """Stands for `_runtime.Runtime`, on a clock that tests move."""

    time: clock.ManualClock = attrs.field(
        factory=lambda: clock.ManualClock(100_000)
    )
    platform: Platform = attrs.field(factory=Platform)
    log: EventLog = attrs.field(factory=EventLog)
    metrics: _metrics.Metrics = attrs.field(factory=_metrics.Metrics)
    state: _state.NodeState = attrs.field(
        factory=lambda: _state.NodeState(settings(), random.Random(1))
    )

    def now_ms(self) -> clock.Millis:
        """Return the tests' time."""
        return self.time.now_ms()

    def boot_ms(self) -> clock.Millis:
        """Return the tests' time; no machine is suspended."""
        return self.time.now_ms()
