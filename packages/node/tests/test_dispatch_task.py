"""Tests of the dispatch task's threads, messages and services."""

import concurrent.futures
import queue
import random
import threading
import time
import typing
import unittest

import attrs

import fakes
from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import testing
from quetzalward_node import dispatch
from quetzalward_node.dispatch import _messages
from quetzalward_node import interfaces

OK = interfaces.AttemptReport(interfaces.AttemptResult.OK, 10, 20.0, 30.0)
# Longer than any wait of a correct run; only a failing one waits this long.
TIMEOUT_S = 30.0
# Requests that a target with 4 slots accepts: its queue holds a quarter more.
TARGET_CAPACITY = 5


class ReplySlotTest(unittest.TestCase):
    """Guards against a grant for a thread that stopped waiting."""

    def test_offer_after_close_is_refused(self) -> None:
        slot: _messages.ReplySlot[int] = _messages.ReplySlot()
        self.assertIsNone(slot.wait(0))
        self.assertFalse(slot.offer(1))

    def test_first_offer_wins(self) -> None:
        slot: _messages.ReplySlot[int] = _messages.ReplySlot()
        self.assertTrue(slot.offer(1))
        self.assertFalse(slot.offer(2))
        self.assertEqual(slot.wait(0), 1)


class TaskCase(unittest.TestCase):
    """Runs a task over one group with room for four requests."""

    def setUp(self) -> None:
        self.group = testing.make_group()
        self.control = fakes.ControlSource(fakes.make_control([self.group]))
        self.demands = fakes.DemandExchange()
        self.doubts: queue.Queue[str] = queue.Queue()
        self.clock = clock.SystemClock()
        self.task = dispatch.DispatchTask(
            "n1",
            "z1",
            self.control,
            self.demands,
            self.clock,
            random.Random(1),
            self.doubts.put,
        )
        self.task.start()
        self.addCleanup(self.task.stop)
        self.publish()

    def publish(self, bearable: int = 4) -> None:
        # Dated ahead, so that the report does not expire during the test.
        now_ms = self.clock.now_ms() + 600_000
        report = testing.make_report(self.group, now_ms, bearable=bearable)
        view = interfaces.TargetsView(
            frozenset({"g1"}),
            {"g1": report},
            {"g1": "http://g1"},
            testing.make_host_list([self.group], now_ms),
        )
        self.task.publish_targets(view, ())

    def request(self, number: int, wait_ms: int = 30_000) -> typing.Any:
        deadline_ms = self.clock.now_ms() + wait_ms
        return fakes.make_request(number, deadline_ms=deadline_ms)


