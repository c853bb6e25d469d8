"""Tests of calls to engines that send bytes without end."""

import contextlib
import json
import socket
import threading
import time
import unittest

from quetzalward_core import agreement
from quetzalward_node.groups import _http
from quetzalward_node.groups import _platform

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
REPORT = {
    "target": "t", "epoch": 1, "hosts": [], "state": "open", "models": [],
    "running": 0, "waiting": 0, "age_ms": 0,
}  # fmt: skip
ORDER = _platform.Order("o", 1, "open", "g", 1, "m")


@contextlib.contextmanager
def engine(head, block, pause_s=0.0, blocks=None):
    """Return the URL of an engine that sends blocks after a head."""

    def serve():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection, contextlib.suppress(OSError):
                    connection.recv(65_536)
                    connection.sendall(head)
                    left = blocks
                    while left is None or left > 0:
                        connection.sendall(block)
                        time.sleep(pause_s)
                        left = None if left is None else left - 1

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
        listener.shutdown(socket.SHUT_RDWR)


class EndlessAnswerTest(unittest.TestCase):
    """Guards against an answer that takes all memory, or never ends."""

    # Time to notice the end of a call on a busy machine.
    SLACK_S = 3.0

    def test_endless_answers(self):
        """They were read until the engine closed."""
        for block, pause_s in ((b"x" * 65_536, 0.0), (b"x", 0.05)):
            for status in (b"200", b"500"):
                with (
                    self.subTest(pause_s=pause_s, status=status),
                    engine(
                        HEAD.replace(b"200", status), block, pause_s
                    ) as url,
                ):
                    began_s = time.monotonic()
                    client = _http.HttpEngineClient()
                    self.assertIsNone(client.report(url))
                    self.assertEqual(0, client.order(url, ORDER).status)
                    allowed_ms = (
                        _http.REPORT_TIMEOUT_MS + agreement.ORDER_TIMEOUT_MS
                    )
                    self.assertLess(
                        time.monotonic() - began_s,
                        allowed_ms / 1_000 + self.SLACK_S,
                    )

    def test_report_is_read(self):
        """A report in several parts is whole at the end of the connection."""
        body = json.dumps(REPORT).encode()
        with engine(HEAD + body[:20], body[20:], blocks=1) as url:
            report = _http.HttpEngineClient().report(url)
        self.assertEqual("t", report.target)


if __name__ == "__main__":
    unittest.main()
