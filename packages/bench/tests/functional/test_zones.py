"""Zones and targets that operators stop, with and without the log."""

import os
import signal
import time

from functional import stops
from functional import support


class ZoneTest(stops.StopCase):
    """Guards R4 against nodes that go on sending work to a zone."""

    def check_take_out(self, log_outage: bool) -> None:
        load = self.load(tokens=15)
        load.start(12, 0, 0.02)
        self.wait_for_work()
        self.running.inject("log", outage=log_outage)
        self.assertTrue(self.set_zone(self.running.nodes[1], "out"))
        time.sleep(support.STOP_BOUND_S)
        before = self.requests_by_target(stops.ZONE)
        drafts = load.tally.drafts
        support.wait_for(
            lambda: load.tally.drafts > drafts + 50, "50 more drafts"
        )
        self.check_no_new_work(before)
        self.running.inject("log", outage=False)
        support.wait_for(
            lambda: self.control().zone_out(stops.ZONE), "the order on the log"
        )
        self.check_no_new_work(before)
        support.wait_for(
            lambda: self.set_zone(self.running.nodes[2], "in"), "bring-back"
        )
        self.wait_for_work()
        load.stop()
        self.assertEqual([], load.tally.failures)

    def test_take_out_through_one_node(self) -> None:
        """R4: a node that did not get the order itself ignores it."""
        self.check_take_out(log_outage=False)

    def test_take_out_during_a_log_outage(self) -> None:
        """R4: a take-out has no effect, or stops all, without the log."""
        self.check_take_out(log_outage=True)

    def test_services_of_the_zone_get_no_calls(self) -> None:
        """R4: plain calls still go to replicas of the zone."""
        self.assertTrue(self.set_zone(self.running.nodes[0], "out"))
        time.sleep(support.STOP_BOUND_S)
        # A call that reaches this replica now loses its connection.
        self.running.inject("service", cut_clients=[f"booking-{stops.ZONE}"])
        answers = [
            self.book(node, None)
            for node in self.running.nodes
            for _ in range(10)
        ]
        self.assertEqual([], [a for a in answers if not a.ok])

    def test_paused_node_learns_before_it_sends(self) -> None:
        """R4: a node resumed after a take-out sends what it had queued."""
        node = self.running.nodes[3]
        os.kill(node.pid, signal.SIGSTOP)
        calls = support.Background()
        for number in range(12):
            body = self.body(f"queued {number}", 5) | {"stream": False}
            calls.start(
                lambda body=body: self.post(
                    node, "/v1/chat/completions", body, {}
                ).status
            )
        self.assertTrue(self.set_zone(self.running.nodes[0], "out"))
        time.sleep(2 * support.STOP_BOUND_S)
        before = self.requests_by_target(stops.ZONE)
        os.kill(node.pid, signal.SIGCONT)
        statuses = calls.join()
        self.assertLessEqual(set(statuses), {200, 503})
        self.running.wait_ready(node)
        self.check_no_new_work(before)


class TargetTest(stops.StopCase):
    """Guards R8 against nodes that go on sending work to a target."""

    def test_drained_target_gets_no_new_work(self) -> None:
        """R8: a drain reaches only the node that was asked."""
        load = self.load(tokens=15)
        load.start(12, 0, 0.02)
        self.wait_for_work()
        target = max(
            self.requests_by_target(stops.ZONE).items(),
            key=lambda item: item[1],
        )[0]
        answer = self.running.operate(
            self.running.nodes[2],
            "POST",
            f"/targets/{target}",
            {"draining": True},
        )
        assert answer
        self.assertEqual(200, answer.status, answer.data)
        time.sleep(support.STOP_BOUND_S)
        before = self.requests_by_target(stops.ZONE)[target]
        drafts = load.tally.drafts
        support.wait_for(
            lambda: load.tally.drafts > drafts + 50, "50 more drafts"
        )
        self.assertEqual(before, self.requests_by_target(stops.ZONE)[target])
        answer = self.running.operate(
            self.running.nodes[0],
            "POST",
            f"/targets/{target}",
            {"draining": False},
        )
        assert answer
        self.assertEqual(200, answer.status, answer.data)
        support.wait_for(
            lambda: self.requests_by_target(stops.ZONE)[target] > before,
            "new work after the drain",
        )
        load.stop()
        self.assertEqual([], load.tally.failures)
