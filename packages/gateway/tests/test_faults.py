"""Tests of unexpected errors in the tasks of a node."""

import asyncio
import faulthandler
import socket
import threading
import typing
import unittest
from unittest import mock

import fakes
import node_process

from quetzalward_gateway import _app
from quetzalward_gateway import _coordinator_task
from quetzalward_gateway import _responses
from quetzalward_gateway import _runtime

# A node that does not end is ended, and the test fails.
MAX_END_S = 20.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class CoordinatorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an error that ends every node in turn.

    The error of one round ended the process, and the next coordinator's
    first round met the same error.
    """

    async def test_rounds_go_on_after_an_error(self) -> None:
        """The steps behind the failed one are run, too."""
        runtime = fakes.Runtime()
        runtime.state.directory.complete = True
        task = _coordinator_task.CoordinatorTask(
            typing.cast(_runtime.Runtime, runtime),
            fakes.settings(),
            mock.Mock(),
            mock.Mock(),
        )
        with (
            mock.patch.object(task._socket, "start", mock.AsyncMock()),
            mock.patch.object(task, "_check_term"),
            mock.patch.object(
                task, "_coordinate", side_effect=ValueError, __name__="_step"
            ) as coordinate,
            mock.patch.object(task, "_send_due") as send,
        ):
            running = asyncio.create_task(task.run())
            while send.call_count < 3:
                await asyncio.sleep(0.02)
            self.assertFalse(running.done())
            running.cancel()
        self.assertGreaterEqual(coordinate.call_count, 3)
        self.assertEqual(1, runtime.log.names.count("step_failed"))


class EndedNodeTest(unittest.TestCase):
    """Guards against a process that answers 503 with its tasks gone."""

    async def handle(
        self,
        runtime: _runtime.Runtime,
        raw: _responses.RawRequest,
        responder: _responses.Responder,
    ) -> None:
        """Wait for a target, and answer once the request is cancelled."""
        try:
            await asyncio.sleep(MAX_END_S)
        except asyncio.CancelledError:
            responder.send_response(503, [], b"")

    def call(self, port: int) -> None:
        """Keep a connection, with requests as long as it is open."""
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.settimeout(MAX_END_S)
            connection.sendall(REQUEST)
            while data := connection.recv(65_536):
                self.answers.append(data)
                try:
                    connection.sendall(REQUEST)
                except OSError:
                    break

    def test_kept_connections_end_with_the_node(self) -> None:
        """The request under way is answered, and no other one."""
        self.answers: list[bytes] = []
        threads: list[threading.Thread] = []

        async def fail(node: _app.Node, port: int) -> None:
            threads.append(threading.Thread(target=self.call, args=[port]))
            threads[0].start()
            while not node._callers.in_flight:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.1)
            raise RuntimeError("no handler expects this")

        faulthandler.dump_traceback_later(MAX_END_S, exit=True)
        with self.assertRaises(RuntimeError):
            node_process.run(self.handle, fail)
        threads[0].join()
        faulthandler.cancel_dump_traceback_later()
        self.assertEqual(1, len(self.answers))
        self.assertIn(b"503", self.answers[0])


if __name__ == "__main__":
    unittest.main()
