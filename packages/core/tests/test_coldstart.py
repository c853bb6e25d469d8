"""Tests of cold-start slots, cold detection and ramp."""

import collections
import typing
import unittest

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from quetzalward_core import coldstart
from quetzalward_core import routing
from quetzalward_core import testing

GROUP = testing.make_group("t1")
DELAY_MS = 5_250


def cold_report(as_of_ms: int, **fields: typing.Any) -> routing.EngineReport:
    defaults = {"state": routing.EngineState.COLD, "bearable": 2}
    return testing.make_report(GROUP, as_of_ms, **(defaults | fields))


class OwnershipTest(unittest.TestCase):
    """Guards against slots with no owner, two owners or an idle owner."""

    def test_every_node_agrees_on_one_owner(self) -> None:
        nodes = [f"n{n}" for n in range(7)]
        groups = [f"t{n}" for n in range(40)]
        owners = collections.Counter(
            target
            for node in nodes
            for target in self.table(node, nodes, groups).owned_targets()
        )
        for target in groups:
            expected = {
                coldstart.slot_owner(target, slot, nodes) for slot in range(2)
            }
            self.assertEqual(owners[target], len(expected))

    def table(
        self, node: str, nodes: list[str], groups: list[str]
    ) -> coldstart.SlotTable:
        table = coldstart.SlotTable(node)
        table.update(nodes, groups, 0)
        return table

    def test_changes_give_the_same_owners_as_a_fresh_start(self) -> None:
        groups = [f"t{n}" for n in range(40)]
        nodes = [f"n{n}" for n in range(9)]
        moved = self.table("n0", nodes[:6], groups)
        moved.update(nodes[:3] + nodes[5:], groups, 100)
        moved.update(["n0", "n8"], groups, 200)
        fresh = self.table("n0", ["n0", "n8"], groups)
        self.assertEqual(moved.owned_targets(), fresh.owned_targets())

    def test_a_node_outside_the_replicated_state_owns_nothing(self) -> None:
        table = self.table("n9", ["n1"], ["t1", "t2", "t3"])
        self.assertEqual(table.owned_targets(), frozenset())


class HandoverTest(unittest.TestCase):
    """Guards against load from two owners of a slot at once (R3)."""

    def setUp(self) -> None:
        self.table = coldstart.SlotTable("a")
        self.now_ms = 0
        self.table.update(["a"], ["t1"], 0)
        self.table.note_report(
            cold_report(0, state=routing.EngineState.LOADING), 0
        )

    def advance(self, to_ms: int, nodes: tuple[str, ...] = ("a",)) -> None:
        while self.now_ms < to_ms:
            self.now_ms = min(to_ms, self.now_ms + 1_000)
            self.table.update(nodes, ["t1"], self.now_ms)

    def report(
        self, as_of_ms: int | None = None, **fields: typing.Any
    ) -> None:
        shown_ms = self.now_ms if as_of_ms is None else as_of_ms
        self.table.note_report(cold_report(shown_ms, **fields), self.now_ms)

    def usable(self) -> int:
        return self.table.usable_slots("t1", self.now_ms)

    def test_new_slots_wait_for_the_handover_delay(self) -> None:
        self.advance(DELAY_MS - 1)
        self.report()
        self.assertEqual(self.usable(), 0)
        self.advance(DELAY_MS)
        self.report()
        self.assertEqual(self.usable(), 2)

    def test_requests_of_former_owners_keep_slots_unused(self) -> None:
        self.advance(6_000)
        self.report(running=1)
        self.assertEqual(self.usable(), 1)
        self.report(running=1, as_of_ms=6_001)
        self.assertEqual(self.usable(), 1)
        self.advance(7_000)
        self.report()
        self.assertEqual(self.usable(), 2)

    def test_load_of_former_owners_ends_after_the_request_timeout(
        self,
    ) -> None:
        self.advance(6_000)
        self.report(running=2)
        self.advance(DELAY_MS + 119_999)
        self.assertEqual(self.usable(), 0)
        self.advance(DELAY_MS + 120_000)
        self.assertEqual(self.usable(), 2)

    def test_warm_target_that_turns_cold_waits_for_others_to_notice(
        self,
    ) -> None:
        self.advance(6_000)
        self.report(state=routing.EngineState.WARM)
        self.assertFalse(self.table.is_cold("t1"))
        self.table.note_cold("t1", 6_000)
        self.assertTrue(self.table.is_cold("t1"))
        self.advance(11_249)
        self.report()
        self.assertEqual(self.usable(), 0)
        self.advance(11_250)
        self.report()
        self.assertEqual(self.usable(), 2)

    def test_only_a_newer_report_overrides_own_detection(self) -> None:
        self.advance(6_000)
        self.report(state=routing.EngineState.WARM, as_of_ms=5_000)
        self.table.note_cold("t1", 6_000)
        self.report(state=routing.EngineState.WARM, as_of_ms=5_999)
        self.assertTrue(self.table.is_cold("t1"))
        self.report(state=routing.EngineState.WARM, as_of_ms=6_001)
        self.assertFalse(self.table.is_cold("t1"))

    def test_a_pause_counts_as_a_reassignment(self) -> None:
        self.advance(6_000)
        self.report()
        self.assertEqual(self.usable(), 2)
        self.now_ms = 8_001
        self.table.update(["a"], ["t1"], self.now_ms)
        self.assertEqual(self.usable(), 0)

    def test_a_lost_slot_is_lost_at_once(self) -> None:
        self.advance(6_000)
        self.report()
        self.table.update(["b", "c", "d", "e"], ["t1"], 6_001)
        self.assertEqual(self.table.usable_slots("t1", 6_001), 0)

    def test_fewer_slots_wait_for_requests_in_the_removed_ones(self) -> None:
        self.advance(6_000)
        self.report(bearable=4)
        self.assertEqual(self.usable(), 4)
        self.advance(7_000)
        self.report(bearable=2, running=3)
        self.assertEqual(self.usable(), 0)
        self.advance(7_000 + DELAY_MS)
        self.report(bearable=2, running=1)
        self.assertEqual(self.usable(), 1)

    def test_unknown_target_admits_nothing(self) -> None:
        self.assertEqual(self.table.usable_slots("t9", 0), 0)
        self.assertTrue(self.table.is_cold("t9"))