class AcquireTest(TaskCase):
    """Guards against leaked grants and endless waits."""

    def test_many_threads_share_few_slots(self) -> None:
        lock = threading.Lock()
        active: set[int] = set()
        max_active = 0

        def run(number: int) -> None:
            nonlocal max_active
            grant = self.task.acquire(self.request(number))
            with lock:
                active.add(number)
                max_active = max(max_active, len(active))
            with lock:
                active.remove(number)
            self.task.release(grant, OK)
            self.task.finish(grant.request_id)

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            list(pool.map(run, range(80), timeout=TIMEOUT_S))
        self.assertLessEqual(max_active, 4)
        # All slots are free again, so four grants come without a release.
        for number in range(100, 104):
            self.task.acquire(self.request(number))

    def test_deadline_ends_the_wait_without_a_leak(self) -> None:
        grants = [
            self.task.acquire(self.request(n)) for n in range(TARGET_CAPACITY)
        ]
        with self.assertRaises(errors.QuetzalwardError) as caught:
            self.task.acquire(self.request(9, wait_ms=100))
        self.assertIs(
            caught.exception.kind, errors.ErrorKind.DEADLINE_UNREACHABLE
        )
        self.task.release(grants[0], OK)
        self.assertEqual(self.task.acquire(self.request(10)).target_id, "g1")

    def test_grant_for_a_timed_out_thread_is_released(self) -> None:
        for number in range(8):
            reply: _messages.ReplySlot[typing.Any] = _messages.ReplySlot()
            reply.wait(0)
            message = _messages.Acquire(
                1_000 + number, self.request(number), reply
            )
            self.task._mailbox.put(message)
        for number in range(10, 10 + TARGET_CAPACITY):
            self.task.acquire(self.request(number))

    def test_stopping_node_rejects_drafts_and_serves_retries(self) -> None:
        self.task.stop_admission()
        with self.assertRaises(errors.QuetzalwardError) as caught:
            self.task.acquire(self.request(1))
        self.assertIs(caught.exception.kind, errors.ErrorKind.NODE_STOPPING)
        retry = attrs.evolve(self.request(2), attempt=2)
        self.assertEqual(self.task.acquire(retry).attempt, 2)

    def test_stop_answers_waiting_threads(self) -> None:
        for number in range(TARGET_CAPACITY):
            self.task.acquire(self.request(number))
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.task.acquire, self.request(9))
            for _ in range(3_000):
                if self.task._waiting_by_ticket:
                    break
                time.sleep(0.01)
            self.task.stop()
            with self.assertRaises(errors.QuetzalwardError) as caught:
                waiting.result(TIMEOUT_S)
        self.assertIs(caught.exception.kind, errors.ErrorKind.NODE_STOPPING)

    def test_exception_in_a_message_handler_answers_not_run(self) -> None:
        broken = attrs.evolve(self.request(1), prompt=None)
        with self.assertRaises(errors.QuetzalwardError) as caught:
            self.task.acquire(broken)
        self.assertIs(caught.exception.kind, errors.ErrorKind.INTERNAL)
        self.assertIs(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.task.acquire(self.request(2))
        self.assertEqual(self.task._state.customers.in_use("small"), 1)

    def test_retry_budget_is_bounded(self) -> None:
        allowed = [self.task.may_retry() for _ in range(50)]
        self.assertEqual(sum(allowed), 10)


class DoubtTest(TaskCase):
    """Guards against evidence of a cold target that nodes do not share."""

    def test_failed_attempt_is_announced(self) -> None:
        grant = self.task.acquire(self.request(1))
        broken = interfaces.AttemptReport(interfaces.AttemptResult.FAILED)
        self.task.release(grant, broken)
        self.assertEqual("g1", self.doubts.get(timeout=TIMEOUT_S))

    def test_doubt_of_another_node_stops_grants(self) -> None:
        # A report of the current time; the fixture's is dated ahead.
        now_ms = self.clock.now_ms()
        self.task.doubt_target("g1")
        report = testing.make_report(self.group, now_ms, bearable=4)
        self.task.publish_targets(
            interfaces.TargetsView(
                frozenset({"g1"}),
                {"g1": report},
                {"g1": "http://g1"},
                testing.make_host_list([self.group], now_ms),
            ),
            (),
        )
        with self.assertRaises(errors.QuetzalwardError):
            self.task.acquire(self.request(1, wait_ms=200))
        self.publish()
        self.assertEqual("g1", self.task.acquire(self.request(2)).target_id)


class ServiceTest(TaskCase):
    """Guards the selection of service replicas."""

    def setUp(self) -> None:
        super().setUp()
        targets = tuple(
            config.ServiceTarget(f"http://s{n}", zone)
            for n, zone in enumerate(fakes.ZONES)
        )
        before = self.control.current.configuration
        self.control.set(
            configuration=attrs.evolve(
                before, services={"booking": config.Service(targets)}
            )
        )
        self.router = dispatch.ServiceRouting(self.task)

    def call(self, *excluded: str) -> interfaces.ServiceCall:
        return interfaces.ServiceCall(
            "c1", "small", "booking", frozenset(excluded)
        )

    def kind(self, call: interfaces.ServiceCall) -> errors.ErrorKind:
        with self.assertRaises(errors.QuetzalwardError) as caught:
            self.router.choose(call)
        return caught.exception.kind

    def test_calls_spread_over_replicas(self) -> None:
        urls = {self.router.choose(self.call()).url for _ in range(9)}
        self.assertEqual(urls, {"http://s0", "http://s1", "http://s2"})

    def test_zone_out_of_service_and_excluded_replicas_get_no_calls(
        self,
    ) -> None:
        self.control.set(zones_out=frozenset({"z1"}))
        grant = self.router.choose(self.call("http://s1"))
        self.assertEqual(grant.url, "http://s2")
        no_target = errors.ErrorKind.NO_TARGET
        self.assertIs(
            self.kind(self.call("http://s1", "http://s2")), no_target
        )

    def test_rejected_calls(self) -> None:
        unknown = attrs.evolve(self.call(), service="x")
        self.assertIs(self.kind(unknown), errors.ErrorKind.UNKNOWN_SERVICE)
        self.control.set(isolated=True)
        self.assertIs(self.kind(self.call()), errors.ErrorKind.NODE_ISOLATED)

    def test_failing_replica_is_ejected(self) -> None:
        failed = interfaces.AttemptReport(interfaces.AttemptResult.FAILED)
        for _ in range(3):
            grant = self.router.choose(self.call("http://s1", "http://s2"))
            self.assertEqual(grant.url, "http://s0")
            self.router.release(grant, failed)
        urls = {self.router.choose(self.call()).url for _ in range(9)}
        self.assertEqual(urls, {"http://s1", "http://s2"})

    def test_hedging_delay_follows_answer_times(self) -> None:
        self.assertIsNone(self.router.hedge_after_ms("booking", True))
        for _ in range(30):
            grant = self.router.choose(self.call())
            self.router.release(grant, OK)
        self.assertEqual(self.router.hedge_after_ms("booking", True), 20.0)
        self.assertIsNone(self.router.hedge_after_ms("booking", False))
