"""Cold-start experiment: one target turns cold under full load."""

import random
import typing

import attrs

from quetzalward_bench import _stats
from quetzalward_core import coldstart
from quetzalward_core import routing
from quetzalward_core import testing

TICK_MS = 100
LENGTH_MS = 120_000
TURNS_COLD_MS = 20_000
TURNS_WARM_MS = 90_000
# Nodes learn of the cold target by reports within this time.
NOTICED_MS = 3_000
BEARABLE = 2
WARM_CAPACITY = 48
REPORT_INTERVAL_MS = 1_000
REPORT_LAG_MS = 300
TRIALS = 10
GROUP = testing.make_group("t1")


class Gate(typing.Protocol):
    """Decides whether one node may send to the cold target."""

    def update(self, nodes: frozenset[str], now_ms: int) -> None:
        """Apply the nodes of the fold, as this node sees them."""

    def may_send(self, in_flight: int, now_ms: int) -> bool:
        """Return whether one more request may go out."""

    def note_report(self, report: routing.EngineReport, now_ms: int) -> None:
        """Apply a report."""


@attrs.define
class SlotGate:
    """The present policy."""

    table: coldstart.SlotTable

    def update(self, nodes: frozenset[str], now_ms: int) -> None:
        """Apply the nodes of the fold."""
        self.table.update(nodes, ["t1"], now_ms)

    def note_report(self, report: routing.EngineReport, now_ms: int) -> None:
        """Apply a report."""
        self.table.note_report(report, now_ms)

    def may_send(self, in_flight: int, now_ms: int) -> bool:
        """Return whether a slot is free."""
        return in_flight < self.table.usable_slots("t1", now_ms)


@attrs.define
class OwnerGate:
    """Slots that move at once, without the hand-over delay."""

    node: str
    nodes: frozenset[str] = frozenset()

    def update(self, nodes: frozenset[str], now_ms: int) -> None:
        """Apply the nodes of the fold."""
        self.nodes = nodes

    def note_report(self, report: routing.EngineReport, now_ms: int) -> None:
        """Reports do not matter."""

    def may_send(self, in_flight: int, now_ms: int) -> bool:
        """Return whether an owned slot is unused."""
        owned = sum(
            coldstart.slot_owner("t1", slot, self.nodes) == self.node
            for slot in range(BEARABLE)
        )
        return in_flight < owned


@attrs.define
class BudgetGate:
    """A budget per node, without knowledge of the other nodes."""

    budget: int = 1

    def update(self, nodes: frozenset[str], now_ms: int) -> None:
        """Nodes do not matter."""

    def note_report(self, report: routing.EngineReport, now_ms: int) -> None:
        """Reports do not matter."""

    def may_send(self, in_flight: int, now_ms: int) -> bool:
        """Return whether the budget is not used up."""
        return in_flight < self.budget


@attrs.define
class ReportGate:
    """Send while the last report shows room."""

    room: int = 0

    def update(self, nodes: frozenset[str], now_ms: int) -> None:
        """Nodes do not matter."""

    def note_report(self, report: routing.EngineReport, now_ms: int) -> None:
        """Keep the room that the report shows."""
        self.room = BEARABLE - report.load

    def may_send(self, in_flight: int, now_ms: int) -> bool:
        """Return whether the last report showed room."""
        return self.room > 0


GATES: dict[str, typing.Callable[[str], Gate]] = {
    "present": lambda node: SlotGate(coldstart.SlotTable(node)),
    "slots_without_handover": OwnerGate,
    "budget_per_node": lambda node: BudgetGate(),
    "last_report": lambda node: ReportGate(),
}


@attrs.define
class Node:
    """One node of a trial."""

    name: str
    gate: Gate
    lag_ms: int
    poll_ms: int
    in_flight: int = 0
    cold: bool = False


