"""Simulation of targets that limit their requests: what they get, and when.

Every node runs the gateway's own control of the limits; callers, targets and
datagrams are simulated. `python limit_simulation.py` prints the figures of
docs/decisions/shared-bounds.md.
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
from quetzalward_core import fleet
from quetzalward_core import limits
from quetzalward_gateway import _limit_control

TICK_MS = 50
TRANSIT_MS = 5
# From a request to the head of its answer, and to its end.
ANSWER_MS = 60
WRITING_MS = 1_400
# A node that was told this long ago counts.
TOLD_MS = 500
POOL = ("s", "m")
# The platform's bound, and from when after the first answer it holds.
CONTACT_MS = 3_000
WINDOW_MS = 4_000
# A new holder begins this long after the last one ended.
TAKEOVER_MS = 1_400


@attrs.frozen
class Scenario:
    """Load, limits and faults of one simulation."""

    nodes: int
    targets: int
    # Limit of each target, and requests of all callers, a second.
    limit_per_s: float
    demand_per_s: float
    seconds: float = 24.0
    loss: float = 0.02
    # Share of the demand that half of the nodes have.
    skew: float = 0.5
    # When the holder ends, and whether another one follows.
    holder_ends_ms: int = 0
    is_replaced: bool = True
    # When all targets name this limit instead, 0 for never.
    changes_ms: int = 0
    changed_per_s: float | None = None


@attrs.define
class Result:
    """What targets got."""

    # Times of arrival, by target.
    arrivals_ms: dict[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    # The same of the nodes that a target had told.
    told_arrivals_ms: dict[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    all_know_ms: int | None = None
    # From the end of the limits to the first time at which all nodes know.
    all_free_ms: int | None = None

    def most(self, begin_ms: int, end_ms: int, told_only: bool) -> int:
        """Return the most requests that a target got in a window."""
        arrivals_ms = self.told_arrivals_ms if told_only else self.arrivals_ms
        most = 0
        for times_ms in arrivals_ms.values():
            window: collections.deque[int] = collections.deque()
            for at_ms in times_ms:
                if not begin_ms <= at_ms < end_ms:
                    continue
                window.append(at_ms)
                while window[0] <= at_ms - WINDOW_MS:
                    window.popleft()
                most = max(most, len(window))
        return most

    def count(self, begin_ms: int, end_ms: int) -> int:
        """Return the requests that all targets got between two times."""
        return sum(
            begin_ms <= at_ms < end_ms
            for times_ms in self.arrivals_ms.values()
            for at_ms in times_ms
        )


class _Node:
    def __init__(self, name: str, rng: random.Random) -> None:
        self.runtime = fakes.Runtime()
        self.runtime.state.target_limits = limits.TargetLimits(rng)
        self.control = _limit_control.LimitControl(
            typing.cast(typing.Any, self.runtime), name, rng
        )
        self.limits = self.runtime.state.target_limits
        self.has_news = False
        # When a target first named its limit to this node.
        self.told_ms: dict[str, int] = {}


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Create the nodes; the first one holds the term."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._nodes = [
            _Node(f"n{n}", random.Random(f"{seed}-{n}"))
            for n in range(scenario.nodes)
        ]
        self._targets = [
            fleet.Target(f"t{n}", "s", fakes.ADDRESS, "z", False, 0, 1)
            for n in range(scenario.targets)
        ]
        for node in self._nodes:
            for target in self._targets:
                node.runtime.state.directory.put(target, 0)
        self._holder: int | None = 0
        self._term = 1
        self._limit_per_s: float | None = scenario.limit_per_s
        self._events: list[tuple[int, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_ms = 0
        self._active: collections.Counter[str] = collections.Counter()
        self.result = Result()

    def run(self) -> Result:
        """Run until the end and return what happened."""
        scenario = self._scenario
        self._nodes[0].control.begin_term(1, 0)
        self._at(0, self._tick)
        self._arrive()
        if scenario.holder_ends_ms:
            self._at(scenario.holder_ends_ms, self._lose_holder)
        if scenario.changes_ms:
            self._at(scenario.changes_ms, self._change)
        interval_ms = coordination.message_interval_ms(scenario.nodes)
        for index in range(scenario.nodes):
            delay_ms = int(self._rng.uniform(0, interval_ms))
            self._at(delay_ms, lambda i=index: self._status(i))
        end_ms = int(1_000 * scenario.seconds)
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _at(self, at_ms: int, action: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    # Requests.

    def _arrive(self) -> None:
        scenario = self._scenario
        delay_ms = 1_000 * self._rng.expovariate(scenario.demand_per_s)
        half = scenario.nodes // 2
        is_first_half = self._rng.random() < scenario.skew
        index = (
            self._rng.randrange(half)
            if is_first_half
            else self._rng.randrange(half, scenario.nodes)
        )

        def arrive() -> None:
            self._request(self._nodes[index])
            self._arrive()

        self._at(self._now_ms + max(1, int(delay_ms)), arrive)

    def _request(self, node: _Node) -> None:
        node.limits.record_demand(POOL, self._now_ms)
        if self._place(node):
            return
        if not node.limits.may_wait(POOL, self._now_ms):
            return
        node.limits.begin_wait(POOL)
        node.has_news = True
        self._wait(node, self._now_ms + limits.MAX_WAIT_MS)

    def _wait(self, node: _Node, end_ms: int) -> None:
        def retry() -> None:
            is_placed = self._place(node)
            if is_placed or self._now_ms >= end_ms:
                node.limits.end_wait(POOL, is_placed, self._now_ms)
            else:
                self._wait(node, end_ms)

        self._at(self._now_ms + 10, retry)

    def _place(self, node: _Node) -> bool:
        """Send a request to the least loaded target, if one is allowed."""
        now_ms = self._now_ms
        allowed = [
            target
            for target in self._targets
            if node.limits.allows(target.key, len(self._nodes), now_ms)
        ]
        if not allowed:
            return False
        self._rng.shuffle(allowed)
        target = min(allowed, key=lambda t: self._active[t.id])
        self._active[target.id] += 1
        self._at(now_ms + WRITING_MS, lambda: self._end(target.id))
        self._send(node, target)
        return True

    def _end(self, target_id: str) -> None:
        self._active[target_id] -= 1

    def _send(self, node: _Node, target: fleet.Target) -> None:
        now_ms = self._now_ms
        node.limits.use_permit(target.key, now_ms)
        self.result.arrivals_ms[target.id].append(now_ms)
        told_ms = node.told_ms.get(target.id)
        if told_ms is not None and now_ms - told_ms >= TOLD_MS:
            self.result.told_arrivals_ms[target.id].append(now_ms)
        per_s = self._limit_per_s

        def answer() -> None:
            if per_s is not None:
                node.told_ms.setdefault(target.id, self._now_ms)
            is_change = node.limits.observe(
                target.key,
                POOL,
                limits.LimitNotice(per_s),
                now_ms,
                self._now_ms,
            )
            node.has_news = node.has_news or (is_change and per_s is not None)
            self._note_knowledge()

        self._at(now_ms + ANSWER_MS, answer)

    def _note_knowledge(self) -> None:
        result = self.result
        if result.all_know_ms is None:
            if all(
                node.limits.per_s(target.key) is not None
                for node in self._nodes
                for target in self._targets
            ):
                result.all_know_ms = self._now_ms
        elif self._limit_per_s is None and result.all_free_ms is None:
            if not any(node.limits.all_limits() for node in self._nodes):
                result.all_free_ms = self._now_ms - self._scenario.changes_ms

    def _change(self) -> None:
        self._limit_per_s = self._scenario.changed_per_s

    # Messages.

    def _deliver(self, action: typing.Callable[[], None]) -> None:
        if self._rng.random() >= self._scenario.loss:
            delay_ms = 1 + self._rng.randrange(TRANSIT_MS)
            self._at(self._now_ms + delay_ms, action)

    def _interval_ms(self) -> float:
        return coordination.message_interval_ms(self._scenario.nodes)

    def _status(self, index: int) -> None:
        self._report(index)
        next_ms = self._now_ms + int(self._interval_ms())
        self._at(next_ms, lambda: self._status(index))

    def _report(self, index: int) -> None:
        holder, node = self._holder, self._nodes[index]
        node.has_news = False
        if holder is None or index == holder:
            return
        report = node.control.report(
            self._term, self._now_ms, self._interval_ms()
        )
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
        control = self._nodes[self._holder].control
        control.run(self._term, self._now_ms, self._interval_ms())
        listed = control.list_due(self._term, self._now_ms)
        if listed is not None:
            for index, node in enumerate(self._nodes):
                if index != self._holder:
                    self._deliver(lambda n=node: self._apply(n, listed))
        grants = control.grants_due(self._term, self._now_ms)
        for name, grant in grants.items():
            node = self._nodes[int(name[1:])]
            self._deliver(lambda n=node, g=grant: self._apply_grant(n, g))

    def _apply(self, node: _Node, listed: coordination.LimitList) -> None:
        if listed.term == self._term:
            node.control.apply_list(listed, self._now_ms)
            self._note_knowledge()

    def _apply_grant(
        self, node: _Node, grant: coordination.PermitGrant
    ) -> None:
        if grant.term == self._term:
            node.control.apply_grant(grant, self._now_ms)

    def _lose_holder(self) -> None:
        assert self._holder is not None
        self._nodes[self._holder].control.end_term()
        self._holder = None
        if self._scenario.is_replaced:
            self._at(self._now_ms + TAKEOVER_MS, self._take_over)

    def _take_over(self) -> None:
        self._holder = 1
        self._term += 1
        self._nodes[1].control.begin_term(self._term, self._now_ms)


# Targets of one model and their usual requests a second, by number of nodes.
SIZES = {7: (8, 40.0), 64: (20, 100.0), 195: (110, 550.0), 390: (90, 450.0)}


def scenarios() -> dict[str, Scenario]:
    """Return the scenarios of the page, by name."""
    found = {}
    for nodes, (targets, per_s) in SIZES.items():
        for limit_per_s in (0.25, 1.1, 2.5, 10.0):
            demand_per_s = max(per_s, 2 * limit_per_s * targets)
            found[f"{nodes} nodes, {limit_per_s}"] = Scenario(
                nodes, targets, limit_per_s, demand_per_s
            )
    for nodes in SIZES:
        targets, per_s = SIZES[nodes]
        found[f"{nodes} nodes, one target"] = Scenario(
            nodes, 1, 1.1, per_s / targets
        )
        found[f"{nodes} nodes, nine tenths of the callers at half"] = Scenario(
            nodes, targets, 2.5, per_s, skew=0.9
        )
        found[f"{nodes} nodes, 20 in 100 messages lost"] = Scenario(
            nodes, targets, 2.5, per_s, loss=0.2
        )
        found[f"{nodes} nodes, the holder ends"] = Scenario(
            nodes, targets, 2.5, per_s, holder_ends_ms=10_000
        )
        found[f"{nodes} nodes, no holder"] = Scenario(
            nodes, targets, 2.5, per_s, holder_ends_ms=1, is_replaced=False
        )
        found[f"{nodes} nodes, no holder from 10 s on"] = Scenario(
            nodes, targets, 2.5, per_s, holder_ends_ms=10_000,
            is_replaced=False,
        )  # fmt: skip
        found[f"{nodes} nodes, limits end"] = Scenario(
            nodes, targets, 2.5, per_s, changes_ms=12_000
        )
        found[f"{nodes} nodes, from 5 to 1"] = Scenario(
            nodes, targets, 5.0, 2 * per_s, changes_ms=12_000,
            changed_per_s=1.0,
        )  # fmt: skip
    return found


def summary(scenario: Scenario, seed: int) -> dict[str, typing.Any]:
    """Return the figures of one run.

    `worst` is the share of the bound that the worst window of a target took,
    `worst_told` that of the nodes which the platform counts, and `used` the
    share of what the targets offer that was used.
    """
    result = Simulation(scenario, seed).run()
    first_ms = min(times[0] for times in result.arrivals_ms.values())
    begin_ms = first_ms + ANSWER_MS + CONTACT_MS
    end_ms = int(scenario.seconds * 1_000)
    rate = scenario.limit_per_s
    if scenario.changes_ms:
        if scenario.changed_per_s is None:
            end_ms = scenario.changes_ms
        else:
            begin_ms, rate = scenario.changes_ms, scenario.changed_per_s
    allowed = 1.5 * rate * WINDOW_MS / 1_000 + 5
    offered = rate * scenario.targets * (end_ms - begin_ms) / 1_000
    return {
        "worst": result.most(begin_ms, end_ms, False) / allowed,
        "worst_told": result.most(begin_ms, end_ms, True) / allowed,
        "used": result.count(begin_ms, end_ms) / offered,
        "know_ms": result.all_know_ms,
        "free_ms": result.all_free_ms,
    }


def main() -> None:
    """Print the figures of all scenarios, or of those whose names match."""
    patterns = sys.argv[1:] or [""]
    for name, scenario in scenarios().items():
        if not any(pattern in name for pattern in patterns):
            continue
        seeds = range(1_000, 1_003 if scenario.nodes > 64 else 1_010)
        rows = [summary(scenario, seed) for seed in seeds]
        figures: dict[str, typing.Any] = {"scenario": name}
        for key in rows[0]:
            values = [row[key] for row in rows if row[key] is not None]
            if values:
                figures[key] = [round(min(values), 2), round(max(values), 2)]
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
