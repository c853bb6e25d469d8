"""Test of a node that has run out of file descriptors."""

import resource
import socket
import unittest

import callers_fakes

# Enough for some of the connections, not for all.
SPARE_FILES = 5
CONNECTIONS = 20


class FilesTest(unittest.TestCase):
    """Guards against a server that never accepts connections again."""

    def test_accepting_resumes_when_files_are_free_again(self):
        engine = callers_fakes.Engine()
        self.addCleanup(engine.close)
        front = callers_fakes.Front([engine.url])
        self.addCleanup(front.close)
        socks = [socket.socket() for _ in range(CONNECTIONS)]
        highest = max(sock.fileno() for sock in socks)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        lowered = (highest + SPARE_FILES, limits[1])
        resource.setrlimit(resource.RLIMIT_NOFILE, lowered)
        try:
            for sock in socks:
                sock.connect(front.address)
            manager = front.server._http.connection_manager
            paused = callers_fakes.wait_until(lambda: not manager._accepting)
            self.assertTrue(paused)
            self.assertLess(front.server.open_connections, CONNECTIONS)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            for sock in socks:
                sock.close()
        request = callers_fakes.raw_request(
            "/v1/models", method="GET", headers={"Connection": "close"}
        )
        with front.connect() as sock:
            sock.sendall(request)
            data = callers_fakes.receive_all(sock)
        self.assertEqual(200, callers_fakes.parse_responses(data)[0].status)
