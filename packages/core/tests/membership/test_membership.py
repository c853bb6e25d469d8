"""Tests of one node's membership: digests, peers and isolation."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from quetzalward_core import membership

MAX_DIGEST_BYTES = 3 * 380 + membership.MAX_FACT_BYTES


def fleet(count: int) -> dict[str, membership.Member]:
    """Return members in two regions."""
    return {
        f"node-{i:03d}": membership.Member(1000 + i, f"r{i % 2}")
        for i in range(count)
    }


def started(count: int) -> dict[str, membership.Membership]:
    """Return the memberships of all nodes of a fleet."""
    present = fleet(count)
    found = {}
    for name in present:
        found[name] = membership.Membership(name)
        found[name].set_members(present)
        found[name].set_own(7, {"c": membership.Demand(1.0, 2.0)}, 0)
    return found


def exchange_all(
    nodes: dict[str, membership.Membership], now_ms: int, rng: random.Random
) -> None:
    """Let every node exchange digests with two peers."""
    for node in nodes.values():
        for name in node.choose_peers(2, now_ms, rng):
            peer = nodes[name]
            peer.receive(node.digest(now_ms), now_ms)
            node.receive(peer.digest(now_ms), now_ms)


class DigestTest(unittest.TestCase):
    """Guards against digests that outgrow the budget or leave nodes out."""

    def test_size_is_bounded(self) -> None:
        nodes = started(380)
        rng = random.Random(1)
        demand = {f"c{i}": membership.Demand(i, i) for i in range(100)}
        for name, node in nodes.items():
            node.set_own(2**40, demand, 0)
        for second in range(8):
            exchange_all(nodes, 1_000 * second, rng)
        digest = nodes["node-000"].digest(8_000)
        size = len(digest.age_keys) + len(digest.ages)
        for name, fact in digest.facts_by_node.items():
            size += len(name) + len(fact.demand) + 26
        self.assertLessEqual(size, MAX_DIGEST_BYTES)

    def test_every_fact_reaches_every_node(self) -> None:
        nodes = started(40)
        rng = random.Random(2)
        for second in range(20):
            exchange_all(nodes, 1_000 * second, rng)
        for node in nodes.values():
            self.assertEqual(len(node.revision_by_node()), 40)
            self.assertEqual(len(node.demand_by_node("c")), 40)

    def test_a_changing_fact_does_not_keep_others_back(self) -> None:
        node = started(30)["node-000"]
        others = {f"node-{i:03d}" for i in range(1, 30)}
        node.receive_facts(
            membership.Digest(
                "node-001",
                b"",
                b"",
                {
                    name: membership.Fact(2_000, 1, 0, b"x" * 60)
                    for name in others
                },
                {},
            )
        )
        sent: set[str] = set()
        for turn in range(8):
            node.set_own(turn, {"c": membership.Demand(2.0**turn, 1)}, 0)
            sent |= set(node.digest(0).facts_by_node)
        self.assertLessEqual(others, sent)

    def test_small_changes_of_demand_are_not_said_again(self) -> None:
        node = started(2)["node-000"]
        before = node.knowledge().facts_by_node["node-000"]
        node.set_own(7, {"c": membership.Demand(1.1, 2.1)}, 10_000)
        after = node.knowledge().facts_by_node["node-000"]
        self.assertEqual(before, after)
        node.set_own(7, {"c": membership.Demand(3.0, 2.1)}, 4_999)
        self.assertEqual(before, node.knowledge().facts_by_node["node-000"])
        node.set_own(7, {"c": membership.Demand(3.0, 2.1)}, 5_000)
        later = node.knowledge().facts_by_node["node-000"]
        self.assertGreater(later, after)

    def test_late_digest_of_an_earlier_start_is_ignored(self) -> None:
        node = started(3)["node-000"]
        old = membership.Fact(1, 99, 5)
        digest = membership.Digest("node-001", b"", b"", {"node-001": old}, {})
        node.receive_facts(digest)
        self.assertNotIn("node-001", node.revision_by_node())

    def test_nobody_else_speaks_for_the_node_itself(self) -> None:
        node = started(3)["node-000"]
        forged = membership.Fact(5_000, 99, 5)
        digest = membership.Digest(
            "node-001", b"", b"", {"node-000": forged}, {}
        )
        node.receive_facts(digest)
        self.assertEqual(node.revision_by_node()["node-000"], 7)


class CodeTest(unittest.TestCase):
    """Guards against losses in the compact forms."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.floats(0.02, 1e6), strategies.floats(0, 1e6))
    def test_demand_is_kept_within_five_percent(
        self, rate: float, concurrency: float
    ) -> None:
        demand = {"c": membership.Demand(rate, concurrency)}
        packed = membership.pack_demand(demand, 60)
        found = membership.unpack_demand(packed)
        got = found[membership.customer_key("c")]
        self.assertLess(abs(got.rate_per_s - rate), 0.05 * rate + 1e-9)

    def test_incomplete_rows_are_ignored(self) -> None:
        self.assertEqual(len(membership.unpack_demand(b"1234567")), 1)


