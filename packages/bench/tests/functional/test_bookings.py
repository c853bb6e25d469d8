"""Bookings with a key under faults of the log, the service and nodes."""

import collections
import random
import threading
import time
import typing
import uuid

from functional import support

from quetzalward_core import agreement
from quetzalward_standins import cluster

SEED = 7
CALL_STREAMS = 2
NO_LOG_FAULTS: dict[str, typing.Any] = {
    "outage": False,
    "slow_ms": 0,
    "lose_appends": 0,
    "lose_probability": 0,
}
NO_SERVICE_FAULTS: dict[str, typing.Any] = {
    "outage": False,
    "before_ms": 0,
    "after_ms": 0,
    "lose_answers": 0,
    "lose_probability": 0,
}
LOG_FAULTS: list[dict[str, typing.Any]] = [
    {},
    {"outage": True},
    {"lose_probability": 0.3},
    {"lose_probability": 0.6, "slow_ms": 100},
    {"slow_ms": 300},
]
# Longer than a call's deadline: 4,000 ms.
SERVICE_FAULTS: list[dict[str, typing.Any]] = [
    {"lose_probability": 0.3},
    {"before_ms": 1_000},
    {"after_ms": 1_000, "lose_probability": 0.2},
    {"before_ms": 4_000},
    {"outage": True},
]


def key_stream(key: str) -> str:
    """Return the call stream of a key of the cluster's first customer."""
    return agreement.call_stream("cedarline", key, CALL_STREAMS)


class BookingCase(support.ClusterCase):
    """Clears the faults of log and service after each test."""

    spec = support.small(
        replicas=3,
        spare_hosts_per_zone=0,
        hosts_per_domain=2,
        node_settings={"call_streams": CALL_STREAMS},
    )
    service_timeout_ms = 8_000

    def setUp(self) -> None:
        self.clear_faults()
        for node in self.running.nodes:
            if not node.running:
                self.restart(node)
            for number in range(CALL_STREAMS):
                self.wait_until_books(node, f"calls-{number}")
        self.addCleanup(self.clear_faults)

    def wait_until_books(self, node: cluster.Node, stream: str) -> None:
        """Wait until a node books with keys of one call stream."""

        def books() -> bool:
            key = str(uuid.uuid4())
            while key_stream(key) != stream:
                key = str(uuid.uuid4())
            return self.book(node, key).ok

        support.wait_for(books, f"{node.name} books on {stream}")

    def clear_faults(self) -> None:
        self.running.inject("log", **NO_LOG_FAULTS)
        self.running.inject("service", **NO_SERVICE_FAULTS)

    def intents(self, key: str) -> int:
        """Return how many intents for a key are on the log."""
        return sum(
            isinstance(entry, agreement.CallIntent) and entry.key == key
            for number in range(CALL_STREAMS)
            for record in self.records(f"calls-{number}")
            for entry in agreement.decode_batch(record["data"]).entries
        )

    def book_until_ok(self, key: str) -> support.Answer:
        """Repeat a booking over the nodes until the service's answer."""
        nodes = iter(self.running.nodes * 1000)

        def ok() -> support.Answer | None:
            answer = self.book(next(nodes), key)
            return answer if answer.ok else None

        return support.wait_for(ok, f"the answer for {key}")


