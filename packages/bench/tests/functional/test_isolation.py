"""Nodes that are cut off from the log, from their peers, or from both."""

import os
import signal
import time

from functional import stops
from functional import support


class IsolationTest(stops.StopCase):
    """Guards R4 and the duty to serve when the log or peers are gone."""

    def test_node_without_log_and_peers_refuses(self) -> None:
        """R4: a node cut off from everything sends work as before."""
        node, *others = self.running.nodes
        self.assertTrue(self.drafts_on(node))
        for other in others:
            os.kill(other.pid, signal.SIGSTOP)
        self.running.inject("log", cut_clients=[node.name])
        support.wait_for(
            lambda: not self.running.is_ready(node), "an unready node"
        )
        requests = self.requests_by_target()
        body = self.body("isolated", 3) | {"stream": False}
        response = self.post(node, "/v1/chat/completions", body, {})
        answer = support.to_answer(response)
        self.assertEqual("node_isolated", answer.kind, answer)
        self.assertEqual("not_run", answer.outcome)
        self.assertEqual(503, answer.status)
        booking = self.book(node, "isolated")
        self.assertEqual("not_run", booking.outcome, booking)
        self.assertNotIn("isolated", self.executions())
        self.assertEqual(requests, self.requests_by_target())
        self.running.inject("log", cut_clients=[])
        self.running.wait_ready(node)
        support.wait_for(lambda: self.drafts_on(node), "drafts again")

    def test_stream_in_progress_ends_whole_on_an_isolated_node(self) -> None:
        """R5: isolation ends a stream that is in progress."""
        node, *others = self.running.nodes
        body = self.body("isolated stream", 500)
        stream = self.open_stream(node, body)
        stream.read(5)
        for other in others:
            os.kill(other.pid, signal.SIGSTOP)
        self.running.inject("log", cut_clients=[node.name])
        support.wait_for(
            lambda: not self.running.is_ready(node), "an unready node"
        )
        stream.read_all()
        self.assertTrue(stream.done, stream.error)
        self.assertEqual(support.expected(body), stream.text)

    def test_log_outage_for_all_does_not_stop_drafts(self) -> None:
        """Duty to serve: nodes with a majority of peers stop serving."""
        self.running.inject("log", outage=True)
        # Longer than the time after which a node counts as isolated.
        time.sleep(2 * support.STOP_BOUND_S)
        for node in self.running.nodes:
            self.assertTrue(self.running.is_ready(node), node.name)
            self.assertTrue(self.drafts_on(node), node.name)
            booking = self.book(node, f"outage-{node.name}")
            self.assertEqual("not_run", booking.outcome, booking)