@attrs.define
class _Node:
    """A node of the model, with its delayed view of the node set."""

    table: coldstart.SlotTable
    seen: int
    in_flight: list[int] = attrs.field(factory=list)
    report_ms: int | None = None
    paused: bool = False


NAMES = ("a", "b", "c", "d")
REQUEST_MS = 20_000
MAX_LAG_MS = 5_000


class SlotMachine(stateful.RuleBasedStateMachine):
    """Several nodes with delayed views share one engine.

    Guards R3: a grant never raises the engine above its permitted load.
    """

    @stateful.initialize()
    def start(self) -> None:
        self.now_ms = 0
        self.folds: list[tuple[int, frozenset[str]]] = [(0, frozenset("ab"))]
        self.running: dict[int, int] = {}
        self.bearable: list[tuple[int, int]] = [(0, 2)]
        self.state = routing.EngineState.COLD
        self.next_id = 0
        self.reports: list[routing.EngineReport] = []
        self.nodes = {
            name: _Node(
                coldstart.SlotTable(name, request_timeout_ms=REQUEST_MS), 0
            )
            for name in NAMES
        }
        self.step()

    def step(self) -> None:
        """Record a report and update the slot table of every running node."""
        self.reports.append(
            cold_report(
                self.now_ms,
                running=len(self.running),
                bearable=self.bearable[-1][1],
                state=self.state,
            )
        )
        for node in self.nodes.values():
            if node.paused:
                continue
            # A node with a longer delay is isolated and admits nothing.
            for index in range(node.seen + 1, len(self.folds)):
                if self.folds[index][0] <= self.now_ms - MAX_LAG_MS:
                    node.seen = index
            nodes = self.folds[node.seen][1]
            node.table.update(nodes, ["t1"], self.now_ms)

    @stateful.rule(
        delta_ms=st.integers(200, 1_000),
        times=st.integers(1, 8),
        back=st.integers(0, 2),
        sending=st.booleans(),
    )
    def advance(
        self, delta_ms: int, times: int, back: int, sending: bool
    ) -> None:
        for _ in range(times):
            self.now_ms += delta_ms
            for request, sent_ms in list(self.running.items()):
                if sent_ms <= self.now_ms - REQUEST_MS:
                    self.end(request)
            self.step()
            for name in NAMES:
                self.read_report(name, back)
                if sending:
                    self.send(name)

    @stateful.rule(
        name=st.sampled_from(NAMES), readers=st.sets(st.sampled_from(NAMES))
    )
    def join_or_leave(self, name: str, readers: set[str]) -> None:
        changed = self.folds[-1][1] ^ {name}
        if changed:
            self.folds.append((self.now_ms, changed))
        for reader in sorted(readers):
            self.read_nodes(reader)

    def read_nodes(self, name: str) -> None:
        node = self.nodes[name]
        if not node.paused:
            node.seen = len(self.folds) - 1
            node.table.update(self.folds[-1][1], ["t1"], self.now_ms)

    @stateful.rule(name=st.sampled_from(NAMES))
    def pause_or_resume(self, name: str) -> None:
        self.nodes[name].paused = not self.nodes[name].paused
        self.step()

    def read_report(self, name: str, back: int) -> None:
        node = self.nodes[name]
        report = self.reports[max(0, len(self.reports) - 1 - back)]
        if node.paused or report.as_of_ms < self.now_ms - 3_000:
            return
        if node.report_ms is None or report.as_of_ms > node.report_ms:
            node.report_ms = report.as_of_ms
        node.table.note_report(report, self.now_ms)

    @stateful.rule(bearable=st.integers(1, 4))
    def change_bearable(self, bearable: int) -> None:
        self.bearable.append((self.now_ms, bearable))

    @stateful.rule()
    def turn_warm_or_cold(self) -> None:
        warm = routing.EngineState.WARM
        cold = routing.EngineState.COLD
        self.state = cold if self.state is warm else warm

    def send(self, name: str) -> None:
        node = self.nodes[name]
        fresh_ms = self.now_ms - 3_000
        if node.paused or node.report_ms is None or node.report_ms < fresh_ms:
            return
        cold = node.table.is_cold("t1")
        usable = node.table.usable_slots("t1", self.now_ms)
        if cold and len(node.in_flight) >= usable:
            return
        self.next_id += 1
        self.running[self.next_id] = self.now_ms
        node.in_flight.append(self.next_id)
        if cold and self.state is routing.EngineState.COLD:
            assert len(self.running) <= self.bound()

    def bound(self) -> int:
        """Return the largest load that a current report may permit."""
        fresh_ms = self.now_ms - 3_000
        recent = [n for ms, n in self.bearable if ms >= fresh_ms]
        older = [n for ms, n in self.bearable if ms < fresh_ms]
        return max(recent + older[-1:])

    @stateful.rule(pick=st.integers(0, 100), count=st.integers(1, 8))
    def finish(self, pick: int, count: int) -> None:
        for _ in range(min(count, len(self.running))):
            self.end(sorted(self.running)[pick % len(self.running)])

    def end(self, request: int) -> None:
        del self.running[request]
        for node in self.nodes.values():
            if request in node.in_flight:
                node.in_flight.remove(request)


