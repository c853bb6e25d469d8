"""Tests of the relay loop and of the chunked bodies that it reads."""

import socket
import threading
import unittest

import callers_cases
import callers_fakes

from quetzalward_core import clock
from quetzalward_node.callers import _relay
from quetzalward_node.callers import _targets

CHUNKED_BYTES = b"3\r\nabc\r\n4;x=1\r\ndefg\r\n0\r\n\r\n"


class ChunkedBodyTest(unittest.TestCase):
    """Guards against lost or repeated bytes when reads split a chunk."""

    def test_any_split_gives_the_same_body(self):
        for first in range(len(CHUNKED_BYTES) + 1):
            for second in range(first, len(CHUNKED_BYTES) + 1):
                body = _targets.ChunkedBody(None, None)
                parts = (
                    CHUNKED_BYTES[:first],
                    CHUNKED_BYTES[first:second],
                    CHUNKED_BYTES[second:],
                )
                data = b"".join(body.feed(part) for part in parts)
                self.assertEqual(b"abcdefg", data)
                self.assertTrue(body.finished)
                # `http.client` reads the end, including the line break.
                self.assertEqual(b"\r\n0\r\n\r\n", body.pending)

    def test_malformed_chunk_is_left_to_the_worker(self):
        body = _targets.ChunkedBody(None, None)
        malformed = b"x" * 1_000
        self.assertEqual(b"", body.feed(malformed))
        self.assertTrue(body.finished)
        self.assertEqual(malformed, body.pending)


class _Source:
    finished = False

    def __init__(self, sock):
        self.sock = sock

    def feed(self, data):
        return data


class RelayLoopTest(unittest.TestCase):
    """Guards against a stream that is never handed back to its worker."""

    def setUp(self):
        self.loop = _relay.RelayLoop(clock.SystemClock())
        self.loop.start()
        self.addCleanup(self.loop.stop)
        self.engine_sock, loop_sock = socket.socketpair()
        self.addCleanup(self.engine_sock.close)
        self.addCleanup(loop_sock.close)
        loop_sock.settimeout(0)
        self.source = _Source(loop_sock)
        self.consumed = []

    def job(self, consume=None, timeout_ms=callers_fakes.WAIT_S * 1_000):
        return _relay.Job(
            self.source,
            consume or self.consume,
            lambda: True,
            lambda waited_ms: None,
            timeout_ms,
            clock.SystemClock().now_ms(),
        )

    def consume(self, data):
        self.consumed.append(data)
        return data.endswith(b"end")

    def test_end_of_the_response(self):
        job = self.job()
        thread = threading.Thread(target=self.loop.serve, args=(job, b"a"))
        thread.start()
        self.engine_sock.sendall(b"the end")
        thread.join()
        self.assertTrue(job.complete)
        self.assertEqual(b"athe end", b"".join(self.consumed))

    def test_closed_engine(self):
        self.engine_sock.close()
        job = self.job()
        self.loop.serve(job, b"")
        self.assertFalse(job.complete)

    def test_silent_engine(self):
        job = self.job(timeout_ms=1)
        self.loop.serve(job, b"")
        self.assertFalse(job.complete)

    def test_error_reaches_the_worker_and_the_loop_continues(self):
        def fail(data):
            raise ValueError(data)

        self.engine_sock.sendall(b"x")
        with self.assertRaises(ValueError):
            self.loop.serve(self.job(fail), b"")
        self.engine_sock.sendall(b"end")
        job = self.job()
        self.loop.serve(job, b"")
        self.assertTrue(job.complete)


class SlowCallerTest(callers_cases.StreamTestCase):
    """Guards against lost bytes when the caller's receive buffer is full."""

    def test_slow_caller_receives_the_complete_response(self):
        tokens = 20_000
        self.start(callers_fakes.Engine())
        body = callers_cases.document(max_tokens=tokens)
        request = callers_fakes.raw_request(
            "/v1/completions", body, headers={"Connection": "close"}
        )
        with self.front.connect() as sock:
            sock.sendall(request)
            metrics = self.front.telemetry.metrics
            sent = metrics.counter(
                "quetzalward_callers_tokens_total", "", "model"
            )
            callers_fakes.wait_until(lambda: sent.value("small") > 1_000)
            data = callers_fakes.receive_all(sock)
        response = callers_fakes.parse_responses(data)[0]
        self.assertTrue(response.complete)
        events = callers_cases.streams.SseParser().feed(response.body)
        self.assertEqual(
            callers_fakes.text(callers_cases.PROMPT, tokens),
            callers_cases.text_of(events),
        )
