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
# Far beyond any wait of a healthy run; only a fault uses it up.
PATIENCE_S = 30.0
# Requests that a target of 4 places takes: its queue holds a quarter more.
PLACES = 5


class ReplySlotTest(unittest.TestCase):
    """Guards against a grant that goes to a thread that gave up."""

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
        self.control = fakes.Control(fakes.make_control([self.group]))
        self.demands = fakes.Demands()
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
        # The report stays current however long the test takes.
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
    """Guards against leaked grants and waits without end."""

    def test_many_threads_share_few_slots(self) -> None:
        lock = threading.Lock()
        active: set[int] = set()
        most = 0

        def run(number: int) -> None:
            nonlocal most
            grant = self.task.acquire(self.request(number))
            with lock:
                active.add(number)
                most = max(most, len(active))
            with lock:
                active.remove(number)
            self.task.release(grant, OK)
            self.task.finish(grant.request_id)

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            list(pool.map(run, range(80), timeout=PATIENCE_S))
        self.assertLessEqual(most, 4)
        # All slots are free again, so four grants come without a release.
        for number in range(100, 104):
            self.task.acquire(self.request(number))

    def test_deadline_ends_the_wait_and_leaves_nothing(self) -> None:
        grants = [self.task.acquire(self.request(n)) for n in range(PLACES)]
        with self.assertRaises(errors.QuetzalwardError) as caught:
            self.task.acquire(self.request(9, wait_ms=100))
        self.assertIs(
            caught.exception.kind, errors.ErrorKind.DEADLINE_UNREACHABLE
        )
        self.task.release(grants[0], OK)
        self.assertEqual(self.task.acquire(self.request(10)).target_id, "g1")

    def test_grant_for_a_thread_that_gave_up_is_taken_back(self) -> None:
        for number in range(8):
            reply: _messages.ReplySlot[typing.Any] = _messages.ReplySlot()
            reply.wait(0)
            message = _messages.Acquire(
                1_000 + number, self.request(number), reply
            )
            self.task._mailbox.put(message)
        for number in range(10, 10 + PLACES):
            self.task.acquire(self.request(number))

    def test_stopping_node_refuses_and_still_serves_retries(self) -> None:
        self.task.stop_admission()
        with self.assertRaises(errors.QuetzalwardError) as caught:
            self.task.acquire(self.request(1))
        self.assertIs(caught.exception.kind, errors.ErrorKind.NODE_STOPPING)
        again = attrs.evolve(self.request(2), attempt=2)
        self.assertEqual(self.task.acquire(again).attempt, 2)

    def test_stop_answers_waiting_threads(self) -> None:
        for number in range(PLACES):
            self.task.acquire(self.request(number))
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.task.acquire, self.request(9))
            for _ in range(3_000):
                if self.task._replies:
                    break
                time.sleep(0.01)
            self.task.stop()
            with self.assertRaises(errors.QuetzalwardError) as caught:
                waiting.result(PATIENCE_S)
        self.assertIs(caught.exception.kind, errors.ErrorKind.NODE_STOPPING)

    def test_a_fault_in_a_message_answers_not_run(self) -> None:
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
    """Guards against evidence of a cold target that stays on one node."""

    def test_broken_attempt_is_announced(self) -> None:
        grant = self.task.acquire(self.request(1))
        broken = interfaces.AttemptReport(interfaces.AttemptResult.FAILED)
        self.task.release(grant, broken)
        self.assertEqual("g1", self.doubts.get(timeout=PATIENCE_S))

    def test_doubt_of_another_node_holds_work_back(self) -> None:
        # A report of the present; the fixture's one is of the future.
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
    """Guards the choice of service replicas."""

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

    def test_zone_taken_out_and_excluded_replicas_get_nothing(self) -> None:
        self.control.set(zones_out=frozenset({"z1"}))
        grant = self.router.choose(self.call("http://s1"))
        self.assertEqual(grant.url, "http://s2")
        no_target = errors.ErrorKind.NO_TARGET
        self.assertIs(
            self.kind(self.call("http://s1", "http://s2")), no_target
        )

    def test_refusals(self) -> None:
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

    def test_hedge_time_comes_from_answers(self) -> None:
        self.assertIsNone(self.router.hedge_after_ms("booking", True))
        for _ in range(30):
            grant = self.router.choose(self.call())
            self.router.release(grant, OK)
        self.assertEqual(self.router.hedge_after_ms("booking", True), 20.0)
        self.assertIsNone(self.router.hedge_after_ms("booking", False))
