"""Tests of targets' limits: what ends one, and what nodes may send."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalward_core import limits
from quetzalward_core.limits import _permits

KEY = ("t1", 7)
POOL = ("s", "m")
NOW_MS = 100_000
REPORT_MS = 500
# The platform's bound on the requests of a window.
WINDOW_MS = 4_000


def allowed(per_s: float) -> float:
    """Return the requests that the platform allows in a window."""
    return 1.5 * per_s * WINDOW_MS / 1_000 + 5


def listed(per_s: float) -> limits.ListedLimit:
    """Return the limit of the one target."""
    return limits.ListedLimit(KEY, POOL, per_s)


def named(per_s: float, at_ms: int) -> limits.Observation:
    """Return what a node saw whose answer had the limit."""
    return limits.Observation(listed(per_s), at_ms, ())


def unnamed(named_ms: int | None, *sent_ms: int) -> limits.Observation:
    """Return what a node saw whose last answers had none."""
    return limits.Observation(listed(2.0), named_ms, sent_ms)


class LimitTableTest(unittest.TestCase):
    """Guards against limits that end too early, or never."""

    def setUp(self) -> None:
        """Let a node see a limit."""
        self.table = limits.LimitTable()
        self.table.record("a", named(2.0, NOW_MS))

    def ended(self) -> list[limits.TargetKey]:
        """Return the limits that have ended."""
        return self.table.take_ended(NOW_MS + 2_000)

    def test_newest_answer_counts(self) -> None:
        """A report of an older answer may arrive later."""
        self.table.record("b", named(5.0, NOW_MS + 100))
        self.table.record("c", named(1.0, NOW_MS + 50))
        self.assertEqual([listed(5.0)], self.table.listed())

    def test_two_answers_of_later_requests_end_a_limit(self) -> None:
        """They may come from different nodes; one is not enough."""
        self.table.record("b", unnamed(None, NOW_MS + 600))
        self.assertEqual([], self.ended())
        self.table.record("b", unnamed(None, NOW_MS + 600))
        self.assertEqual([], self.ended())
        self.table.record("c", unnamed(None, NOW_MS + 700))
        self.assertEqual([KEY], self.ended())
        self.assertEqual([], self.table.listed())

    def test_answers_that_were_overtaken_end_no_limit(self) -> None:
        """Their requests were sent before the limit was named."""
        self.table.record("b", unnamed(None, NOW_MS - 9, NOW_MS + 100))
        self.assertEqual([], self.ended())
        self.table.record("a", named(2.0, NOW_MS + 900))
        self.table.record("b", unnamed(None, NOW_MS + 600, NOW_MS + 700))
        self.assertEqual([], self.ended())

    def test_late_report_does_not_renew_a_limit_that_ended(self) -> None:
        """A limit that is named after its end is a new one."""
        self.table.record("b", unnamed(None, NOW_MS + 600, NOW_MS + 700))
        self.assertEqual([KEY], self.ended())
        self.table.record("c", named(2.0, NOW_MS + 300))
        self.assertEqual([], self.table.listed())
        self.table.record("c", named(3.0, NOW_MS + 1_800))
        self.assertEqual([listed(3.0)], self.table.listed())

    def test_restarted_target_has_no_limit(self) -> None:
        """An entry that lapsed for a moment leaves the limit in force."""
        self.table.forget_gone({}, NOW_MS)
        self.assertEqual([listed(2.0)], self.table.listed())
        self.table.forget_gone({"t1": 8}, NOW_MS)
        self.assertEqual([], self.table.listed())


class NodeLimitsTest(unittest.TestCase):
    """Guards against requests without a permit, and against lost permits."""

    def setUp(self) -> None:
        """Let a node be told a limit, which the coordinator lists."""
        self.limits = limits.TargetLimits(random.Random(1))
        self.observe(2.0, NOW_MS)
        self.limits.follow_term(1)
        self.limits.apply_list([listed(2.0)], NOW_MS)

    def observe(self, per_s: float | None, sent_ms: int) -> bool:
        """Receive an answer at once."""
        notice = limits.LimitNotice(per_s)
        return self.limits.observe(KEY, POOL, notice, sent_ms, sent_ms)

    def permit(self, serial: int, issued_ms: int = NOW_MS) -> None:
        """Receive a permit."""
        permit = limits.Permit("a", serial, KEY, issued_ms)
        self.limits.add_permits(1, [permit], NOW_MS)

    def may_send(self, now_ms: int = NOW_MS) -> bool:
        """Tell whether a request may be sent."""
        return self.limits.allows(KEY, 7, now_ms)

    def test_each_request_needs_a_permit(self) -> None:
        """A permit that is repeated counts once, also after its use."""
        self.assertFalse(self.may_send())
        self.permit(1)
        self.permit(1)
        self.assertTrue(self.may_send())
        self.limits.use_permit(KEY, NOW_MS)
        self.permit(1)
        self.assertFalse(self.may_send())
        self.assertEqual([(1, 1)], self.limits.used(NOW_MS, 400))

    def test_permit_expires(self) -> None:
        """The coordinator gives it to another node then."""
        self.permit(1, NOW_MS - limits.PERMIT_MS)
        self.assertFalse(self.may_send())
        self.permit(2, NOW_MS - limits.PERMIT_MS + 10)
        self.assertTrue(self.may_send())
        self.assertFalse(self.may_send(NOW_MS + 10))

    def test_lower_limit_voids_permits(self) -> None:
        """Otherwise as many requests as the old one allows could follow."""
        self.permit(1)
        self.assertTrue(self.observe(1.0, NOW_MS + 10))
        self.assertFalse(self.may_send(NOW_MS + 10))

    def test_permit_of_another_term_is_ignored(self) -> None:
        """Its serial may be one that the new coordinator issues."""
        self.limits.follow_term(2)
        self.permit(1)
        self.assertFalse(self.may_send())

    def test_unlisted_limit_is_kept_while_the_own_answer_is_recent(
        self,
    ) -> None:
        """The coordinator may not know of it yet."""
        self.assertEqual([], self.limits.apply_list([], NOW_MS + 500))
        self.assertEqual(1, len(self.limits.observations(NOW_MS + 500)))
        self.assertEqual(
            [(KEY, None)], self.limits.apply_list([], NOW_MS + 3_000)
        )
        self.assertTrue(self.may_send(NOW_MS + 3_000))

    def test_without_coordinator_two_answers_end_a_limit(self) -> None:
        """Nobody else could tell the node."""
        self.assertFalse(self.observe(None, NOW_MS + 5_000))
        self.assertTrue(self.observe(None, NOW_MS + 5_100))
        self.assertTrue(self.may_send(NOW_MS + 5_100))

    def test_target_that_names_nothing_gets_requests_still(self) -> None:
        """Only its answers show that it takes requests again."""
        self.observe(0.0, NOW_MS)
        later_ms = range(NOW_MS + 2_000, NOW_MS + 900_000, 500)
        self.assertTrue(any(self.may_send(at_ms) for at_ms in later_ms))

    def test_requests_wait_in_vain_one_at_a_time(self) -> None:
        """More than is offered would wait until they are refused."""
        self.assertTrue(self.limits.may_wait(POOL, NOW_MS))
        self.limits.begin_wait(POOL)
        self.limits.end_wait(POOL, False, NOW_MS)
        self.assertFalse(self.limits.may_wait(POOL, NOW_MS + 100))
        self.assertTrue(self.limits.may_wait(POOL, NOW_MS + 1_000))


class DrawnPermitsTest(unittest.TestCase):
    """Guards against nodes that exceed a limit without a coordinator."""

    def test_all_nodes_together_stay_within_the_bound(self) -> None:
        """Whatever number of nodes there is, and whatever the limit."""
        for nodes in (7, 64, 390):
            for per_s in (0.0, 1.1, 10.0):
                sent_ms = self.send(nodes, per_s)
                most = max(
                    sum(
                        at_ms <= other < at_ms + WINDOW_MS for other in sent_ms
                    )
                    for at_ms in [NOW_MS, *sent_ms]
                )
                self.assertLessEqual(most, allowed(per_s), (nodes, per_s))
                if per_s:
                    share = len(sent_ms) / (per_s * 20)
                    self.assertGreater(share, 0.2, (nodes, per_s))

    def test_number_of_draws_is_bounded(self) -> None:
        """A target may name any number, and be chosen rarely."""
        node_limits = limits.TargetLimits(random.Random(1))
        notice = limits.LimitNotice(5e5)
        node_limits.observe(KEY, POOL, notice, NOW_MS, NOW_MS)
        self.assertFalse(node_limits.allows(KEY, 1, NOW_MS))
        later_ms = NOW_MS + 2_000
        count = 0
        while node_limits.allows(KEY, 1, later_ms) and count < 10_000:
            node_limits.use_permit(KEY, later_ms)
            count += 1
        self.assertGreater(count, 100)
        self.assertLess(count, 1_000)

    def send(self, nodes: int, per_s: float) -> list[int]:
        """Return when nodes that send all they may do so in 20 s."""
        sent_ms = []
        for node in range(nodes):
            node_limits = limits.TargetLimits(random.Random(node))
            notice = limits.LimitNotice(per_s)
            node_limits.observe(KEY, POOL, notice, NOW_MS, NOW_MS)
            for at_ms in range(NOW_MS, NOW_MS + 20_000, 100):
                while node_limits.allows(KEY, nodes, at_ms):
                    node_limits.use_permit(KEY, at_ms)
                    sent_ms.append(at_ms)
        return sorted(sent_ms)


class PermitIssuerTest(unittest.TestCase):
    """Guards against more permits than a limit allows."""

    @staticmethod
    def issuer(per_s: float, *needs: limits.PoolDemand) -> limits.PermitIssuer:
        """Return an issuer for nodes with some demand."""
        issuer = limits.PermitIssuer(random.Random(1))
        issuer.set_limits({KEY: (POOL, per_s)}, NOW_MS)
        for number, need in enumerate(needs):
            issuer.record_demand(f"n{number}", {POOL: need}, NOW_MS)
        return issuer

    def test_node_whose_request_waits_is_first(self) -> None:
        """A node with more callers gets the next one."""
        issuer = self.issuer(
            1.0, limits.PoolDemand(9.0), limits.PoolDemand(0.1, 1)
        )
        permits = issuer.issue(NOW_MS + 2_000, REPORT_MS)
        self.assertEqual(["n1", "n0"], [p.node for p in permits])

    def test_rare_requests_keep_permits_with_the_coordinator(self) -> None:
        """At a node they would expire, and another one would wait."""
        issuer = self.issuer(2.0, limits.PoolDemand(0.01))
        self.assertEqual([], issuer.issue(NOW_MS + 2_000, REPORT_MS))

    def test_late_report_of_an_expired_permit_is_counted(self) -> None:
        """The permit was issued again, so that one less follows."""
        issuer = self.issuer(0.5, limits.PoolDemand(9.0))
        first = issuer.issue(NOW_MS + 2_000, REPORT_MS)
        self.assertEqual(1, len(first))
        late_ms = NOW_MS + 2_000 + limits.PERMIT_MS + REPORT_MS + 1
        issuer.record_demand("n0", {POOL: limits.PoolDemand(9.0)}, late_ms)
        count = len(issuer.issue(late_ms, REPORT_MS))
        issuer.record_used([(first[0].serial, 1)] * 2)
        more = issuer.issue(late_ms + 2_000, REPORT_MS)
        self.assertLessEqual(1 + count + len(more), 0.5 * 6.6 + 2.5)

    def test_target_that_changes_its_pool_serves_the_new_one(self) -> None:
        """The head of a group may become the head of another model's."""
        other = ("s", "other")
        issuer = self.issuer(2.0, limits.PoolDemand(9.0))
        issuer.issue(NOW_MS + 1_000, REPORT_MS)
        issuer.set_limits({KEY: (other, 2.0)}, NOW_MS + 1_000)
        need = {other: limits.PoolDemand(9.0)}
        issuer.record_demand("n1", need, NOW_MS + 1_000)
        permits = issuer.issue(NOW_MS + 1_600, REPORT_MS)
        self.assertEqual(["n1"], [permit.node for permit in permits])

    def test_lower_limit_costs_no_more_than_the_permits_in_use(self) -> None:
        """Permits for the higher one do not delay those that follow."""
        issuer = self.issuer(8.0, limits.PoolDemand(9.0))
        used = issuer.issue(NOW_MS + 2_000, REPORT_MS)
        issuer.set_limits({KEY: (POOL, 1.0)}, NOW_MS + 2_000)
        issuer.issue(NOW_MS + 2_100, REPORT_MS)
        issuer.record_used([(p.serial, p.count) for p in used])
        need = {POOL: limits.PoolDemand(9.0)}
        issuer.record_demand("n0", need, NOW_MS + 4_000)
        permits = issuer.issue(NOW_MS + 4_000, REPORT_MS)
        self.assertGreaterEqual(len(permits), 1)

    def test_limit_without_end_costs_no_more_than_the_demand(self) -> None:
        """Sound targets may name a number that no caller reaches."""
        need = limits.PoolDemand(20.0)
        issuer = self.issuer(999_999_999.0, *([need] * 50))
        permits = issuer.issue(NOW_MS + 50, REPORT_MS)
        self.assertLess(len(permits), 200)
        self.assertGreaterEqual(sum(p.count for p in permits), 200)

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(
        st.integers(0, 1_000_000),
        st.sampled_from((0.25, 1.1, 2.5, 10.0)),
        st.integers(1, 40),
        st.floats(0.05, 30.0),
    )
    def test_use_stays_within_the_bound(
        self, seed: int, per_s: float, nodes: int, demand_per_s: float
    ) -> None:
        """Permits are used at any time, and reports are late or lost."""
        rng = random.Random(seed)
        need = limits.PoolDemand(demand_per_s)
        issuer = self.issuer(per_s, *([need] * nodes))
        held: list[tuple[limits.Permit, int]] = []
        used_ms: list[int] = []
        late: list[tuple[int, tuple[int, int]]] = []
        for now_ms in range(NOW_MS, NOW_MS + 15_000, 50):
            for node in range(nodes):
                issuer.record_demand(f"n{node}", {POOL: need}, now_ms)
            issuer.record_used(use for at_ms, use in late if at_ms <= now_ms)
            late = [item for item in late if item[0] > now_ms]
            held += [(p, 0) for p in issuer.issue(now_ms, REPORT_MS)]
            kept = []
            for permit, used in held:
                if now_ms - permit.issued_ms >= limits.PERMIT_MS:
                    continue
                if rng.random() < 0.2:
                    used += 1
                    used_ms.append(now_ms)
                    at_ms = now_ms + rng.randrange(2 * REPORT_MS)
                    late.append((at_ms, (permit.serial, used)))
                if used < permit.count:
                    kept.append((permit, used))
            held = kept
        for begin_ms in used_ms:
            count = sum(
                begin_ms <= at_ms < begin_ms + WINDOW_MS for at_ms in used_ms
            )
            self.assertLessEqual(count, allowed(per_s))
        if demand_per_s * nodes > 4 * per_s and nodes * 0.2 > 1:
            offered = per_s * 14
            self.assertGreaterEqual(
                len(used_ms), 0.6 * offered - _permits.burst(per_s)
            )


if __name__ == "__main__":
    unittest.main()
