"""Tests of targets that send bytes that are no answer, without end."""

import asyncio
import time
import tracemalloc
import unittest

import hostile_targets

from quetzalward_core import clock
from quetzalward_gateway import _events
from quetzalward_gateway import _http

TIMEOUT_MS = 600
# Time to notice the end of a call on a busy machine.
SLACK_S = 3.0
# A buffered body, its parts, and what the sockets hold.
MAX_MEMORY_BYTES = 4 * _http.MAX_BODY_BYTES

_CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
ENDLESS_TARGETS = {
    "head": lambda: hostile_targets.endless(
        b"HTTP/1.1 200 OK\r\n", b"X-Filler: " + b"x" * 60_000 + b"\r\n"
    ),
    "status line": lambda: hostile_targets.endless(b"", b"\x00" * 65_536),
    "informational responses": lambda: hostile_targets.endless(
        b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100
    ),
    "body to the end of the connection": lambda: hostile_targets.endless(
        b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536
    ),
    "chunked body": lambda: hostile_targets.endless(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", _CHUNK
    ),
    "head, a byte now and then": lambda: hostile_targets.endless(
        b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x", 0.02
    ),
    "chunk head, a byte now and then": lambda: hostile_targets.endless(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0", 0.02
    ),
    "body, a byte now and then": lambda: hostile_targets.endless(
        b"HTTP/1.1 200 OK\r\n\r\n", b"x", 0.02
    ),
}


class EndlessAnswerTest(unittest.TestCase):
    """Guards against calls without end and memory without bound.

    A body was read for as long as bytes came in, whatever its deadline, and
    all of it was kept.
    """

    async def call(self, target: hostile_targets.HostileTarget) -> None:
        """Call a target; fail unless the call fails and the target sees it."""
        client = _http.HttpClient(clock.SystemClock().now_ms)
        async with target.running():
            with self.assertRaises(_http.CallFailed):
                await client.call(
                    target.address, "GET", "/", [], b"", TIMEOUT_MS
                )
            async with asyncio.timeout(SLACK_S):
                await target.closed.wait()

    def test_call_ends_in_time_and_memory(self) -> None:
        """Each kind of answer without end fails the call."""
        for name, make_target in ENDLESS_TARGETS.items():
            with self.subTest(name):
                tracemalloc.start()
                started_s = time.monotonic()
                asyncio.run(self.call(make_target()))
                elapsed_s = time.monotonic() - started_s
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(elapsed_s, TIMEOUT_MS / 1_000 + SLACK_S)
                self.assertLess(peak_bytes, MAX_MEMORY_BYTES)

    def test_event_without_end_is_refused(self) -> None:
        """Bytes that never complete an event are not kept."""
        splitter = _events.EventSplitter()
        with self.assertRaises(_events.EventTooLarge):
            for _ in range(2 * _events.MAX_EVENT_BYTES // 65_536):
                splitter.feed(b"data: x\n" * 8_192)

    def test_large_events_are_forwarded(self) -> None:
        """The limit is for one event, not for a stream."""
        splitter = _events.EventSplitter()
        event = b"id: 1\ndata: " + b"x" * 500_000 + b"\n\n"
        count = sum(len(splitter.feed(event)) for _ in range(8))
        self.assertEqual(8, count)


class BrokenAnswerTest(unittest.TestCase):
    """Guards against answers that end early and look complete."""

    HEAD = b"HTTP/1.1 200 OK\r\n"

    async def call(self, data: bytes, is_reset: bool) -> _http.Response:
        """Return the response of a target that breaks off after some bytes."""
        client = _http.HttpClient(clock.SystemClock().now_ms)
        target = hostile_targets.broken_off(data, is_reset)
        async with target.running():
            return await client.call(
                target.address, "GET", "/", [], b"", TIMEOUT_MS
            )

    def test_each_framing(self) -> None:
        """A part of a body is never returned as the whole."""
        length = self.HEAD + b"Content-Length: 10\r\n\r\n12345"
        chunked = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for data, resets in (
            (length, (False, True)),
            (chunked + b"5\r\n12345\r\n", (False, True)),
            (chunked + b"5\r\n123", (False, True)),
            # The end of the connection is the end of such a body.
            (self.HEAD + b"\r\n12345", (True,)),
            (self.HEAD, (False, True)),
            (b"", (False, True)),
        ):
            for is_reset in resets:
                with self.subTest(data=data, is_reset=is_reset):
                    with self.assertRaises(_http.CallFailed):
                        asyncio.run(self.call(data, is_reset))

    def test_body_to_the_end_of_the_connection(self) -> None:
        """A clean end completes a body without a length."""
        response = asyncio.run(self.call(self.HEAD + b"\r\n12345", False))
        self.assertEqual(b"12345", response.body)

    def test_second_answer_is_not_given_to_the_next_call(self) -> None:
        """A connection with bytes that nobody asked for is not used again."""
        answer = self.HEAD + b"Content-Length: 1\r\n\r\n"

        async def two_calls() -> list[bytes]:
            async def send(writer: asyncio.StreamWriter) -> None:
                writer.write(answer + b"1" + answer + b"2")
                await writer.drain()
                await asyncio.sleep(0.3)

            target = hostile_targets.HostileTarget(send)
            client = _http.HttpClient(clock.SystemClock().now_ms)
            bodies = []
            async with target.running():
                for _ in range(2):
                    response = await client.call(
                        target.address, "GET", "/", [], b"", TIMEOUT_MS
                    )
                    bodies.append(response.body)
                    await asyncio.sleep(0.05)
            return bodies

        self.assertEqual([b"1", b"1"], asyncio.run(two_calls()))


if __name__ == "__main__":
    unittest.main()
