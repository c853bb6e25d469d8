"""Tests of a planned stop beside callers who read slowly."""

import asyncio
import os
import signal
import socket
import threading
import time
import unittest

import node_process

from quetzalward_gateway import _app
from quetzalward_gateway import _responses
from quetzalward_gateway import _runtime

GRACE_MS = 5_000
BODY = b"x" * 8_000_000
# A whole answer takes 3.6 s, more than half of the grace.
BYTES_PER_S = 2_200_000
READ_BYTES = 65_536


class SlowCallersTest(unittest.TestCase):
    """Guards against answers that the end of the process cuts off.

    The node ended when no request was with its handler, though answers were
    still in the connections' buffers.
    """

    async def handle(
        self,
        runtime: _runtime.Runtime,
        raw: _responses.RawRequest,
        responder: _responses.Responder,
    ) -> None:
        """Answer as a whole, or as a stream."""
        if raw.target == b"/plain":
            responder.send_response(200, [], BODY)
            return
        responder.start_stream(200, [])
        for start in range(0, len(BODY), 1_000_000):
            await responder.send_chunk(BODY[start : start + 1_000_000])
        responder.finish()

    def read(self, port: int, path: str, pause_s: float) -> None:
        """Send a request, pause, and read its answer slowly."""
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            connection.connect(("127.0.0.1", port))
            connection.settimeout(GRACE_MS / 1_000)
            request = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"
            connection.sendall(request.encode())
            self.has_sent.release()
            received = bytearray()
            try:
                time.sleep(pause_s)
                while data := connection.recv(READ_BYTES):
                    received += data
                    time.sleep(len(data) / BYTES_PER_S)
            except OSError:
                pass
            self.received.append(len(received))

    def stop_node(self, *paths: str, pause_s: float = 0.0) -> float:
        """Stop a node beside callers; return how long it took in seconds."""
        self.received: list[int] = []
        self.has_sent = threading.Semaphore(0)
        threads: list[threading.Thread] = []
        signalled_s = 0.0

        async def signal_after_requests(node: _app.Node, port: int) -> None:
            nonlocal signalled_s
            for path in paths:
                args = [port, path, pause_s]
                threads.append(threading.Thread(target=self.read, args=args))
                threads[-1].start()
            for _path in paths:
                await asyncio.to_thread(self.has_sent.acquire)
            await asyncio.sleep(0.2)
            signalled_s = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)

        node_process.run(self.handle, signal_after_requests, GRACE_MS)
        took_s = time.monotonic() - signalled_s
        for thread in threads:
            thread.join()
        return took_s

    def test_whole_answers(self) -> None:
        """Each caller gets all bytes before the process ends."""
        for path in ("/plain", "/stream"):
            with self.subTest(path):
                took_s = self.stop_node(path, path)
                self.assertEqual(2, len(self.received))
                for size in self.received:
                    self.assertGreater(size, len(BODY))
                self.assertLess(took_s, GRACE_MS / 1_000)

    def test_caller_that_reads_nothing(self) -> None:
        """It does not hold the process beyond the grace."""
        took_s = self.stop_node("/plain", pause_s=GRACE_MS / 1_000 + 1.0)
        self.assertLess(took_s, GRACE_MS / 1_000)


if __name__ == "__main__":
    unittest.main()
