"""In-memory control log, engines and host list, controlled by tests."""

import collections.abc
import typing

import attrs

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_node import control
from quetzalward_node.groups import _lease
from quetzalward_node.groups import _manager
from quetzalward_node.groups import _platform

LOAD_MS = 3_000


class Store:
    """Control stream shared by all nodes of a test."""

    def __init__(self) -> None:
        """Create an empty stream."""
        self.fold = agreement.ControlState()
        self.down = False
        self.offset = 0

    def append(
        self, writer: str, seq: int, entries: collections.abc.Sequence
    ) -> agreement.BatchResult:
        """Append and apply a batch."""
        data = agreement.encode_batch(writer, seq, entries)
        result = self.fold.apply_batch(self.offset, self.offset, data)
        self.offset += 1
        return result


class Log:
    """Implements `ControlLog` for one node on the shared store."""

    def __init__(self, store: Store, name: str) -> None:
        """Append records with `name` as the writer."""
        self.store = store
        self.name = name
        self.seq = 0
        self.lose_answers = 0
        self.appended: list[agreement.Entry] = []

    def writer(self) -> str:
        """Return the writer's name."""
        return self.name

    def state(self) -> agreement.ControlView:
        """Return the newest view."""
        return self.store.fold.view()

    def append(
        self, entries: collections.abc.Sequence, deadline_ms: clock.Millis
    ) -> list[agreement.EntryResult]:
        """Append entries, or raise the error configured by the test."""
        if self.store.down:
            raise errors.QuetzalwardError(
                errors.ErrorKind.LOG_UNAVAILABLE, "down"
            )
        self.seq += 1
        result = self.store.append(self.name, self.seq, entries)
        self.appended += entries
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.QuetzalwardError(
                errors.ErrorKind.OUTCOME_UNKNOWN, "answer lost"
            )
        return list(result.results)

    def head_age_ms(self) -> clock.Millis:
        """Return 0, because the fold is always current."""
        return 0

    def wait_for(
        self, position: int, deadline_ms: clock.Millis
    ) -> agreement.ControlView | None:
        """Return the newest view."""
        return self.state()


@attrs.define
class EngineHost:
    """Process and current assignment of a host."""

    row: _platform.ListedHost
    alive: bool = True
    target: str = ""
    epoch: int = 0
    fencing: int = 0


@attrs.define
class Engine:
    """Engine that an `assign` order formed from hosts."""

    target: str
    epoch: int
    members: dict[str, int]
    model: str
    models: tuple[str, ...] = ()
    loading_since_ms: clock.Millis | None = None
    running: int = 0