def table(own: str, heard: dict[str, int]) -> membership.AgeTable:
    """Return a table with given times, each below 20 s."""
    made = membership.AgeTable(own)
    made.set_members({own, *heard})
    for node, heard_ms in heard.items():
        made.note(membership.node_key(node), b"\0", heard_ms)
    return made


times = strategies.dictionaries(
    strategies.sampled_from([f"n{i}" for i in range(12)]),
    strategies.integers(0, 40_000),
)


class AgeTest(unittest.TestCase):
    """Guards against ages that look younger than they are."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(times, times)
    def test_ages_are_never_understated(
        self, sent: dict[str, int], known: dict[str, int]
    ) -> None:
        """An understated age would hide that a node is cut off.

        The two folds differ, so the keys are translated.
        """
        now_ms = 40_000
        sender = table("s", sent)
        receiver = table("r", known)
        receiver.note(*sender.pack(now_ms), now_ms)
        found = receiver.heard_ms_by_node()
        for node, heard_ms in found.items():
            best = max(sent.get(node, -1), known.get(node, -1))
            self.assertLessEqual(heard_ms, best)
            self.assertGreaterEqual(heard_ms, known.get(node, 0))
        for node in known:
            if now_ms - sent.get(node, -now_ms) <= 25_000:
                self.assertGreater(found[node], sent[node] - 100)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(times, strategies.randoms(use_true_random=False))
    def test_same_result_for_any_order(
        self, sent: dict[str, int], shuffle: random.Random
    ) -> None:
        parts = [table(f"s{i}", sent).pack(40_000 + i) for i in range(4)]
        results = []
        for _ in range(2):
            shuffle.shuffle(parts)
            receiver = table("r", dict.fromkeys(sent, 0))
            for keys, ages in parts * 2:
                receiver.note(keys, ages, 41_000)
            results.append(receiver.heard_ms_by_node())
        self.assertEqual(results[0], results[1])

    def test_removed_node_does_not_come_back(self) -> None:
        receiver = table("r", {"a": 1, "b": 1})
        receiver.set_members({"r", "a"})
        sender = table("s", {"a": 2, "b": 2})
        receiver.note(*sender.pack(10), 10)
        self.assertNotIn("b", receiver.heard_ms_by_node())

    def test_lengths_that_do_not_fit_are_survived(self) -> None:
        receiver = table("r", {"a": 1})
        receiver.note(b"\0", b"\0\0\0", 5)
        receiver.note(b"", b"", 5)
        self.assertEqual(receiver.heard_ms_by_node(), {"a": 1})


class IsolationTest(unittest.TestCase):
    """Guards against nodes that stop, or go on, against the design."""

    def isolated(
        self, heard: int, head_age_ms: int, mode: str = membership.MAJORITY
    ) -> bool:
        """Return the rule's answer in a fleet of 8 (4 a region)."""
        present = fleet(8)
        names = sorted(present)[: heard + 1]
        return membership.is_isolated(
            "node-000",
            present,
            {name: 100_000 for name in names},
            head_age_ms,
            100_000 + membership.FRESH_MS,
            mode,
        )

    def test_the_log_is_enough(self) -> None:
        self.assertFalse(self.isolated(0, membership.FRESH_MS))

    def test_a_majority_is_enough(self) -> None:
        old_ms = membership.FRESH_MS + 1
        self.assertFalse(self.isolated(4, old_ms))
        self.assertTrue(self.isolated(3, old_ms))

    def test_the_own_region_is_enough_where_operators_chose_it(self) -> None:
        old_ms = membership.FRESH_MS + 1
        heard = {"node-002": 100_000, "node-004": 100_000}
        for mode, wanted in (
            (membership.MAJORITY, True),
            (membership.REGION, False),
        ):
            found = membership.is_isolated(
                "node-000", fleet(8), heard, old_ms, 100_000, mode
            )
            self.assertEqual(found, wanted)

    def test_half_is_no_majority(self) -> None:
        """Both halves of a partition would go on otherwise."""
        present = fleet(4)
        found = membership.is_isolated(
            "node-000", present, {"node-001": 0}, 6_000, 0
        )
        self.assertTrue(found)

    def test_an_expired_node_is_isolated(self) -> None:
        self.assertTrue(membership.is_isolated("x", fleet(2), {}, 6_000, 0))
        self.assertTrue(membership.is_isolated("x", {}, {}, 6_000, 0))

    def test_a_single_node_is_its_own_majority(self) -> None:
        self.assertFalse(
            membership.is_isolated("node-000", fleet(1), {}, 6_000, 0)
        )
