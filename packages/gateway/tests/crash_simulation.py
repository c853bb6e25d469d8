"""Simulation of crashing requests: how many targets crash, what is blocked.

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
from quetzalward_gateway import _crash_guard
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
SERVICE = "s"
# Pause of a caller before it repeats a request that failed, and how often.
REPEAT_PAUSE_MS = 200
MAX_REPEATS = 30


def _bad_request(number: int) -> str:
    return quarantine.request_trait("c", b"POST", "h", b"/bad", b"%d" % number)


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
    # If not 0, bad requests have sound parts and are repeats of so many.
    bad_requests: int = 0
    # Whether callers repeat sound requests that failed.
    repeats: bool = False
    # Whether a crash leaves the phase of its answers open, as at a service
    # without streams.
    plain: bool = False
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
    crashes_ms_by_request: dict[str, list[int]] = attrs.field(factory=dict)
    sent_ms_by_request: dict[str, list[int]] = attrs.field(factory=dict)
    repeated: int = 0
    blocked: set[frozenset[str]] = attrs.field(factory=set)
    all_know_ms: int | None = None
    sound: int = 0
    sound_refused: int = 0
    # Sound requests that were refused while they were held, and trials.
    sound_held: int = 0
    sound_trials: int = 0

    def late_bad_requests(self, contact_ms: int = 3_000) -> int:
        """Return the bad requests sent too late after the fifth crash."""
        if len(self.crashes_ms) < 5:
            return 0
        bound_ms = self.crashes_ms[4] + contact_ms
        return sum(at_ms > bound_ms for at_ms in self.bad_sent_ms)

    def late_repeats(self, contact_ms: int = 3_000) -> int:
        """Return the most repeats of one request sent too late."""
        late = [0]
        for request, crashes_ms in self.crashes_ms_by_request.items():
            if len(crashes_ms) >= 3:
                bound_ms = crashes_ms[2] + contact_ms
                sent_ms = self.sent_ms_by_request[request]
                late.append(sum(at_ms > bound_ms for at_ms in sent_ms))
        return max(late)


@attrs.define(eq=False)
class _Request:
    name: str
    node: int
    parts: tuple[str, ...]
    # The trait of the whole request.
    identity: str
    arrivals: int = 1
    executions: int = 0
    group: int = -1
    begun_ms: int | None = None
    first_event_ms: int | None = None

    @property
    def traits(self) -> tuple[str, ...]:
        """Return what other requests may share with this one."""
        return (*self.parts, self.identity)


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
                block.traits for block in node.state.quarantine.blocks
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
        count = self._scenario.bad_requests
        if not count:
            self._send((self._part(), BAD_PART))
            return
        self._send(("part0",), _bad_request(self._rng.randrange(count)))

    def _send(self, parts: tuple[str, ...], identity: str = "") -> None:
        node = self._rng.randrange(self._scenario.nodes)
        name = f"r{next(self._names)}"
        if not identity:
            identity = quarantine.request_trait(
                "c", b"POST", "h", b"/", name.encode()
            )
        self._try(_Request(name, node, parts, identity))

    def _is_bad(self, request: _Request) -> bool:
        bad = map(_bad_request, range(self._scenario.bad_requests))
        return BAD_PART in request.parts or request.identity in set(bad)

    def _fail(self, request: _Request) -> None:
        """Let the caller of a sound request come again."""
        if (
            not self._scenario.repeats
            or self._is_bad(request)
            or request.arrivals > MAX_REPEATS
        ):
            return
        self.result.repeated += 1
        again = _Request(
            f"r{next(self._names)}",
            self._rng.randrange(self._scenario.nodes),
            request.parts,
            request.identity,
            request.arrivals + 1,
        )
        self._at(self._now_ms + REPEAT_PAUSE_MS, lambda: self._try(again))

    def _wait_for_trial(self, request: _Request) -> None:
        trials = self._nodes[request.node].state.trials
        end_ms = self._now_ms + _crash_guard.TRIAL_WAIT_MS

        def poll() -> None:
            if trials.take(request.identity):
                trials.end_wait(request.identity)
                self.result.sound_trials += not self._is_bad(request)
                self._try(request, is_trial=True)
            elif self._now_ms >= end_ms:
                trials.end_wait(request.identity)
                self.result.sound_held += not self._is_bad(request)
                self._fail(request)
            else:
                self._at(self._now_ms + 10, poll)

        if request.identity in trials.waiting:
            self.result.sound_held += not self._is_bad(request)
            self._fail(request)
            return
        trials.waiting.add(request.identity)
        poll()

    def _ask_for_trials(self) -> None:
        if self._holder is None:
            return
        for index, node in enumerate(self._nodes):
            for ask in node.control.trial_requests(self._term):
                if index == self._holder:
                    self._grant_trial(ask, node)
                else:
                    self._deliver(
                        lambda a=ask, n=node: self._grant_trial(a, n)
                    )

    def _grant_trial(
        self, ask: coordination.TrialRequest, node: _Node
    ) -> None:
        if self._holder is None:
            return
        control = self._nodes[self._holder].control
        if control.grant_trial(ask, self._now_ms):
            self._deliver(lambda: node.state.trials.grant(ask.request))

    def _try(self, request: _Request, is_trial: bool = False) -> None:
        state = self._nodes[request.node].state
        if state.quarantine.blocking(request.traits) is not None:
            self.result.sound_refused += not self._is_bad(request)
            return
        if not is_trial and request.identity in state.trials.held:
            self._wait_for_trial(request)
            return
        open_groups = [
            group
            for group in range(self._scenario.groups)
            if self._down_until_ms[group] <= self._now_ms
        ]
        if not open_groups:
            self._fail(request)
            return
        request.group = self._rng.choice(open_groups)
        request.executions += 1
        request.begun_ms = request.first_event_ms = None
        self._running[request.group].add(request)
        if self._is_bad(request):
            self.result.bad_sent_ms.append(self._now_ms)
            self.result.sent_ms_by_request.setdefault(
                request.identity, []
            ).append(self._now_ms)
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
        if self._is_bad(request):
            self._step(request, FIRST_EVENT_MS, self._crash_under)
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
                request.traits, request.begun_ms
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

    def _crash_under(self, request: _Request) -> None:
        self.result.crashes_ms_by_request.setdefault(
            request.identity, []
        ).append(self._now_ms)
        self._crash(request.group)

    def _crash(self, group: int) -> None:
        if self._down_until_ms[group] > self._now_ms:
            return
        cut = self._running.pop(group, set())
        if any(map(self._is_bad, cut)):
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
                    request.name,
                    life,
                    request.traits,
                    weight,
                    self._now_ms,
                    service=SERVICE,
                )
            )
            node.has_news = True
        if request.executions >= _streaming.MAX_EXECUTIONS_ON_LOSS:
            self._fail(request)
            return
        if weight == quarantine.BEGUN_WEIGHT:
            wait_ms = _streaming.EVIDENCE_WAIT_MS
            self._at(self._now_ms + wait_ms, lambda: self._retry(request))
        else:
            self._try(request)

    def _weight(self, request: _Request) -> int:
        if request.begun_ms is None or self._scenario.plain:
            return quarantine.CONTEXT_WEIGHT
        if request.first_event_ms is None:
            return quarantine.BEGUN_WEIGHT
        if self._now_ms - request.first_event_ms < quarantine.SETTLED_MS:
            return quarantine.CONTEXT_WEIGHT
        return 0

    def _retry(self, request: _Request) -> None:
        state = self._nodes[request.node].state
        if not state.quarantine.suspects.isdisjoint(
            request.traits
        ) or state.evidence.has_suspect(request.traits, self._now_ms):
            self._fail(request)
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
        self._ask_for_trials()
        holds = holder.control.holds_due(self._term, self._now_ms)
        if holds is not None:
            for index, node in enumerate(self._nodes):
                if index != self._holder:
                    self._deliver(
                        lambda n=node: n.control.apply_holds(
                            holds, self._now_ms
                        )
                    )
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
        bad = ("part0", BAD_PART, _bad_request(0))
        if self.result.all_know_ms is None and all(
            n.state.quarantine.blocking(bad) for n in self._nodes
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


def repeat_scenarios() -> dict[str, Scenario]:
    """Return scenarios with bad requests that come again unchanged."""
    scenarios = {}
    for nodes, (groups, per_s) in SIZES.items():
        for bad_per_s in (1.0, 12.0, 30.0, 60.0):
            for count in (1, 3):
                name = f"{nodes} nodes, {count} requests, {bad_per_s:g} a s"
                scenarios[name] = Scenario(
                    nodes,
                    groups,
                    per_s,
                    60,
                    bad_per_s=bad_per_s,
                    bad_requests=count,
                    repeats=True,
                    seconds=19.0,
                )
    small = Scenario(
        7, 12, 75.0, 60, 2.0, bad_requests=1, repeats=True, seconds=24.0
    )
    for name, changes in {
        "takeover": {"takeover_ms": 1_000},
        "zone every 2 s": {"outage_interval_ms": 2_000},
        "one in 8 s": {"bad_per_s": 0.125, "seconds": 120.0},
        "three targets": {"groups": 3, "sound_per_s": 10.0, "plain": True},
    }.items():
        scenarios[f"7 nodes, 1 request, {name}"] = attrs.evolve(
            small, **changes
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
    for name, scenario in list(scenarios.items()):
        scenarios[f"{name}, repeats"] = attrs.evolve(scenario, repeats=True)
        if scenario.nodes <= 64:
            scenarios[f"{name}, repeats, plain"] = attrs.evolve(
                scenario, repeats=True, plain=True
            )
    for share in (1.0, 0.34):
        scenarios[f"7 nodes, three targets, share {share:g}"] = Scenario(
            7,
            3,
            10.0,
            1,
            outage_interval_ms=1_500,
            outage_share=share,
            restart_ms=700,
            repeats=True,
            plain=True,
            seconds=60.0,
        )
    return scenarios


def is_bad_block(traits: frozenset[str]) -> bool:
    """Tell whether a block holds nothing but bad requests."""
    bad = {BAD_PART, *map(_bad_request, range(3))}
    return bool(bad & traits)


def main() -> None:
    """Print the figures of all scenarios, over some seeds each."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    for name, scenario in {
        **bad_scenarios(),
        **repeat_scenarios(),
        **sound_scenarios(),
    }.items():
        if pattern not in name:
            continue
        seeds = 10 if scenario.nodes <= 64 else 3
        results = [Simulation(scenario, n).run() for n in range(seeds)]
        row = {
            "scenario": name,
            "seeds": seeds,
            "crashes": [len(r.crashes_ms) for r in results],
            "late": [
                (
                    r.late_repeats()
                    if scenario.bad_requests
                    else r.late_bad_requests()
                )
                for r in results
            ],
            "known_after_ms": [
                (
                    None
                    if r.all_know_ms is None or not r.crashes_ms
                    else r.all_know_ms - r.crashes_ms[0]
                )
                for r in results
            ],
            "wrong_blocks": [
                sum(not is_bad_block(block) for block in r.blocked)
                for r in results
            ],
            "repeated": sum(r.repeated for r in results),
            "sound_held": sum(r.sound_held for r in results),
            "sound_trials": sum(r.sound_trials for r in results),
            "sound_refused": [r.sound_refused for r in results],
            "sound": sum(r.sound for r in results),
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
