"""Tests of disconnected and slow callers, deadlines and the drain."""

import json
import socket
import struct
import threading

import callers_cases
import callers_fakes

from quetzalward_node import callers
from quetzalward_node import interfaces

PROMPT = callers_cases.PROMPT
TOTAL = callers_cases.TOTAL
document = callers_cases.document
text_of = callers_cases.text_of


class VanishedCallerTest(callers_cases.StreamTestCase):
    """Guards against leaked slots and threads and uncancelled attempts."""

    def send(self):
        sock = self.front.connect()
        self.addCleanup(sock.close)
        sock.sendall(callers_fakes.raw_request("/v1/completions", document()))
        return sock

    def assert_cancelled(self, engine, count):
        self.assertTrue(
            engine.wait_for(lambda: len(engine.cancelled) == count)
        )
        attempt_ids = {head["X-Request-Id"] for _, _, head in engine.requests}
        self.assertEqual(attempt_ids, set(engine.cancelled))
        self.assertTrue(self.front.router.wait_all_released())
        self.assertEqual(
            [interfaces.AttemptResult.CANCELLED] * count,
            self.front.router.results(),
        )

    def test_caller_disconnects_while_the_engine_is_silent(self):
        for stall_after in (0, 3):
            with self.subTest(stall_after=stall_after):
                engine = callers_fakes.Engine(stall_after=stall_after)
                self.start(engine, threads=4)
                # More callers than threads, so that leaks would show.
                for number in range(1, 9):
                    sock = self.send()
                    self.assertTrue(
                        engine.wait_for(lambda: len(engine.requests) >= number)
                    )
                    sock.close()
                self.assertTrue(self.front.router.wait_all_released())
                # A thread becomes free only some time after its request ends.
                self.assertTrue(
                    callers_fakes.wait_until(
                        lambda: self.front.server.in_progress == 0
                    )
                )
                engine.script.stall_after = None
                engine.released.set()
                text = text_of(self.events())
                self.assertEqual(callers_fakes.text(PROMPT, TOTAL), text)
                self.assertTrue(self.front.router.wait_all_released())

    def test_engine_is_sent_a_cancel_for_each_disconnected_caller(self):
        engine = callers_fakes.Engine(stall_after=3)
        self.start(engine)
        socks = [self.send() for _ in range(4)]
        self.assertTrue(engine.wait_for(lambda: len(engine.requests) == 4))
        for sock in socks:
            sock.close()
        self.assert_cancelled(engine, 4)

    def test_caller_disconnected_in_the_queue_reaches_no_engine(self):
        engine = callers_fakes.Engine()
        self.start(engine)
        waiting, disconnected = threading.Event(), threading.Event()
        acquire = self.front.router.acquire

        def wait(request):
            waiting.set()
            disconnected.wait(callers_fakes.WAIT_S)
            return acquire(request)

        self.front.router.acquire = wait
        sock = self.send()
        self.assertTrue(waiting.wait(callers_fakes.WAIT_S))
        watch = self.front.server._watch
        interruption, _ = next(iter(watch._entries_by_fd.values()))
        sock.close()
        self.assertTrue(
            callers_fakes.wait_until(lambda: interruption.cause is not None)
        )
        disconnected.set()
        self.assertTrue(
            callers_fakes.wait_until(lambda: not self.front.server.in_progress)
        )
        self.assertTrue(self.front.router.all_released())
        self.assertEqual([], engine.requests)
        cancelled = interfaces.AttemptResult.CANCELLED
        self.assertEqual([cancelled], self.front.router.results())

    def test_connection_reset_is_detected(self):
        engine = callers_fakes.Engine(stall_after=3)
        self.start(engine)
        sock = self.send()
        self.assertTrue(engine.wait_for(lambda: len(engine.requests) == 1))
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
        self.assert_cancelled(engine, 1)

    def test_caller_that_stops_reading_is_disconnected(self):
        engine = callers_fakes.Engine(padding=60_000)
        limits = callers.ConnectionLimits(write_timeout_ms=300)
        self.start(engine, connection_limits=limits)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.addCleanup(sock.close)
        sock.connect(self.front.address)
        body = document(max_tokens=400)
        sock.sendall(callers_fakes.raw_request("/v1/completions", body))
        self.assert_cancelled(engine, 1)
        sent = self.front.router.released[0][1].tokens
        # Backpressure reached the engine; its output was not buffered.
        self.assertLess(sent, 400)


class DeadlineTest(callers_cases.StreamTestCase):
    """Guards against a request that outlives its deadline."""

    def test_request_to_a_stalled_engine_ends_at_the_deadline(self):
        engine = callers_fakes.Engine(stall_after=3)
        self.start(engine, request_timeout_ms=400, retries=5)
        events = self.events()
        problem = json.loads(events[-1].data)
        self.assertEqual("target_timeout", problem["kind"])
        self.assertEqual("unknown", problem["outcome"])
        self.assertTrue(self.front.router.wait_all_released())


class DrainTest(callers_cases.StreamTestCase):
    """Guards against a planned stop that interrupts a request (R9)."""

    def test_requests_in_progress_finish_and_new_ones_are_rejected(self):
        engine = callers_fakes.Engine(stall_after=3)
        self.start(engine)
        with self.front.connect() as sock:
            sock.sendall(
                callers_fakes.raw_request("/v1/completions", document())
            )
            self.assertTrue(engine.wait_for(lambda: len(engine.requests) == 1))
            self.front.server.stop_accepting()
            self.assertFalse(self.front.server.accepting)
            problem = self.assert_problem("node_stopping", document())
            self.assertEqual("not_run", problem["outcome"])
            engine.released.set()
            self.front.close()
            self.assertTrue(self.front.drained)
            data = callers_fakes.receive_all(sock)
        self.assertIn(callers_fakes.token(PROMPT, TOTAL - 1).encode(), data)
        self.assertIn(b"[DONE]", data)

    def test_drain_ends_after_its_timeout(self):
        engine = callers_fakes.Engine(stall_after=3)
        self.start(engine)
        with self.front.connect() as sock:
            sock.sendall(
                callers_fakes.raw_request("/v1/completions", document())
            )
            self.assertTrue(engine.wait_for(lambda: len(engine.requests) == 1))
            self.front.drained = self.front.server.drain(100)
            self.assertFalse(self.front.drained)
            self.assertIn(b"node_stopping", callers_fakes.receive_all(sock))
        self.assertTrue(self.front.router.wait_all_released())
