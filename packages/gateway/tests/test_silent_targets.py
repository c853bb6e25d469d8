"""Tests of requests to sound targets that fall silent and go on."""

import asyncio
import collections.abc
import contextlib
import typing
import unittest
from unittest import mock

import attrs
import fakes
import hostile_targets

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import placing
from quetzalward_gateway import _crash_guard
from quetzalward_gateway import _plain
from quetzalward_gateway import _state
from quetzalward_gateway import _streaming

SILENCE_S = 1.2
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
NO_GROUP = placing.Refusal("no group has room", 300)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def chunks(first: int, last: int) -> bytes:
    """Return some events of a stream, each as one chunk."""
    parts = (event(n) for n in range(first, last + 1))
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)


END = b"0\r\n\r\n"
WHOLE = b"".join(event(n) for n in range(1, 5))


def scripted(*steps: tuple[bytes, float]) -> hostile_targets.HostileTarget:
    """Return a target that sends each step's bytes and then waits."""

    async def send(writer: asyncio.StreamWriter) -> None:
        for data, pause_s in steps:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(pause_s)

    return hostile_targets.HostileTarget(send)


def place(number: int, address: fleet.Address) -> _state.StreamPlacement:
    """Return a group whose head has an address."""
    return _state.StreamPlacement(
        _state.OpenGroup(
            coordination.GroupEntry(f"g{number}", 1, "m", f"t{number}"),
            fleet.Target(f"t{number}", "s", address, "z", False, 0, 1),
        ),
        0.0,
        0.0,
        None,
        fakes.engine(),
        fleet.Model("m", 1, 1.0, 1.0, 1_000, 100),
        ("s", "m"),
    )


async def stream(
    targets: collections.abc.Sequence[hostile_targets.HostileTarget],
    max_attempts: int,
) -> fakes.Call:
    """Send a stream to one target after another, until none is left."""
    call = fakes.Call()
    call.route = attrs.evolve(
        call.route,
        kind=fleet.RequestKind.IDEMPOTENT,
        max_attempts=max_attempts,
    )
    places: list[typing.Any] = []
    async with contextlib.AsyncExitStack() as stack:
        for number, target in enumerate(targets):
            await stack.enter_async_context(target.running())
            places.append(place(number, target.address))
        with mock.patch.object(
            call.runtime.state,
            "place_stream",
            side_effect=lambda *_: places.pop(0) if places else NO_GROUP,
        ):
            exchange = _streaming.StreamExchange(typing.cast(typing.Any, call))
            await exchange.run()
    return call


class MaxAttemptsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against more executions than a route allows."""

    async def run_twice(self, ends: bool, max_attempts: int) -> bool:
        """Tell whether a stream that breaks off is sent to a second target.

        With `ends`, the first target ends with its connection.
        """
        first = hostile_targets.broken_off(HEAD + chunks(1, 2), True)
        second = scripted((HEAD + chunks(3, 4) + END, 0))
        with mock.patch.object(
            _streaming, "_has_ended", mock.AsyncMock(return_value=ends)
        ):
            call = await stream([first, second], max_attempts)
        self.assertEqual(call.responder.aborted, not second.closed.is_set())
        return second.closed.is_set()

    async def test_target_that_goes_on_counts(self) -> None:
        """It broke off one answer, and the route allows one attempt."""
        self.assertFalse(await self.run_twice(False, 1))
        self.assertTrue(await self.run_twice(False, 2))

    async def test_target_that_has_ended_does_not_count(self) -> None:
        """The stream goes on at another one."""
        self.assertTrue(await self.run_twice(True, 1))

    async def test_end_is_told_by_a_new_connection(self) -> None:
        """A broken connection alone does not show it."""
        target = hostile_targets.broken_off(HEAD, True)
        async with target.running():
            entry = place(0, target.address).group.head
            self.assertFalse(await _streaming._has_ended(entry))
        await asyncio.sleep(0)
        self.assertTrue(await _streaming._has_ended(entry))


class SilentStreamTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers cut off because a sound target was silent."""

    def check_whole(self, call: fakes.Call) -> None:
        """Check that the caller got each event once, and the end."""
        self.assertFalse(call.responder.aborted)
        self.assertEqual([], call.refusals)
        self.assertEqual(WHOLE, call.responder.body)
        self.assertTrue(call.responder.finished)

    async def test_stream_goes_on_after_a_silence(self) -> None:
        """Its route allows no second attempt."""
        target = scripted(
            (HEAD + chunks(1, 2), SILENCE_S), (chunks(3, 4) + END, 0)
        )
        self.check_whole(await stream([target], 1))

    async def test_stream_begins_after_a_silence(self) -> None:
        """No event has arrived when the silence begins."""
        target = scripted((b"", SILENCE_S), (HEAD + chunks(1, 4) + END, 0))
        self.check_whole(await stream([target], 1))

    async def test_silent_target_is_kept_while_no_other_has_room(self) -> None:
        """A second attempt is allowed, but there is no place for it."""
        target = scripted(
            (HEAD + chunks(1, 2), 2 * SILENCE_S), (chunks(3, 4) + END, 0)
        )
        self.check_whole(await stream([target], 2))

    async def test_silent_target_is_kept_while_the_other_one_fails(
        self,
    ) -> None:
        """The other target breaks off, refuses, or is silent as well."""
        refusal = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        for other in (
            scripted((HEAD, 0)),
            scripted((refusal, 0)),
            scripted((HEAD, 3 * SILENCE_S)),
        ):
            first = scripted(
                (HEAD + chunks(1, 2), 1.5 * SILENCE_S),
                (chunks(3, 4) + END, 0),
            )
            self.check_whole(await stream([first, other], 2))

    async def test_first_new_event_decides_between_two_targets(self) -> None:
        """The other attempt is given up, and nothing comes twice."""
        silent = scripted(
            (HEAD + chunks(1, 2), 3 * SILENCE_S), (chunks(3, 4) + END, 0)
        )
        other = scripted((HEAD + chunks(3, 4) + END, 0))
        self.check_whole(await stream([silent, other], 2))
        resumed = scripted(
            (HEAD + chunks(1, 2), SILENCE_S),
            (chunks(3, 3), 0.3),
            (chunks(4, 4) + END, 0),
        )
        late = scripted((HEAD, SILENCE_S), (chunks(3, 4) + END, 3.0))
        self.check_whole(await stream([resumed, late], 2))

    async def test_attempt_that_skips_an_event_takes_none_from_the_other(
        self,
    ) -> None:
        """Events before the gap were dropped as duplicates of the other."""
        gap = event(3) + event(5)
        gap_chunk = b"%x\r\n%s\r\n" % (len(gap), gap)
        self.check_whole(
            await stream(
                [
                    scripted(
                        (HEAD + chunks(1, 2), SILENCE_S),
                        (chunks(3, 4) + END, 0),
                    ),
                    scripted((HEAD + gap_chunk, 0)),
                ],
                2,
            )
        )
        self.check_whole(
            await stream(
                [
                    scripted((HEAD + chunks(1, 2), 1.0), (gap_chunk, 0)),
                    scripted((HEAD, 0.9), (chunks(3, 4) + END, 0)),
                ],
                2,
            )
        )

    async def test_prompt_under_suspicion_is_not_sent_again(self) -> None:
        """It may crash a second target."""
        other = scripted((HEAD, 0))
        silent = scripted((HEAD, SILENCE_S), (chunks(1, 4) + END, 0))
        with mock.patch.object(
            _crash_guard.CrashGuard, "is_suspect", return_value=True
        ):
            self.check_whole(await stream([silent, other], 2))
        self.assertFalse(other.closed.is_set())

    async def test_group_is_used_again_after_its_stream_moved(self) -> None:
        """Only its own events ended the suspicion, and it got no request."""
        silent = scripted((HEAD + chunks(1, 2), 3 * SILENCE_S))
        other = scripted((HEAD + chunks(3, 4) + END, 0))
        call = await stream([silent, other], 2)
        state, now_ms = call.runtime.state, call.runtime.now_ms()
        load = state.load_of(("g0", 1))
        self.assertTrue(load.suspected)
        entry = coordination.GroupEntry("g0", 1, "m", "t0")
        groups = coordination.GroupList(1, (entry,), ())
        view = coordination.View(
            "a", 1, "", now_ms, 1, True, 1, groups, (), ()
        )
        state.apply_view(view, now_ms + 1_000)
        self.assertTrue(load.suspected)
        state.apply_view(view, now_ms + 3_000)
        self.assertFalse(load.suspected)

    async def test_silence_is_no_evidence_of_a_crash(self) -> None:
        """Otherwise sound prompts are blocked when targets stand still."""
        target = scripted(
            (HEAD + chunks(1, 2), SILENCE_S), (chunks(3, 4) + END, 0)
        )
        call = await stream([target], 1)
        self.assertEqual([], call.runtime.state.evidence.crashes_since(0))


class SilentPlainTargetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers given up while their target was silent."""

    async def send(
        self, *targets: hostile_targets.HostileTarget | None
    ) -> fakes.Call:
        """Send a repeatable request before some targets.

        The search for a target fails once in place of `None`.
        """
        call = fakes.Call()
        call.route = attrs.evolve(
            call.route, kind=fleet.RequestKind.IDEMPOTENT, max_attempts=2
        )
        call.service = fleet.Service("s", "/", 0, 0.0)
        places: list[typing.Any] = []
        async with contextlib.AsyncExitStack() as stack:
            for number, target in enumerate(targets):
                if target is None:
                    places.append(NO_GROUP)
                    continue
                await stack.enter_async_context(target.running())
                places.append(place(number, target.address).group.head)
            with mock.patch.object(
                call.runtime.state,
                "place_plain",
                side_effect=lambda *_: places.pop(0) if places else NO_GROUP,
            ):
                await _plain.run(typing.cast(typing.Any, call))
        return call

    async def test_answer_after_a_silence_is_forwarded(self) -> None:
        """No other target can be chosen."""
        call = await self.send(
            scripted((b"", SILENCE_S), (ANSWER % (2, b"ok"), 0))
        )
        self.assertEqual(b"ok", call.responder.body)
        self.assertEqual([], call.refusals)

    async def test_first_answer_counts(self) -> None:
        """A silent target may still answer before the one tried next."""
        for first_s, second_s, expected in (
            (SILENCE_S, 3.0, b"a"),
            (3.0, SILENCE_S, b"b"),
        ):
            call = await self.send(
                scripted((b"", first_s), (ANSWER % (1, b"a"), 0)),
                scripted((b"", second_s), (ANSWER % (1, b"b"), 0)),
            )
            self.assertEqual(expected, call.responder.body)

    async def test_target_that_is_free_later_is_asked(self) -> None:
        """None was left when the first one was slow; then that one fails."""
        refusal = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        for data in (b"HTTP/1.1", refusal):
            call = await self.send(
                scripted((b"", 0.5 * SILENCE_S), (data, 0)),
                None,
                scripted((ANSWER % (1, b"b"), 0)),
            )
            self.assertEqual(b"b", call.responder.body)
            self.assertEqual([], call.refusals)

    async def test_failure_of_the_second_target_does_not_end_the_request(
        self,
    ) -> None:
        """It breaks off, or answers with an error."""
        error = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
        for data in (b"HTTP/1.1 200", error):
            call = await self.send(
                scripted((b"", SILENCE_S), (ANSWER % (1, b"a"), 0)),
                scripted((data, 0)),
            )
            self.assertEqual(b"a", call.responder.body)
            self.assertEqual([], call.refusals)


if __name__ == "__main__":
    unittest.main()
