"""Tests of presence, load estimates, choice, ejection and subsets."""

import collections
import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies as st

from quetzalward_core import routing
from quetzalward_core import testing

FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)


class PresenceTest(unittest.TestCase):
    """Guards against requests to a replica with a missing host (R1)."""

    def setUp(self) -> None:
        self.group = testing.make_group()
        self.report = testing.make_report(self.group, as_of_ms=10_000)
        self.hosts = testing.make_host_list([self.group], as_of_ms=10_000)

    def check(
        self,
        expected: routing.Presence,
        now_ms: int = 10_000,
        **changes: object,
    ) -> None:
        facts = {
            "group": self.group,
            "report": self.report,
            "host_list": self.hosts,
        }
        found = routing.presence(
            **(facts | changes), now_ms=now_ms  # type: ignore[arg-type]
        )
        self.assertIs(found, expected)

    def test_complete_replica_is_ready(self) -> None:
        self.check(routing.Presence.READY)

    def test_group_that_is_not_serving_gets_nothing(self) -> None:
        group = attrs.evolve(self.group, state="draining")
        self.check(routing.Presence.NOT_SERVING, group=group)

    def test_missing_or_foreign_report_counts_as_absence(self) -> None:
        self.check(routing.Presence.REPORT_MISSING, report=None)
        foreign = attrs.evolve(self.report, target_id="g2")
        self.check(routing.Presence.REPORT_MISSING, report=foreign)

    def test_report_serves_for_three_seconds_and_no_longer(self) -> None:
        self.check(routing.Presence.READY, now_ms=13_000)
        self.check(routing.Presence.REPORT_OLD, now_ms=13_001)

    def test_report_of_an_earlier_formation_is_refused(self) -> None:
        report = attrs.evolve(self.report, epoch=self.group.epoch - 1)
        self.check(routing.Presence.WRONG_EPOCH, report=report)

    def test_report_must_name_exactly_the_hosts(self) -> None:
        first, second = self.group.hosts
        extra = routing.HostId("other", "1")
        stale = attrs.evolve(second, incarnation="0")
        for hosts in ({first}, {first, second, extra}, {first, stale}):
            report = attrs.evolve(self.report, hosts=frozenset(hosts))
            self.check(routing.Presence.WRONG_HOSTS, report=report)

    def test_engine_without_weights_gets_nothing(self) -> None:
        for state in (routing.EngineState.LOADING, routing.EngineState.EMPTY):
            report = attrs.evolve(self.report, state=state)
            self.check(routing.Presence.NOT_LOADED, report=report)

    def change_host(self, **changes: object) -> routing.HostList:
        entries = dict(self.hosts.hosts)
        name = self.group.hosts[1].host
        entries[name] = attrs.evolve(entries[name], **changes)
        return attrs.evolve(self.hosts, hosts=entries)

    def test_host_list_can_show_absence(self) -> None:
        entries = dict(self.hosts.hosts)
        del entries[self.group.hosts[0].host]
        gone = attrs.evolve(self.hosts, hosts=entries)
        self.check(routing.Presence.HOST_GONE, host_list=gone)
        replaced = self.change_host(incarnation="2")
        self.check(routing.Presence.HOST_REPLACED, host_list=replaced)
        leaving = self.change_host(leaving=True)
        self.check(routing.Presence.HOST_LEAVING, host_list=leaving)

    def test_old_host_list_proves_nothing(self) -> None:
        old = attrs.evolve(
            self.hosts, hosts={}, as_of_ms=self.report.as_of_ms - 60_001
        )
        self.check(routing.Presence.READY, host_list=old)
        just = attrs.evolve(old, as_of_ms=old.as_of_ms + 1)
        self.check(routing.Presence.HOST_GONE, host_list=just)
        self.check(routing.Presence.READY, host_list=None)


class LoadTest(unittest.TestCase):
    """Guards against counting this node's requests twice or not at all."""

    def test_requests_since_the_report_are_added_and_removed(self) -> None:
        group = testing.make_group()
        tracker = routing.LoadTracker()
        tracker.sent(1, 50)
        tracker.sent(2, 150)
        report = testing.make_report(group, as_of_ms=100, running=4)
        self.assertEqual(routing.estimate_load(report, tracker, 4, 100), 5)
        tracker.ended(1, 200)
        self.assertEqual(routing.estimate_load(report, tracker, 4, 200), 4)
        tracker.ended(2, 210)
        self.assertEqual(routing.estimate_load(report, tracker, 4, 210), 3)
        tracker.forget_before(220)
        newer = attrs.evolve(report, as_of_ms=220, running=3)
        self.assertEqual(routing.estimate_load(newer, tracker, 3, 220), 3)

    def test_old_reports_move_towards_the_mean(self) -> None:
        report = testing.make_report(testing.make_group(), running=10)
        tracker = routing.LoadTracker()
        fresh = routing.estimate_load(report, tracker, 2, 0)
        later = routing.estimate_load(report, tracker, 2, 2_000)
        self.assertEqual(fresh, 10)
        self.assertTrue(2 < later < 10)

    def test_a_slot_is_returned_once(self) -> None:
        tracker = routing.LoadTracker()
        tracker.sent(1, 0)
        self.assertTrue(tracker.ended(1, 1))
        self.assertFalse(tracker.ended(1, 2))


