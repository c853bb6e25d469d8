"""Streams that go on over the failure of nodes and of replicas."""

import signal

from functional import support

from quetzalward_standins import cluster

TOKENS = 120
# Events that a caller has read when something fails.
READ = 15
STREAMS = 6


class StreamCase(support.ClusterCase):
    """Waits until targets are warm and every node runs."""

    spec = support.small(replicas=6)

    def setUp(self) -> None:
        for node in self.running.nodes:
            if not node.running:
                self.restart(node)
        self.wait_until_serving(3)

    def start_streams(
        self, node: cluster.Node, name: str
    ) -> list[tuple[dict[str, support.Json], support.Stream]]:
        """Start streams on one node and read the first events of each."""
        started = []
        for number in range(STREAMS):
            body = self.body(f"{name} {number}", TOKENS)
            stream = self.open_stream(node, body)
            self.assertEqual(200, stream.status)
            started.append((body, stream))
        for _, stream in started:
            stream.read(READ)
            self.assertEqual(READ, len(stream.texts))
        return started


class NodeFailureTest(StreamCase):
    """Guards R5 and R9 against the end of the node that answers."""

    def test_caller_continues_on_another_node(self) -> None:
        """R5: a token is lost or repeated when a node is killed."""
        node, other = self.running.nodes[:2]
        started = self.start_streams(node, "killed")
        self.kill(node)
        for body, stream in started:
            stream.read_all()
            self.assertFalse(stream.done, "the stream outlived its node")
            rest = self.open_stream(other, body, stream.last_id)
            self.assertEqual(200, rest.status)
            rest.read_all()
            self.assertTrue(rest.done, rest.error)
            self.assertEqual(support.expected(body), stream.text + rest.text)

    def test_two_kills_in_one_stream(self) -> None:
        """R5: an id from a continued stream names the wrong place."""
        first, second, third = self.running.nodes[:3]
        body = self.body("killed twice", TOKENS)
        stream = self.open_stream(first, body)
        stream.read(READ)
        text, last_id = stream.text, stream.last_id
        self.kill(first)
        stream = self.open_stream(second, body, last_id)
        stream.read(READ)
        text, last_id = text + stream.text, stream.last_id
        self.kill(second)
        stream = self.open_stream(third, body, last_id)
        stream.read_all()
        self.assertTrue(stream.done, stream.error)
        self.assertEqual(support.expected(body), text + stream.text)

    def test_stream_belongs_to_its_customer_and_request(self) -> None:
        """R5: a continuation gives one customer another's answer."""
        node, other = self.running.nodes[:2]
        body = self.body("private", TOKENS)
        stream = self.open_stream(node, body)
        stream.read(READ)
        stream.close()
        changed = self.body("another question", TOKENS)
        for case, tried in {
            "customer": self.open_stream(
                other, body, stream.last_id, self.running.other_api_key
            ),
            "request": self.open_stream(other, changed, stream.last_id),
            "position": self.open_stream(other, body, moved(stream.last_id)),
        }.items():
            with self.subTest(case):
                self.assertEqual(422, tried.status)
                tried.read_all()
                self.assertEqual("", tried.text)

    def test_planned_stop_cuts_no_stream(self) -> None:
        """R9: SIGTERM ends streams in progress."""
        node = self.running.nodes[2]
        assert node.process
        started = self.start_streams(node, "stopped")
        node.process.send_signal(signal.SIGTERM)
        for body, stream in started:
            stream.read_all()
            self.assertTrue(stream.done, stream.error)
            self.assertEqual(support.expected(body), stream.text)
        self.assertEqual(0, node.process.wait(support.WAIT_S))
        self.assertNotIn(node.name, self.control().nodes_by_name)

    def test_planned_stop_lets_a_booking_end(self) -> None:
        """R9: SIGTERM ends a booking whose answer is late."""
        node = self.running.nodes[3]
        assert node.process
        self.running.inject("service", after_ms=3_000)
        self.addCleanup(self.running.inject, "service", after_ms=0)
        calls = support.Background()
        calls.start(lambda: self.book(node, "stopped"))
        support.wait_for(
            lambda: self.executions().get("stopped"), "the effect"
        )
        node.process.send_signal(signal.SIGTERM)
        (answer,) = calls.join()
        self.assertTrue(answer.ok, answer)
        self.assertEqual(0, node.process.wait(support.WAIT_S))
        again = self.book(self.running.nodes[0], "stopped")
        self.assertTrue(again.ok, again)
        self.assertEqual(1, self.executions()["stopped"])


class ReplicaFailureTest(StreamCase):
    """Guards R5 against the failure of a replica in mid-answer."""

    def busy_targets(self) -> dict[str, support.Json]:
        return {
            name: target
            for name, target in self.targets().items()
            if target["running"]
        }

    def check_streams_over(self, name: str, **fault: support.Json) -> None:
        """Check that streams end whole when every busy target fails so."""
        node = self.running.nodes[0]
        started = self.start_streams(node, name)
        target_id, target = max(
            self.busy_targets().items(), key=lambda item: item[1]["running"]
        )
        host = target["hosts"][fault.pop("host_index", 0)]
        by_target = fault["action"] in ("cold", "fail")
        chosen = {"target": target_id} if by_target else {"host": host}
        self.running.inject("engines", **fault, **chosen)
        if not by_target:
            self.addCleanup(
                self.running.inject, "engines", action="revive", host=host
            )
        for body, stream in started:
            stream.read_all()
            self.assertTrue(stream.done, stream.error)
            self.assertEqual(support.expected(body), stream.text)

    def test_last_host_killed(self) -> None:
        """R5: a stream ends when a host other than the first dies."""
        self.check_streams_over("last", action="kill", host_index=-1)

    def test_first_host_killed(self) -> None:
        """R5: a stream ends when the connection to its host breaks."""
        self.check_streams_over("first", action="kill", host_index=0)

    def test_first_host_paused(self) -> None:
        """R5: a stream stands still with its paused host."""
        self.check_streams_over("paused", action="pause", host_index=0)

    def test_engine_fails_its_requests(self) -> None:
        """R5: a stream ends when its engine restarts."""
        self.check_streams_over("fail", action="fail")

    def test_replica_and_node_killed(self) -> None:
        """R5: a stream that moved to another replica loses its place."""
        node, other = self.running.nodes[1:3]
        body = self.body("both", TOKENS)
        stream = self.open_stream(node, body)
        stream.read(READ)
        ((_, target),) = self.busy_targets().items()
        host = target["hosts"][-1]
        self.running.inject("engines", action="kill", host=host)
        self.addCleanup(
            self.running.inject, "engines", action="revive", host=host
        )
        stream.read(2 * READ)
        self.assertEqual(2 * READ, len(stream.texts))
        self.kill(node)
        rest = self.open_stream(other, body, stream.last_id)
        rest.read_all()
        self.assertTrue(rest.done, rest.error)
        self.assertEqual(support.expected(body), stream.text + rest.text)


def moved(event_id: str) -> str:
    """Return an event id with its position raised by one."""
    stream, index, mac = event_id.split(".")
    return f"{stream}.{int(index) + 1}.{mac}"
