"""Tests of sharing evidence and blocks between nodes and the store."""

import json
import random
import typing
import unittest

import attrs
import crash_simulation
import fakes

from quetzalward_core import coordination
from quetzalward_core import quarantine
from quetzalward_gateway import _ports
from quetzalward_gateway import _quarantine_control

BAD = frozenset({"bad"})
INTERVAL_MS = 150.0
START_MS = 100_000


class Node:
    """The control of one node and what it uses."""

    def __init__(self, name: str) -> None:
        """Start without a term."""
        self.runtime = fakes.Runtime()
        self.control = _quarantine_control.QuarantineControl(
            typing.cast(typing.Any, self.runtime), name
        )
        self.quarantine = self.runtime.state.quarantine

    def crash(self, at_ms: int, number: int) -> None:
        """Record the crash of a target under a request, others are served."""
        for _ in range(10):
            self.runtime.state.evidence.record_sound(["good"], at_ms)
        self.runtime.state.evidence.record_crash(
            quarantine.Crash(f"r{number}", f"t{number}/1", ("bad",), 2, at_ms)
        )

    @property
    def blocks(self) -> set[frozenset[str]]:
        """Return the parts of the blocks in force."""
        return {block.traits for block in self.quarantine.blocks}


class QuarantineControlTest(unittest.TestCase):
    """Guards against nodes that do not learn of a block, or lose it."""

    def setUp(self) -> None:
        """Let a holder and two nodes begin a term."""
        self.holder, self.first, self.second = (Node(n) for n in "hab")
        for node in (self.holder, self.first, self.second):
            node.control.follow_term(1, START_MS)
        self.holder.control.begin_term(START_MS)
        self.now_ms = START_MS

    def exchange(
        self, holder: Node, *nodes: Node, term: int = 1, rounds: int = 12
    ) -> None:
        """Exchange all messages for some intervals."""
        for _ in range(rounds):
            self.now_ms += 150
            for node in nodes:
                report = node.control.report(term, self.now_ms)
                if report is not None:
                    data = coordination.encode(report)
                    message = coordination.decode(data)
                    assert isinstance(message, coordination.CrashReport)
                    holder.control.record(message, self.now_ms)
            holder.control.run(self.now_ms, INTERVAL_MS)
            view = holder.control.view_due(term, self.now_ms)
            for node in nodes:
                if view is not None:
                    data = coordination.encode(view)
                    message = coordination.decode(data)
                    assert isinstance(message, coordination.QuarantineView)
                    node.control.apply_view(message)

    def block(self) -> None:
        """Let crashes at both nodes lead to a block."""
        for number in range(4):
            node = (self.first, self.second)[number % 2]
            node.crash(self.now_ms + 200 * number, number)
        self.now_ms += 800
        self.exchange(self.holder, self.first, self.second)

    def test_crashes_at_several_nodes_block_the_part_at_all(self) -> None:
        """No node alone has seen enough."""
        self.block()
        for node in (self.holder, self.first, self.second):
            self.assertEqual({BAD}, node.blocks)
        self.assertIn("crashing_prompt_found", self.holder.runtime.log.names)
        self.assertEqual(["prompt_blocked"], self.first.runtime.log.names)

    def test_nothing_is_sent_when_there_is_nothing_to_say(self) -> None:
        """Messages about crashes cost nothing on a calm day."""
        self.now_ms += 10_000
        self.assertIsNone(self.first.control.report(1, self.now_ms))
        self.assertIsNone(self.holder.control.view_due(1, self.now_ms))

    def test_long_prompts_do_not_keep_messages_from_being_sent(self) -> None:
        """A datagram holds less than 64 kB; callers choose the parts."""
        evidence = self.first.runtime.state.evidence
        rng = random.Random(1)
        for number in range(500):
            parts = [f"{rng.getrandbits(160):x}" for _ in range(63)]
            at_ms = self.now_ms + number // 4
            evidence.record_sound(quarantine.part_ids(parts), at_ms)
            evidence.record_crash(
                quarantine.Crash(
                    f"r{number}",
                    f"t{number}/1",
                    quarantine.part_ids([*parts, "bad"]),
                    1 + (number % 100 == 0),
                    at_ms,
                )
            )
        self.now_ms += 150
        report = self.first.control.report(1, self.now_ms)
        assert report is not None
        self.assertLess(len(coordination.encode(report)), 60_000)
        self.assertEqual(5, sum(c.weight == 2 for c in report.crashes))
        for number in range(quarantine.MAX_BLOCKS):
            block = frozenset(
                quarantine.part_ids(f"{number} {n} {'x' * 90}" for n in "abcd")
            )
            self.holder.quarantine.add(quarantine.Block(block))
        view = self.holder.control.view_due(1, self.now_ms)
        assert view is not None
        self.assertLess(len(coordination.encode(view)), 60_000)

    def test_evidence_of_long_prompts_arrives(self) -> None:
        """Each report fits into a datagram, and none is left out for good."""
        evidence = self.first.runtime.state.evidence
        parts = [f"{n:016x}" for n in range(700)]
        for number in range(12):
            evidence.record_sound(parts, self.now_ms)
            evidence.record_crash(
                quarantine.Crash(
                    f"r{number}",
                    f"t{number}/1",
                    (*parts, "bad"),
                    2,
                    self.now_ms,
                )
            )
        reported = set()
        for _ in range(20):
            self.now_ms += 150
            report = self.first.control.report(1, self.now_ms)
            assert report is not None
            self.assertLess(len(coordination.encode(report)), 60_000)
            reported |= {crash.request for crash in report.crashes}
        self.assertEqual(12, len(reported))

    def test_next_holder_learns_of_blocks_that_are_not_saved(self) -> None:
        """The holder may end before the store has the block."""
        self.block()
        for node in (self.first, self.second):
            node.control.follow_term(2, self.now_ms)
        self.first.control.begin_term(self.now_ms)
        self.first.quarantine.remove(BAD)
        self.exchange(self.first, self.second, term=2)
        self.assertEqual({BAD}, self.first.blocks)

    def test_evidence_survives_a_change_of_the_holder(self) -> None:
        """Crashes before and after the change count together."""
        self.first.crash(self.now_ms, 1)
        self.second.crash(self.now_ms + 150, 2)
        self.exchange(self.holder, self.first, self.second, rounds=2)
        self.now_ms += 5_000
        for node in (self.first, self.second):
            node.control.follow_term(2, self.now_ms)
        self.second.control.begin_term(self.now_ms)
        self.first.crash(self.now_ms, 3)
        self.exchange(self.second, self.first, term=2)
        self.assertEqual({BAD}, self.second.blocks)

    def test_node_that_starts_learns_from_holder_or_store(self) -> None:
        """All nodes may have lost power, also the holder."""
        self.block()
        self.now_ms += 20_000
        started = Node("c")
        started.control.follow_term(1, self.now_ms)
        self.exchange(self.holder, started)
        self.assertEqual({BAD}, started.blocks)
        write = self.holder.control.next_write()
        assert write is not None
        record = _ports.Record(7, *write)
        restarted = Node("h")
        restarted.control.apply_records([record], False)
        self.assertEqual({BAD}, restarted.blocks)

    def test_record_that_an_operator_removes_lifts_the_block(self) -> None:
        """The holder reads the records each second and tells the nodes."""
        self.block()
        write = self.holder.control.next_write()
        assert write is not None
        self.holder.control.confirm_write(write[0])
        self.assertIsNone(self.holder.control.next_write())
        self.exchange(self.holder, self.first, self.second)
        record = _ports.Record(7, *write)
        self.holder.control.apply_records([record], True)
        self.assertEqual({BAD}, self.holder.blocks)
        self.holder.runtime.time.advance(self.now_ms - START_MS + 1)
        self.holder.control.apply_records([], True)
        self.exchange(self.holder, self.first, self.second)
        for node in (self.holder, self.first, self.second):
            self.assertEqual(set(), node.blocks)

    def test_block_that_a_restored_store_lost_is_written_again(self) -> None:
        """Its record is missing, but no operator lifted it."""
        self.block()
        write = self.holder.control.next_write()
        assert write is not None
        self.holder.runtime.store.era.observe(1, 0, 1)
        record = _ports.Record(7, *write)
        self.holder.control.apply_records([record], True)
        self.exchange(self.holder, self.first, self.second)
        self.holder.runtime.store.era.observe(2, 2, 3)
        self.holder.control.apply_records([], True)
        self.assertEqual({BAD}, self.holder.blocks)
        self.assertEqual(write[0], (self.holder.control.next_write() or "")[0])
        self.exchange(self.holder, self.first, self.second)
        for node in (self.holder, self.first, self.second):
            self.assertEqual({BAD}, node.blocks)

    def test_unreadable_records_are_ignored(self) -> None:
        """A record must not end the process that reads it."""
        for value in (
            b"\xff",
            b"[",
            b"[]",
            b"{}",
            b'{"parts": 3}',
            b'{"parts": []}',
            b"[" * 100_000,
            b'{"parts": [1e400]}',
            json.dumps({"parts": "ab"}).encode(),
        ):
            record = _ports.Record(1, "block/x", value)
            Node("a").control.apply_records([record], True)

    def test_part_that_is_no_text_can_be_written_again(self) -> None:
        """After a restore, the key of its block could not be encoded."""
        report = coordination.CrashReport("a", 1, (), (), (), (("\ud800",),))
        self.holder.control.record(report, self.now_ms)
        write = self.holder.control.next_write()
        assert write is not None
        self.assertTrue(write[0].startswith(_quarantine_control.KEY_PREFIX))

    def test_next_holder_frees_nothing_that_it_does_not_know(self) -> None:
        """One that has just started has no evidence yet."""
        held = coordination.HoldView(
            "h", 1, (coordination.HoldRow("request:1", 2),)
        )
        self.first.control.apply_holds(held, self.now_ms)
        self.first.control.follow_term(2, self.now_ms + 100)
        none = coordination.HoldView("b", 2, ())
        for after_ms, is_held in ((200, True), (4_000, True), (9_000, False)):
            self.first.control.apply_holds(none, self.now_ms + after_ms)
            state = self.first.runtime.state
            self.assertEqual(is_held, "request:1" in state.trials.held)
        self.second.control.apply_holds(held, self.now_ms)
        self.second.control.follow_term(2, self.now_ms + 100)
        self.second.control.begin_term(self.now_ms + 100)
        self.second.control.run(self.now_ms + 300, INTERVAL_MS)
        self.assertIn("request:1", self.second.runtime.state.trials.held)

    def test_dropped_block_is_removed_from_the_store(self) -> None:
        """The store keeps no more blocks than the nodes."""
        for n in range(quarantine.MAX_BLOCKS + 1):
            report = coordination.CrashReport("a", 1, (), (), (), ((f"{n}",),))
            self.holder.control.record(report, self.now_ms)
        key = _quarantine_control.record_key(frozenset({"0"}))
        self.assertEqual((key, b""), self.holder.control.next_write())
        self.holder.control.confirm_write(key)
        write = self.holder.control.next_write()
        assert write is not None
        self.assertNotEqual(b"", write[1])