class Platform:
    """Simulates hosts, their engines and the host list."""

    def __init__(
        self,
        manual_clock: clock.ManualClock,
        zones: int,
        domains: int,
        hosts: int,
    ) -> None:
        """Create live hosts, named after zone, domain and number."""
        self.clock = manual_clock
        self.honours_fencing = False
        self.partitioned = False
        self.orders: list[_platform.Order] = []
        self.hosts: dict[str, EngineHost] = {}
        self.engines: dict[str, Engine] = {}
        self.state_by_host: dict[str, str] = {}
        self.list_age_ms = 0
        for zone in range(zones):
            for domain in range(domains):
                for number in range(hosts):
                    name = f"z{zone}-d{domain}-h{number}"
                    row = _platform.ListedHost(
                        name, f"z{zone}", f"z{zone}-d{domain}", 1, "live", name
                    )
                    self.hosts[name] = EngineHost(row)

    def listing(self) -> _platform.HostListing:
        """Return the host list."""
        rows = {
            name: attrs.evolve(
                host.row, state=self.state_by_host.get(name, "live")
            )
            for name, host in self.hosts.items()
            if self.state_by_host.get(name) != "gone"
        }
        return _platform.HostListing(
            self.clock.now_ms() - self.list_age_ms, rows
        )

    def restart(self, name: str) -> None:
        """Restart a host with a new incarnation."""
        host = self.hosts[name]
        row = attrs.evolve(host.row, incarnation=host.row.incarnation + 1)
        self.hosts[name] = EngineHost(row)
        self.state_by_host.pop(name, None)

    def report(self, engine_url: str) -> _platform.EngineReport | None:
        """Return the report of a host's engine."""
        host = self.hosts[engine_url]
        gone = self.state_by_host.get(engine_url) == "gone"
        if not host.alive or gone or self.partitioned:
            return None
        engine = self.engines.get(host.target)
        if engine is None or engine.epoch != host.epoch:
            own = {host.row.host: host.row.incarnation}
            return _platform.EngineReport("", 0, own, "empty")
        present = {
            name: incarnation
            for name, incarnation in engine.members.items()
            if self.has_member(name, incarnation, engine)
        }
        return _platform.EngineReport(
            engine.target,
            engine.epoch,
            present,
            self.engine_state(engine),
            engine.models,
            engine.running,
        )

    def has_member(self, name: str, incarnation: int, engine: Engine) -> bool:
        """Return whether a member is alive and assigned to the engine."""
        host = self.hosts[name]
        return (
            host.alive
            and self.state_by_host.get(name) != "gone"
            and host.row.incarnation == incarnation
            and (host.target, host.epoch) == (engine.target, engine.epoch)
        )

    def engine_state(self, engine: Engine) -> str:
        """Return the state; a load completes after `LOAD_MS`."""
        since_ms = engine.loading_since_ms
        if since_ms is not None:
            if self.clock.now_ms() - since_ms < LOAD_MS:
                return "loading"
            engine.models = (engine.model,)
            engine.loading_since_ms = None
        return "warm" if engine.models else "empty"

    def order(
        self, engine_url: str, order: _platform.Order
    ) -> _platform.OrderAnswer:
        """Execute an order."""
        self.orders.append(order)
        host = self.hosts[engine_url]
        if not host.alive or self.partitioned:
            return _platform.OrderAnswer(0, "no answer")
        if self.honours_fencing and order.fencing < host.fencing:
            return _platform.OrderAnswer(409, "old_fencing")
        host.fencing = max(host.fencing, order.fencing)
        if order.kind == "assign":
            return self.assign(order)
        if host.target != order.group:
            return _platform.OrderAnswer(409, "other_group")
        engine = self.engines[host.target]
        if order.kind == "load" and not engine.models:
            engine.loading_since_ms = self.clock.now_ms()
        if order.kind == "unload":
            for name in engine.members:
                if self.hosts[name].target == engine.target:
                    self.hosts[name].target = ""
        return _platform.OrderAnswer(200)

    def assign(self, order: _platform.Order) -> _platform.OrderAnswer:
        """Assign hosts to a group, even if they belong to another one."""
        for name, incarnation in order.hosts:
            host = self.hosts[name]
            if not host.alive or host.row.incarnation != incarnation:
                return _platform.OrderAnswer(409, "host_unavailable", name)
        for name, _ in order.hosts:
            self.hosts[name].target = order.group
            self.hosts[name].epoch = order.epoch
        self.engines[order.group] = Engine(
            order.group, order.epoch, dict(order.hosts), order.model
        )
        return _platform.OrderAnswer(200)


class InlineWorkers:
    """Runs calls synchronously, or queues them while `held`."""

    def __init__(self) -> None:
        """Create workers without queued calls."""
        self.held = False
        self.calls: list[typing.Callable[[], None]] = []

    def submit(self, call: typing.Callable[[], None]) -> None:
        """Run or queue a call."""
        if self.held:
            self.calls.append(call)
        else:
            call()

    def run_held(self) -> None:
        """Run the queued calls, as after a pause of the process."""
        self.held = False
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class Node:
    """Node with a group manager for each zone."""

    def __init__(
        self,
        store: Store,
        platform: Platform,
        name: str,
        zone: str,
        zones: typing.Iterable[str],
    ) -> None:
        """Create a manager per zone."""
        self.log = Log(store, name)
        self.workers = InlineWorkers()
        self.platform = platform
        self.managers = {
            managed: _manager.ZoneManager(
                _lease.ZoneLease(
                    self.log, platform.clock, managed, name, zone
                ),
                self.log,
                platform,
                self.workers,
                platform.clock,
                control.ConfigurationHolder(self.log.state).current,
            )
            for managed in zones
        }

    def tick(self) -> None:
        """Run one tick of every manager."""
        for manager in self.managers.values():
            manager.tick(self.platform.listing())
