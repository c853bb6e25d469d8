"""Tests of a node's start, stop and settings."""

import contextlib
import io
import json
import os
import pathlib
import signal
import sys
import tempfile
import threading
import unittest
from unittest import mock

import callers_fakes
import urllib3

from quetzalward_core import errors
from quetzalward_node import _settings
from quetzalward_node import _wiring
from quetzalward_node import app
from quetzalward_node import cli

REQUEST = callers_fakes.raw_request(
    "/v1/completions",
    {"model": "small", "prompt": "p", "max_tokens": 3},
    headers={"Connection": "close"},
)


def free_port():
    """Return a port that is not in use."""
    with callers_fakes.socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


class RecordingTask:
    """A task that records its start and stop."""

    def __init__(self, name, events, fails=False):
        """Record into `events`; `fails` makes `start` raise `OSError`."""
        self.name = name
        self.events = events
        self.fails = fails

    def start(self):
        """Record the start."""
        if self.fails:
            raise OSError("no port")
        self.events.append(f"start {self.name}")

    def stop(self):
        """Record the stop."""
        self.events.append(f"stop {self.name}")


class NodeTestCase(unittest.TestCase):
    """Writes settings files and builds nodes with fake tasks."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.secret = self.folder / "secret"
        self.secret.write_text("0123456789abcdef\n")
        self.events = []

    def settings(self, **changes):
        values = {
            "name": "n1",
            "zone": "z1",
            "region": "r1",
            "listen": "127.0.0.1:0",
            "operators_listen": "127.0.0.1:0",
            "peers_listen": "127.0.0.1:0",
            "log_url": "http://127.0.0.1:1",
            "hosts_url": "http://127.0.0.1:1",
            "weights_url": "http://127.0.0.1:1",
            "secret_file": str(self.secret),
            "threads": 4,
            **changes,
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(values))
        return str(path)

    def node(self, *names, fails=None):
        self.engine = callers_fakes.Engine(stall_after=1)
        self.addCleanup(self.engine.close)
        router = callers_fakes.Router([self.engine.url])
        configuration = callers_fakes.configuration()
        background_tasks = tuple(
            RecordingTask(name, self.events, name == fails) for name in names
        )
        settings = _settings.load_settings(self.settings())
        return app.Node(
            settings,
            lambda context: app.Tasks(
                router,
                router,
                callers_fakes.Calls(),
                lambda: configuration,
                background_tasks,
            ),
        )


class StopTest(NodeTestCase):
    """Guards against a stop signal that aborts a request (R9)."""

    def test_signal_finishes_the_request_in_progress(self):
        for number in app.STOP_SIGNALS:
            with self.subTest(signal=number):
                self.events.clear()
                self.check_signal(number)

    def check_signal(self, number):
        node = self.node("log", "dispatch")
        observed = []
        before = signal.getsignal(number)

        def send_request_and_signal():
            callers_fakes.wait_until(lambda: node.ready)
            sock = callers_fakes.socket.create_connection(
                node.callers.address, callers_fakes.WAIT_S
            )
            with sock:
                sock.sendall(REQUEST)
                self.engine.wait_for(lambda: bool(self.engine.requests))
                os.kill(os.getpid(), number)
                callers_fakes.wait_until(lambda: not node.ready)
                observed.append(list(self.events))
                self.engine.released.set()
                observed.append(callers_fakes.receive_all(sock))

        thread = threading.Thread(target=send_request_and_signal)
        thread.start()
        self.assertTrue(node.run())
        thread.join(callers_fakes.WAIT_S)
        self.assertEqual(["start log", "start dispatch"], observed[0])
        answer = callers_fakes.parse_responses(observed[1])[0]
        self.assertEqual(200, answer.status)
        self.assertEqual(["stop dispatch", "stop log"], self.events[2:])
        self.assertIs(before, signal.getsignal(number))

    def test_failed_start_stops_what_was_started(self):
        node = self.node("log", "dispatch", fails="dispatch")
        with self.assertRaises(OSError):
            node.start()
        self.assertEqual(["start log", "stop log"], self.events)


class SettingsTest(NodeTestCase):
    """Guards against a node that starts with invalid settings."""

    def assert_invalid(self, path, text):
        stderr = io.StringIO()
        with contextlib.redirect_stderr(stderr):
            self.assertEqual(cli.EXIT_INVALID, cli.run_node(path))
        self.assertIn(text, stderr.getvalue())

    def test_invalid_settings_name_file_and_cause(self):
        self.assert_invalid(str(self.folder / "none.json"), "none.json")
        self.assert_invalid(self.settings(zones="x"), "zones")
        self.secret.write_text("short")
        self.assert_invalid(self.settings(), "shorter than 16 bytes")
        self.secret.unlink()
        self.assert_invalid(self.settings(), "secret_file")

    def test_port_in_use_is_reported_without_a_traceback(self):
        with callers_fakes.socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            path = self.settings(operators_listen=address)
            self.assert_invalid(path, f"{path}: cannot start: ")

    def test_secret_is_stripped(self):
        secret = app.read_secret(str(self.secret))
        self.assertEqual(b"0123456789abcdef", secret)
        with self.assertRaises(errors.QuetzalwardError):
            app.read_secret(str(self.folder))

    def test_node_without_a_log_is_alive_but_not_ready(self):
        settings = _settings.load_settings(
            self.settings(operators_listen=f"127.0.0.1:{free_port()}")
        )
        node = app.Node(settings, _wiring.build_tasks)
        node.start()
        try:
            pool = urllib3.PoolManager()
            base = f"http://{settings.operators_listen}"
            self.assertEqual(
                200, pool.request("GET", base + "/healthz").status
            )
            answer = pool.request("GET", base + "/readyz", retries=False)
            self.assertEqual(503, answer.status)
            self.assertIn(b"the log has not been read yet", answer.data)
        finally:
            self.assertTrue(node.stop())

    def test_command_line_passes_the_settings_path(self):
        arguments = ["quetzalward-node", "run", "--settings", "a.json"]
        with mock.patch.object(sys, "argv", arguments):
            with mock.patch.object(cli, "run_node", return_value=5) as run:
                with self.assertRaises(SystemExit) as raised:
                    cli.main()
        run.assert_called_once_with("a.json")
        self.assertEqual(5, raised.exception.code)
