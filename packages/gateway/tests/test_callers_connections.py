"""Tests of the callers' connections: limits, stops and their ends."""

import asyncio
import contextlib
import typing
import unittest

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _responses
from quetzalward_gateway import _server

# Time to notice an answer on a busy machine.
WAIT_S = 3.0
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
POST_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"


async def answer(
    raw: _responses.RawRequest, responder: _responses.Responder
) -> None:
    """Answer any request with an empty response."""
    responder.send_response(200, [], b"")


@contextlib.asynccontextmanager
async def connection(
    limits: fleet.CallerLimits,
    handler: _server.Handler = answer,
    get_limits: typing.Callable[[], fleet.CallerLimits] | None = None,
    **options: typing.Any,
) -> typing.AsyncIterator[
    tuple[_server.CallerServer, asyncio.StreamReader, asyncio.StreamWriter]
]:
    """Start a server and open a caller's connection to it."""
    time_source = clock.SystemClock()
    server = _server.CallerServer(
        handler, get_limits or (lambda: limits), time_source.now_ms, **options
    )
    await server.start(fleet.Address("127.0.0.1", 0))
    assert server._server is not None
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield server, reader, writer
    finally:
        writer.transport.abort()
        server._server.close()


class SlowCallerTest(unittest.TestCase):
    """Guards against callers that hold a connection with single bytes."""

    async def trickle(self, limits: fleet.CallerLimits) -> bytes:
        """Send a head, a byte now and then; return the answer."""
        async with connection(limits) as (_, reader, writer):

            async def send() -> None:
                writer.write(b"GET / HTTP/1.1\r\nX-Filler: ")
                while True:
                    writer.write(b"x")
                    await asyncio.sleep(0.02)

            task = asyncio.create_task(send())
            try:
                async with asyncio.timeout(WAIT_S):
                    return await reader.read(12)
            finally:
                task.cancel()

    def test_head_must_be_complete_within_its_time(self) -> None:
        """Each byte started the time for the head anew."""
        limits = fleet.CallerLimits(header_timeout_ms=300)
        self.assertEqual(b"HTTP/1.1 408", asyncio.run(self.trickle(limits)))


