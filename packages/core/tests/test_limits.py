"""Tests of shares, buckets, the fair queue, rejection and retries."""

import collections
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from quetzalward_core import errors
from quetzalward_core import limits

FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)


class DivideTest(unittest.TestCase):
    """Guards against shares that sum to more than the limit."""

    @FIXED
    @hypothesis.given(
        st.floats(0.1, 1_000),
        st.lists(st.floats(0, 1_000), min_size=1, max_size=20),
    )
    def test_shares_sum_to_the_limit_if_nodes_agree_on_demand(
        self, limit: float, demands: list[float]
    ) -> None:
        total = sum(demands)
        shares = [
            limits.node_share(limit, own, total - own, len(demands))
            for own in demands
        ]
        self.assertAlmostEqual(sum(shares), limit, delta=limit * 1e-6)

    def test_unused_share_is_usable_by_others(self) -> None:
        self.assertEqual(limits.node_share(100, 90, 0, 5), 92)
        self.assertEqual(limits.node_share(100, 150, 50, 5), 75)


class ShareTest(unittest.TestCase):
    """Guards against shares that admit nothing, or the limit on each node."""

    def share(
        self, history: limits.DemandHistory, now_ms: int
    ) -> limits.Share:
        return history.share(10.0, 4, ["a", "b"], now_ms)

    def test_own_demand_counts_after_one_window(self) -> None:
        history = limits.DemandHistory("a")
        history.record("a", limits.Demand(10.0, 4.0), 0)
        self.assertEqual(self.share(history, 4_999).rate_per_s, 5.0)
        self.assertEqual(self.share(history, 5_000).rate_per_s, 10.0)

    def test_others_demand_counts_at_once(self) -> None:
        history = limits.DemandHistory("a")
        history.record("b", limits.Demand(10.0, 4.0), 0)
        self.assertEqual(self.share(history, 0).rate_per_s, 0.0)

    def test_one_request_is_admitted_while_the_limit_is_not_used(self) -> None:
        history = limits.DemandHistory("a")
        history.record("b", limits.Demand(10.0, 4.0, 3), 0)
        self.assertEqual(self.share(history, 0).concurrency, 1)
        history.record("b", limits.Demand(10.0, 4.0, 4), 1)
        self.assertEqual(self.share(history, 1).concurrency, 0)


NODES = ("a", "b", "c")
RATE = 12.0


class ShareMachine(stateful.RuleBasedStateMachine):
    """Nodes gossip changing demands with delays up to the window.

    Guards against rate shares that sum to more than the limit.
    """

    @stateful.initialize()
    def start(self) -> None:
        self.now_ms = 0
        self.histories = {node: limits.DemandHistory(node) for node in NODES}
        self.published: dict[str, tuple[int, limits.Demand]] = {}
        self.received_ms: dict[tuple[str, str], int] = {}

    @stateful.rule(
        node=st.sampled_from(NODES), rate=st.sampled_from((0, 2, 6, 12, 50))
    )
    def publish(self, node: str, rate: int) -> None:
        demand = limits.Demand(float(rate), float(rate), 0)
        self.published[node] = (self.now_ms, demand)
        self.histories[node].record(node, demand, self.now_ms)

    @stateful.rule(node=st.sampled_from(NODES), other=st.sampled_from(NODES))
    def receive(self, node: str, other: str) -> None:
        if other != node and other in self.published:
            demand = self.published[other][1]
            self.histories[node].record(other, demand, self.now_ms)
            self.received_ms[(node, other)] = self.now_ms

    @stateful.rule(delta_ms=st.integers(1, 2_500))
    def advance(self, delta_ms: int) -> None:
        self.now_ms += delta_ms
        for node in NODES:
            for other in NODES:
                last_ms = self.received_ms.get((node, other), 0)
                # A node that hears from others less often is isolated.
                if self.now_ms + 2_500 - last_ms > limits.DEMAND_WINDOW_MS:
                    self.receive(node, other)

    @stateful.invariant()
    def sum_is_bounded(self) -> None:
        if not hasattr(self, "histories"):
            return
        shares = [
            history.share(RATE, 12, NODES, self.now_ms).rate_per_s
            for history in self.histories.values()
        ]
        assert sum(shares) <= RATE + 1e-6, shares


