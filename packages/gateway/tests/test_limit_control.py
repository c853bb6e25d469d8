"""Tests of sharing targets' limits and permits between nodes."""

import random
import typing
import unittest

import fakes
import limit_simulation

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import limits
from quetzalward_core import placing
from quetzalward_gateway import _admission
from quetzalward_gateway import _limit_control

INTERVAL_MS = 150
START_MS = 100_000
TARGET = fleet.Target("t1", "s", fakes.ADDRESS, "z", False, 0, 7)
POOL = ("s", "")


class Node:
    """The control of one node and what it uses."""

    def __init__(self, name: str) -> None:
        """Know one target."""
        self.runtime = fakes.Runtime()
        self.state = self.runtime.state
        self.state.directory.put(TARGET, 0)
        self.limits = self.state.target_limits
        self.control = _limit_control.LimitControl(
            typing.cast(typing.Any, self.runtime), name, random.Random(name)
        )

    def observe(self, per_s: float | None, sent_ms: int, now_ms: int) -> None:
        """Receive an answer of the target."""
        notice = limits.LimitNotice(per_s)
        self.limits.observe(TARGET.key, POOL, notice, sent_ms, now_ms)

    def sends(self, now_ms: int) -> int:
        """Send all that this node may; return the number of requests."""
        count = 0
        self.limits.record_demand(POOL, now_ms)
        while count < 99 and self.limits.allows(TARGET.key, 3, now_ms):
            self.limits.use_permit(TARGET.key, now_ms)
            count += 1
        return count


class LimitControlTest(unittest.TestCase):
    """Guards against nodes that do not learn of a limit, or of its end."""

    def setUp(self) -> None:
        """Let a holder and two nodes begin a term."""
        self.holder, self.first, self.second = (Node(n) for n in "hab")
        self.nodes = [self.first, self.second]
        self.term = 1
        self.now_ms = START_MS
        self.holder.control.begin_term(1, START_MS)

    def exchange(self, rounds: int = 1) -> None:
        """Exchange all messages for some intervals."""
        for _ in range(rounds):
            self.now_ms += INTERVAL_MS
            for node in self.nodes:
                report = node.control.report(
                    self.term, self.now_ms, INTERVAL_MS
                )
                if report is not None:
                    message = coordination.decode(coordination.encode(report))
                    assert isinstance(message, coordination.LimitReport)
                    self.holder.control.record(message, self.now_ms)
            self.holder.control.run(self.term, self.now_ms, INTERVAL_MS)
            self.deliver()

    def deliver(self) -> None:
        """Deliver what the holder sends."""
        control = self.holder.control
        listed = control.list_due(self.term, self.now_ms)
        grants = control.grants_due(self.term, self.now_ms)
        for name, node in zip("ab", self.nodes):
            if listed is not None:
                message = coordination.decode(coordination.encode(listed))
                assert isinstance(message, coordination.LimitList)
                node.control.apply_list(message, self.now_ms)
            if name in grants:
                data = coordination.encode(grants[name])
                grant = coordination.decode(data)
                assert isinstance(grant, coordination.PermitGrant)
                node.control.apply_grant(grant, self.now_ms)

    def known(self) -> list[float | None]:
        """Return the limit as each node knows it."""
        nodes = [self.holder, *self.nodes]
        return [node.limits.per_s(TARGET.key) for node in nodes]

    def test_nothing_is_sent_without_limits(self) -> None:
        """Messages cost processor time at each node."""
        self.first.limits.record_demand(POOL, self.now_ms)
        self.assertIsNone(self.first.control.report(1, self.now_ms, 150))
        self.holder.control.run(1, self.now_ms, INTERVAL_MS)
        self.assertIsNone(self.holder.control.list_due(1, self.now_ms))

    def test_limit_that_one_node_sees_bounds_all(self) -> None:
        """Together they send what the target takes, and no more."""
        self.first.observe(2.0, self.now_ms, self.now_ms)
        self.exchange()
        self.assertEqual([2.0, 2.0, 2.0], self.known())
        sent = 0
        for _ in range(100):
            self.exchange()
            for node in (self.holder, *self.nodes):
                sent += node.sends(self.now_ms)
        offered = 2.0 * 100 * INTERVAL_MS / 1_000
        self.assertGreater(sent, 0.9 * offered)
        self.assertLess(sent, offered + 4.0)

    def test_each_new_limit_is_sent_at_once_and_once(self) -> None:
        """Also one of 0; a list that is not needed leaves no urgency."""
        for per_s in (2.0, 0.0):
            self.setUp()
            self.first.observe(per_s, self.now_ms, self.now_ms)
            report = self.first.control.report(1, self.now_ms, INTERVAL_MS)
            assert report is not None
            self.holder.control.record(report, self.now_ms)
            self.assertTrue(self.holder.control.is_urgent)
            self.holder.control.begin_term(2, self.now_ms)
            self.holder.control.run(2, self.now_ms, INTERVAL_MS)
            self.assertFalse(self.holder.control.is_urgent)

    def test_end_of_a_limit_reaches_all(self) -> None:
        """Two answers without it, at any nodes, are enough."""
        self.first.observe(2.0, self.now_ms, self.now_ms)
        self.exchange()
        self.now_ms += 1_000
        self.first.observe(None, self.now_ms - 100, self.now_ms)
        self.exchange()
        self.second.observe(None, self.now_ms - 100, self.now_ms)
        self.exchange(10)
        self.assertEqual([None, None, None], self.known())

    def test_next_holder_goes_on_with_the_limits(self) -> None:
        """It starts without permits, as others may be unused still."""
        self.first.observe(2.0, self.now_ms, self.now_ms)
        self.exchange(40)
        self.holder.control.end_term()
        self.holder, self.first = self.first, self.holder
        self.nodes = [self.first, self.second]
        self.term = 2
        self.holder.control.begin_term(2, self.now_ms)
        self.holder.sends(self.now_ms)
        self.exchange()
        self.assertEqual([2.0, 2.0, 2.0], self.known())
        sent = 0
        for _ in range(20):
            self.exchange()
            for node in (self.holder, *self.nodes):
                sent += node.sends(self.now_ms)
        self.assertLess(sent, 2.0 * 3.0 + 3 + 4)
        self.assertGreater(sent, 3)

    def test_permits_of_a_former_holder_are_not_used(self) -> None:
        """A node that still believes to hold the term may send some."""
        self.first.observe(2.0, self.now_ms, self.now_ms)
        self.exchange(2)
        self.second.limits.follow_term(2)
        before = self.second.sends(self.now_ms)
        row = coordination.PermitRow(99, "t1", 7, 0, 1)
        self.second.limits.add_permits(
            1,
            [limits.Permit("b", row.serial, TARGET.key, self.now_ms)],
            self.now_ms,
        )
        self.assertEqual(0, self.second.sends(self.now_ms), before)


