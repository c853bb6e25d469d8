"""Tests of one node's membership: digests, peers and isolation."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from quetzalward_core import membership

# For 380 nodes two bytes of key, one of age, one of version and one bit each,
# and the facts.
MAX_DIGEST_BYTES = 4 * 380 + 48 + membership.MAX_FACT_BYTES


def make_members(count: int) -> dict[str, membership.Member]:
    """Return `count` members, half of them in each of two regions."""
    return {
        f"node-{i:03d}": membership.Member(1000 + i, f"r{i % 2}")
        for i in range(count)
    }


def make_memberships(count: int) -> dict[str, membership.Membership]:
    """Return the membership of each node, with its own fact published."""
    present = make_members(count)
    found = {}
    for name in present:
        found[name] = membership.Membership(name)
        found[name].set_members(present)
        found[name].update_own_fact(7, {"c": membership.Demand(1.0, 2.0)}, 0)
    return found


def exchange(
    one: membership.Membership, other: membership.Membership, now_ms: int
) -> None:
    """Exchange digests between two nodes; `one` sends the request."""
    request = one.request(now_ms)
    other.receive(request, now_ms)
    one.receive(other.answer(request, now_ms), now_ms)


def exchange_all(
    nodes: dict[str, membership.Membership], now_ms: int, rng: random.Random
) -> None:
    """Exchange digests between every node and two of its peers."""
    for node in nodes.values():
        for name in node.choose_peers(2, now_ms, rng):
            exchange(node, nodes[name], now_ms)


def facts_digest(facts: dict[str, membership.Fact]) -> membership.Digest:
    """Return a digest that holds only facts."""
    return membership.Digest("node-001", facts_by_node=facts)


class DigestTest(unittest.TestCase):
    """Guards against digests that exceed their size or leave nodes out."""

    def test_size_is_bounded(self) -> None:
        nodes = make_memberships(380)
        rng = random.Random(1)
        demand = {f"c{i}": membership.Demand(i, i) for i in range(100)}
        for name, node in nodes.items():
            node.update_own_fact(2**40, demand, 0)
        for second in range(8):
            exchange_all(nodes, 1_000 * second, rng)
        empty = membership.Digest("x", fold_hash=b"another")
        digest = nodes["node-000"].answer(empty, 8_000)
        size = len(digest.keys) + len(digest.ages) + len(digest.versions)
        size += len(digest.in_force)
        for name, fact in digest.facts_by_node.items():
            size += len(name) + len(fact.demand) + 26
        self.assertLessEqual(size, MAX_DIGEST_BYTES)
        self.assertGreater(len(digest.facts_by_node), 20)

    def test_every_fact_reaches_every_node(self) -> None:
        nodes = make_memberships(120)
        rng = random.Random(2)
        for second in range(12):
            exchange_all(nodes, 1_000 * second, rng)
        for node in nodes.values():
            self.assertEqual(len(node.revision_by_node()), 120)
            self.assertEqual(len(node.demand_by_node("c")), 120)

    def test_nodes_with_different_folds_exchange_state(self) -> None:
        """During a log outage, two nodes may keep different folds."""
        nodes = make_memberships(20)
        smaller = make_members(20)
        del smaller["node-013"]
        for index in range(0, 20, 2):
            nodes[f"node-{index:03d}"].set_members(smaller)
        rng = random.Random(3)
        for second in range(12):
            exchange_all(nodes, 1_000 * second, rng)
        for node in nodes.values():
            known = node.revision_by_node()
            self.assertEqual(set(known), set(node.members))
            self.assertFalse(node.is_isolated(60_000, 12_000))

    def test_answer_holds_only_what_the_requester_lacks(self) -> None:
        one, other = list(make_memberships(2).values())
        exchange(one, other, 0)
        exchange(other, one, 0)
        request = one.request(0)
        self.assertEqual(other.answer(request, 0).facts_by_node, {})

    def test_new_revision_is_known_with_the_next_exchange(self) -> None:
        one, other = list(make_memberships(2).values())
        one.update_own_fact(9, {}, 0)
        exchange(one, other, 0)
        self.assertEqual(other.revision_by_node()["node-000"], 9)

    def test_small_changes_of_demand_are_not_published(self) -> None:
        node = make_memberships(2)["node-000"]
        before = node.knowledge().facts_by_node["node-000"]
        node.update_own_fact(7, {"c": membership.Demand(1.1, 2.1)}, 10_000)
        after = node.knowledge().facts_by_node["node-000"]
        self.assertEqual(before, after)
        node.update_own_fact(7, {"c": membership.Demand(3.0, 2.1)}, 4_999)
        self.assertEqual(before, node.knowledge().facts_by_node["node-000"])
        node.update_own_fact(7, {"c": membership.Demand(3.0, 2.1)}, 5_000)
        later = node.knowledge().facts_by_node["node-000"]
        self.assertGreater(later, after)

    def test_late_digest_of_an_earlier_start_is_ignored(self) -> None:
        node = make_memberships(3)["node-000"]
        node.receive_undated(
            facts_digest({"node-001": membership.Fact(1, 99, 5)})
        )
        self.assertNotIn("node-001", node.revision_by_node())

    def test_own_fact_is_not_taken_from_others(self) -> None:
        node = make_memberships(3)["node-000"]
        forged = membership.Fact(5_000, 99, 5)
        node.receive_undated(facts_digest({"node-000": forged}))
        self.assertEqual(node.revision_by_node()["node-000"], 7)

    def test_versions_beyond_one_byte_reach_peers(self) -> None:
        one, other = list(make_memberships(2).values())
        for turn in range(600):
            one.update_own_fact(turn, {}, 0)
            if turn % 100 == 99:
                exchange(other, one, 0)
                fact = other.knowledge().facts_by_node["node-000"]
                self.assertEqual(fact.revision, turn)


class CodeTest(unittest.TestCase):
    """Guards against loss of precision in the compact encoding."""

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


def make_table(
    own: str, heard: dict[str, int]
) -> tuple[membership.NodeIndex, membership.LastHeardTable]:
    """Return an index and a table with the given last-heard times."""
    index = membership.NodeIndex({own, *heard})
    made = membership.LastHeardTable(own)
    made.set_index(index)
    for node, heard_ms in heard.items():
        made.merge_ages(b"\0", heard_ms, [(index.number_by_node[node], [0])])
    return index, made


times = strategies.dictionaries(
    strategies.sampled_from([f"n{i}" for i in range(12)]),
    strategies.integers(0, 40_000),
)


class AgeTest(unittest.TestCase):
    """Guards against ages that are smaller than they should be."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(times, times)
    def test_ages_are_never_understated(
        self, sent: dict[str, int], known: dict[str, int]
    ) -> None:
        """An age that is too small would hide that a node is isolated.

        The two folds differ, so node numbers are matched by keys.
        """
        now_ms = 40_000
        sender_index, sender = make_table("s", sent)
        index, receiver = make_table("r", known)
        matches = index.match_keys(sender_index.keys)
        receiver.merge_ages(sender.pack(now_ms), now_ms, matches)
        found = receiver.last_heard_ms_by_node()
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
        parts = []
        for i in range(4):
            index, made = make_table(f"s{i}", sent)
            parts.append((index.keys, made.pack(40_000 + i)))
        results = []
        for _ in range(2):
            shuffle.shuffle(parts)
            index, receiver = make_table("r", dict.fromkeys(sent, 0))
            for keys, ages in parts * 2:
                receiver.merge_ages(ages, 41_000, index.match_keys(keys))
            results.append(receiver.last_heard_ms_by_node())
        self.assertEqual(results[0], results[1])

    def test_removed_node_does_not_come_back(self) -> None:
        _, receiver = make_table("r", {"a": 1, "b": 1})
        index = membership.NodeIndex({"r", "a"})
        receiver.set_index(index)
        sender_index, sender = make_table("s", {"a": 2, "b": 2})
        matches = index.match_keys(sender_index.keys)
        receiver.merge_ages(sender.pack(10), 10, matches)
        self.assertNotIn("b", receiver.last_heard_ms_by_node())

    def test_wrong_lengths_are_ignored(self) -> None:
        index, receiver = make_table("r", {"a": 1})
        receiver.merge_ages(b"", 5, index.match_keys(index.keys))
        receiver.merge_ages(b"\0", 5, None)
        self.assertEqual(receiver.last_heard_ms_by_node(), {"a": 1})


