"""Simulation of crashing prompts: how many targets crash, what is blocked.

Every node runs the gateway's own control of the quarantine; callers, groups
and datagrams are simulated. `python crash_simulation.py` prints the figures of
docs/decisions/quarantine.md.
"""

import collections
import heapq
import itertools
import json
import random
import sys
import typing

import attrs
import fakes

from quetzalward_core import coordination
from quetzalward_core import quarantine
from quetzalward_gateway import _quarantine_control
from quetzalward_gateway import _streaming

TICK_MS = 50
TRANSIT_MS = 5
# From the arrival of a request to the head of its answer, from there to its
# first event or its crash, and from there to its end.
PREFILL_MS = 60
FIRST_EVENT_MS = 60
WRITING_MS = 1_400
# Time without faults and bad requests.
WARM_UP_MS = 4_000
BAD_PART = "bad"


@attrs.frozen
class Scenario:
    """Load, faults and size of one simulation."""

    nodes: int
    groups: int
    # Sound requests a second, and parts that they share.
    sound_per_s: float
    parts: int
    # Requests a second with the bad part, 0 for none.
    bad_per_s: float = 0.0
    # Mean time between crashes of one group, 0 for none.
    group_mtbf_ms: float = 0.0
    # Time between crashes of a share of the groups at once, 0 for none.
    outage_interval_ms: float = 0.0
    outage_share: float = 0.34
    restart_ms: int = 3_000
    # Share of the sound requests that have the first part.
    hot_share: float = 0.0
    loss: float = 0.02
    seconds: float = 20.0
    # When the holder is replaced after the first bad request, 0 for never.
    takeover_ms: float = 0.0


@attrs.define
class Result:
    """What happened to targets and prompts."""

    crashes_ms: list[int] = attrs.field(factory=list)
    bad_sent_ms: list[int] = attrs.field(factory=list)
    blocked: set[frozenset[str]] = attrs.field(factory=set)
    all_know_ms: int | None = None
    sound: int = 0
    sound_refused: int = 0

    def late_bad_requests(self, contact_ms: int = 3_000) -> int:
        """Return the bad requests sent too late after the fifth crash."""
        if len(self.crashes_ms) < 5:
            return 0
        bound_ms = self.crashes_ms[4] + contact_ms
        return sum(at_ms > bound_ms for at_ms in self.bad_sent_ms)


@attrs.define(eq=False)
class _Request:
    name: str
    node: int
    parts: tuple[str, ...]
    executions: int = 0
    group: int = -1
    begun_ms: int | None = None
    first_event_ms: int | None = None


