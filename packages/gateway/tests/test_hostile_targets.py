"""Tests of targets that send bytes that are no answer, without end."""

import asyncio
import time
import tracemalloc
import unittest

import hostile_targets

from quetzalward_core import clock
from quetzalward_gateway import _events
from quetzalward_gateway import _http
from quetzalward_gateway import _server

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


class SlowCallerTest(unittest.TestCase):
    """Guards against callers that hold a connection with single bytes."""

    async def trickle(self, limits: object) -> bytes:
        """Send a head, a byte now and then; return the answer."""
        time_source = clock.SystemClock()

        async def handle(
            raw: _server.RawRequest, responder: _server.Responder
        ) -> None:
            responder.send_response(200, [], b"")

        server = _server.CallerServer(
            handle, lambda: limits, time_source.now_ms  # type: ignore
        )
        await server.start(hostile_targets.fleet.Address("127.0.0.1", 0))
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)

        async def send() -> None:
            writer.write(b"GET / HTTP/1.1\r\nX-Filler: ")
            while True:
                writer.write(b"x")
                await asyncio.sleep(0.02)

        task = asyncio.create_task(send())
        try:
            async with asyncio.timeout(SLACK_S):
                return await reader.read(12)
        finally:
            task.cancel()
            writer.transport.abort()
            server._server.close()

    def test_head_must_be_complete_within_its_time(self) -> None:
        """Each byte started the time for the head anew."""
        limits = hostile_targets.fleet.CallerLimits(header_timeout_ms=300)
        answer = asyncio.run(self.trickle(limits))
        self.assertEqual(b"HTTP/1.1 408", answer)


if __name__ == "__main__":
    unittest.main()