SlotMachineTest = SlotMachine.TestCase
SlotMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=50
)


class DetectTest(unittest.TestCase):
    """Guards against taking ordinary variation for a cold target."""

    def test_needs_samples_and_a_clear_excess(self) -> None:
        monitor = coldstart.FirstTokenMonitor()
        self.assertFalse(monitor.is_cold(50_000.0))
        for _ in range(20):
            self.assertFalse(monitor.is_cold(200.0))
        self.assertFalse(monitor.is_cold(1_150.0))
        self.assertTrue(monitor.is_cold(1_300.0))

    def test_short_times_have_a_floor(self) -> None:
        monitor = coldstart.FirstTokenMonitor()
        for _ in range(20):
            monitor.is_cold(10.0)
        self.assertFalse(monitor.is_cold(900.0))


class RampTest(unittest.TestCase):
    """Guards against all nodes sending to a target that just turned warm."""

    def test_assumed_load_falls_to_the_estimate(self) -> None:
        loads = [
            coldstart.ramp_load(1.0, 8.0, 0, now_ms)
            for now_ms in (0, 5_000, 10_000)
        ]
        self.assertEqual(loads, [8.0, 4.0, 1.0])
        self.assertEqual(coldstart.ramp_load(1.0, 8.0, None, 0), 1.0)
