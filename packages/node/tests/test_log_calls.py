"""Tests of the call registry against a log with injected faults."""

import random
import threading
import time
import typing
import unittest

import attrs

import fake_log
from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node import interfaces
from quetzalward_node.log import _calls
from quetzalward_node.log import _client

WAIT_TIMEOUT_MS = 20_000
STREAMS = 2
_Kind = errors.ErrorKind
_Answer = interfaces.DispatcherAnswer


class FakeDispatchers:
    """Queries the registries of the test; others are unreachable."""

    def __init__(self) -> None:
        self.responders_by_writer: dict[str, interfaces.IntentResponder] = {}

    def ask(self, node: str, intent_id: str) -> _Answer:
        responder = self.responders_by_writer.get(node)
        return (
            responder.answer(intent_id) if responder else _Answer.UNREACHABLE
        )


class FakeStatus:
    """Status call of a service that ran the keys in `keys`."""

    def __init__(self) -> None:
        self.keys: set[str] = set()

    def ran(self, service: str, key: str) -> bool | None:
        return key in self.keys


class CallsTest(unittest.TestCase):
    """Guards against calls that run twice or lose their result (R6, R7)."""

    def setUp(self) -> None:
        self.server = fake_log.FakeLogServer()
        self.addCleanup(self.server.close)
        self.log = self.server.log
        self.clock = clocks.SystemClock()
        self.store = _client.HttpLogStore(self.server.url)
        self.addCleanup(self.store.close)
        self.dispatchers = FakeDispatchers()
        self.status = FakeStatus()
        self.a = self.registry("a#1")
        self.b = self.registry("b#1")

    def registry(self, writer: str) -> _calls.CallRegistryTask:
        """Return a running registry that has read the log's head."""
        registry = _calls.CallRegistryTask(
            self.store,
            writer,
            STREAMS,
            self.clock,
            self.dispatchers,
            self.status,
            config.Calls,
            random.Random(1),
        )
        registry.start()
        self.addCleanup(registry.stop, 0)
        self.dispatchers.responders_by_writer[writer] = registry
        self.wait_until(registry.ready)
        return registry

    def wait_until(self, condition: typing.Callable[[], bool]) -> None:
        """Wait until another thread makes a condition true."""
        deadline_ms = self.clock.now_ms() + WAIT_TIMEOUT_MS
        while not condition():
            self.assertLess(self.clock.now_ms(), deadline_ms, "no progress")
            time.sleep(0.001)

    def call(
        self, key: str = "k", deadline_ms: int | None = None
    ) -> interfaces.KeyedCall:
        if deadline_ms is None:
            deadline_ms = self.clock.now_ms() + WAIT_TIMEOUT_MS
        return interfaces.KeyedCall("c", "s", key, "f", deadline_ms)

    def start_call(
        self, registry: _calls.CallRegistryTask, key: str = "k"
    ) -> interfaces.StartedCall:
        started = registry.begin(self.call(key))
        assert isinstance(started, interfaces.StartedCall)
        return started

    def begin_error(
        self,
        registry: _calls.CallRegistryTask,
        call: interfaces.KeyedCall | None = None,
    ) -> errors.QuetzalwardError:
        with self.assertRaises(errors.QuetzalwardError) as caught:
            registry.begin(call or self.call())
        return caught.exception

    def current_key(
        self, registry: _calls.CallRegistryTask, key: str = "k"
    ) -> agreement.CallKey | None:
        return registry._lookup(self.call(key))

    def in_state(self, registry: _calls.CallRegistryTask, state: str) -> bool:
        known = self.current_key(registry)
        return known is not None and known.state.value == state

    def test_one_of_two_nodes_dispatches(self) -> None:
        self.log.faults.extend(["lost_answer", "lost_request", "rate"])
        outcomes: list[typing.Any] = []

        def begin_call(registry: _calls.CallRegistryTask) -> None:
            try:
                outcomes.append(registry.begin(self.call()))
            except errors.QuetzalwardError as error:
                outcomes.append(error.kind)

        threads = [
            threading.Thread(target=begin_call, args=(registry,))
            for registry in (self.a, self.b) * 4
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        started = [
            outcome
            for outcome in outcomes
            if isinstance(outcome, interfaces.StartedCall)
        ]
        self.assertEqual(len(started), 1, outcomes)
        others = set(outcomes) - set(started)
        self.assertEqual(others, {_Kind.CALL_IN_PROGRESS})

    def test_a_result_is_replayed_by_every_node(self) -> None:
        started = self.start_call(self.a)
        kept = interfaces.CallResult(201, "text/plain", b"booked")
        self.a.finish(started, kept)
        self.wait_until(lambda: self.in_state(self.b, "done"))
        self.assertEqual(self.b.begin(self.call()), kept)
        self.wait_until(lambda: len(self.a._intents) == 0)

    def test_a_large_result_is_not_kept(self) -> None:
        started = self.start_call(self.a)
        body = b"x" * (config.Calls().max_kept_body_bytes + 1)
        self.a.finish(started, interfaces.CallResult(200, "t", body))
        self.wait_until(lambda: self.in_state(self.b, "done"))
        error = self.begin_error(self.b)
        self.assertIs(error.kind, _Kind.RESULT_NOT_KEPT)
        self.assertIs(error.outcome, errors.Outcome.RAN)

    def test_another_request_with_the_key_is_refused(self) -> None:
        self.start_call(self.a)
        self.wait_until(lambda: self.in_state(self.b, "open"))
        other = attrs.evolve(self.call(), fingerprint="other")
        self.assertIs(self.begin_error(self.b, other).kind, _Kind.KEY_REUSED)
        self.assertIs(self.begin_error(self.a, other).kind, _Kind.KEY_REUSED)

    def test_customers_have_their_own_keys(self) -> None:
        self.start_call(self.a)
        other = attrs.evolve(self.call(), customer="d")
        self.assertIsInstance(self.b.begin(other), interfaces.StartedCall)

    def test_an_unreachable_dispatcher_leaves_the_outcome_unknown(
        self,
    ) -> None:
        self.start_call(self.a)
        self.wait_until(lambda: self.in_state(self.b, "open"))
        self.assertIs(self.begin_error(self.b).kind, _Kind.CALL_IN_PROGRESS)
        del self.dispatchers.responders_by_writer["a#1"]
        self.assertIs(self.begin_error(self.b).kind, _Kind.OUTCOME_UNKNOWN)
        # Only a status of "has run" proves an outcome.
        self.status.keys.add("k")
        self.assertIs(self.begin_error(self.b).kind, _Kind.RESULT_NOT_KEPT)
        self.wait_until(lambda: self.in_state(self.a, "done"))

    def test_an_unknown_call_is_never_run_again(self) -> None:
        self.a.mark_unknown(self.start_call(self.a))
        self.wait_until(lambda: self.in_state(self.b, "unknown"))
        self.wait_until(lambda: self.in_state(self.a, "unknown"))
        for registry in (self.a, self.b):
            self.assertIs(
                self.begin_error(registry).kind, _Kind.OUTCOME_UNKNOWN
            )

    def test_an_abandoned_key_can_be_claimed_again(self) -> None:
        started = self.start_call(self.a)
        # The key also looks absent to b before it has read the intent.
        self.wait_until(lambda: self.in_state(self.b, "open"))
        self.a.abandon(started)
        self.wait_until(lambda: self.current_key(self.b) is None)
        self.start_call(self.b)

    def test_a_late_intent_is_abandoned(self) -> None:
        """The deadline passes after the append, before it was read back."""
        call = self.call()
        task = self.a._stream_task(call)
        records = self.log.streams[task.reader.stream].records
        wait = task.appender.wait

        def wait_until_stored(request: typing.Any) -> typing.Any:
            self.wait_until(lambda: len(records) > 0)
            raise errors.QuetzalwardError(_Kind.OUTCOME_UNKNOWN, "deadline")

        task.appender.wait = wait_until_stored  # type: ignore
        error = self.begin_error(self.a, call)
        task.appender.wait = wait  # type: ignore
        self.assertIs(error.kind, _Kind.LOG_UNAVAILABLE)
        self.assertIs(error.outcome, errors.Outcome.NOT_RUN)
        self.wait_until(lambda: len(self.a._intents) == 0)
        self.wait_until(lambda: len(records) == 2)
        self.wait_until(lambda: self.current_key(self.a) is None)
        self.wait_until(lambda: self.current_key(self.b) is None)
        self.start_call(self.b)

    def test_a_deadline_during_an_outage_means_not_run(self) -> None:
        self.log.faults.extend(["lost_answer"] + ["unavailable"] * 3)
        error = self.begin_error(
            self.a, self.call(deadline_ms=self.clock.now_ms() + 1)
        )
        self.assertIs(error.kind, _Kind.LOG_UNAVAILABLE)
        self.assertIs(error.outcome, errors.Outcome.NOT_RUN)
        self.wait_until(lambda: len(self.a._intents) == 0)

    def test_a_log_outage_refuses_new_keys_only(self) -> None:
        self.start_call(self.a)
        self.wait_until(lambda: self.in_state(self.b, "open"))
        self.log.set_unavailable(True)
        before = self.log.append_count
        for task in self.a.tasks_by_stream.values():
            reader = task.reader
            self.wait_until(lambda: reader.failure_count > 0)
            # Same as 5 s without a read.
            task.reader._head_read_ms = None
        error = self.begin_error(self.a, self.call("new"))
        self.assertIs(error.kind, _Kind.LOG_UNAVAILABLE)
        self.assertIs(error.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.log.append_count, before)
        # A key that may have run is never reported as not run.
        self.assertIs(self.begin_error(self.a).kind, _Kind.CALL_IN_PROGRESS)

    def test_an_ended_intent_is_not_called_abandoned(self) -> None:
        """The asking node may not have read the result yet."""
        started = self.start_call(self.a)
        self.a.finish(started, interfaces.CallResult(200, "t", b""))
        self.wait_until(lambda: len(self.a._intents) == 0)
        answer = self.a.answer(started.intent_id)
        self.assertIs(answer, _Answer.IN_PROGRESS)
        self.assertIs(self.a.answer("other#1/1"), _Answer.UNKNOWN)

    def test_results_queued_before_a_stop_reach_the_log(self) -> None:
        started = self.start_call(self.a)
        self.a.finish(started, interfaces.CallResult(200, "t", b"x"))
        self.a.stop(self.clock.now_ms() + WAIT_TIMEOUT_MS)
        self.wait_until(lambda: self.in_state(self.b, "done"))

    def test_a_node_that_restarts_does_not_dispatch_again(self) -> None:
        self.start_call(self.a)
        self.a.stop(0)
        del self.dispatchers.responders_by_writer["a#1"]
        again = self.registry("a#2")
        self.wait_until(lambda: self.in_state(again, "open"))
        self.assertIs(self.begin_error(again).kind, _Kind.OUTCOME_UNKNOWN)


if __name__ == "__main__":
    unittest.main()
