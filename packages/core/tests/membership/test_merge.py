"""Tests of merges in any order, with repetition and after removals."""

import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from quetzalward_core import membership

NODES = ("a", "b", "c", "d")
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)

facts = strategies.builds(
    membership.Fact,
    strategies.integers(1, 3),
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.sampled_from((b"", b"123456")),
)
stop_keys = strategies.builds(
    membership.StopKey,
    strategies.sampled_from(membership.StopKind),
    strategies.sampled_from(("z0", "z1")),
)
knowledge = strategies.builds(
    membership.Knowledge,
    strategies.dictionaries(strategies.sampled_from(NODES), facts),
    strategies.dictionaries(
        strategies.sampled_from(NODES), strategies.integers(0, 50)
    ),
    strategies.dictionaries(stop_keys, strategies.integers(0, 5)),
)
members = strategies.dictionaries(
    strategies.sampled_from(NODES),
    strategies.builds(
        membership.Member, strategies.integers(1, 3), strategies.just("r")
    ),
)


class MergeTest(unittest.TestCase):
    """Guards against merged knowledge that depends on message order."""

    @SETTINGS
    @hypothesis.given(knowledge, knowledge)
    def test_commutative(
        self, one: membership.Knowledge, other: membership.Knowledge
    ) -> None:
        self.assertEqual(
            membership.merge(one, other), membership.merge(other, one)
        )

    @SETTINGS
    @hypothesis.given(knowledge, knowledge, knowledge)
    def test_associative(
        self,
        one: membership.Knowledge,
        two: membership.Knowledge,
        three: membership.Knowledge,
    ) -> None:
        left = membership.merge(membership.merge(one, two), three)
        right = membership.merge(one, membership.merge(two, three))
        self.assertEqual(left, right)

    @SETTINGS
    @hypothesis.given(knowledge, knowledge)
    def test_idempotent_and_monotonic(
        self, one: membership.Knowledge, other: membership.Knowledge
    ) -> None:
        merged = membership.merge(one, other)
        self.assertEqual(membership.merge(merged, other), merged)
        self.assertEqual(membership.merge(merged, merged), merged)
        for node, fact in one.facts_by_node.items():
            self.assertGreaterEqual(merged.facts_by_node[node], fact)
        for key, basis in one.basis_by_stop.items():
            self.assertGreaterEqual(merged.basis_by_stop[key], basis)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(knowledge, max_size=5),
        strategies.randoms(use_true_random=False),
    )
    def test_same_result_for_any_order(
        self, parts: list[membership.Knowledge], shuffle: random.Random
    ) -> None:
        results = []
        for _ in range(3):
            shuffle.shuffle(parts)
            merged = membership.Knowledge()
            for part in parts:
                merged = membership.merge(merged, part)
            results.append(merged)
        self.assertEqual(results[0], results[1])
        self.assertEqual(results[1], results[2])

    @SETTINGS
    @hypothesis.given(knowledge, knowledge, members)
    def test_removed_nodes_do_not_come_back(
        self,
        one: membership.Knowledge,
        late: membership.Knowledge,
        present: dict[str, membership.Member],
    ) -> None:
        kept = membership.retain(one, present)
        again = membership.retain(membership.merge(kept, late), present)
        for node, fact in again.facts_by_node.items():
            self.assertIn(node, present)
            self.assertGreaterEqual(fact.generation, present[node].joined)
        self.assertLessEqual(set(again.last_heard_ms_by_node), set(present))
        whole = membership.retain(membership.merge(one, late), present)
        self.assertEqual(again, whole)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.dictionaries(
                strategies.builds(
                    membership.StopKey,
                    strategies.sampled_from(membership.StopKind),
                    strategies.sampled_from([f"n{i}" for i in range(8)]),
                ),
                strategies.integers(0, 9),
            ),
            max_size=4,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_bounded_stop_orders_in_any_order(
        self,
        parts: list[dict[membership.StopKey, int]],
        shuffle: random.Random,
    ) -> None:
        """Which stop orders are dropped must not depend on message order."""
        results = []
        for _ in range(3):
            shuffle.shuffle(parts)
            merged = membership.Knowledge()
            for part in parts:
                whole = membership.merge(
                    merged, membership.Knowledge(basis_by_stop=part)
                )
                bounded = membership.limit_stops(whole.basis_by_stop, 4)
                merged = attrs.evolve(whole, basis_by_stop=bounded)
            results.append(merged.basis_by_stop)
        self.assertEqual(results[0], results[1])
        self.assertEqual(results[1], results[2])


class StopTest(unittest.TestCase):
    """Guards against a bring-back that undoes a later take-out (R4)."""

    def test_only_a_later_start_ends_an_order(self) -> None:
        self.assertTrue(membership.stop_in_force(5, 5, False))
        self.assertTrue(membership.stop_in_force(5, 0, False))
        self.assertFalse(membership.stop_in_force(5, 6, False))
        self.assertTrue(membership.stop_in_force(5, 6, True))