class SingleFaultTest(BookingCase):
    """Guards R7 and R6 against one fault at a time."""

    def test_lost_append_answers_run_each_key_once(self) -> None:
        """R7: a repeated append of an intent opens the key twice."""
        for number in range(8):
            key = f"lost-append-{number}"
            self.running.inject("log", lose_appends=1)
            node = self.running.nodes[number % 4]
            answer = self.book(node, key)
            self.assertTrue(answer.ok, answer)
            self.assertEqual(1, self.executions().get(key))

    def test_one_key_on_all_nodes_at_once_runs_once(self) -> None:
        """R7: two nodes both take their own intent for the first."""
        self.running.inject("service", after_ms=300)
        for number in range(5):
            key = f"race-{number}"
            calls = support.Background()
            for node in self.running.nodes:
                calls.start(lambda node=node: self.book(node, key))
            answers = calls.join()
            self.assertEqual(1, self.executions().get(key), answers)
            self.assertTrue(any(a.ok for a in answers), answers)
            others = {a.kind for a in answers if not a.ok}
            self.assertLessEqual(others, {"call_in_progress"})

    def test_log_outage_refuses_as_not_run(self) -> None:
        """R6: a call whose intent is not on the log is dispatched."""
        self.running.inject("log", outage=True)
        keys = [f"outage-{number}" for number in range(4)]
        for key, node in zip(keys, self.running.nodes, strict=True):
            answer = self.book(node, key)
            self.assertEqual("not_run", answer.outcome, answer)
        self.assertEqual(0, sum(map(self.executions().get, keys, [0] * 4)))
        self.running.inject("log", outage=False)
        for key in keys:
            self.book_until_ok(key)
            self.assertEqual(1, self.executions().get(key))

    def test_lost_answer_of_the_service_is_never_repeated(self) -> None:
        """R7: a call whose answer is lost after the effect runs again."""
        key = "lost-answer"
        self.running.inject("service", lose_answers=1)
        first = self.book(self.running.nodes[0], key)
        self.assertIn(first.outcome, ("unknown", "ran"), first)
        for node in self.running.nodes:
            answer = self.book(node, key)
            self.assertNotEqual("not_run", answer.outcome, answer)
        self.assertEqual(1, self.executions().get(key))

    def test_answer_after_the_deadline_is_never_repeated(self) -> None:
        """R7: a call that outlives its deadline runs again."""
        key = "late"
        self.running.inject("service", before_ms=10_000)
        first = self.book(self.running.nodes[1], key)
        self.assertEqual("unknown", first.outcome, first)
        again = self.book(self.running.nodes[2], key)
        self.assertNotEqual("not_run", again.outcome, again)
        support.wait_for(lambda: self.executions().get(key), "the late effect")
        self.running.inject("service", before_ms=0)
        for node in self.running.nodes:
            answer = self.book(node, key)
            self.assertNotEqual("not_run", answer.outcome, answer)
        self.assertEqual(1, self.executions().get(key))


class KilledDispatcherTest(BookingCase):
    """Guards R7 and R6 against the loss of the node that dispatched."""

    def start_booking(
        self, key: str
    ) -> tuple[cluster.Node, support.Background]:
        """Start a booking on the first node; return once it is claimed."""
        node = self.running.nodes[0]
        calls = support.Background()
        calls.start(lambda: self.book(node, key))
        support.wait_for(lambda: self.intents(key), "the intent")
        return node, calls

    def check_others(self, key: str) -> None:
        """Check that no other node runs the call or calls it not run."""
        for node in self.running.nodes[1:]:
            answer = self.book(node, key)
            self.assertIn(
                (answer.ok, answer.kind),
                [
                    (True, ""),
                    (False, "call_in_progress"),
                    (False, "outcome_unknown"),
                    (False, "result_not_kept"),
                ],
                answer,
            )

    def test_killed_after_the_effect(self) -> None:
        """R7: a retry elsewhere runs a call whose effect has happened."""
        key = "killed-after"
        self.running.inject("service", after_ms=6_000)
        node, calls = self.start_booking(key)
        support.wait_for(lambda: self.executions().get(key), "the effect")
        self.kill(node)
        self.assertEqual([support.Answer(0)], calls.join())
        self.running.inject("service", after_ms=0)
        self.check_others(key)
        self.restart(node)
        self.check_others(key)
        self.assertEqual(1, self.executions().get(key))

    def test_killed_before_the_effect(self) -> None:
        """R7: a retry elsewhere runs a call that the service still runs."""
        key = "killed-before"
        self.running.inject("service", before_ms=5_000)
        node, calls = self.start_booking(key)
        self.kill(node)
        self.assertEqual([support.Answer(0)], calls.join())
        self.running.inject("service", before_ms=0)
        self.check_others(key)
        self.restart(node)
        self.check_others(key)
        # The service may not have got the call before the kill; then nothing
        # comes, and the count stays 0.
        time.sleep(6)
        self.check_others(key)
        self.assertLessEqual(self.executions().get(key, 0), 1)


