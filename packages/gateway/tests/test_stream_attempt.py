"""Tests of one attempt at a stream: how answers end, and what that says."""

import asyncio
import socket
import struct
import typing
import unittest
from unittest import mock

import fakes
import hostile_targets

from quetzalward_core import coordination
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import quarantine
from quetzalward_gateway import _attempts
from quetzalward_gateway import _events
from quetzalward_gateway import _places
from quetzalward_gateway import _state
from quetzalward_gateway import _stream_attempt
from quetzalward_gateway import _streaming

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


def place(address: fleet.Address) -> _state.StreamPlacement:
    """Return a group whose head has an address."""
    return _state.StreamPlacement(
        _state.OpenGroup(
            coordination.GroupEntry("g", 1, "m", "t"),
            fleet.Target("t", "s", address, "z", False, 0, 1),
        ),
        0.0,
        0.0,
        None,
        fakes.engine(),
        fleet.Model("m", 1, 1.0, 1.0, 1_000, 100),
        ("s", "m"),
    )


async def attempt(
    target: hostile_targets.HostileTarget,
) -> tuple[_stream_attempt.StreamAttempt, _attempts.Attempt, fakes.Call]:
    """Send a stream's request to a target."""
    call = fakes.Call()
    async with target.running():
        stream = _stream_attempt.StreamAttempt(
            typing.cast(typing.Any, call),
            _places.GroupPlace(call.runtime.state, place(target.address)),
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
                stream, result, call = self.run_one(data, False)
                self.assertIs(_attempts.Result.BROKEN, result.result)
                self.assertFalse(call.responder.started)
                self.assertEqual(
                    quarantine.BEGUN_WEIGHT, stream.crash_weight(result)
                )

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


class ForeignTextTest(unittest.TestCase):
    """Guards against an error's text in the middle of a caller's stream."""

    def run_one(self, body: bytes) -> tuple[_attempts.Attempt, fakes.Call]:
        """Return what becomes of a stream with a body."""
        target = hostile_targets.broken_off(head(b"") + body, False)
        _, result, call = asyncio.run(attempt(target))
        return result, call

    def test_text_behind_events_is_not_forwarded(self) -> None:
        """The events before it are, also if they arrive with it."""
        for text in (
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            b"http/1.1 503 busy\n\n",
            b'{"error": "overloaded"}\n\n',
            b"overloaded\n\n",
            b"error: overloaded\n\n",
            b"data: overloaded\n\n",
        ):
            with self.subTest(text=text):
                result, call = self.run_one(EVENT + text)
                self.assertIs(_attempts.Result.BROKEN, result.result)
                self.assertEqual(EVENT, call.responder.body)
                self.assertFalse(call.responder.finished)

    def test_head_in_place_of_the_first_event_is_not_forwarded(self) -> None:
        """The caller has got nothing yet, so another target may answer."""
        result, call = self.run_one(b"HTTP/1.1 500 Oops\r\nA: b\r\n\r\n")
        self.assertIs(_attempts.Result.BROKEN, result.result)
        self.assertFalse(call.responder.started)

    def test_comments_and_other_fields_are_forwarded(self) -> None:
        """Targets send weight versions as a field and may send comments."""
        body = (
            b"weight-versions: 3\nid: 1\ndata: x\n\n"
            b": keep-alive\n\n"
            b"retry: 5\nid: 2\ndata\n\n"
        )
        result, call = self.run_one(body)
        self.assertIs(_attempts.Result.COMPLETE, result.result)
        self.assertEqual(body, call.responder.body)


class CutHeadTest(unittest.TestCase):
    """Guards against a 200 whose head was cut off and looks complete."""

    def test_head_cut_anywhere_is_a_break(self) -> None:
        """Before its empty line a head says nothing of its body."""
        whole = head(b"Content-Length: 0\r\n")

        async def run_all() -> list[tuple[_attempts.Attempt, fakes.Call]]:
            results = await asyncio.gather(
                *(
                    attempt(hostile_targets.broken_off(whole[:length], False))
                    for length in range(len(whole))
                )
            )
            return [(result, call) for _, result, call in results]

        for result, call in asyncio.run(run_all()):
            self.assertIs(_attempts.Result.BROKEN, result.result)
            self.assertFalse(call.responder.started)


class RequestsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers whose crashes are taken for one request's."""

    async def test_requests_without_an_attempt_id_are_told_apart(self) -> None:
        """A part is only blocked if several requests crashed targets."""
        requests = set()
        runtime = fakes.Call().runtime
        for _ in range(3):
            call = fakes.Call(attempt_id=b"")
            call.runtime = runtime
            call.crash_guard.record_crash("t/1", 2)
            crash = call.runtime.state.evidence.crashes_since(0)[-1]
            requests.add(crash.request)
        self.assertEqual(3, len(requests))


class BlockTest(unittest.IsolatedAsyncioTestCase):
    """Guards against blocked prompts that are sent all the same."""

    async def test_prompt_blocked_while_it_waits_is_not_sent(self) -> None:
        """An interrupted stream may wait for a group for over a second."""
        call = fakes.Call()
        state = call.runtime.state
        exchange = _streaming.StreamExchange(typing.cast(typing.Any, call))
        exchange._executed_attempts = 1
        target = hostile_targets.broken_off(head(CHUNKED), False)
        run = asyncio.create_task(exchange.run())
        await asyncio.sleep(0.1)
        state.quarantine.add(quarantine.Block(frozenset({"p"})))
        async with target.running():
            with mock.patch.object(
                state, "place_stream", return_value=place(target.address)
            ):
                await run
            self.assertFalse(target.closed.is_set())
        self.assertEqual([errors.ErrorKind.TARGET_FAILED], call.refusals)


class EvidenceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against evidence from attempts that show nothing."""

    async def end(self, *steps: tuple[bytes, float]) -> tuple[int, bool]:
        """Return the weight of a stream and whether its part is sound.

        The target sends each step's bytes, waits, and then crashes.
        """

        async def send(writer: asyncio.StreamWriter) -> None:
            for data, pause_s in steps:
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(pause_s)
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

        target = hostile_targets.HostileTarget(send)
        stream, result, call = await attempt(target)
        is_sound = call.runtime.state.evidence.sound_ms("p") is not None
        return stream.crash_weight(result), is_sound

    async def test_weight_by_phase(self) -> None:
        """An answer that had begun weighs most, one that settled nothing."""
        begin = head(CHUNKED)
        settled_s = quarantine.SETTLED_MS / 1_000 + 0.1
        events = [chunk(EVENT.replace(b"1", b"%d" % n)) for n in (1, 2)]
        self.assertEqual((1, False), await self.end((b"", 0.05)))
        self.assertEqual((2, False), await self.end((begin, 0.05)))
        self.assertEqual((1, False), await self.end((begin + events[0], 0.05)))
        self.assertEqual(
            (0, True),
            await self.end((begin + events[0], settled_s), (events[1], 0.05)),
        )

    async def test_complete_answer_makes_its_parts_sound(self) -> None:
        """Without a length or chunks, a crash could have ended it."""
        whole = head(CHUNKED) + chunk(EVENT) + b"0\r\n\r\n"
        for data, expected in ((whole, True), (head(b"") + EVENT, False)):
            target = hostile_targets.broken_off(data, False)
            stream, result, call = await attempt(target)
            evidence = call.runtime.state.evidence
            self.assertEqual(expected, evidence.sound_ms("p") is not None)
            self.assertEqual(0, stream.crash_weight(result))

    async def test_refusal_and_garbage_are_no_evidence(self) -> None:
        """The target did not end."""
        for data in (
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            head(CHUNKED) + chunk(b"x" * (_events.MAX_EVENT_BYTES + 1)),
        ):
            target = hostile_targets.broken_off(data, False)
            stream, result, _ = await attempt(target)
            self.assertEqual(0, stream.crash_weight(result))


if __name__ == "__main__":
    unittest.main()
