"""Tests of the callers' connections: slow heads and planned stops."""

import asyncio
import contextlib
import typing
import unittest

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _server

# Time to notice an answer on a busy machine.
WAIT_S = 3.0


async def answer(
    raw: _server.RawRequest, responder: _server.Responder
) -> None:
    """Answer any request with an empty response."""
    responder.send_response(200, [], b"")


@contextlib.asynccontextmanager
async def connection(
    limits: fleet.CallerLimits,
) -> typing.AsyncIterator[
    tuple[_server.CallerServer, asyncio.StreamReader, asyncio.StreamWriter]
]:
    """Start a server and open a caller's connection to it."""
    time_source = clock.SystemClock()
    server = _server.CallerServer(answer, lambda: limits, time_source.now_ms)
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


if __name__ == "__main__":
    unittest.main()