class InForceTest(unittest.TestCase):
    """Guards against confirming a configuration that a node lacks."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.sets(strategies.sampled_from("abcd")),
            ),
            max_size=5,
        ),
        strategies.randoms(use_true_random=False),
        strategies.booleans(),
    )
    def test_same_result_for_any_order(
        self,
        parts: list[tuple[int, set[str]]],
        shuffle: random.Random,
        same_fold: bool,
    ) -> None:
        index = membership.NodeIndex("abcd")
        foreign = index if same_fold else membership.NodeIndex("abcdx")
        results = []
        for _ in range(2):
            shuffle.shuffle(parts)
            merged = membership.RevisionInForce()
            merged.set_index(index)
            for revision, nodes in parts * 2:
                sender = membership.RevisionInForce()
                sender.set_index(foreign)
                for node in nodes:
                    sender.add(node, revision)
                matches = None if same_fold else index.match_keys(foreign.keys)
                merged.merge_packed(revision, sender.pack(), matches)
            newest = max((r for r, _ in parts), default=0)
            wanted = {n for r, names in parts if r == newest for n in names}
            self.assertEqual(set(merged.nodes()), wanted)
            results.append((merged.revision, merged.nodes()))
        self.assertEqual(results[0], results[1])

    def test_removed_node_is_forgotten(self) -> None:
        merged = membership.RevisionInForce()
        merged.set_index(membership.NodeIndex("ab"))
        merged.add("a", 5)
        merged.add("b", 5)
        merged.set_index(membership.NodeIndex("bc"))
        self.assertEqual(merged.nodes(), ["b"])


class IsolationTest(unittest.TestCase):
    """Guards against nodes that stop, or keep serving, by mistake."""

    def isolated(
        self, heard: int, head_age_ms: int, mode: str = membership.MAJORITY
    ) -> bool:
        """Tell whether a node of 8 is isolated that heard `heard` others.

        Each of the two regions has 4 nodes.
        """
        present = make_members(8)
        names = sorted(present)[: heard + 1]
        return membership.is_isolated(
            "node-000",
            present,
            {name: 100_000 for name in names},
            head_age_ms,
            100_000 + membership.FRESHNESS_LIMIT_MS,
            mode,
        )

    def test_the_log_is_enough(self) -> None:
        self.assertFalse(self.isolated(0, membership.FRESHNESS_LIMIT_MS))

    def test_a_majority_is_enough(self) -> None:
        old_ms = membership.FRESHNESS_LIMIT_MS + 1
        self.assertFalse(self.isolated(4, old_ms))
        self.assertTrue(self.isolated(3, old_ms))

    def test_the_own_region_is_enough_where_operators_chose_it(self) -> None:
        old_ms = membership.FRESHNESS_LIMIT_MS + 1
        heard = {"node-002": 100_000, "node-004": 100_000}
        for mode, wanted in (
            (membership.MAJORITY, True),
            (membership.REGION, False),
        ):
            found = membership.is_isolated(
                "node-000", make_members(8), heard, old_ms, 100_000, mode
            )
            self.assertEqual(found, wanted)

    def test_half_is_no_majority(self) -> None:
        """Otherwise both halves of a partition would keep serving."""
        present = make_members(4)
        found = membership.is_isolated(
            "node-000", present, {"node-001": 0}, 6_000, 0
        )
        self.assertTrue(found)

    def test_an_expired_node_is_isolated(self) -> None:
        self.assertTrue(
            membership.is_isolated("x", make_members(2), {}, 6_000, 0)
        )
        self.assertTrue(membership.is_isolated("x", {}, {}, 6_000, 0))

    def test_a_single_node_is_its_own_majority(self) -> None:
        self.assertFalse(
            membership.is_isolated("node-000", make_members(1), {}, 6_000, 0)
        )
