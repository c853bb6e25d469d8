"""A gate that is stopped around its start ends at once."""

import socket
import threading
import unittest
from unittest import mock

from quetzalward_core import clock
from quetzalward_node.callers import _connection_manager

# A hang would last for ever; the fault shows as a thread still alive.
JOIN_S = 10


class GateStopTest(unittest.TestCase):
    """Guards against a stop during the start that never returns."""

    def setUp(self) -> None:
        """Make a gate that listens."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.gate = _connection_manager.Gate(
            mock.Mock(),
            self.listener,
            _connection_manager.GateLimits(),
            clock.SystemClock(),
        )
        self.addCleanup(self.gate.close)

    def join(self, *threads: threading.Thread) -> None:
        """Wait for threads and fail if one hangs."""
        for thread in threads:
            thread.join(JOIN_S)
            self.assertFalse(thread.is_alive())

    def test_stop_before_run(self) -> None:
        """The server's thread may see the stop before it enters `run`."""
        stopper = threading.Thread(target=self.gate.stop, daemon=True)
        stopper.start()
        self.join(stopper)
        runner = threading.Thread(
            target=self.gate.run, args=(0.1,), daemon=True
        )
        runner.start()
        self.join(runner)

    def test_stop_while_run_begins(self) -> None:
        """Either order of the two threads ends both."""
        runner = threading.Thread(
            target=self.gate.run, args=(0.1,), daemon=True
        )
        stopper = threading.Thread(target=self.gate.stop, daemon=True)
        runner.start()
        stopper.start()
        self.join(stopper, runner)


if __name__ == "__main__":
    unittest.main()
