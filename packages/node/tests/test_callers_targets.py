"""Tests of the connections to targets."""

import socket
import threading
import unittest

import callers_fakes

from quetzalward_node.callers import _targets

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
GET = ("GET", "/", {}, None)


class Target:
    """Accepts connections and answers each with given parts."""

    def __init__(self):
        """Listen on a free port."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        self.accepted = []
        self.parts = [HEAD + b"\r\n0123456789"]
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.accepted.append(sock)
            threading.Thread(
                target=self._answer, args=(sock,), daemon=True
            ).start()

    def _answer(self, sock):
        try:
            while sock.recv(65_536):
                for part in self.parts:
                    sock.sendall(part)
        except OSError:
            return

    def close(self):
        """Close every socket."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.accepted:
            sock.close()
        self.thread.join(callers_fakes.WAIT_S)


class TargetConnectionsTest(unittest.TestCase):
    """Guards against an answer that reaches a later request."""

    def setUp(self):
        self.target = Target()
        self.addCleanup(self.target.close)
        self.connections = _targets.TargetConnections()
        self.addCleanup(self.connections.close)

    def read(self, connection, timeout_ms=5_000):
        connection.send(*GET, timeout_ms)
        data = b""
        while part := connection.read(timeout_ms):
            data += part
        return data

    def use(self):
        connection = self.connections.open(self.target.url)
        try:
            return self.read(connection, 200)
        finally:
            self.connections.give_back(connection)

    def test_complete_answer_leaves_a_reusable_connection(self):
        for _ in range(3):
            self.assertEqual(b"0123456789", self.use())
        self.assertEqual(1, len(self.target.accepted))

    def test_fresh_connection_is_new(self):
        self.use()
        connection = self.connections.open(self.target.url, fresh=True)
        self.assertFalse(connection.reused)
        self.read(connection)
        connection.close()
        self.assertEqual(2, len(self.target.accepted))

    def test_timed_out_answer_is_never_continued(self):
        whole = self.target.parts
        self.target.parts = [HEAD + b"\r\n01234"]
        with self.assertRaises(_targets.TargetTimeoutError):
            self.use()
        self.target.parts = whole
        self.assertEqual(b"0123456789", self.use())
        self.assertEqual(2, len(self.target.accepted))

    def test_answer_that_was_not_read_is_never_continued(self):
        connection = self.connections.open(self.target.url)
        connection.send(*GET, 5_000)
        self.connections.give_back(connection)
        self.assertEqual(b"0123456789", self.use())
        self.assertEqual(2, len(self.target.accepted))

    def test_unasked_bytes_close_a_kept_connection(self):
        self.use()
        self.target.accepted[0].sendall(HEAD + b"\r\nabcdefghij")
        self.assertEqual(b"0123456789", self.use())

    def test_target_that_closes_is_not_kept(self):
        self.target.parts = [HEAD + b"Connection: close\r\n\r\n0123456789"]
        self.use()
        self.use()
        self.assertEqual(2, len(self.target.accepted))

    def test_truncated_answer_is_broken(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer():
            for part in (
                HEAD + b"\r\n012",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n",
                b"nonsense\r\n\r\n",
            ):
                sock, _ = listener.accept()
                sock.recv(65_536)
                sock.sendall(part)
                sock.close()

        thread = threading.Thread(target=answer, daemon=True)
        thread.start()
        port = listener.getsockname()[1]
        for _ in range(3):
            connection = self.connections.open(f"http://127.0.0.1:{port}")
            with self.assertRaises(_targets.TargetBrokenError):
                self.read(connection)
            self.connections.give_back(connection)
        thread.join(callers_fakes.WAIT_S)

    def test_unreachable_target_was_sent_nothing(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        with self.assertRaises(_targets.NotConnectedError):
            self.connections.open(f"http://127.0.0.1:{port}")
