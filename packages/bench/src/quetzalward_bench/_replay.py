"""Replay of a schedule against a formation policy."""

import collections
import functools
import heapq
import itertools
import time
import typing

import attrs

from quetzalward_bench import _failures
from quetzalward_core import clock
from quetzalward_core import formation

ASSIGN_MS = 1_000
# Time of a load if no host holds the weights, and the least time of one.
LOAD_MS = 120_000
MIN_LOAD_MS = 20_000
DRAIN_MS = 30_000
# Plans are made at most once in this time, as a manager's ticks.
TICK_MS = 1_000

_KIND = formation.ActionKind
_STATE = formation.GroupState


@attrs.define
class Totals:
    """What a policy cost over the measured time."""

    downtime_group_ms: int = 0
    stranded_host_ms: int = 0
    # Time in which a declared model had no replica at all.
    uncovered_ms: int = 0
    forms: int = 0
    store_loads: int = 0
    plans: int = 0
    plan_s: float = 0.0
    slowest_plan_s: float = 0.0


class Replay:
    """One policy and the fleet that it changes."""

    def __init__(
        self, scenario: _failures.Scenario, options: formation.Options
    ) -> None:
        """Start with all hosts live and no group."""
        self._fleet = scenario.fleet
        self._end_ms = scenario.end_ms
        self._options = options
        self._numbers = itertools.count()
        self._timers: list[tuple[int, int, typing.Callable[[], None]]] = []
        self._missing_since: dict[str, clock.Millis] = {}
        self._now_ms = 0
        self._epoch = 1
        self.totals = Totals()
        for event in scenario.events:
            self._at(event.at_ms, functools.partial(self._happen, event))

    def _at(self, at_ms: int, call: typing.Callable[[], None]) -> None:
        heapq.heappush(self._timers, (at_ms, next(self._numbers), call))

    def run(self) -> Totals:
        """Replay to the end."""
        self._preload()
        while self._timers and self._timers[0][0] <= self._end_ms:
            # Everything within one tick is planned for together.
            tick_ms = -(-self._timers[0][0] // TICK_MS) * TICK_MS
            while self._timers and self._timers[0][0] <= tick_ms:
                at_ms, _, call = heapq.heappop(self._timers)
                self._advance(at_ms)
                call()
            self._advance(tick_ms)
            self._plan()
        self._advance(self._end_ms)
        return self.totals

    def _preload(self) -> None:
        """Form all groups and let them serve at once."""
        self._plan()
        self._timers = [t for t in self._timers if t[0] > ASSIGN_MS]
        heapq.heapify(self._timers)
        for name, group in list(self._fleet.groups.items()):
            loaded = self._loaded(group)
            groups = {**self._fleet.groups, name: loaded}
            self._fleet = attrs.evolve(self._fleet, groups=groups)

    def _advance(self, now_ms: int) -> None:
        """Account for the time since the last change."""
        since_ms = now_ms - max(self._now_ms, _failures.HOUR_MS)
        self._now_ms = max(now_ms, self._now_ms)
        if since_ms <= 0:
            return
        fleet, totals = self._fleet, self.totals
        serving: collections.Counter[str] = collections.Counter()
        used = 0
        for group in fleet.groups.values():
            if group.state is _STATE.SERVING and self._whole(group):
                serving[group.model] += 1
                used += len(group.incarnations)
        missing_hosts = 0
        for name, model in fleet.models.items():
            missing = max(0, model.replicas - serving[name])
            totals.downtime_group_ms += missing * since_ms
            missing_hosts += missing * model.hosts_per_replica
            totals.uncovered_ms += since_ms * (serving[name] == 0)
        if missing_hosts:
            idle = self._live() - used
            stranded = min(max(0, idle), missing_hosts)
            totals.stranded_host_ms += stranded * since_ms

    def _live(self) -> int:
        """Return how many hosts are there and not out of use."""
        return sum(
            host.presence is not formation.Presence.MISSING
            and host.zone not in self._fleet.zones_out
            for host in self._fleet.hosts.values()
        )

    def _whole(self, group: formation.Group) -> bool:
        """Tell whether a group's hosts are all there (R1)."""
        return not any(
            name in self._missing_since
            or self._fleet.hosts[name].incarnation != incarnation
            for name, incarnation in group.incarnations.items()
        )

    def _happen(self, event: _failures.Event) -> None:
        """Change hosts or a zone."""
        fleet = self._fleet
        if event.kind in ("out", "in"):
            out = fleet.zones_out - set(event.names)
            if event.kind == "out":
                out |= set(event.names)
            self._fleet = attrs.evolve(fleet, zones_out=out)
            return
        hosts = dict(fleet.hosts)
        for name in event.names:
            hosts[name] = self._changed(hosts[name], event.kind)
        self._fleet = attrs.evolve(fleet, hosts=hosts)

    def _changed(self, host: formation.Host, kind: str) -> formation.Host:
        """Return a host after an event."""
        if kind == "lose":
            self._missing_since.setdefault(host.host, self._now_ms)
            after_ms = self._now_ms + formation.REFORM_AFTER_MS
            self._at(after_ms, lambda: None)
            return attrs.evolve(host, presence=formation.Presence.MISSING)
        if kind == "leave":
            if host.presence is formation.Presence.MISSING:
                return host
            return attrs.evolve(host, presence=formation.Presence.LEAVING)
        self._missing_since.pop(host.host, None)
        host = attrs.evolve(
            host, presence=formation.Presence.LIVE, missing_ms=0
        )
        if kind == "restart":
            incarnation = host.incarnation + 1
            return attrs.evolve(host, incarnation=incarnation, held_model=None)
        return host

    def _plan(self) -> None:
        """Make a plan, carry it out, and set timers for its effects."""
        hosts = dict(self._fleet.hosts)
        for name, since_ms in self._missing_since.items():
            missing_ms = self._now_ms - since_ms
            hosts[name] = attrs.evolve(hosts[name], missing_ms=missing_ms)
        self._fleet = attrs.evolve(self._fleet, hosts=hosts)
        started_s = time.perf_counter()
        plan = formation.make_plan(self._fleet, self._options)
        taken_s = time.perf_counter() - started_s
        self.totals.plans += 1
        self.totals.plan_s += taken_s
        self.totals.slowest_plan_s = max(self.totals.slowest_plan_s, taken_s)
        if not plan.actions:
            return
        before = self._fleet.groups
        self._fleet = formation.apply_plan(self._fleet, plan, self._epoch)
        forms = len(plan.of_kind(_KIND.FORM))
        self._epoch += forms
        if self._now_ms >= _failures.HOUR_MS:
            self.totals.forms += forms
        for name in self._fleet.groups.keys() - before.keys():
            self._later(name, ASSIGN_MS, self._assigned)
        for action in plan.actions:
            if action.kind is _KIND.DRAIN:
                self._later(action.group, DRAIN_MS, self._drained)
            elif action.kind is _KIND.LOAD:
                self._load(action.group)

    def _later(
        self,
        name: str,
        delay_ms: int,
        change: typing.Callable[[formation.Group], formation.Group],
    ) -> None:
        """Change a group after a time if its state is still the same."""
        state = self._fleet.groups[name].state

        def call() -> None:
            group = self._fleet.groups.get(name)
            if group is not None and group.state is state:
                groups = {**self._fleet.groups, name: change(group)}
                self._fleet = attrs.evolve(self._fleet, groups=groups)

        self._at(self._now_ms + delay_ms, call)

    @staticmethod
    def _assigned(group: formation.Group) -> formation.Group:
        return attrs.evolve(group, state=_STATE.LOADING)

    @staticmethod
    def _drained(group: formation.Group) -> formation.Group:
        return attrs.evolve(group, drained=True)

    def _loaded(self, group: formation.Group) -> formation.Group:
        """Return a group in service; its hosts hold the weights now."""
        hosts = dict(self._fleet.hosts)
        for name, incarnation in group.incarnations.items():
            if hosts[name].incarnation == incarnation:
                hosts[name] = attrs.evolve(hosts[name], held_model=group.model)
        self._fleet = attrs.evolve(self._fleet, hosts=hosts)
        return attrs.evolve(group, state=_STATE.SERVING, load_started=False)

    def _load(self, name: str) -> None:
        """Load weights; hosts that hold them take no time."""
        group = self._fleet.groups[name]
        missing = sum(
            self._fleet.hosts[host].held_model != group.model
            for host in group.incarnations
        )
        if missing and self._now_ms >= _failures.HOUR_MS:
            self.totals.store_loads += 1
        share = missing / len(group.incarnations)
        load_ms = max(MIN_LOAD_MS, int(share * LOAD_MS))
        self._later(name, load_ms, self._loaded)