class SimulationTest(unittest.TestCase):
    """Guards against a bound that holds for a few nodes only."""

    def test_limits_hold_and_are_used(self) -> None:
        """Few and many nodes, a lost holder, few requests at each node."""
        for name, used in (
            ("7 nodes, 1.1", 0.9),
            ("7 nodes, the holder ends", 0.8),
            ("7 nodes, no holder from 10 s on", 0.4),
            ("64 nodes, one target", 0.6),
        ):
            with self.subTest(scenario=name):
                scenario = limit_simulation.scenarios()[name]
                figures = limit_simulation.summary(scenario, 1)
                self.assertLessEqual(figures["worst"], 1.0)
                self.assertGreater(figures["used"], used)
                self.assertLess(figures["know_ms"], 1_000)


class PlacementTest(unittest.TestCase):
    """Guards against requests that go to a target beyond its limit."""

    def setUp(self) -> None:
        """Know two plain targets, one of them with a limit."""
        self.state = fakes.Runtime().state
        self.service = fleet.Service("s", "/", 0, 0.0)
        self.free = fleet.Target("t2", "s", fakes.ADDRESS, "z", False, 0, 7)
        self.state.directory.put(TARGET, 0)
        self.state.directory.put(self.free, 0)
        self.limit(TARGET)

    def limit(self, target: fleet.Target) -> None:
        """Let a target name a limit."""
        self.state.target_limits.observe(
            target.key, POOL, limits.LimitNotice(1.0), START_MS, START_MS
        )

    def place(self, now_ms: int = START_MS) -> fleet.Target | placing.Refusal:
        """Choose a target."""
        return self.state.place_plain(self.service, set(), now_ms)

    def test_others_take_the_requests(self) -> None:
        """The limit belongs to the choice, not after it."""
        self.assertEqual({self.free}, {self.place() for _ in range(50)})

    def test_refusals_spread_the_return_over_what_is_offered(self) -> None:
        """Eight nodes are assumed, and two targets take one a second each."""
        self.limit(self.free)
        self.assertIs(_admission.LIMITED, self.place())
        waits_ms = [
            self.state.final_refusal(
                _admission.LIMITED, POOL, START_MS
            ).retry_after_ms
            for _ in range(3)
        ]
        self.assertGreaterEqual(waits_ms[0], 300)
        self.assertTrue(all(wait_ms <= 2_500 for wait_ms in waits_ms))


if __name__ == "__main__":
    unittest.main()