class PlannedStopTest(unittest.TestCase):
    """Guards against requests cut off because a node stops."""

    async def request_during_close(self) -> bytes:
        """Let a request come in just before idle connections are closed."""
        async with connection(fleet.CallerLimits()) as (server, reader, _):
            while not server._idle_channels:
                await asyncio.sleep(0.01)
            (channel,) = server._idle_channels
            channel.data_received(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            server.drain()
            server.close_idle()
            async with asyncio.timeout(WAIT_S):
                return await reader.read(12)

    def test_request_that_just_came_in_is_answered(self) -> None:
        """Its connection counts as idle until a task has read it."""
        self.assertEqual(
            b"HTTP/1.1 200", asyncio.run(self.request_during_close())
        )

    async def pipelined_during_drain(self) -> bytes:
        """Send two requests at once to a node that stops."""
        async with connection(fleet.CallerLimits()) as (
            server,
            reader,
            writer,
        ):
            server.drain()
            writer.write(2 * REQUEST)
            async with asyncio.timeout(WAIT_S):
                return await reader.read()

    def test_second_request_of_a_pipeline_is_answered(self) -> None:
        """It had been read when the first response closed the connection."""
        answers = asyncio.run(self.pipelined_during_drain())
        self.assertEqual(2, answers.count(b"HTTP/1.1 200"))

    async def end_during_body(self) -> bytes:
        """End the node while a body is still coming."""
        async with connection(fleet.CallerLimits()) as (
            server,
            reader,
            writer,
        ):
            writer.write(POST_HEAD + b"Content-Length: 9\r\n\r\nabc")
            await asyncio.sleep(0.1)
            server.end_unanswered()
            async with asyncio.timeout(WAIT_S):
                return await reader.read(12)

    def test_request_that_is_still_read_is_refused(self) -> None:
        """It certainly has not run."""
        self.assertEqual(b"HTTP/1.1 503", asyncio.run(self.end_during_body()))

    async def end_with_input(self) -> bytes:
        """End the node when a request has just come in."""
        async with connection(fleet.CallerLimits()) as (server, reader, _):
            while not server._idle_channels:
                await asyncio.sleep(0.01)
            (channel,) = server._idle_channels
            channel.data_received(REQUEST)
            server.end_unanswered()
            async with asyncio.timeout(WAIT_S):
                return await reader.read(12)

    def test_request_that_comes_at_the_end_is_refused(self) -> None:
        """Its connection still counts as idle."""
        self.assertEqual(b"HTTP/1.1 503", asyncio.run(self.end_with_input()))

    async def end_during_handling(self) -> bytes:
        """End the requests without a response while a stream goes on."""

        async def stream(
            raw: _responses.RawRequest, responder: _responses.Responder
        ) -> None:
            responder.start_stream(200, [])
            await asyncio.sleep(0.3)
            responder.finish()

        async with connection(fleet.CallerLimits(), stream) as (
            server,
            reader,
            writer,
        ):
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            server.end_unanswered()
            async with asyncio.timeout(WAIT_S):
                return await reader.read()

    def test_stream_goes_on_while_others_are_answered(self) -> None:
        """A stream can only be cut, and has until the very end."""
        received = asyncio.run(self.end_during_handling())
        self.assertTrue(received.endswith(b"0\r\n\r\n"), received)


class ChangedLimitsTest(unittest.TestCase):
    """Guards against limits of an older configuration on kept connections."""

    async def second_answer(
        self, old: fleet.CallerLimits, pause_s: float, second: bytes
    ) -> bytes:
        """Change the limits to the default while a connection is idle."""
        limits = [old]
        async with connection(old, get_limits=lambda: limits[0]) as (
            _,
            reader,
            writer,
        ):
            writer.write(REQUEST)
            async with asyncio.timeout(WAIT_S):
                await reader.readuntil(b"\r\n\r\n")
                limits[0] = fleet.CallerLimits()
                await asyncio.sleep(pause_s)
                # A head that comes in one piece is never too large.
                writer.write(second[:-5])
                await asyncio.sleep(0.1)
                writer.write(second[-5:])
                return await reader.read(12)

    def test_larger_head_is_accepted_on_a_kept_connection(self) -> None:
        """The limit was that of the connection's start."""
        head = REQUEST[:-2] + b"X-Filler: " + 300 * b"x" + b"\r\n\r\n"
        old = fleet.CallerLimits(header_bytes=100)
        self.assertEqual(
            b"HTTP/1.1 200", asyncio.run(self.second_answer(old, 0.0, head))
        )

    def test_larger_body_is_accepted_on_a_kept_connection(self) -> None:
        """The limit was that of the moment at which it became idle."""
        body = POST_HEAD + b"Content-Length: 5\r\n\r\nabcde"
        old = fleet.CallerLimits(body_bytes=2)
        self.assertEqual(
            b"HTTP/1.1 200", asyncio.run(self.second_answer(old, 0.0, body))
        )

    def test_longer_idle_time_holds_for_idle_connections(self) -> None:
        """Callers rely on the newest limit at once."""
        old = fleet.CallerLimits(idle_timeout_ms=200)
        self.assertEqual(
            b"HTTP/1.1 200", asyncio.run(self.second_answer(old, 0.5, REQUEST))
        )


class UnansweredTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that end without an answer or a log line."""

    def setUp(self) -> None:
        """Collect what the server reports."""
        self.ended: list[typing.Any] = []

    async def exchange(self, handler: _server.Handler) -> bytes:
        """Send a request; return the start of the answer."""
        async with connection(
            fleet.CallerLimits(), handler, on_ended=self.ended.append
        ) as (_, reader, writer):
            writer.write(REQUEST)
            async with asyncio.timeout(WAIT_S):
                try:
                    return await reader.read(12)
                except ConnectionError:
                    return b""

    async def test_handler_without_a_response(self) -> None:
        """The caller saw a reset."""

        async def handler(
            raw: _responses.RawRequest, responder: _responses.Responder
        ) -> None:
            """Return."""

        self.assertEqual(b"HTTP/1.1 500", await self.exchange(handler))
        (ended,) = self.ended
        self.assertEqual(_server.Phase.HANDLING, ended.phase)
        self.assertEqual(b"/", ended.head.target)

    async def test_response_that_cannot_be_sent(self) -> None:
        """The caller saw the end of the connection."""

        async def handler(
            raw: _responses.RawRequest, responder: _responses.Responder
        ) -> None:
            responder.send_response(204, [], b"no body is allowed here")

        self.assertEqual(b"HTTP/1.1 500", await self.exchange(handler))
        self.assertIn("LocalProtocolError", self.ended[0].reason)

    async def test_exception_after_the_head(self) -> None:
        """What has begun must not look complete."""

        async def handler(
            raw: _responses.RawRequest, responder: _responses.Responder
        ) -> None:
            responder.start_stream(200, [])
            raise ValueError

        await self.exchange(handler)
        (ended,) = self.ended
        self.assertIsNone(ended.status)
        self.assertIn("ValueError", ended.reason)

    async def close_within(self, part: bytes) -> typing.Any:
        """Send a part of a request and close; return the report."""
        async with connection(
            fleet.CallerLimits(), on_ended=self.ended.append
        ) as (_, reader, writer):
            writer.write(part)
            writer.write_eof()
            async with asyncio.timeout(WAIT_S):
                with contextlib.suppress(ConnectionError):
                    await reader.read()
        (ended,) = self.ended
        return ended

    async def test_caller_that_closes_within_the_head(self) -> None:
        """A single byte has come in."""
        ended = await self.close_within(REQUEST[:1])
        self.assertEqual(_server.Phase.HEAD, ended.phase)
        self.assertIsNone(ended.head)

    async def test_caller_that_closes_within_the_body(self) -> None:
        """The request's id is known."""
        part = POST_HEAD + b"Content-Length: 9\r\n\r\nabc"
        ended = await self.close_within(part)
        self.assertEqual(_server.Phase.BODY, ended.phase)
        self.assertIsNotNone(ended.head)

    async def test_request_whose_caller_has_left_is_not_handled(self) -> None:
        """The end of the connection came with the last bytes."""
        handled = []

        async def handler(
            raw: _responses.RawRequest, responder: _responses.Responder
        ) -> None:
            handled.append(raw)
            responder.send_response(200, [], b"")

        async with connection(fleet.CallerLimits(), handler) as (server, _, _):
            while not server._idle_channels:
                await asyncio.sleep(0.01)
            (channel,) = server._idle_channels
            channel.data_received(REQUEST)
            channel.connection_lost(None)
            await asyncio.sleep(0.1)
        self.assertEqual([], handled)

    async def test_too_long_body_is_answered_while_it_comes(self) -> None:
        """Closing with unread input resets the connection."""
        limits = fleet.CallerLimits(body_bytes=1_000)
        size = 8 * 1024 * 1024
        head = POST_HEAD + f"Content-Length: {size}\r\n\r\n".encode()
        async with connection(limits) as (_, reader, writer):
            writer.write(head + size * b"x")
            async with asyncio.timeout(WAIT_S):
                await asyncio.sleep(0.3)
                self.assertEqual(b"HTTP/1.1 413", await reader.read(12))


if __name__ == "__main__":
    unittest.main()