class Booker:
    """Books keys on random nodes and notes every answer."""

    def __init__(self, case: BookingCase, seed: int) -> None:
        """Draw nodes and keys to give up from the seed."""
        self.answers_by_key: dict[str, list[support.Answer]] = {}
        self._case = case
        self._random = random.Random(seed)
        self._seed = seed

    def run(self, stopped: threading.Event) -> None:
        """Book one key after the other until stopped."""
        number = 0
        while not stopped.is_set():
            key = f"mixed-{self._seed}-{number}"
            self.answers_by_key[key] = list(self._attempts(key))
            number += 1

    def _attempts(self, key: str) -> typing.Iterator[support.Answer]:
        gives_up = self._random.random() < 0.5
        for _ in range(20):
            node = self._random.choice(self._case.running.nodes)
            answer = self._case.book(node, key)
            yield answer
            refused = answer.outcome == "not_run"
            if answer.ok or (refused and gives_up):
                return
            time.sleep(0.05)


class MixedFaultsTest(BookingCase):
    """Guards R7 and R6 against all faults, several at a time."""

    service_timeout_ms = 3_000
    callers = 8

    def test_no_key_runs_twice_and_not_run_means_so(self) -> None:
        """R7, R6: faults that overlap let a call run twice or unseen."""
        stopped = threading.Event()
        bookers = [Booker(self, SEED + n) for n in range(self.callers)]
        calls = support.Background()
        for booker in bookers:
            calls.start(lambda booker=booker: booker.run(stopped))
        draw = random.Random(SEED)
        log_faults = LOG_FAULTS * 2
        service_faults = SERVICE_FAULTS * 2
        draw.shuffle(log_faults)
        draw.shuffle(service_faults)
        for log, service in zip(log_faults, service_faults, strict=True):
            self.running.inject("log", **NO_LOG_FAULTS | log)
            self.running.inject("service", **NO_SERVICE_FAULTS | service)
            if not log.get("outage"):
                self.change_nodes(draw)
            # An outage must outlast the deadline of a call.
            time.sleep(5 if log.get("outage") else 1.5)
        self.clear_faults()
        stopped.set()
        calls.join()
        # Effects that the service still delays come within its delays.
        time.sleep(6)
        answers_by_key: dict[str, list[support.Answer]] = {}
        for booker in bookers:
            answers_by_key |= booker.answers_by_key
        self.check(answers_by_key, self.executions())

    def change_nodes(self, draw: random.Random) -> None:
        """Start the killed nodes, or kill one if none is."""
        killed = [node for node in self.running.nodes if not node.running]
        for node in killed:
            self.running.start_node(node)
        if not killed:
            self.kill(draw.choice(self.running.nodes))

    def check(
        self,
        answers_by_key: dict[str, list[support.Answer]],
        executions: dict[str, int],
    ) -> None:
        twice = {k: n for k, n in executions.items() if n > 1}
        self.assertEqual({}, twice, [answers_by_key.get(k) for k in twice])
        booked = refused = 0
        for key, answers in answers_by_key.items():
            count = executions.get(key, 0)
            if any(answer.ok for answer in answers):
                booked += 1
                self.assertEqual(1, count, (key, answers))
            elif all(answer.outcome == "not_run" for answer in answers):
                refused += 1
                self.assertEqual(0, count, (key, answers))
        seen = collections.Counter(
            (answer.status, answer.kind, answer.outcome)
            for answers in answers_by_key.values()
            for answer in answers
        )
        print(f"{booked} booked, {refused} refused as not run; {seen}")
        # A node that has just started must not deny a known customer.
        self.assertNotIn("unauthenticated", {kind for _, kind, _ in seen})
        self.assertGreater(booked, 0)
        self.assertGreater(refused, 0)