class CrashSimulationTest(unittest.TestCase):
    """Guards against many crashes under a part, and blocks of sound ones."""

    def check(self, scenario: crash_simulation.Scenario, seed: int) -> None:
        """Check one run against the platform's bounds."""
        result = crash_simulation.Simulation(scenario, seed).run()
        if scenario.bad_requests:
            self.assertLessEqual(result.late_repeats(), 3)
        else:
            self.assertLessEqual(result.late_bad_requests(), 3)
        wrong = {
            block
            for block in result.blocked
            if not crash_simulation.is_bad_block(block)
        }
        self.assertEqual(set(), wrong)
        self.assertEqual(0, result.sound_refused)
        if scenario.bad_per_s and not scenario.bad_requests:
            self.assertTrue(result.blocked)

    def test_bad_part_among_sound_ones(self) -> None:
        """With few and with many parts, a takeover, and outages."""
        for name, scenario in crash_simulation.bad_scenarios().items():
            if scenario.nodes > 7:
                continue
            with self.subTest(name):
                self.check(scenario, random.Random(name).randrange(100))

    def test_large_deployment(self) -> None:
        """Messages are less frequent with more nodes."""
        scenarios = crash_simulation.bad_scenarios()
        self.check(scenarios["195 nodes, 200 parts"], 1)

    def test_outages_without_a_bad_part(self) -> None:
        """Requests of a hot part are cut off with each outage."""
        for name, scenario in crash_simulation.sound_scenarios().items():
            if scenario.nodes > 7 or scenario.repeats:
                continue
            with self.subTest(name):
                self.check(scenario, random.Random(name).randrange(100))

    def test_requests_that_come_again_unchanged(self) -> None:
        """One or three, often or rarely, beside outages and a takeover."""
        scenarios = crash_simulation.repeat_scenarios()
        for name in (
            "7 nodes, 1 requests, 12 a s",
            "7 nodes, 3 requests, 30 a s",
            "7 nodes, 1 request, takeover",
            "7 nodes, 1 request, zone every 2 s",
            "7 nodes, 1 request, three targets",
        ):
            with self.subTest(name):
                scenario = attrs.evolve(scenarios[name], seconds=12.0)
                self.check(scenario, random.Random(name).randrange(100))

    def test_sound_requests_that_come_again_in_outages(self) -> None:
        """They are cut off again and again, and never blocked."""
        scenarios = crash_simulation.sound_scenarios()
        for name in (
            "7 nodes, 60 parts, half every second, repeats",
            "7 nodes, 60 parts, half every second, repeats, plain",
            "7 nodes, three targets, share 0.34",
        ):
            with self.subTest(name):
                scenario = attrs.evolve(scenarios[name], seconds=12.0)
                self.check(scenario, random.Random(name).randrange(100))


if __name__ == "__main__":
    unittest.main()
