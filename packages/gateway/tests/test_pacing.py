"""Tests of the work on messages whose parts are always at hand."""

import asyncio
import collections.abc
import contextlib
import time
import typing
import unittest

import fakes
import hostile_targets

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _events
from quetzalward_gateway import _exchange
from quetzalward_gateway import _http
from quetzalward_gateway import _pacing
from quetzalward_gateway import _server

# A fifth of the half second after which a request is answered too late.
MAX_STALL_S = 0.1
# Streams at the faulty target at the same time.
STREAMS = 3
PLAY_S = 1.0
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
BODY_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(data: bytes, size: int) -> bytes:
    """Return data in chunks of a size."""
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


async def longest_stall_s(
    work: collections.abc.Iterable[
        collections.abc.Coroutine[None, None, None]
    ],
) -> float:
    """Return the most processor time that other tasks had to wait for.

    That is of this thread, so that other processes do not count.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in work]
    longest_s = 0.0
    end_s = time.monotonic() + PLAY_S
    while time.monotonic() < end_s:
        before_s = time.thread_time()
        await asyncio.sleep(0)
        longest_s = max(longest_s, time.thread_time() - before_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return longest_s


class StallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one faulty peer that stops the whole node.

    Parts that are at hand were read without a break, and what an incomplete
    event consists of was searched anew for each of them.
    """

    async def check(
        self,
        head: bytes,
        block: bytes,
        work: collections.abc.Callable[
            [fleet.Address], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Check that others go on while a peer floods the node."""
        with hostile_targets.flood(head, block) as address:
            stall_s = await longest_stall_s(
                work(address) for _ in range(STREAMS)
            )
        self.assertLess(stall_s, MAX_STALL_S)

    async def test_streams(self) -> None:
        """Bytes that complete no event, or events that say nothing."""
        for name, block in (
            ("64 bytes", chunks(b"x" * 65_536, 64)),
            ("1 byte", chunks(b"x" * 8_192, 1)),
            ("one chunk", chunks(b"x" * 65_536, 65_536)),
            ("comments", chunks(b":\n\n" * 20_000, 60_000)),
            ("old events", chunks(b"id: 1\n\n" * 10_000, 70_000)),
        ):
            with self.subTest(name):
                await self.check(STREAM_HEAD, block, self.stream)

    async def test_whole_answers(self) -> None:
        """Bodies that are buffered, and heads."""
        small = chunks(b"x" * 65_536, 64)
        for name, head, block in (
            ("body", BODY_HEAD, small),
            ("body, 1 byte", BODY_HEAD, chunks(b"x" * 8_192, 1)),
            ("no framing", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
            ("head", b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 10_000),
        ):
            for work in (self.plain, self.call):
                with self.subTest(name, work=work):
                    await self.check(head, block, work)

    async def test_request_of_a_caller(self) -> None:
        """A caller may send small parts as well."""
        server = _server.CallerServer(
            self.fail, fleet.CallerLimits, clock.SystemClock().now_ms
        )
        await server.start(fleet.Address("127.0.0.1", 0))
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        block = chunks(b"x" * 65_536, 64)

        async def send() -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head + b"\r\n")
            with contextlib.suppress(ConnectionError):
                for _ in range(32):
                    writer.write(block)
                    await writer.drain()

        stall_s = await longest_stall_s([send() for _ in range(STREAMS)])
        server._server.close()
        self.assertLess(stall_s, MAX_STALL_S)

    async def stream(self, address: fleet.Address) -> None:
        """Send a stream to a target."""
        await self.exchange(address, fleet.RequestKind.STREAMING)

    async def plain(self, address: fleet.Address) -> None:
        """Send a request to a target that is answered as a whole."""
        await self.exchange(address, fleet.RequestKind.NON_IDEMPOTENT)

    @staticmethod
    async def exchange(
        address: fleet.Address, kind: fleet.RequestKind
    ) -> None:
        """Serve a caller's request by one target."""
        call = fakes.Call()
        call.service, call.route = (
            fleet.Service("s", "/", 0, 0.0),
            fakes.route(kind),
        )
        entry = fleet.Target("t", "s", address, "z", False, 0, 1)
        call.runtime.state.directory.put(entry, 0)
        await _exchange.serve(typing.cast(typing.Any, call))

    @staticmethod
    async def call(address: fleet.Address) -> None:
        """Call a target, as for a report."""
        client = _http.HttpClient(clock.SystemClock().now_ms)
        with contextlib.suppress(_http.CallFailed):
            await client.call(address, "GET", "/", [], b"", 2_000)


class SplitterWorkTest(unittest.TestCase):
    """Guards against work that grows with the square of the parts."""

    def test_small_parts_of_a_large_event(self) -> None:
        """Each byte is searched once."""
        splitter = _events.EventSplitter()
        began_s = time.thread_time()
        for _ in range(_events.MAX_EVENT_BYTES // 16):
            splitter.feed(b"x" * 16)
        # It took over a minute.
        self.assertLess(time.thread_time() - began_s, 2.0)
        self.assertEqual(1, len(splitter.feed(b"\n\n")))

    def test_end_across_parts(self) -> None:
        """An end is found wherever the parts meet."""
        for end in (b"\n\n", b"\r\n\r\n"):
            for cut in range(len(end) + 1):
                splitter = _events.EventSplitter()
                data = b"id: 1" + end
                at = len(data) - cut
                events = splitter.feed(data[:at]) + splitter.feed(data[at:])
                self.assertEqual([data], [event.data for event in events])


class CostlyWorkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against costly messages that leave no time for others."""

    def test_costly_messages_share_a_part_of_the_time(self) -> None:
        """However many they are, turns follow each other with pauses."""
        costly = _pacing.CostlyWork()
        waits = [costly.wait_ms(2.0, 1_000.0) for _ in range(50)]
        self.assertAlmostEqual(
            50 * 2.0 / _pacing.COSTLY_SHARE, waits[-1], places=3
        )
        self.assertEqual(sorted(waits), waits)

    def test_unused_time_is_not_saved_up(self) -> None:
        """After a calm time the first turn is followed by a pause, too."""
        costly = _pacing.CostlyWork()
        costly.wait_ms(2.0, 1_000.0)
        self.assertAlmostEqual(
            2.0 / _pacing.COSTLY_SHARE, costly.wait_ms(2.0, 90_000.0)
        )

    async def test_progress_ends_the_waits(self) -> None:
        """A busy stream whose events are complete is not slowed down."""
        costly = _pacing.CostlyWork()
        pacer = _pacing.Pacer(costly)
        pacer._fruitless_ms = 2 * _pacing.COSTLY_MS
        pacer.record_progress()
        pacer._slice_ms = 2 * _pacing.SLICE_MS
        await pacer.pause_if_due()
        self.assertEqual(0.0, costly._next_turn_ms)


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers who wait for a target that makes no progress."""

    async def test_other_target_is_asked(self) -> None:
        """Bytes kept the stream from counting as silent."""
        whole = STREAM_HEAD + chunks(b"id: 1\ndata: x\n\n", 64) + b"0\r\n\r\n"
        sound = hostile_targets.broken_off(whole, False)
        call = fakes.Call()
        call.service = fleet.Service("s", "/", 0, 0.0)
        call.route = fakes.route(fleet.RequestKind.STREAMING)
        directory = call.runtime.state.directory
        block = chunks(b"x" * 640, 64)
        with hostile_targets.flood(STREAM_HEAD, block) as address:
            async with sound.running():
                faulty = fleet.Target("t1", "s", address, "z", False, 0, 1)
                directory.put(faulty, 0)
                serving = asyncio.create_task(
                    _exchange.serve(typing.cast(typing.Any, call))
                )
                await asyncio.sleep(0.2)
                directory.put(
                    fleet.Target("t2", "s", sound.address, "z", False, 0, 2), 0
                )
                async with asyncio.timeout(4.0):
                    await serving
        self.assertTrue(call.responder.finished)
        self.assertEqual(b"id: 1\ndata: x\n\n", call.responder.body)


if __name__ == "__main__":
    unittest.main()