def candidate(name: str, load: float, **fields: object) -> routing.Candidate:
    defaults = {"capacity": 16, "cached_tokens": 0, "same_zone": True}
    return routing.Candidate(name, load, **(defaults | fields))  # type: ignore


class ChoiceTest(unittest.TestCase):
    """Guards against herding and against ignoring cache or capacity."""

    def choose(self, candidates: list[routing.Candidate], **f: object) -> str:
        found = routing.choose(
            candidates, 1_000, "p", random.Random(1), **f  # type: ignore
        )
        assert found is not None
        return found.target_id

    def test_nothing_to_choose_from(self) -> None:
        self.assertIsNone(routing.choose([], 10, None, random.Random(1)))

    def test_cheapest_of_all_drawn_wins(self) -> None:
        both = [candidate("a", 9), candidate("b", 1)]
        self.assertEqual(self.choose(both), "b")

    def test_cached_prefix_wins_against_little_load(self) -> None:
        many = [candidate(f"t{n}", 1) for n in range(20)]
        many.append(candidate("c", 5, cached_tokens=1_000))
        self.assertEqual(self.choose(many), "c")

    def test_full_target_loses_against_its_cached_prefix(self) -> None:
        many = [candidate(f"t{n}", 1) for n in range(20)]
        many.append(candidate("c", 16, cached_tokens=1_000))
        self.assertNotEqual(self.choose(many), "c")

    def test_own_zone_wins_a_tie(self) -> None:
        pair = [candidate("a", 1, same_zone=False), candidate("b", 1)]
        self.assertEqual(self.choose(pair), "b")

    def test_hot_rule_drops_the_loaded(self) -> None:
        many = [candidate(f"t{n}", float(n)) for n in range(10)]
        many[9] = attrs.evolve(many[9], cached_tokens=1_000)
        rule = routing.ChoiceRule.HOT_COLD
        self.assertNotEqual(self.choose(many, rule=rule), "t9")

    def test_same_view_does_not_send_every_node_to_one_target(self) -> None:
        many = [candidate(f"t{n:02}", float(n)) for n in range(24)]
        counts: collections.Counter[str] = collections.Counter()
        for seed in range(300):
            found = routing.choose(many, 100, None, random.Random(seed))
            assert found is not None
            counts[found.target_id] += 1
        self.assertLess(max(counts.values()), 300 / 4)


class PrefixTest(unittest.TestCase):
    """Guards against unbounded or wrong cache indexes."""

    def test_prompts_share_ids_up_to_their_difference(self) -> None:
        shared = "s" * 512
        one = routing.prefix_ids(shared + "a" * 256)
        two = routing.prefix_ids(shared + "b" * 256)
        self.assertEqual(one[:2], two[:2])
        self.assertNotEqual(one[2], two[2])

    def test_long_prompts_have_bounded_ids(self) -> None:
        self.assertEqual(len(routing.prefix_ids("x" * 1_000_000)), 64)
        self.assertEqual(routing.prefix_ids("short"), ())

    def test_index_keeps_the_newest(self) -> None:
        index = routing.PrefixIndex(2)
        index.add(["a", "b", "c"])
        self.assertEqual(len(index), 2)
        self.assertEqual(index.cached_tokens(["a"]), 0)
        self.assertEqual(index.cached_tokens(["b", "c"]), 128)
        index.evict("c")
        self.assertEqual(index.cached_tokens(["b", "c"]), 64)


