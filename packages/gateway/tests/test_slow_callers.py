"""Tests of a planned stop beside callers who read slowly."""

import asyncio
import os
import signal
import socket
import threading
import time
import typing
import unittest
from unittest import mock

import attrs
import fakes

from quetzalward_core import fleet
from quetzalward_gateway import _app
from quetzalward_gateway import _coordinator_task
from quetzalward_gateway import _exchange
from quetzalward_gateway import _operations
from quetzalward_gateway import _responses
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings
from quetzalward_gateway import _target_entries

ANY_PORT = fleet.Address("127.0.0.1", 0)
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
        settings = attrs.evolve(
            fakes.settings(),
            callers=ANY_PORT,
            readiness=ANY_PORT,
            bounds=_settings.Bounds(grace_ms=GRACE_MS),
        )
        node = _app.Node(settings, typing.cast(typing.Any, fakes.Platform()))
        threads: list[threading.Thread] = []
        signalled_s = 0.0

        async def follow(_: object) -> None:
            await asyncio.sleep(3_600.0)

        async def signal_after_requests(_: object) -> None:
            nonlocal signalled_s
            server = node._callers._server
            assert server is not None
            listener = server.sockets[0]
            # Otherwise the kernel takes all of an answer.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
            port = listener.getsockname()[1]
            for path in paths:
                threads.append(
                    threading.Thread(
                        target=self.read, args=[port, path, pause_s]
                    )
                )
                threads[-1].start()
            for _path in paths:
                await asyncio.to_thread(self.has_sent.acquire)
            await asyncio.sleep(0.2)
            signalled_s = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            await follow(_)

        with (
            mock.patch.object(
                _coordinator_task.CoordinatorTask,
                "run",
                signal_after_requests,
            ),
            mock.patch.object(_operations.OperationsFollower, "run", follow),
            mock.patch.object(_target_entries.TargetsFollower, "run", follow),
            mock.patch.object(_exchange, "handle", self.handle),
        ):
            asyncio.run(node.run())
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
