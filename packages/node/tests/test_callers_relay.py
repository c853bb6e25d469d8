"""Tests of the relay loop and of the bodies it takes over."""

import socket
import threading
import unittest

import callers_cases
import callers_fakes

from quetzalward_core import clock
from quetzalward_node.callers import _relay
from quetzalward_node.callers import _targets

WIRE = b"3\r\nabc\r\n4;x=1\r\ndefg\r\n0\r\n\r\n"


class ChunkedBodyTest(unittest.TestCase):
    """Guards against lost or repeated bytes when reads split a chunk."""

    def test_any_split_gives_the_same_body(self):
        for first in range(len(WIRE) + 1):
            for second in range(first, len(WIRE) + 1):
                body = _targets.ChunkedBody(None, None)
                parts = (WIRE[:first], WIRE[first:second], WIRE[second:])
                data = b"".join(body.feed(part) for part in parts)
                self.assertEqual(b"abcdefg", data)
                self.assertTrue(body.over)
                # The end is left to `http.client`, line break included.
                self.assertEqual(b"\r\n0\r\n\r\n", body.pending)

    def test_what_is_no_chunk_is_left_to_the_worker(self):
        body = _targets.ChunkedBody(None, None)
        junk = b"x" * 1_000
        self.assertEqual(b"", body.feed(junk))
        self.assertTrue(body.over)
        self.assertEqual(junk, body.pending)


class _Source:
    over = False

    def __init__(self, sock):
        self.sock = sock

    def feed(self, data):
        return data


class RelayLoopTest(unittest.TestCase):
    """Guards against a stream that never returns to its worker."""

    def setUp(self):
        self.loop = _relay.RelayLoop(clock.SystemClock())
        self.loop.start()
        self.addCleanup(self.loop.stop)
        self.far, near = socket.socketpair()
        self.addCleanup(self.far.close)
        self.addCleanup(near.close)
        near.settimeout(0)
        self.source = _Source(near)
        self.taken = []

    def job(self, take=None, timeout_ms=callers_fakes.WAIT_S * 1_000):
        return _relay.Job(
            self.source,
            take or self.take,
            lambda: True,
            lambda waited_ms: None,
            timeout_ms,
            clock.SystemClock().now_ms(),
        )

    def take(self, data):
        self.taken.append(data)
        return data.endswith(b"end")

    def test_end_of_the_answer(self):
        job = self.job()
        thread = threading.Thread(target=self.loop.serve, args=(job, b"a"))
        thread.start()
        self.far.sendall(b"the end")
        thread.join()
        self.assertTrue(job.complete)
        self.assertEqual(b"athe end", b"".join(self.taken))

    def test_closed_engine(self):
        self.far.close()
        job = self.job()
        self.loop.serve(job, b"")
        self.assertFalse(job.complete)

    def test_silent_engine(self):
        job = self.job(timeout_ms=1)
        self.loop.serve(job, b"")
        self.assertFalse(job.complete)

    def test_error_reaches_the_worker_and_the_loop_goes_on(self):
        def fail(data):
            raise ValueError(data)

        self.far.sendall(b"x")
        with self.assertRaises(ValueError):
            self.loop.serve(self.job(fail), b"")
        self.far.sendall(b"end")
        job = self.job()
        self.loop.serve(job, b"")
        self.assertTrue(job.complete)


class SlowCallerTest(callers_cases.StreamTestCase):
    """Guards against lost bytes when the caller's buffer is full."""

    def test_caller_that_reads_late_gets_the_whole_answer(self):
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
        answer = callers_fakes.parse_responses(data)[0]
        self.assertTrue(answer.complete)
        events = callers_cases.streams.SseParser().feed(answer.body)
        self.assertEqual(
            callers_fakes.text(callers_cases.PROMPT, tokens),
            callers_cases.text_of(events),
        )
