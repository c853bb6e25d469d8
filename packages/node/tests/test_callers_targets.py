"""Tests of the connections to targets."""

import socket
import threading
import unittest

import callers_fakes

from quetzalward_node.callers import _targets

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
GET = ("GET", "/", {}, None)


class Target:
    """Accepts connections and responds to each request with `parts`."""

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
                target=self._respond, args=(sock,), daemon=True
            ).start()

    def _respond(self, sock):
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
    """Guards against a response that reaches a later request."""

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

    def fetch(self):
        connection = self.connections.open(self.target.url)
        try:
            return self.read(connection, 200)
        finally:
            self.connections.release(connection)

    def test_connection_is_reused_after_a_complete_response(self):
        for _ in range(3):
            self.assertEqual(b"0123456789", self.fetch())
        self.assertEqual(1, len(self.target.accepted))

    def test_fresh_connection_is_new(self):
        self.fetch()
        connection = self.connections.open(self.target.url, fresh=True)
        self.assertFalse(connection.reused)
        self.read(connection)
        connection.close()
        self.assertEqual(2, len(self.target.accepted))

    def test_timed_out_response_is_not_read_by_a_later_request(self):
        complete_parts = self.target.parts
        self.target.parts = [HEAD + b"\r\n01234"]
        with self.assertRaises(_targets.TargetTimeoutError):
            self.fetch()
        self.target.parts = complete_parts
        self.assertEqual(b"0123456789", self.fetch())
        self.assertEqual(2, len(self.target.accepted))

    def test_unread_response_is_not_read_by_a_later_request(self):
        connection = self.connections.open(self.target.url)
        connection.send(*GET, 5_000)
        self.connections.release(connection)
        self.assertEqual(b"0123456789", self.fetch())
        self.assertEqual(2, len(self.target.accepted))

    def test_unsolicited_bytes_close_a_pooled_connection(self):
        self.fetch()
        self.target.accepted[0].sendall(HEAD + b"\r\nabcdefghij")
        self.assertEqual(b"0123456789", self.fetch())

    def test_connection_closed_by_the_target_is_not_pooled(self):
        self.target.parts = [HEAD + b"Connection: close\r\n\r\n0123456789"]
        self.fetch()
        self.fetch()
        self.assertEqual(2, len(self.target.accepted))

    def test_truncated_or_malformed_response_raises(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def respond():
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

        thread = threading.Thread(target=respond, daemon=True)
        thread.start()
        port = listener.getsockname()[1]
        for _ in range(3):
            connection = self.connections.open(f"http://127.0.0.1:{port}")
            with self.assertRaises(_targets.TargetConnectionError):
                self.read(connection)
            self.connections.release(connection)
        thread.join(callers_fakes.WAIT_S)

    def test_head_that_is_cut_off_is_no_response(self):
        """Guards against a 200 with an empty body that looks complete."""
        whole = b"HTTP/1.1 200 OK\r\nX-Seal: 7\r\nContent-Length: 0\r\n\r\n"
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def respond():
            for length in range(len(whole)):
                sock, _ = listener.accept()
                sock.recv(65_536)
                sock.sendall(whole[:length])
                sock.close()

        thread = threading.Thread(target=respond, daemon=True)
        thread.start()
        port = listener.getsockname()[1]
        for length in range(len(whole)):
            connection = self.connections.open(f"http://127.0.0.1:{port}")
            with self.subTest(length=length):
                with self.assertRaises(_targets.TargetConnectionError):
                    connection.send(*GET, 5_000)
            self.connections.release(connection)
        thread.join(callers_fakes.WAIT_S)

    def test_unreachable_target_raises_not_connected(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        with self.assertRaises(_targets.NotConnectedError):
            self.connections.open(f"http://127.0.0.1:{port}")
