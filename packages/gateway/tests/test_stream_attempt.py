"""Tests of one attempt at a stream: how answers end, and what that says."""

import asyncio
import typing
import unittest

import fakes
import hostile_targets

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _attempts
from quetzalward_gateway import _events
from quetzalward_gateway import _state
from quetzalward_gateway import _stream_attempt

CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENT = b"id: 1\ndata: x\n\n"


def head(framing: bytes) -> bytes:
    """Return the head of a stream with a framing header."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        + framing
        + b"\r\n"
    )


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def attempt(
    target: hostile_targets.HostileTarget,
) -> tuple[_stream_attempt.StreamAttempt, _attempts.Attempt, fakes.Call]:
    """Send a stream's request to a target."""
    call = fakes.Call()
    async with target.running():
        place = _state.StreamPlacement(
            _state.OpenGroup(
                coordination.GroupEntry("g", 1, "m", "t"),
                fleet.Target("t", "s", target.address, "z", False, 0, 1),
            ),
            0.0,
            0.0,
            None,
            fakes.engine(),
            fleet.Model("m", 1, 1.0, 1.0, 1_000, 100),
        )
        stream = _stream_attempt.StreamAttempt(
            typing.cast(typing.Any, call),
            place,
            _stream_attempt.StreamProgress(_events.EventSequence(), 0),
        )
        result = await stream.run()
    return stream, result, call


class StreamEndTest(unittest.TestCase):
    """Guards against streams that break off and look complete."""

    def run_one(
        self, data: bytes, is_reset: bool
    ) -> tuple[_stream_attempt.StreamAttempt, _attempts.Attempt, fakes.Call]:
        """Return what becomes of a stream that ends after some bytes."""
        target = hostile_targets.broken_off(data, is_reset)
        return asyncio.run(attempt(target))

    def test_end_of_the_connection_inside_an_event_is_a_break(self) -> None:
        """Also without a length or chunks, where the close ends the body."""
        for data in (
            head(b"") + EVENT[:9],
            head(b"") + EVENT + EVENT[:9],
            head(CHUNKED) + chunk(EVENT[:9]) + b"0\r\n\r\n",
        ):
            with self.subTest(data=data):
                _, result, call = self.run_one(data, False)
                self.assertIs(_attempts.Result.BROKEN, result.result)
                self.assertFalse(call.responder.finished)

    def test_close_before_the_first_event_is_a_break(self) -> None:
        """A target that crashes closes its connection as well."""
        for data in (head(b""), head(CHUNKED)):
            with self.subTest(data=data):
                _, result, call = self.run_one(data, False)
                self.assertIs(_attempts.Result.BROKEN, result.result)
                self.assertFalse(call.responder.started)

    def test_reset_is_a_break_with_any_framing(self) -> None:
        """A reset does not end a body."""
        for data in (head(b"") + EVENT, head(CHUNKED) + chunk(EVENT)):
            with self.subTest(data=data):
                _, result, call = self.run_one(data, True)
                self.assertIs(_attempts.Result.BROKEN, result.result)
                self.assertFalse(call.responder.finished)

    def test_whole_streams_are_complete(self) -> None:
        """A clean end after an event completes a body without a length."""
        for data in (
            head(b"") + EVENT,
            head(CHUNKED) + chunk(EVENT) + b"0\r\n\r\n",
            head(b"Content-Length: %d\r\n" % len(EVENT)) + EVENT,
        ):
            with self.subTest(data=data):
                _, result, call = self.run_one(data, False)
                self.assertIs(_attempts.Result.COMPLETE, result.result)
                self.assertTrue(call.responder.finished)
                self.assertEqual(EVENT, call.responder.body)


if __name__ == "__main__":
    unittest.main()
