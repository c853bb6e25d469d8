"""Tests of many idle, slow and concurrent callers."""

import json
import select
import unittest

import callers_fakes

from quetzalward_node import callers

VALID = callers_fakes.raw_request(
    "/v1/completions",
    {"model": "small", "prompt": "p", "max_tokens": 2},
    headers={"Connection": "close"},
)


class ConnectionsTest(unittest.TestCase):
    """Guards against callers that exhaust threads or memory."""

    def start(self, engine=None, **front):
        self.engine = engine or callers_fakes.Engine()
        self.addCleanup(self.engine.close)
        self.front = callers_fakes.Front([self.engine.url], **front)
        self.addCleanup(self.front.close)

    def connect(self, data=b""):
        sock = self.front.connect()
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def response(self, sock):
        data = callers_fakes.receive_all(sock)
        return callers_fakes.parse_responses(data)[-1]

    def test_idle_and_slow_callers_hold_no_thread(self):
        self.start(threads=2)
        for data in (b"", VALID[:10], VALID[:-5]):
            for _ in range(100):
                self.connect(data)
        for _ in range(10):
            self.assertEqual(200, self.response(self.connect(VALID)).status)
        self.assertGreaterEqual(self.front.server.open_connections, 300)

    def test_slow_callers_get_an_error_at_their_deadline(self):
        limits = callers.ConnectionLimits(
            header_timeout_ms=200, body_timeout_ms=200, idle_timeout_ms=200
        )
        self.start(threads=2, connection_limits=limits)
        slow = [self.connect(VALID[:size]) for size in (1, 20, -1) * 20]
        idle = [self.connect() for _ in range(20)]
        for sock in slow:
            problem = self.response(sock).problem
            self.assertEqual("caller_timeout", problem["kind"])
        for sock in idle:
            self.assertEqual(b"", callers_fakes.receive_all(sock))

    def test_connections_are_capped(self):
        limits = callers.ConnectionLimits(max_connections=10)
        self.start(connection_limits=limits)
        idle = [self.connect() for _ in range(10)]
        # A new connection evicts an idle one.
        self.assertEqual(200, self.response(self.connect(VALID)).status)
        closed, _, _ = select.select(idle, [], [], callers_fakes.WAIT_S)
        self.assertEqual(1, len(closed))
        slow = [sock for sock in idle if sock not in closed]
        server = self.front.server
        self.assertTrue(
            callers_fakes.wait_until(lambda: server.open_connections == 9)
        )
        slow.append(self.connect())
        for sock in slow:
            sock.sendall(VALID[:10])
        manager = self.front.server._http.connection_manager
        self.assertTrue(
            callers_fakes.wait_until(lambda: manager.buffered_bytes == 100)
        )
        problem = self.response(self.connect(VALID)).problem
        self.assertEqual("overloaded", problem["kind"])

    def test_memory_of_requests_being_received_is_capped(self):
        limits = callers.ConnectionLimits(max_buffered_bytes=1_000_000)
        self.start(connection_limits=limits)
        document = {"model": "small", "prompt": "p" * 400_000}
        large = callers_fakes.raw_request(
            "/v1/completions", document, headers={"Connection": "close"}
        )
        incomplete = [self.connect(large[:-1]) for _ in range(3)]
        ready, _, _ = select.select(incomplete, [], [], callers_fakes.WAIT_S)
        self.assertEqual(1, len(ready))
        problem = self.response(ready[0]).problem
        self.assertEqual("overloaded", problem["kind"])
        for sock in incomplete:
            if sock not in ready:
                sock.sendall(large[-1:])
                self.assertEqual(200, self.response(sock).status)

    def test_150_streams_at_once(self):
        engine = callers_fakes.Engine(stall_after=1)
        self.start(engine, threads=160, max_streams=150)
        body = {
            "model": "small",
            "prompt": "p",
            "max_tokens": 3,
            "stream": True,
        }
        request = callers_fakes.raw_request(
            "/v1/completions", body, headers={"Connection": "close"}
        )
        socks = [self.connect(request) for _ in range(150)]
        self.assertTrue(engine.wait_for(lambda: len(engine.requests) == 150))
        problem = self.response(self.connect(request)).problem
        self.assertEqual("overloaded", problem["kind"])
        models = callers_fakes.raw_request(
            "/v1/models", method="GET", headers={"Connection": "close"}
        )
        self.assertEqual(200, self.response(self.connect(models)).status)
        engine.released.set()
        for sock in socks:
            response = self.response(sock)
            self.assertTrue(response.complete)
            self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
        self.assertTrue(self.front.router.wait_all_released())

    def test_full_queue_is_refused_as_not_run(self):
        engine = callers_fakes.Engine(stall_after=1)
        self.start(engine, threads=2)
        socks = [self.connect(VALID) for _ in range(2)]
        self.assertTrue(engine.wait_for(lambda: len(engine.requests) == 2))
        queued = [self.connect(VALID) for _ in range(2)]
        server = self.front.server
        self.assertTrue(
            callers_fakes.wait_until(lambda: server.in_progress == 4)
        )
        response = self.response(self.connect(VALID))
        self.assertEqual("overloaded", response.problem["kind"])
        self.assertEqual("not_run", response.problem["outcome"])
        self.assertEqual("1", response.headers["retry-after"])
        engine.released.set()
        for sock in socks + queued:
            text = json.loads(self.response(sock).body)["choices"][0]["text"]
            self.assertEqual(callers_fakes.text("p", 2), text)