ShareMachineTest = ShareMachine.TestCase
ShareMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


class BucketTest(unittest.TestCase):
    """Guards against a rate above the share over any longer time."""

    @FIXED
    @hypothesis.given(
        st.floats(0.1, 50),
        st.lists(st.integers(0, 500), min_size=1, max_size=100),
    )
    def test_admits_at_most_rate_and_burst(
        self, rate: float, gaps: list[int]
    ) -> None:
        bucket = limits.TokenBucket(0)
        now_ms = admitted = 0
        for gap in gaps:
            now_ms += gap
            admitted += bucket.take(rate, now_ms) is None
        bound = max(1.0, rate) + rate * now_ms / 1_000
        self.assertLessEqual(admitted, bound + 1e-6)

    def test_token_is_available_after_the_returned_wait(self) -> None:
        bucket = limits.TokenBucket(0)
        self.assertIsNone(bucket.take(2.0, 0))
        self.assertIsNone(bucket.take(2.0, 0))
        wait_ms = bucket.take(2.0, 0)
        assert wait_ms is not None
        self.assertIsNone(bucket.take(2.0, wait_ms + 1))


class QueueTest(unittest.TestCase):
    """Guards against starvation and unfair order."""

    def filled(self) -> limits.FairQueue[str]:
        queue: limits.FairQueue[str] = limits.FairQueue()
        for n in range(40):
            queue.push(f"big{n}", "big", "big", 0, 1.0, 100.0)
        for n in range(4):
            queue.push(f"small{n}", "small", "small", 0, 1.0, 100.0)
        return queue

    def served(self, queue: limits.FairQueue[str], count: int) -> list[str]:
        found = [queue.pop() for _ in range(count)]
        return [item for item in found if item is not None]

    def test_small_customer_does_not_wait_for_a_large_backlog(self) -> None:
        counts = collections.Counter(self.served(self.filled(), 8))
        self.assertEqual(counts, {"big": 4, "small": 4})

    def test_weights_and_priorities_divide_the_service(self) -> None:
        queue: limits.FairQueue[str] = limits.FairQueue()
        for n in range(90):
            queue.push(f"a{n}", "a", "a", 0, 2.0, 10.0)
            queue.push(f"b{n}", "b", "b", 0, 1.0, 10.0)
            queue.push(f"c{n}", "c", "c", 2, 1.0, 10.0)
        counts = collections.Counter(self.served(queue, 70))
        self.assertEqual(counts["a"], 20)
        self.assertEqual(counts["b"], 10)
        self.assertEqual(counts["c"], 40)

    def test_removed_items_are_not_served(self) -> None:
        queue = self.filled()
        self.assertEqual(queue.remove("small0"), "small")
        self.assertIsNone(queue.remove("small0"))
        self.assertEqual(len(queue), 43)
        counts = collections.Counter(self.served(queue, 50))
        self.assertEqual(counts, {"big": 40, "small": 3})
        self.assertIsNone(queue.pop())

    def test_a_key_is_queued_once(self) -> None:
        queue = self.filled()
        with self.assertRaises(ValueError):
            queue.push("big0", "big", "big", 0, 1.0, 1.0)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue with a dictionary and bounds each wait.

    Guards against lost items and starvation of a low priority.
    """

    @stateful.initialize()
    def start(self) -> None:
        self.queue: limits.FairQueue[str] = limits.FairQueue()
        self.waiting: dict[str, int] = {}
        self.seq = self.low_count = 0

    @stateful.rule(
        customer=st.sampled_from("abc"),
        priority=st.integers(-9, 9),
        cost=st.integers(1, 4),
    )
    def push(self, customer: str, priority: int, cost: int) -> None:
        self.seq += 1
        key = f"k{self.seq}"
        self.queue.push(key, key, customer, priority, 1.0, float(cost))
        self.waiting[key] = 0

    @stateful.rule(count=st.integers(1, 3))
    def pop(self, count: int) -> None:
        for _ in range(count):
            key = self.queue.pop()
            assert (key is None) == (not self.waiting)
            if key is not None:
                del self.waiting[key]

    @stateful.rule(index=st.integers(0, 50))
    def remove(self, index: int) -> None:
        if self.waiting:
            key = sorted(self.waiting)[index % len(self.waiting)]
            assert self.queue.remove(key) == key
            del self.waiting[key]

    @stateful.rule()
    def lowest_priority_is_served_in_bounded_work(self) -> None:
        """A lowest-priority item competes with a stream of the highest."""
        self.low_count += 1
        key = f"low{self.low_count}"
        self.queue.push(key, key, f"low{self.low_count}", -3, 1.0, 1.0)
        ahead = len(self.waiting)
        for n in range(ahead + 2):
            if self.queue.pop() == key:
                self.waiting.clear()
                self.reset_queue()
                return
            high = f"high{self.low_count}-{n}"
            self.queue.push(high, high, "high", 9, 1.0, 1.0)
        raise AssertionError(
            "lowest-priority item was not served in bounded work"
        )

    def reset_queue(self) -> None:
        """Replace the queue by an empty one."""
        self.queue = limits.FairQueue()

    @stateful.invariant()
    def counts_agree(self) -> None:
        if hasattr(self, "queue"):
            assert len(self.queue) == len(self.waiting)


QueueMachineTest = QueueMachine.TestCase
QueueMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


class AdmissionTest(unittest.TestCase):
    """Guards against wrong early rejection of requests.

    Those that would miss their deadline or wait too long are rejected, others
    are not.
    """

    def check(
        self, wait_ms: float, deadline_ms: int = 20_000
    ) -> errors.ErrorKind | None:
        found = limits.check_wait(
            wait_ms, 500, 0, deadline_ms, 5_000, random.Random(1)
        )
        return found.kind if found else None

    def test_long_wait_is_rejected_with_its_kind(self) -> None:
        self.assertIsNone(self.check(4_000))
        self.assertIs(self.check(6_000), errors.ErrorKind.OVERLOADED)
        unreachable = errors.ErrorKind.DEADLINE_UNREACHABLE
        self.assertIs(self.check(4_000, 4_400), unreachable)

    def test_retry_after_is_bounded_and_spread(self) -> None:
        rng = random.Random(1)
        found = {limits.jittered_retry_after_ms(2_000, rng) for _ in range(50)}
        self.assertGreater(len(found), 10)
        self.assertTrue(all(2_000 <= ms <= 3_000 for ms in found))
        self.assertGreaterEqual(limits.jittered_retry_after_ms(0, rng), 1_000)
        self.assertEqual(limits.jittered_retry_after_ms(1e9, rng), 30_000)

    def test_drain_rate_counts_only_while_others_wait(self) -> None:
        drain = limits.DrainRate()
        self.assertEqual(drain.expected_wait_ms(10, 0), 0.0)
        drain.record_departure(0, True)
        drain.record_departure(100, False)
        drain.record_departure(9_000, True)
        drain.record_departure(9_100, False)
        self.assertAlmostEqual(drain.expected_wait_ms(10, 9_100), 1_000.0)

    def test_stalled_queue_counts_as_slow(self) -> None:
        drain = limits.DrainRate()
        drain.record_departure(0, True)
        drain.record_departure(100, True)
        self.assertAlmostEqual(drain.expected_wait_ms(2, 2_100), 4_000.0)


class RetryTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failure."""

    def test_budget_is_a_share_of_recent_requests(self) -> None:
        budget = limits.RetryBudget()
        for n in range(100):
            budget.record_request(n)
        spent = sum(budget.try_spend(100) for _ in range(50))
        self.assertEqual(spent, 10)
        spent = sum(budget.try_spend(20_000) for _ in range(50))
        self.assertEqual(spent, limits.MIN_RETRIES)

    def test_hedges_only_repeatable_calls_with_enough_samples(self) -> None:
        policy = limits.HedgePolicy()
        self.assertIsNone(policy.delay_ms(True))
        for n in range(100):
            policy.observe(float(n))
        self.assertIsNone(policy.delay_ms(False))
        self.assertEqual(policy.delay_ms(True), 94.0)