class EjectionTest(unittest.TestCase):
    """Guards against keeping slow targets and against ejecting too many."""

    def observed(self, speeds: dict[str, float]) -> routing.Ejector:
        ejector = routing.Ejector()
        for name, token_ms in speeds.items():
            ejector.observe(name, token_ms)
        return ejector

    def test_straggler_is_ejected_and_returns(self) -> None:
        speeds = {f"t{n}": 30.0 for n in range(6)} | {"t0": 90.0}
        ejector = self.observed(speeds)
        self.assertEqual(ejector.ejected(speeds, 0), {"t0"})
        self.assertEqual(ejector.ejected(speeds, 9_999), {"t0"})
        self.assertEqual(ejector.ejected(speeds, 10_000), frozenset())

    def test_repeated_ejections_double_up_to_a_bound(self) -> None:
        speeds = {f"t{n}": 30.0 for n in range(6)} | {"t0": 90.0}
        ejector = self.observed(speeds)
        now_ms = 0
        lengths = []
        for _ in range(6):
            ejector.ejected(speeds, now_ms)
            start_ms = now_ms
            while ejector.ejected(speeds, now_ms):
                now_ms += 1_000
            lengths.append((now_ms - start_ms) // 1_000)
            # The ejection reset its statistics.
            ejector.observe("t0", 90.0)
        self.assertEqual(lengths, [10, 20, 40, 80, 160, 160])

    def test_failures_in_a_row_eject(self) -> None:
        names = ["a", "b", "c"]
        ejector = routing.Ejector()
        for _ in range(2):
            ejector.failed("a")
        ejector.succeeded("a")
        ejector.failed("a")
        self.assertEqual(ejector.ejected(names, 0), frozenset())
        ejector.failed("a")
        ejector.failed("a")
        self.assertEqual(ejector.ejected(names, 0), {"a"})

    @FIXED
    @hypothesis.given(
        st.lists(st.integers(1, 500), min_size=1, max_size=30),
        st.integers(0, 60),
        st.integers(0, 60),
    )
    def test_ejected_share_is_bounded(
        self, speeds: list[int], failing: int, removed: int
    ) -> None:
        names = [f"t{n}" for n in range(len(speeds))]
        ejector = routing.Ejector()
        for name, speed in zip(names, speeds):
            ejector.observe(name, float(speed))
        for name in names[:failing]:
            for _ in range(3):
                ejector.failed(name)
        self.assertLessEqual(3 * len(ejector.ejected(names, 0)), len(names))
        # The bound must also hold after targets are removed.
        rest = names[removed:]
        self.assertLessEqual(3 * len(ejector.ejected(rest, 1)), len(rest))


class SubsetTest(unittest.TestCase):
    """Guards against uncovered targets and uneven or unstable subsets."""

    @FIXED
    @hypothesis.given(
        st.integers(1, 60), st.integers(1, 120), st.integers(1, 30)
    )
    def test_coverage_is_even(self, nodes: int, targets: int, k: int) -> None:
        self.check_coverage(nodes, targets, k)

    def test_coverage_at_the_declared_sizes(self) -> None:
        for nodes, targets in ((6, 50), (7, 50), (380, 710), (380, 20)):
            self.check_coverage(nodes, targets, 24)

    def check_coverage(self, nodes: int, targets: int, size: int) -> None:
        node_names = [f"n{n}" for n in range(nodes)]
        target_names = [f"t{n}" for n in range(targets)]
        counts = collections.Counter(
            target
            for node in node_names
            for target in routing.subset(node, node_names, target_names, size)
        )
        self.assertEqual(set(counts), set(target_names))
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)
        self.assertGreaterEqual(min(counts.values()), min(3, nodes))

    def test_one_change_moves_few_targets(self) -> None:
        nodes = [f"n{n}" for n in range(380)]
        targets = [f"t{n}" for n in range(710)]
        before = {n: routing.subset(n, nodes, targets) for n in nodes}
        for nodes_after, targets_after in (
            (nodes[1:], targets),
            (nodes, targets[1:]),
        ):
            lost = [
                len(
                    before[node]
                    - routing.subset(node, nodes_after, targets_after)
                )
                for node in nodes_after
            ]
            self.assertLessEqual(max(lost), 3)

    def test_region_uses_its_own_targets_while_sufficient(self) -> None:
        nodes = {f"n{n}": "r1" if n < 4 else "r2" for n in range(8)}
        targets = {f"t{n}": "r1" if n < 10 else "r2" for n in range(20)}
        _, found = routing.local_pool("r1", nodes, targets)
        self.assertEqual(found, {f"t{n}" for n in range(10)})
        few = {name: region for name, region in targets.items() if name > "t7"}
        _, found = routing.local_pool("r1", nodes, few)
        self.assertEqual(found, set(few))


class PresenceChangeTest(unittest.TestCase):
    """Guards against a cached presence that is used too long (R1)."""

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        st.integers(0, 90_000),
        st.none() | st.integers(0, 90_000),
        st.integers(0, 90_000),
        st.integers(0, 90_000),
    )
    def test_result_holds_until_the_stated_time(
        self, report_ms: int, list_ms: int | None, now_ms: int, later_ms: int
    ) -> None:
        group = testing.make_group()
        report = testing.make_report(group, report_ms)
        listed = None
        if list_ms is not None:
            listed = routing.HostList(list_ms, {})
        first = routing.presence(group, report, listed, now_ms)
        limit_ms = routing.presence_valid_until_ms(report, listed, now_ms)
        then_ms = now_ms + later_ms
        if limit_ms is None or then_ms < limit_ms:
            second = routing.presence(group, report, listed, then_ms)
            self.assertEqual(first, second)
