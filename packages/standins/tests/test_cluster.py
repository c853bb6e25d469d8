"""Tests of the cluster class and the launcher, with a fake node."""

import contextlib
import io
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing
import unittest
from unittest import mock

import urllib3

from quetzalward_standins import callers
from quetzalward_standins import cluster
from quetzalward_standins import demo

# The child processes must find `fake_node`.
TESTS = str(pathlib.Path(__file__).parent)
os.environ["PYTHONPATH"] = os.pathsep.join(
    [TESTS, os.environ.get("PYTHONPATH", "")]
)


def small(**more: typing.Any) -> cluster.ClusterSpec:
    """Return a cluster of two fake nodes."""
    return cluster.ClusterSpec(nodes=2, node_module="fake_node", **more)


class ClusterTest(unittest.TestCase):
    """Guards against a launcher that loses or leaves a process."""

    def test_start_describes_and_stop_ends_everything(self) -> None:
        running = cluster.Cluster(small())
        running.start()
        try:
            described = running.description()
            self.assertEqual(
                [("node-1", "zone-a"), ("node-2", "zone-b")],
                [(n["name"], n["zone"]) for n in described["nodes"]],
            )
            self.assertEqual(
                {"engines", "log", "hosts", "weights", "service"},
                set(described["standins"]),
            )
            self.assertTrue(all(map(running.is_ready, running.nodes)))
            hosts = running.read("hosts", "/hosts")["hosts"]
            self.assertEqual(24, len(hosts))
        finally:
            running.stop()
        self.assertFalse(any(node.running for node in running.nodes))
        for url in described["standins"].values():
            with self.assertRaises(urllib3.exceptions.HTTPError):
                urllib3.request("GET", url + "/faults", retries=False)

    def test_stopped_node_starts_again(self) -> None:
        running = cluster.Cluster(small())
        running.start()
        try:
            node = running.nodes[0]
            assert node.process
            first = node.pid
            node.process.terminate()
            node.process.wait()
            self.assertFalse(running.is_ready(node))
            running.start_node(node)
            running.wait_ready(node)
            self.assertNotEqual(first, node.pid)
        finally:
            running.stop()

    def test_node_that_ignores_sigterm_is_killed(self) -> None:
        running = cluster.Cluster(small(node_settings={"ignores_sigterm": 1}))
        running.start()
        with mock.patch.object(cluster, "NODE_STOP_TIMEOUT_S", 0.1):
            running.stop()
        codes = [n.process.returncode for n in running.nodes if n.process]
        self.assertEqual([-signal.SIGKILL] * 2, codes)

    def test_refused_configuration_ends_the_start(self) -> None:
        running = cluster.Cluster(small(node_settings={"refuses_config": 1}))
        with self.assertRaisesRegex(cluster.ClusterError, "config_invalid"):
            running.start()
        self.assertFalse(any(node.running for node in running.nodes))

    def test_command_prints_one_line_and_ends_on_sigterm(self) -> None:
        script = (
            "from quetzalward_standins import _launcher, cluster;"
            "spec = cluster.ClusterSpec(nodes=2, node_module='fake_node');"
            "_launcher.run_cluster(spec)"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", script], stdout=subprocess.PIPE
        )
        assert process.stdout
        line = process.stdout.readline()
        nodes = json.loads(line)["nodes"]
        process.send_signal(signal.SIGTERM)
        rest, _ = process.communicate()
        self.assertEqual((b"", 0), (rest, process.returncode))
        for node in nodes:
            with self.assertRaises(ProcessLookupError):
                os.kill(node["pid"], 0)


class DemoTest(unittest.TestCase):
    """Guards against a demo that passes although nodes do wrong."""

    def run_demo(self, **node_settings: typing.Any) -> tuple[int, str]:
        output = io.StringIO()
        spec = small(node_settings=node_settings)
        with contextlib.redirect_stdout(output):
            failures = demo.run(spec, phase_s=0.3)
        return failures, output.getvalue().splitlines()[-1]

    def test_correct_nodes_have_no_failures(self) -> None:
        failures, line = self.run_demo()
        self.assertEqual(0, failures, line)
        self.assertRegex(
            line,
            r"^demo: [1-9]\d* drafts whole, [1-9]\d* bookings once, "
            r"0 failures$",
        )

    def test_repeated_token_is_a_failure(self) -> None:
        failures, line = self.run_demo(fault="repeat_token")
        self.assertGreater(failures, 0, line)
        self.assertIn(" 0 drafts whole", line)

    def test_second_run_of_a_booking_is_a_failure(self) -> None:
        failures, line = self.run_demo(fault="run_twice")
        self.assertGreater(failures, 0, line)
        self.assertIn(" 0 bookings once", line)

    def test_acknowledged_booking_that_did_not_run_is_a_failure(self) -> None:
        failures, line = self.run_demo(fault="lose_booking")
        self.assertGreater(failures, 0, line)


class EventParserTest(unittest.TestCase):
    """Guards against half events that count as received."""

    def test_events_split_over_chunks(self) -> None:
        data = (
            b"id: 1\n:\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\ndata"
        )
        for size in range(1, len(data) + 1):
            parser = callers.EventParser()
            events = []
            for start in range(0, len(data), size):
                events += parser.feed(data[start : start + size])
            found = [(event.id, event.data) for event in events]
            self.assertEqual([("1", "a"), ("2", "b")], found)
