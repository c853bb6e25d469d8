"""Tests of stopping a connection manager while it starts."""

import socket
import threading
import unittest
from unittest import mock

from quetzalward_core import clock
from quetzalward_node.callers import _connection_manager

# A thread still alive after this time counts as hung.
JOIN_S = 10


class GateStopTest(unittest.TestCase):
    """Guards against a stop during the start that never returns."""

    def setUp(self) -> None:
        """Create a connection manager with a listening socket."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.manager = _connection_manager.ConnectionManager(
            mock.Mock(),
            self.listener,
            _connection_manager.ConnectionLimits(),
            clock.SystemClock(),
        )
        self.addCleanup(self.manager.close)

    def join(self, *threads: threading.Thread) -> None:
        """Wait for threads and fail if one hangs."""
        for thread in threads:
            thread.join(JOIN_S)
            self.assertFalse(thread.is_alive())

    def test_stop_before_run(self) -> None:
        """`stop` may be called before the server's thread enters `run`."""
        stopper = threading.Thread(target=self.manager.stop, daemon=True)
        stopper.start()
        self.join(stopper)
        runner = threading.Thread(
            target=self.manager.run, args=(0.1,), daemon=True
        )
        runner.start()
        self.join(runner)

    def test_stop_while_run_begins(self) -> None:
        """Both threads end, whichever of them is first."""
        runner = threading.Thread(
            target=self.manager.run, args=(0.1,), daemon=True
        )
        stopper = threading.Thread(target=self.manager.stop, daemon=True)
        runner.start()
        stopper.start()
        self.join(stopper, runner)


if __name__ == "__main__":
    unittest.main()
