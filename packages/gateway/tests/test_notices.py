"""Tests of what follows when a target says that it leaves or rests."""

import asyncio
import random
import typing
import unittest
from unittest import mock

import attrs
import fakes
import hostile_targets

from quetzalward_core import coordination
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_core import limits
from quetzalward_core import notices
from quetzalward_core import placing
from quetzalward_gateway import _attempts
from quetzalward_gateway import _channel
from quetzalward_gateway import _commands
from quetzalward_gateway import _events
from quetzalward_gateway import _group_control
from quetzalward_gateway import _node_reports
from quetzalward_gateway import _permit_wait
from quetzalward_gateway import _places
from quetzalward_gateway import _plain
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _state
from quetzalward_gateway import _stream_attempt

NOW_MS = 100_000
POOL = ("s", "")
# That of a target without answers.
LATENCY_MS = 60.0
SERVICE = fleet.Service("s", "/", 0, 0.0)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REST = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Retry-After: 30\r\n\r\n"
)
LEAVING = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nServer-Leaving: 1\r\n\r\nok"
)
BOTH = notices.TargetNotice(True, 2_000)


def target(target_id: str, **changes: typing.Any) -> fleet.Target:
    """Return a plain target."""
    entry = fleet.Target(target_id, "s", fakes.ADDRESS, "z", False, 0, 7)
    return attrs.evolve(entry, **changes)


def answer(**changes: typing.Any) -> _ports.TargetAnswer:
    """Return a refusal that has both notices."""
    refusal = _ports.TargetAnswer(
        503, True, True, b"r", None, False, limits.LimitNotice(None), [], BOTH
    )
    return attrs.evolve(refusal, **changes)


class OwnAnswerTest(unittest.TestCase):
    """Guards against notices that are believed of the wrong target."""

    @staticmethod
    def notice(**changes: typing.Any) -> notices.TargetNotice | None:
        """Return what counts of an answer."""
        request = fakes.Call(b"r").request
        return _attempts.target_notice(request, answer(**changes))

    def test_own_answers_count(self) -> None:
        """A refusal needs no seal, a sealed answer no attempt id."""
        for changes in ({}, {"sealed": False}, {"attempt_id": None}):
            self.assertEqual(BOTH, self.notice(**changes), changes)
        self.assertEqual(BOTH, self.notice(not_executed=False))

    def test_answers_of_others_count_for_nothing(self) -> None:
        """Another target answers at the address, or to another request."""
        self.assertIsNone(self.notice(status=421))
        self.assertIsNone(self.notice(attempt_id=b"other"))

    def test_unsealed_answer_ends_no_target_for_good(self) -> None:
        """A rest passes by itself, and is believed."""
        self.assertEqual(
            notices.TargetNotice(False, 2_000),
            self.notice(sealed=False, not_executed=False),
        )

    def test_only_a_503_asks_for_rest(self) -> None:
        """Success, errors and streams may still say that a target leaves."""
        for status in (200, 429, 500, 504):
            self.assertEqual(
                notices.TargetNotice(True, None), self.notice(status=status)
            )


