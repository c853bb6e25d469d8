"""Tests of streams from services without engines, through connections."""

import asyncio
import contextlib
import typing
import unittest
from unittest import mock

import attrs
import fakes
import hostile_targets

from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import quarantine
from quetzalward_gateway import _exchange
from quetzalward_gateway import _http

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
WHOLE = b"".join(EVENTS)


class Call(fakes.Call):
    """A request to a service without an engine."""

    def __init__(self, kind: fleet.RequestKind, last_event_id: str | None):
        """Take the kind of the route, and where the caller goes on."""
        super().__init__()
        self.service = fleet.Service("s", "/", 0, 0.0)
        self.route = fakes.route(kind)
        self.request = attrs.evolve(self.request, last_event_id=last_event_id)
        self.asked_from: list[str | None] = []

    def target_headers(
        self, target: fleet.Target, last_event_id: str | None
    ) -> _http.Headers:
        """Record which event the target is to go on behind."""
        self.asked_from.append(last_event_id)
        return super().target_headers(target, last_event_id)


class PlainStreamTest(unittest.IsolatedAsyncioTestCase):
    """Guards against streams that break off and look complete.

    The service decided how an answer was read: without an engine it was
    buffered, its events were not looked at, and any close was its end.
    """

    async def serve(
        self,
        *targets: hostile_targets.HostileTarget,
        kind: fleet.RequestKind = fleet.RequestKind.STREAMING,
        last_event_id: str | None = None,
    ) -> Call:
        """Return a call that was served by a service with these targets."""
        call = Call(kind, last_event_id)
        async with contextlib.AsyncExitStack() as stack:
            for number, target in enumerate(targets):
                await stack.enter_async_context(target.running())
                entry = fleet.Target(
                    f"t{number}", "s", target.address, "z", False, 0, number
                )
                call.runtime.state.directory.put(entry, 0)
            await _exchange.serve(typing.cast(typing.Any, call))
        return call

    async def test_stream_that_ends_within_an_event_is_resumed(self) -> None:
        """The end of the connection, clean or not, is not that of the body."""
        for is_reset in (False, True):
            with self.subTest(is_reset=is_reset):
                broken = HEAD + EVENTS[0] + EVENTS[1] + EVENTS[2][:7]
                left = b"".join(EVENTS[2:])
                parts = [broken, HEAD + left]
                call = await self.serve(*(served_in_turn(parts, is_reset)))
                self.assertEqual([None, "2"], call.asked_from)
                self.assertEqual(WHOLE, call.responder.body)
                self.assertTrue(call.responder.finished)

    async def test_stream_that_nobody_completes_does_not_look_complete(
        self,
    ) -> None:
        """Neither where it had begun nor where it had not."""
        for data in (HEAD + EVENTS[0] + EVENTS[1][:7], HEAD + EVENTS[0][:7]):
            with self.subTest(data=data):
                call = await self.serve(
                    hostile_targets.broken_off(data, False),
                    hostile_targets.broken_off(data, False),
                )
                self.assertFalse(call.responder.finished)
                self.assertTrue(
                    call.responder.aborted
                    or call.refusals == [errors.ErrorKind.TARGET_FAILED]
                )

    async def test_answer_of_another_kind_of_route(self) -> None:
        """Events that are forwarded as a whole end with an event, too."""
        cut = HEAD + EVENTS[0] + EVENTS[1][:7]
        for data, is_whole in ((HEAD + WHOLE, True), (cut, False)):
            with self.subTest(data=data):
                call = await self.serve(
                    hostile_targets.broken_off(data, False),
                    kind=fleet.RequestKind.NON_IDEMPOTENT,
                )
                self.assertIs(is_whole, call.responder.finished)

    async def test_events_are_forwarded_as_they_come(self) -> None:
        """They were held back until the answer ended."""
        is_forwarded = asyncio.Event()

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + EVENTS[0])
            async with asyncio.timeout(3.0):
                await is_forwarded.wait()
            writer.write(b"".join(EVENTS[1:]))
            await writer.drain()
            writer.close()

        class Responder(fakes.Responder):
            async def send_chunk(self, data: bytes) -> None:
                await super().send_chunk(data)
                is_forwarded.set()

        with mock.patch.object(fakes, "Responder", Responder):
            call = await self.serve(hostile_targets.HostileTarget(send))
        self.assertEqual(WHOLE, call.responder.body)
        self.assertTrue(call.responder.finished)

    async def test_caller_that_resumes_gets_the_rest(self) -> None:
        """The id of its last event reaches the target with the request."""
        for kind in fleet.RequestKind:
            with self.subTest(kind=kind):
                rest = HEAD + b"".join(EVENTS[2:])
                call = await self.serve(
                    hostile_targets.broken_off(rest, False),
                    kind=kind,
                    last_event_id="2",
                )
                self.assertEqual(["2"], call.asked_from)
                self.assertEqual(b"".join(EVENTS[2:]), call.responder.body)

    async def test_prompts_that_crash_models_are_served(self) -> None:
        """A service without a model neither blocks a part nor clears it."""
        whole = hostile_targets.broken_off(HEAD + WHOLE, False)
        block = quarantine.Block(frozenset({"p"}))
        with (
            mock.patch.object(quarantine.Quarantine, "blocks", [block]),
            mock.patch.object(
                quarantine.Quarantine,
                "blocking",
                lambda _, traits: block if "p" in traits else None,
            ),
        ):
            call = await self.serve(whole)
        self.assertEqual(WHOLE, call.responder.body)
        framed = WHOLE.join(
            [
                HEAD.replace(b"\r\n\r\n", b"\r\nContent-Length: %d\r\n\r\n")
                % len(WHOLE),
                b"",
            ]
        )
        for data in (HEAD + WHOLE, framed):
            call = await self.serve(hostile_targets.broken_off(data, False))
            self.assertTrue(call.responder.finished)
            evidence = call.runtime.state.evidence
            self.assertIsNone(evidence.sound_ms("p"))
        (request,) = call.crash_guard.traits
        self.assertIsNotNone(evidence.sound_ms(request))

    async def test_latency_is_that_of_the_whole_stream(self) -> None:
        """By the time to the first event, one target of two got all."""

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + EVENTS[0])
            await asyncio.sleep(0.4)
            await hostile_targets.broken_off(EVENTS[1], False).script(writer)

        call = await self.serve(hostile_targets.HostileTarget(send))
        # A quarter of the first latency counts, above the assumed one.
        outcomes = call.runtime.state.outcomes
        self.assertGreater(outcomes.latency_ms("t0"), 100.0)

    async def test_failures_count_for_the_choice_of_targets(self) -> None:
        """A target that breaks off streams gets fewer requests."""
        call = await self.serve(
            hostile_targets.broken_off(HEAD + EVENTS[0][:7], False)
        )
        outcomes = call.runtime.state.outcomes
        self.assertEqual(0, outcomes.in_flight("t0"))
        now_ms = call.runtime.now_ms()
        self.assertGreater(
            outcomes.cost_ms("t0", 1, 1, now_ms), outcomes.latency_ms("t0")
        )


def served_in_turn(
    answers: list[bytes], is_reset: bool
) -> list[hostile_targets.HostileTarget]:
    """Return as many targets, of which any sends the next answer.

    All answers but the last break off, with a reset if `is_reset`.
    """
    left = list(answers)

    async def send(writer: asyncio.StreamWriter) -> None:
        data = left.pop(0)
        target = hostile_targets.broken_off(data, is_reset and bool(left))
        await target.script(writer)

    return [hostile_targets.HostileTarget(send) for _ in answers]


if __name__ == "__main__":
    unittest.main()
