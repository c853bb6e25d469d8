"""Simulation of many nodes that send to groups, with delayed load reports."""

import collections.abc
import heapq
import itertools
import random

import attrs

from quetzalward_core import fleet
from quetzalward_core import placing

# Returns the chosen group's name, or `None` to refuse, from the candidates,
# the prompt tokens, the age of the view in milliseconds and a generator.
Policy = collections.abc.Callable[
    [list[placing.Candidate], int, float, random.Random], str | None
]


@attrs.define
class _Request:
    """A request at a group."""

    node: int
    sent_ms: float
    prompt_tokens: int
    events_left: int


@attrs.define
class _Group:
    """A group that prefills and decodes in passes, as the engines do."""

    slowness: float = 1.0
    waiting: list[_Request] = attrs.field(factory=list)
    decoding: list[_Request] = attrs.field(factory=list)
    prefilling: list[_Request] = attrs.field(factory=list)
    in_pass: bool = False


@attrs.frozen
class Workload:
    """Requests for one model, and the nodes and groups that serve them."""

    nodes: int
    groups: int
    per_s: float
    message_ms: float
    prompt_tokens: float
    events: float
    seconds: float = 40.0
    # Number of groups that are slower than published, and their slowness.
    slow_groups: int = 0
    slowness: float = 1.0


@attrs.define
class Result:
    """Latencies and refusals as seen by callers."""

    first_event_ms: list[float] = attrs.field(factory=list)
    refused: int = 0

    def late_share(self, aim_ms: float) -> float:
        """Return the share of requests refused or later than `aim_ms`."""
        late = sum(1 for value in self.first_event_ms if value > aim_ms)
        return (late + self.refused) / (
            len(self.first_event_ms) + self.refused
        )


class Simulation:
    """Simulates one workload under one policy."""

    def __init__(
        self,
        engine: fleet.Engine,
        model: fleet.Model,
        load: Workload,
        policy: Policy,
        seed: int,
    ) -> None:
        """Prepare idle groups."""
        self._engine = engine
        self._model = model
        self._load = load
        self._policy = policy
        self._rng = random.Random(seed)
        self._groups = {
            f"g{n}": _Group(load.slowness if n < load.slow_groups else 1.0)
            for n in range(load.groups)
        }
        self._own_loads = [
            {name: [0, 0] for name in self._groups} for _ in range(load.nodes)
        ]
        self._reported_loads = [dict(own) for own in self._own_loads]
        self._views = [
            ({name: [0, 0] for name in self._groups}, 0.0)
            for _ in range(load.nodes)
        ]
        self._order = itertools.count()
        self._pending_events: list[
            tuple[float, int, collections.abc.Callable[[float], None]]
        ] = []
        self.result = Result()

    def run(self) -> Result:
        """Run the simulation and return its result."""
        load = self._load
        for node in range(load.nodes):
            self._schedule(
                self._rng.random() * load.message_ms, self._report_action(node)
            )
        self._schedule(0.0, self._update_views)
        self._schedule(0.0, self._arrival)
        end_ms = load.seconds * 1_000
        while self._pending_events and self._pending_events[0][0] <= end_ms:
            now_ms, _, action = heapq.heappop(self._pending_events)
            action(now_ms)
        return self.result

    def _schedule(
        self, when_ms: float, action: collections.abc.Callable[[float], None]
    ) -> None:
        heapq.heappush(
            self._pending_events, (when_ms, next(self._order), action)
        )

    # Messages.

    def _report_action(
        self, node: int
    ) -> collections.abc.Callable[[float], None]:
        def send(now_ms: float) -> None:
            self._reported_loads[node] = {
                name: list(row) for name, row in self._own_loads[node].items()
            }
            self._schedule(now_ms + self._load.message_ms, send)

        return send

    def _update_views(self, now_ms: float) -> None:
        totals = {name: [0, 0] for name in self._groups}
        for status in self._reported_loads:
            for name, row in status.items():
                totals[name][0] += row[0]
                totals[name][1] += row[1]
        for node, status in enumerate(self._reported_loads):
            others = {
                name: [row[0] - status[name][0], row[1] - status[name][1]]
                for name, row in totals.items()
            }
            self._views[node] = (others, now_ms)
        self._schedule(now_ms + self._load.message_ms, self._update_views)

    # Requests.

    def _arrival(self, now_ms: float) -> None:
        load, rng = self._load, self._rng
        node = rng.randrange(load.nodes)
        prompt = int(load.prompt_tokens * rng.lognormvariate(-0.4, 0.9))
        events = max(1, round(load.events * rng.lognormvariate(-0.3, 0.8)))
        others, view_ms = self._views[node]
        candidates = [
            placing.Candidate(
                name,
                placing.Load(
                    self._own_loads[node][name][0] + others[name][0],
                    self._own_loads[node][name][1] + others[name][1],
                ),
                group.slowness,
            )
            for name, group in self._groups.items()
        ]
        name = self._policy(candidates, prompt, now_ms - view_ms, rng)
        if name is None:
            self.result.refused += 1
        else:
            row = self._own_loads[node][name]
            row[0] += 1
            row[1] += prompt
            group = self._groups[name]
            group.waiting.append(_Request(node, now_ms, prompt, events))
            if not group.in_pass:
                self._begin_pass(name, now_ms)
        self._schedule(
            now_ms + rng.expovariate(load.per_s / 1_000), self._arrival
        )

    # Groups.

    def _begin_pass(self, name: str, now_ms: float) -> None:
        group = self._groups[name]
        room = self._engine.slots - len(group.decoding)
        group.prefilling = group.waiting[: max(0, room)]
        group.waiting = group.waiting[len(group.prefilling) :]
        active = len(group.prefilling) + len(group.decoding)
        if not active:
            group.in_pass = False
            return
        group.in_pass = True
        tokens = sum(request.prompt_tokens for request in group.prefilling)
        pass_ms = placing.pass_ms(self._engine, self._model, active)
        pass_ms += self._model.pace * tokens / self._engine.read_tokens_per_ms
        self._schedule(
            now_ms + group.slowness * pass_ms,
            lambda ended_ms: self._end_pass(name, ended_ms),
        )

    def _end_pass(self, name: str, now_ms: float) -> None:
        group = self._groups[name]
        for request in group.prefilling:
            self.result.first_event_ms.append(now_ms - request.sent_ms)
            self._own_loads[request.node][name][1] -= request.prompt_tokens
        group.decoding += group.prefilling
        group.prefilling = []
        for request in group.decoding:
            request.events_left -= 1
            if request.events_left <= 0:
                self._own_loads[request.node][name][0] -= 1
        group.decoding = [r for r in group.decoding if r.events_left > 0]
        self._begin_pass(name, now_ms)