class Trial:
    """One gate on one sequence of membership changes."""

    def __init__(self, gate: str, count: int, moves: bool, seed: int) -> None:
        """Draw lags and membership changes from the seed."""
        self.rng = random.Random(seed)
        self.nodes = [
            Node(
                f"n{n}",
                GATES[gate](f"n{n}"),
                self.rng.randrange(200, 4_000),
                self.rng.randrange(REPORT_INTERVAL_MS),
            )
            for n in range(count)
        ]
        self.folds = self._folds(moves)
        # End time and node of each request at the target.
        self.running: list[tuple[int, Node]] = []
        self.past: list[routing.EngineReport] = []
        self.over = self.peak = self.served = 0
        self.use: list[float] = []

    def _folds(self, moves: bool) -> list[tuple[int, frozenset[str]]]:
        """Return the sets of nodes over time; a slot owner leaves twice."""
        nodes = frozenset(node.name for node in self.nodes)
        folds = [(0, nodes)]
        if not moves:
            return folds
        for when_ms in (TURNS_COLD_MS + 15_000, TURNS_COLD_MS + 40_000):
            leaver = coldstart.slot_owner("t1", 0, folds[-1][1])
            assert leaver is not None
            folds.append((when_ms, folds[-1][1] - {leaver}))
            # It comes back, so the slot moves again.
            folds.append((when_ms + 6_000, folds[-2][1]))
        return folds

    def run(self) -> dict[str, float]:
        """Run the trial."""
        for now_ms in range(0, LENGTH_MS, TICK_MS):
            cold = TURNS_COLD_MS <= now_ms < TURNS_WARM_MS
            self._end(now_ms)
            self._record(cold, now_ms)
            self.rng.shuffle(self.nodes)
            for node in self.nodes:
                self._follow(node, now_ms)
                self._send(node, cold, now_ms)
        late_ms = TURNS_COLD_MS + 10_000
        return {
            "overload_events": self.over,
            "peak_load": self.peak,
            "served_cold": self.served,
            "slot_use": round(_stats.mean(self.use), 3),
            "measured_from_ms": late_ms,
        }

    def _end(self, now_ms: int) -> None:
        for ends_ms, node in self.running:
            if ends_ms <= now_ms:
                node.in_flight -= 1
        self.running = [one for one in self.running if one[0] > now_ms]

    def _record(self, cold: bool, now_ms: int) -> None:
        """Keep a report and measure the cold target's load."""
        state = routing.EngineState.COLD if cold else routing.EngineState.WARM
        self.past.append(
            testing.make_report(
                GROUP,
                now_ms,
                state=state,
                running=len(self.running),
                bearable=BEARABLE if cold else WARM_CAPACITY,
            )
        )
        del self.past[:-20]
        if cold and now_ms >= TURNS_COLD_MS + 10_000:
            self.use.append(len(self.running) / BEARABLE)

    def _follow(self, node: Node, now_ms: int) -> None:
        """Let a node see the fold with its lag, and poll."""
        seen = [
            nodes
            for when_ms, nodes in self.folds
            if when_ms <= max(0, now_ms - node.lag_ms)
        ]
        node.gate.update(seen[-1], now_ms)
        if now_ms % REPORT_INTERVAL_MS // TICK_MS != node.poll_ms // TICK_MS:
            return
        shown = [
            one for one in self.past if one.as_of_ms <= now_ms - REPORT_LAG_MS
        ]
        if shown:
            node.cold = shown[-1].state is routing.EngineState.COLD
            node.gate.note_report(shown[-1], now_ms)

    def _send(self, node: Node, cold: bool, now_ms: int) -> None:
        """Send if the node wants to and may."""
        if self.rng.random() > 6.6 / len(self.nodes) * 3 * TICK_MS / 1_000:
            if not cold or self.rng.random() > 0.3:
                return
        if node.cold:
            if not node.gate.may_send(node.in_flight, now_ms):
                return
        elif len(self.running) >= WARM_CAPACITY:
            return
        node.in_flight += 1
        self.running.append((now_ms + self.rng.randrange(500, 4_000), node))
        if not cold:
            return
        self.served += 1
        if now_ms >= TURNS_COLD_MS + NOTICED_MS and node.cold:
            self.peak = max(self.peak, len(self.running))
            self.over += len(self.running) > BEARABLE


def measure(count: int, moves: bool, seed: int) -> dict[str, typing.Any]:
    """Return the mean figures of each gate over the trials."""
    results = {}
    for gate in GATES:
        runs = [
            Trial(gate, count, moves, seed + n).run() for n in range(TRIALS)
        ]
        results[gate] = {
            key: round(_stats.mean([run[key] for run in runs]), 3)
            for key in runs[0]
        }
        results[gate]["peak_load"] = max(run["peak_load"] for run in runs)
    return {
        "figures": results,
        "ratio_to_present": _stats.ratios(results, "present"),
    }


def main(seed: int = 1) -> None:
    """Compare ways to bound the load on a cold target."""
    _stats.show(
        {
            "seed": seed,
            "trials": TRIALS,
            "bearable": BEARABLE,
            "nodes_7_steady": measure(7, False, seed),
            "nodes_7_moving": measure(7, True, seed),
            "nodes_50_moving": measure(50, True, seed),
        }
    )
