"""Plays the requests of many nodes onto groups, with loads shared late."""

import collections.abc
import heapq
import itertools
import random

import attrs

from quetzalward_core import fleet
from quetzalward_core import placing

# Returns the name of a group for a prompt of so many tokens.
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
    """A group that reads and writes in passes, as the engines do."""

    slowness: float = 1.0
    waiting: list[_Request] = attrs.field(factory=list)
    writing: list[_Request] = attrs.field(factory=list)
    reading: list[_Request] = attrs.field(factory=list)
    in_pass: bool = False


@attrs.frozen
class Load:
    """Requests of a model, and the fleet that takes them."""

    nodes: int
    groups: int
    per_s: float
    message_ms: float
    prompt_tokens: float
    events: float
    seconds: float = 40.0
    # Groups that are slower than published, and by how much.
    slow_groups: int = 0
    slowness: float = 1.0


@attrs.define
class Result:
    """What callers got."""

    first_ms: list[float] = attrs.field(factory=list)
    refused: int = 0

    def late_share(self, aim_ms: float) -> float:
        """Return the part of all requests without a first event in time."""
        late = sum(1 for value in self.first_ms if value > aim_ms)
        return (late + self.refused) / (len(self.first_ms) + self.refused)


class Player:
    """Plays one load under one policy."""

    def __init__(
        self,
        engine: fleet.Engine,
        model: fleet.Model,
        load: Load,
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
        self._own = [
            {name: [0, 0] for name in self._groups} for _ in range(load.nodes)
        ]
        self._status = [dict(own) for own in self._own]
        self._seen = [
            ({name: [0, 0] for name in self._groups}, 0.0)
            for _ in range(load.nodes)
        ]
        self._order = itertools.count()
        self._heap: list[
            tuple[float, int, collections.abc.Callable[[float], None]]
        ] = []
        self.result = Result()

    def run(self) -> Result:
        """Return what callers got."""
        load = self._load
        for node in range(load.nodes):
            self._at(
                self._rng.random() * load.message_ms, self._status_due(node)
            )
        self._at(0.0, self._view_due)
        self._at(0.0, self._arrival)
        end_ms = load.seconds * 1_000
        while self._heap and self._heap[0][0] <= end_ms:
            now_ms, _, action = heapq.heappop(self._heap)
            action(now_ms)
        return self.result

    def _at(
        self, when_ms: float, action: collections.abc.Callable[[float], None]
    ) -> None:
        heapq.heappush(self._heap, (when_ms, next(self._order), action))

    # Messages.

    def _status_due(
        self, node: int
    ) -> collections.abc.Callable[[float], None]:
        def send(now_ms: float) -> None:
            self._status[node] = {
                name: list(row) for name, row in self._own[node].items()
            }
            self._at(now_ms + self._load.message_ms, send)

        return send

    def _view_due(self, now_ms: float) -> None:
        totals = {name: [0, 0] for name in self._groups}
        for status in self._status:
            for name, row in status.items():
                totals[name][0] += row[0]
                totals[name][1] += row[1]
        for node, status in enumerate(self._status):
            others = {
                name: [row[0] - status[name][0], row[1] - status[name][1]]
                for name, row in totals.items()
            }
            self._seen[node] = (others, now_ms)
        self._at(now_ms + self._load.message_ms, self._view_due)

    # Requests.

    def _arrival(self, now_ms: float) -> None:
        load, rng = self._load, self._rng
        node = rng.randrange(load.nodes)
        prompt = int(load.prompt_tokens * rng.lognormvariate(-0.4, 0.9))
        events = max(1, round(load.events * rng.lognormvariate(-0.3, 0.8)))
        others, view_ms = self._seen[node]
        candidates = [
            placing.Candidate(
                name,
                placing.Load(
                    self._own[node][name][0] + others[name][0],
                    self._own[node][name][1] + others[name][1],
                ),
                group.slowness,
            )
            for name, group in self._groups.items()
        ]
        name = self._policy(candidates, prompt, now_ms - view_ms, rng)
        if name is None:
            self.result.refused += 1
        else:
            row = self._own[node][name]
            row[0] += 1
            row[1] += prompt
            group = self._groups[name]
            group.waiting.append(_Request(node, now_ms, prompt, events))
            if not group.in_pass:
                self._begin_pass(name, now_ms)
        self._at(now_ms + rng.expovariate(load.per_s / 1_000), self._arrival)

    # Groups.

    def _begin_pass(self, name: str, now_ms: float) -> None:
        group = self._groups[name]
        room = self._engine.slots - len(group.writing)
        group.reading = group.waiting[: max(0, room)]
        group.waiting = group.waiting[len(group.reading) :]
        active = len(group.reading) + len(group.writing)
        if not active:
            group.in_pass = False
            return
        group.in_pass = True
        tokens = sum(request.prompt_tokens for request in group.reading)
        pass_ms = placing.pass_ms(self._engine, self._model, active)
        pass_ms += self._model.pace * tokens / self._engine.read_tokens_per_ms
        self._at(
            now_ms + group.slowness * pass_ms,
            lambda ended_ms: self._end_pass(name, ended_ms),
        )

    def _end_pass(self, name: str, now_ms: float) -> None:
        group = self._groups[name]
        for request in group.reading:
            self.result.first_ms.append(now_ms - request.sent_ms)
            self._own[request.node][name][1] -= request.prompt_tokens
        group.writing += group.reading
        group.reading = []
        for request in group.writing:
            request.events_left -= 1
            if request.events_left <= 0:
                self._own[request.node][name][0] -= 1
        group.writing = [r for r in group.writing if r.events_left > 0]
        self._begin_pass(name, now_ms)