class ObserveTest(unittest.TestCase):
    """Guards against notices that are not logged, or too often."""

    def setUp(self) -> None:
        """Know one target."""
        self.runtime = fakes.Runtime()

    def observe(self, notice: notices.TargetNotice) -> None:
        """Receive a notice of a target."""
        _runtime.observe_notice(
            typing.cast(typing.Any, self.runtime), ("t1", 7), notice
        )

    def test_each_change_has_one_line(self) -> None:
        """A leaving target says so in all its answers."""
        for _ in range(3):
            self.observe(BOTH)
        self.assertEqual(
            ["target_leaving", "target_resting"], self.runtime.log.names
        )

    def test_coordinator_is_told_to_ask_a_leaving_target(self) -> None:
        """At once, and once; a target at rest is not reported."""
        state = self.runtime.state
        self.observe(notices.TargetNotice(False, 1_000))
        status = state.take_status(1, coordination.Known(), 0, 0)
        self.assertEqual((), status.suspects)
        self.assertFalse(state.send_message_now)
        self.observe(BOTH)
        self.assertTrue(state.send_message_now)
        for suspects in (("t1",), ()):
            status = state.take_status(1, coordination.Known(), 0, 0)
            self.assertEqual(suspects, status.suspects)
            self.observe(BOTH)

    def test_missing_header_does_not_end_leaving(self) -> None:
        """An answer that was under way may be older."""
        self.observe(BOTH)
        self.observe(notices.TargetNotice())
        self.assertFalse(self.runtime.state.is_usable(target("t1"), NOW_MS))

    def test_unreadable_and_huge_values_are_logged_only(self) -> None:
        """They change nothing."""
        huge = notices.TargetNotice(False, notices.MAX_REST_MS + 1)
        self.observe(huge)
        self.observe(notices.TargetNotice(False, None, ("retry-after: -1",)))
        self.assertEqual(["notice_unreadable"] * 2, self.runtime.log.names)
        self.assertTrue(self.runtime.state.is_usable(target("t1"), NOW_MS))


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests to targets that leave or rest."""

    def setUp(self) -> None:
        """Know two targets."""
        self.state = fakes.Runtime().state
        self.targets = [target("t1"), target("t2")]
        for entry in self.targets:
            self.state.directory.put(entry, 0)

    def place(self, now_ms: int = NOW_MS) -> fleet.Target | placing.Refusal:
        """Choose a target."""
        return self.state.place_plain(SERVICE, set(), now_ms)

    def rest(self, target_id: str, rest_ms: int) -> None:
        """Let a target rest."""
        self.state.notices.observe_rest((target_id, 7), rest_ms, NOW_MS)

    def test_others_take_the_requests(self) -> None:
        """Whether the target leaves or rests."""
        self.state.notices.observe_leaving(("t1", 7))
        self.assertEqual("t2", typing.cast(fleet.Target, self.place()).id)
        self.rest("t2", 1_000)
        self.assertIsInstance(self.place(), placing.Refusal)
        self.assertIsInstance(self.place(NOW_MS + 1_000), fleet.Target)

    def test_refusal_names_the_earliest_end(self) -> None:
        """Callers return from then on, and not all at once."""
        for rest_ms in (2_000, 7_200_000):
            self.setUp()
            self.rest("t1", 2 * rest_ms)
            self.rest("t2", rest_ms)
            refusals = [self.place() for _ in range(20)]
            waits_ms = set()
            for refusal in refusals:
                assert isinstance(refusal, placing.Refusal)
                self.assertEqual(
                    refusal, self.state.final_refusal(refusal, POOL, NOW_MS)
                )
                self.assertIn("resting", refusal.reason)
                waits_ms.add(refusal.retry_after_ms)
            self.assertGreaterEqual(min(waits_ms), rest_ms)
            self.assertLessEqual(
                max(waits_ms), rest_ms + placing.MAX_RETRY_AFTER_MS
            )
            self.assertGreater(len(waits_ms), 10)

    def test_target_that_was_tried_is_not_counted_as_resting(self) -> None:
        """The others rest, but it may take the next request."""
        self.rest("t2", 60_000)
        refusal = self.state.place_plain(SERVICE, {"t1"}, NOW_MS)
        assert isinstance(refusal, placing.Refusal)
        self.assertEqual(placing.MIN_RETRY_AFTER_MS, refusal.retry_after_ms)

    def test_groups_whose_head_leaves_or_rests_are_left_out(self) -> None:
        """The coordinator may still list them as open."""
        membership = fleet.Membership("g1.m", 3, 0, fleet.MemberState.OPEN)
        for entry in self.targets:
            head = attrs.evolve(entry, membership=membership)
            self.state.directory.put(head, 0)
        model = grouping.model_of("g1.m")
        self.assertEqual(2, len(self.state.open_groups("s", model, NOW_MS)))
        self.state.notices.observe_leaving(("t1", 7))
        self.rest("t2", 1_000)
        self.assertEqual([], self.state.open_groups("s", model, NOW_MS))

    async def test_request_that_waits_for_a_permit_goes_elsewhere(
        self,
    ) -> None:
        """The target that it waits for leaves meanwhile."""
        call = fakes.Call()
        call.runtime.state = state = self.state
        now_ms = call.runtime.now_ms()
        for entry in self.targets:
            state.target_limits.observe(
                entry.key, POOL, limits.LimitNotice(0.0), now_ms, now_ms
            )
        state.target_limits.apply_list(
            [limits.ListedLimit(t.key, POOL, 0.0) for t in self.targets],
            now_ms,
        )

        def choose() -> fleet.Target | placing.Refusal:
            return state.place_plain(SERVICE, set(), call.runtime.now_ms())

        placed = asyncio.create_task(
            _permit_wait.place(typing.cast(typing.Any, call), POOL, choose)
        )
        await asyncio.sleep(0.05)
        for entry in self.targets:
            state.notices.observe_leaving(entry.key)
        async with asyncio.timeout(0.15):
            refusal = await placed
        assert isinstance(refusal, placing.Refusal)
        self.assertIn("leaving", refusal.reason)


class SendTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that reach a target after its notice."""

    async def asyncSetUp(self) -> None:
        """Listen as the only target of a service."""
        self.requests = 0
        self.answer = OK
        self.server = hostile_targets.HostileTarget(self.serve)
        await self.enterAsyncContext(self.server.running())
        self.runtime = fakes.Call().runtime
        self.runtime.state = _state.NodeState(
            attrs.evolve(fakes.settings(), nodes=1), random.Random(1)
        )
        self.target = target("t1", address=self.server.address)
        self.runtime.state.directory.put(self.target, 0)

    async def serve(self, writer: asyncio.StreamWriter) -> None:
        """Count a request and answer it."""
        self.requests += 1
        writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(0.05)

    async def send(self) -> fakes.Call:
        """Send a request that may be sent again."""
        call = fakes.Call()
        call.runtime, call.service = self.runtime, SERVICE
        call.route = attrs.evolve(
            call.route, kind=fleet.RequestKind.IDEMPOTENT, max_attempts=2
        )
        await _plain.run(typing.cast(typing.Any, call))
        return call

    async def test_nothing_follows_an_answer_that_asks_for_rest(self) -> None:
        """Callers are refused at once, and no retry is spent."""
        self.answer = REST
        with mock.patch.object(fakes.Call, "try_spend_retry") as spend:
            for _ in range(5):
                call = await self.send()
                self.assertEqual([errors.ErrorKind.NO_TARGET], call.refusals)
        spend.assert_not_called()
        self.assertEqual(1, self.requests)

    async def test_rest_does_not_count_as_a_failure(self) -> None:
        """A target would get no requests long after its rest."""
        self.answer = REST
        await self.send()
        state = self.runtime.state
        cost_ms = state.outcomes.cost_ms("t1", 1, 1, self.runtime.now_ms())
        self.assertLess(cost_ms, 2 * LATENCY_MS)
        status = state.take_status(1, coordination.Known(), 0, 0)
        self.assertEqual((), status.outcomes)

    async def test_nothing_follows_an_answer_that_says_leaving(self) -> None:
        """The answer itself reaches its caller."""
        self.answer = LEAVING
        call = await self.send()
        self.assertEqual(
            (200, b"ok"), (call.responder.status, call.responder.body)
        )
        call = await self.send()
        self.assertEqual([errors.ErrorKind.NO_TARGET], call.refusals)
        self.assertEqual(1, self.requests)
        self.assertIn("target_leaving", self.runtime.log.names)

    async def test_nothing_is_sent_if_the_target_leaves_while_connecting(
        self,
    ) -> None:
        """Another request received the notice meanwhile."""
        connect = _channel.connect

        async def connect_slowly(*args: typing.Any) -> _channel.Channel:
            channel = await connect(*args)
            self.runtime.state.notices.observe_leaving(self.target.key)
            return channel

        with mock.patch.object(_channel, "connect", connect_slowly):
            call = await self.send()
        self.assertEqual([errors.ErrorKind.NO_TARGET], call.refusals)
        self.assertEqual(0, self.requests)

    async def test_nothing_is_sent_if_the_entry_drains_while_connecting(
        self,
    ) -> None:
        """The present entry counts, not the one that was chosen."""
        connect = _channel.connect

        async def connect_slowly(*args: typing.Any) -> _channel.Channel:
            channel = await connect(*args)
            drained = attrs.evolve(self.target, draining=True)
            self.runtime.state.directory.put(drained, 0)
            return channel

        with mock.patch.object(_channel, "connect", connect_slowly):
            await self.send()
        self.assertEqual(0, self.requests)

    async def test_no_stream_is_sent_if_its_target_rests_meanwhile(
        self,
    ) -> None:
        """The attempt does not count as one that may have run."""
        call = fakes.Call()
        call.runtime = self.runtime
        state = self.runtime.state
        state.notices.observe_rest(
            self.target.key, 1_000, self.runtime.now_ms()
        )
        entry = coordination.GroupEntry("g", 1, "m", "t1")
        place = _state.StreamPlacement(
            _state.OpenGroup(entry, self.target),
            0.0,
            0.0,
            None,
            fakes.engine(),
            fleet.Model("m", 1, 1.0, 1.0, 1_000, 100),
            ("s", "m"),
        )
        attempt = _stream_attempt.StreamAttempt(
            typing.cast(typing.Any, call),
            _places.GroupPlace(state, place),
            _stream_attempt.StreamProgress(_events.EventSequence(), 0),
        )
        last = await attempt.run()
        self.assertIs(_attempts.Result.UNREACHABLE, last.result)
        self.assertEqual(0, self.requests)
        self.assertEqual(0, attempt.crash_weight(last))
        self.assertEqual(set(), state.suspects)

    async def test_report_of_a_leaving_target_counts(self) -> None:
        """It counts for the life of the target that the report names."""
        self.answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nServer-Leaving: 1\r\n"
            b"Retry-After: 9\r\n\r\n8"
        )
        coordinator = mock.Mock(spec=grouping.Coordinator)
        coordinator.address_of.return_value = self.server.address
        sender = _commands.CommandSender(typing.cast(typing.Any, self.runtime))
        await sender._send_probe(coordinator, grouping.Probe("t1"))
        state = self.runtime.state
        now_ms = self.runtime.now_ms()
        self.assertEqual(
            notices.Refused(notices.Reason.LEAVING),
            state.admits(attrs.evolve(self.target, born_ms=8), now_ms),
        )
        self.assertTrue(state.is_usable(self.target, now_ms))


class CoordinatorTest(unittest.TestCase):
    """Guards against groups that are formed of targets that leave."""

    def test_coordinator_sees_a_leaving_target_as_draining(self) -> None:
        """Its entry in the store may say so later, or never."""
        runtime = fakes.Runtime()
        entries = [target("t1"), target("t2")]
        for entry in entries:
            runtime.state.directory.put(entry, 0)
        runtime.state.notices.observe_leaving(entries[0].key)
        control = _group_control.GroupControl(
            typing.cast(typing.Any, runtime),
            fakes.settings(),
            mock.Mock(spec=_node_reports.NodeReports),
        )
        coordinator = mock.Mock(
            spec=grouping.Coordinator, host_by_id={}, group_by_name={}
        )
        control._update_targets("s", coordinator, NOW_MS)
        seen = {
            args.args[0].id: args.args[0].draining
            for args in coordinator.observe.call_args_list
        }
        self.assertEqual({"t1": True, "t2": False}, seen)


if __name__ == "__main__":
    unittest.main()