class _Node:
    def __init__(self, name: str) -> None:
        self.runtime = fakes.Runtime()
        self.control = _quarantine_control.QuarantineControl(
            typing.cast(typing.Any, self.runtime), name
        )
        self.state = self.runtime.state
        self.has_news = False


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Create the nodes; the first one holds the term."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._nodes = [_Node(f"n{n}") for n in range(scenario.nodes)]
        self._holder: int | None = 0
        self._term = 1
        self._events: list[tuple[int, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = itertools.count()
        self._now_ms = 0
        self._running: dict[int, set[_Request]] = collections.defaultdict(set)
        self._down_until_ms = [0] * scenario.groups
        self._life = [0] * scenario.groups
        self.result = Result()

    def run(self) -> Result:
        """Run until the end and return what happened."""
        scenario = self._scenario
        for node in self._nodes:
            node.control.follow_term(1, 0)
        self._nodes[0].control.begin_term(0)
        self._at(0, self._tick)
        self._next(scenario.sound_per_s, self._sound)
        self._at(WARM_UP_MS, lambda: self._next(scenario.bad_per_s, self._bad))
        if scenario.group_mtbf_ms:
            rate = 1_000 * scenario.groups / scenario.group_mtbf_ms
            self._next(rate, self._background)
        if scenario.outage_interval_ms:
            self._at(WARM_UP_MS, self._outage)
        if scenario.takeover_ms:
            self._at(WARM_UP_MS + int(scenario.takeover_ms), self._lose_holder)
        interval_ms = coordination.message_interval_ms(scenario.nodes)
        for index in range(scenario.nodes):
            delay_ms = int(self._rng.uniform(0, interval_ms))
            self._at(delay_ms, lambda i=index: self._status(i))
        end_ms = int(1_000 * scenario.seconds)
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        for node in self._nodes:
            self.result.blocked.update(
                block.parts for block in node.state.quarantine.blocks
            )
        return self.result

    def _at(self, at_ms: int, action: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def _next(self, per_s: float, action: typing.Callable[[], None]) -> None:
        if per_s:
            delay_ms = 1_000 * self._rng.expovariate(per_s)

            def arrive() -> None:
                action()
                self._next(per_s, action)

            self._at(self._now_ms + max(1, int(delay_ms)), arrive)

    # Requests.

    def _part(self) -> str:
        if self._rng.random() < self._scenario.hot_share:
            return "part0"
        rank = self._scenario.parts * self._rng.random() ** 2
        return f"part{int(rank)}"

    def _sound(self) -> None:
        self.result.sound += 1
        self._send((self._part(),))

    def _bad(self) -> None:
        self._send((self._part(), BAD_PART))

    def _send(self, parts: tuple[str, ...]) -> None:
        node = self._rng.randrange(self._scenario.nodes)
        self._try(_Request(f"r{next(self._names)}", node, parts))

    def _try(self, request: _Request) -> None:
        state = self._nodes[request.node].state
        if state.quarantine.blocking(request.parts) is not None:
            self.result.sound_refused += BAD_PART not in request.parts
            return
        open_groups = [
            group
            for group in range(self._scenario.groups)
            if self._down_until_ms[group] <= self._now_ms
        ]
        if not open_groups:
            return
        request.group = self._rng.choice(open_groups)
        request.executions += 1
        request.begun_ms = request.first_event_ms = None
        self._running[request.group].add(request)
        if BAD_PART in request.parts:
            self.result.bad_sent_ms.append(self._now_ms)
        self._step(request, PREFILL_MS, self._begin)

    def _step(
        self,
        request: _Request,
        delay_ms: float,
        action: typing.Callable[[_Request], None],
    ) -> None:
        execution = request.executions
        delay_ms *= self._rng.uniform(0.5, 1.5)

        def step() -> None:
            is_running = request in self._running[request.group]
            if is_running and request.executions == execution:
                action(request)

        self._at(self._now_ms + int(delay_ms), step)

    def _begin(self, request: _Request) -> None:
        request.begun_ms = self._now_ms
        if BAD_PART in request.parts:
            self._step(request, FIRST_EVENT_MS, lambda r: self._crash(r.group))
        else:
            self._step(request, FIRST_EVENT_MS, self._first_event)

    def _first_event(self, request: _Request) -> None:
        request.first_event_ms = self._now_ms
        self._step(request, WRITING_MS, self._complete)
        # An answer settles while it is written.
        execution = request.executions

        def settle() -> None:
            if request.executions == execution:
                self._settle(request)

        self._at(self._now_ms + quarantine.SETTLED_MS, settle)

    def _settle(self, request: _Request) -> None:
        is_running = request in self._running[request.group]
        if is_running and request.begun_ms is not None:
            self._nodes[request.node].state.evidence.record_sound(
                request.parts, request.begun_ms
            )

    def _complete(self, request: _Request) -> None:
        self._settle(request)
        self._running[request.group].discard(request)

    # Crashes.

    def _background(self) -> None:
        self._crash(self._rng.randrange(self._scenario.groups))

    def _outage(self) -> None:
        scenario = self._scenario
        count = int(scenario.outage_share * scenario.groups)
        for group in self._rng.sample(range(scenario.groups), count):
            self._crash(group)
        self._at(self._now_ms + int(scenario.outage_interval_ms), self._outage)

    def _crash(self, group: int) -> None:
        if self._down_until_ms[group] > self._now_ms:
            return
        cut = self._running.pop(group, set())
        if any(BAD_PART in request.parts for request in cut):
            self.result.crashes_ms.append(self._now_ms)
        self._down_until_ms[group] = self._now_ms + self._scenario.restart_ms
        life = f"g{group}/{self._life[group]}"
        self._life[group] += 1
        for request in sorted(cut, key=lambda r: r.name):
            self._cut(request, life)

    def _cut(self, request: _Request, life: str) -> None:
        weight = self._weight(request)
        node = self._nodes[request.node]
        if weight:
            node.state.evidence.record_crash(
                quarantine.Crash(
                    request.name, life, request.parts, weight, self._now_ms
                )
            )
            node.has_news = True
        if request.executions >= _streaming.MAX_EXECUTIONS_ON_LOSS:
            return
        if weight == quarantine.BEGUN_WEIGHT:
            wait_ms = _streaming.EVIDENCE_WAIT_MS
            self._at(self._now_ms + wait_ms, lambda: self._retry(request))
        else:
            self._try(request)

    def _weight(self, request: _Request) -> int:
        if request.begun_ms is None:
            return quarantine.CONTEXT_WEIGHT
        if request.first_event_ms is None:
            return quarantine.BEGUN_WEIGHT
        if self._now_ms - request.first_event_ms < quarantine.SETTLED_MS:
            return quarantine.CONTEXT_WEIGHT
        return 0

    def _retry(self, request: _Request) -> None:
        state = self._nodes[request.node].state
        for part in request.parts:
            if part in state.quarantine.suspects:
                return
            if state.evidence.is_suspect(part, self._now_ms):
                return
        self._try(request)

    # Messages.

    def _deliver(self, action: typing.Callable[[], None]) -> None:
        if self._rng.random() >= self._scenario.loss:
            delay_ms = 1 + self._rng.randrange(TRANSIT_MS)
            self._at(self._now_ms + delay_ms, action)

    def _status(self, index: int) -> None:
        interval_ms = coordination.message_interval_ms(self._scenario.nodes)
        self._report(index)
        self._at(self._now_ms + int(interval_ms), lambda: self._status(index))

    def _report(self, index: int) -> None:
        holder, node = self._holder, self._nodes[index]
        node.has_news = False
        if holder is None or index == holder:
            return
        report = node.control.report(self._term, self._now_ms)
        if report is not None:
            self._deliver(
                lambda: self._nodes[holder].control.record(
                    report, self._now_ms
                )
            )

    def _tick(self) -> None:
        self._at(self._now_ms + TICK_MS, self._tick)
        for index, node in enumerate(self._nodes):
            if node.has_news:
                self._report(index)
        if self._holder is None:
            return
        holder = self._nodes[self._holder]
        interval_ms = coordination.message_interval_ms(self._scenario.nodes)
        holder.control.run(self._now_ms, interval_ms)
        view = holder.control.view_due(self._term, self._now_ms)
        if view is None:
            return
        for index, node in enumerate(self._nodes):
            if index != self._holder:
                self._deliver(lambda n=node: self._apply(n, view))

    def _apply(self, node: _Node, view: coordination.QuarantineView) -> None:
        if view.term != self._term:
            return
        node.control.apply_view(view)
        if self.result.all_know_ms is None and all(
            n.state.quarantine.blocking(("part0", BAD_PART))
            for n in self._nodes
        ):
            self.result.all_know_ms = self._now_ms

    def _lose_holder(self) -> None:
        """The holder ends; its successor begins 1.4 s later."""
        assert self._holder is not None
        self._nodes[self._holder].control.end_term()
        self._holder = None
        self._at(self._now_ms + 1_400, self._take_over)

    def _take_over(self) -> None:
        self._holder = 1
        self._term += 1
        for node in self._nodes:
            node.control.follow_term(self._term, self._now_ms)
        self._nodes[1].control.begin_term(self._now_ms)


# Groups and sound requests a second by number of nodes.
SIZES = {7: (12, 75.0), 64: (40, 300.0), 195: (70, 500.0), 390: (140, 700.0)}


def bad_scenarios() -> dict[str, Scenario]:
    """Return scenarios with one bad part."""
    scenarios = {}
    for nodes, (groups, per_s) in SIZES.items():
        for parts in (2, 10, 200):
            scenarios[f"{nodes} nodes, {parts} parts"] = Scenario(
                nodes, groups, per_s, parts, bad_per_s=4.0, seconds=19.0
            )
    scenarios["7 nodes, takeover"] = Scenario(
        7, 12, 75.0, 60, bad_per_s=4.0, takeover_ms=1_000, seconds=19.0
    )
    scenarios["7 nodes, zone every 2 s"] = Scenario(
        7, 12, 75.0, 60, bad_per_s=4.0, outage_interval_ms=2_000, seconds=19.0
    )
    scenarios["7 nodes, one request in 4 s"] = Scenario(
        7, 12, 75.0, 60, bad_per_s=0.25, seconds=80.0
    )
    return scenarios


def sound_scenarios() -> dict[str, Scenario]:
    """Return scenarios without a bad part, but with other crashes."""
    scenarios = {}
    for nodes, (groups, per_s) in SIZES.items():
        for parts, hot_share in ((2, 0.0), (60, 0.0), (200, 0.5)):
            name = f"{nodes} nodes, {parts} parts, hot share {hot_share}"
            scenarios[f"{name}, zone every 4 s"] = Scenario(
                nodes,
                groups,
                per_s,
                parts,
                outage_interval_ms=4_000,
                group_mtbf_ms=20_000,
                hot_share=hot_share,
                seconds=20.0,
            )
    for parts in (2, 60, 3_000):
        scenarios[f"7 nodes, {parts} parts, all groups every 0.5 s"] = (
            Scenario(
                7,
                12,
                75.0,
                parts,
                outage_interval_ms=500,
                outage_share=1.0,
                restart_ms=200,
            )
        )
        scenarios[f"7 nodes, {parts} parts, half every second"] = Scenario(
            7,
            12,
            75.0,
            parts,
            outage_interval_ms=1_000,
            outage_share=0.5,
            restart_ms=700,
            group_mtbf_ms=5_000,
        )
    return scenarios


def main() -> None:
    """Print the figures of all scenarios, over some seeds each."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    for name, scenario in {**bad_scenarios(), **sound_scenarios()}.items():
        if pattern not in name:
            continue
        seeds = 10 if scenario.nodes <= 64 else 3
        results = [Simulation(scenario, n).run() for n in range(seeds)]
        row = {
            "scenario": name,
            "seeds": seeds,
            "crashes": [len(r.crashes_ms) for r in results],
            "late": [r.late_bad_requests() for r in results],
            "known_after_ms": [
                (
                    None
                    if r.all_know_ms is None or not r.crashes_ms
                    else r.all_know_ms - r.crashes_ms[0]
                )
                for r in results
            ],
            "wrong_blocks": [
                sum(BAD_PART not in block for block in r.blocked)
                for r in results
            ],
            "sound_refused": [r.sound_refused for r in results],
            "sound": sum(r.sound for r in results),
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
