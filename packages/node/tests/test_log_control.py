"""Tests of the control stream against a log with injected faults."""

import random
import threading
import time
import typing
import unittest

import fake_log
from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_node import interfaces
from quetzalward_node.log import _bootstrap
from quetzalward_node.log import _client
from quetzalward_node.log import _control
from quetzalward_node.log import _pacing
from quetzalward_node.log import _stream

CONTROL = agreement.CONTROL_STREAM
# Only a test that hangs waits this long.
WAIT_TIMEOUT_MS = 20_000


def zone_out(name: str) -> agreement.ZoneSet:
    return agreement.ZoneSet(name, "out", 0, "ann")


class LogCase(unittest.TestCase):
    """Fixture with a fake log and control tasks that follow it."""

    def setUp(self) -> None:
        self.server = fake_log.FakeLogServer()
        self.addCleanup(self.server.close)
        self.log = self.server.log
        self.clock = clocks.SystemClock()
        self.store = _client.HttpLogStore(self.server.url)
        self.addCleanup(self.store.close)

    def control(self, writer: str = "n1#a") -> _control.ControlLogTask:
        """Return a running task."""
        task = _control.ControlLogTask(
            self.store, writer, self.clock, random.Random(1)
        )
        task.start()
        self.addCleanup(task.stop)
        return task

    def manual_stream_task(
        self, writer: str = "n1#a"
    ) -> _stream.StreamTask[agreement.ControlState]:
        """Return a task without threads, with a manual clock."""
        self.manual_clock = clocks.ManualClock(1_000)
        return _stream.StreamTask(
            self.store,
            CONTROL,
            agreement.ControlState,
            writer,
            self.manual_clock,
            random.Random(1),
        )

    def deadline_ms(self) -> int:
        return self.clock.now_ms() + WAIT_TIMEOUT_MS

    def read_until(
        self,
        task: _stream.StreamTask[agreement.ControlState],
        next_offset: int,
    ) -> None:
        """Read the log until a task has applied the entries before an offset.

        Fails if they do not appear, for example because a batch that has to
        be retried was given up.
        """
        deadline_ms = self.deadline_ms()
        while task.reader.fold.next_offset < next_offset:
            self.assertLess(
                self.clock.now_ms(), deadline_ms, "entry was not read"
            )
            task.reader.step()

    def wait_until(self, condition: typing.Callable[[], bool]) -> None:
        """Wait until another thread makes a condition true."""
        deadline_ms = self.deadline_ms()
        while not condition():
            self.assertLess(self.clock.now_ms(), deadline_ms, "no progress")
            time.sleep(0.001)

    def append_zones(self, count: int, writer: str = "other#a") -> None:
        """Append `count` records that take out one zone each."""
        for number in range(count):
            data = agreement.encode_batch(
                writer, number + 1, [zone_out(f"z{number}")]
            )
            self.log.append(CONTROL, f"{writer}:{number + 1}", data)


class AppendTest(LogCase):
    """Guards against lost, duplicate or wrongly reported appends."""

    def test_results_come_from_the_log(self) -> None:
        control = self.control()
        first = agreement.ConfigProposed(0, {"a": 1}, "ann")
        second = agreement.ConfigProposed(0, {"a": 2}, "bob")
        results = control.append([first, second], self.deadline_ms())
        self.assertIsInstance(results[0], agreement.Accepted)
        self.assertEqual(
            getattr(results[1], "reason", None),
            agreement.VoidReason.STALE_BASE,
        )
        view = control.wait_for(results[0].position, self.deadline_ms())
        assert view is not None
        self.assertEqual(view.config_document, {"a": 1})

    def test_a_lost_answer_is_resolved_by_reading(self) -> None:
        self.log.faults.extend(["lost_answer", "lost_answer"])
        control = self.control()
        results = control.append([zone_out("a")], self.deadline_ms())
        self.assertIsInstance(results[0], agreement.Accepted)
        self.assertEqual(control.state().accepted_count, 1)

    def test_a_lost_request_is_retried(self) -> None:
        self.log.faults.extend(["lost_request", "unavailable", "rate"])
        control = self.control()
        results = control.append([zone_out("a")], self.deadline_ms())
        self.assertIsInstance(results[0], agreement.Accepted)
        self.assertEqual(control.state().accepted_count, 1)

    def test_an_acknowledged_but_missing_batch_is_retried(self) -> None:
        control = self.control()
        append = self.log.append

        def corrupt_next_append(stream: str, batch_id: str, data: str) -> int:
            self.log.append = append  # type: ignore
            return append(stream, batch_id, "lost")

        self.log.append = corrupt_next_append  # type: ignore
        results = control.append([zone_out("a")], self.deadline_ms())
        self.assertIsInstance(results[0], agreement.Accepted)
        self.assertEqual(control.state().accepted_count, 1)

    def test_concurrent_writers_lose_no_entries(self) -> None:
        self.log.faults.extend(
            ["lost_answer", "rate", "lost_request", "lost_answer"] * 5
        )
        tasks = [self.control(f"n{number}#a") for number in range(3)]
        failures = []

        def append_host(task: _control.ControlLogTask, number: int) -> None:
            try:
                task.append(
                    [agreement.HostAdmitted(f"h{number}", 1)],
                    self.deadline_ms(),
                )
            except errors.QuetzalwardError as error:
                failures.append(error)

        threads = [
            threading.Thread(target=append_host, args=(tasks[n % 3], n))
            for n in range(30)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(failures, [])
        end = agreement.position_of(len(self.log.streams[CONTROL].records), 0)
        for task in tasks:
            view = task.wait_for(
                end - agreement.MAX_BATCH_ENTRIES, self.deadline_ms()
            )
            assert view is not None
            self.assertEqual(len(view.hosts_by_id), 30)
            self.assertEqual(view.accepted_count, 30)

    def test_an_outage_leaves_the_outcome_unknown(self) -> None:
        self.log.set_unavailable(True)
        task = self.manual_stream_task()
        request = task.appender.submit([zone_out("a")], 1_500)
        thread = threading.Thread(target=task.appender.step)
        thread.start()
        self.wait_until(lambda: self.log.append_count > 0)
        self.manual_clock.advance(1_000)
        with self.assertRaises(errors.QuetzalwardError) as caught:
            task.appender.wait(request)
        kind = caught.exception.kind
        self.assertIs(kind, errors.ErrorKind.OUTCOME_UNKNOWN)
        # The batch is retried until read back, even after its waiter gave up.
        self.log.set_unavailable(False)
        self.read_until(task, 1)
        thread.join()
        self.assertIsNotNone(request.results)

    def test_unsent_entries_are_reported_as_not_run(self) -> None:
        self.log.faults.extend(["rate", "rate"])
        task = self.manual_stream_task()
        request = task.appender.submit([zone_out("a")], 1_500)
        task.appender.step()
        task.appender.step()
        self.manual_clock.advance(1_000)
        with self.assertRaises(errors.QuetzalwardError) as caught:
            task.appender.wait(request)
        self.assertIs(caught.exception.outcome, errors.Outcome.NOT_RUN)
        task.appender.step()
        self.assertEqual(self.log.streams[CONTROL].records, [])

    def test_a_rejected_batch_is_not_retried(self) -> None:
        self.log.faults.append("refused")
        control = self.control()
        with self.assertRaises(errors.QuetzalwardError) as caught:
            control.append([zone_out("a")], self.deadline_ms())
        self.assertIs(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.log.append_count, 1)
        control.append([zone_out("b")], self.deadline_ms())
        self.assertEqual(list(control.state().zones_by_name), ["b"])

    def test_queued_requests_share_one_append(self) -> None:
        control = _control.ControlLogTask(
            self.store, "n1#a", self.clock, random.Random(1)
        )
        appender = control.task.appender
        requests = [
            appender.submit([zone_out(f"z{number}")], self.deadline_ms())
            for number in range(20)
        ]
        control.start()
        self.addCleanup(control.stop)
        for request in requests:
            self.assertEqual(len(appender.wait(request)), 1)
        self.assertEqual(self.log.append_count, 1)

    def test_large_requests_do_not_exceed_a_batch(self) -> None:
        control = self.control()
        large = {"text": "x" * (agreement.MAX_BATCH_BYTES // 2)}
        (result,) = control.append(
            [agreement.ConfigProposed(0, large, "ann")], self.deadline_ms()
        )
        self.assertIsInstance(result, agreement.Accepted)
        too_large = {"text": "x" * agreement.MAX_BATCH_BYTES}
        with self.assertRaises(errors.QuetzalwardError) as caught:
            control.append(
                [agreement.ConfigProposed(0, too_large, "ann")],
                self.deadline_ms(),
            )
        self.assertIs(caught.exception.kind, errors.ErrorKind.BODY_TOO_LARGE)

    def test_entries_that_no_fold_can_read_are_not_sent(self) -> None:
        control = self.control()
        bad = agreement.ConfigProposed(0, {"x": float("inf")}, "ann")
        with self.assertRaises(errors.QuetzalwardError) as caught:
            control.append([bad], self.deadline_ms())
        self.assertIs(caught.exception.kind, errors.ErrorKind.MALFORMED_RECORD)
        self.assertIs(caught.exception.outcome, errors.Outcome.NOT_RUN)

    def test_a_snapshot_that_covers_the_batch_hides_its_results(self) -> None:
        task = self.manual_stream_task()
        request = task.appender.submit([zone_out("a")], None)
        thread = threading.Thread(target=task.appender.step)
        thread.start()
        self.wait_until(lambda: len(self.log.streams[CONTROL].records) > 0)
        # Another node reads the batch and writes a snapshot, and the records
        # expire before this node reads them.
        other = self.control("n2#a")
        other.wait_for(1, self.deadline_ms())
        self.assertTrue(other.task.snapshots.write(threading.Event()))
        self.log.expire(CONTROL, 1)
        self.read_until(task, 2)
        thread.join()
        with self.assertRaises(errors.QuetzalwardError) as caught:
            task.appender.wait(request)
        self.assertIs(caught.exception.kind, errors.ErrorKind.OUTCOME_UNKNOWN)
        self.assertTrue(task.reader.fold.view().zone_out("a"))

    def test_the_append_budget_limits_each_kind(self) -> None:
        task = self.manual_stream_task()
        claim = agreement.LeaseClaimed("r", "n1#a", 0, 10_000)
        with self.assertRaises(errors.QuetzalwardError) as caught:
            for _ in range(1_000):
                task.appender.submit([claim], None)
        self.assertIs(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.assertGreater(caught.exception.retry_after_ms or 0, 0)
        # Other kinds are not affected, and the bucket refills over time.
        task.appender.submit([zone_out("a")], None)
        self.manual_clock.advance(60_000)
        task.appender.submit([claim], None)


class ReaderTest(LogCase):
    """Guards against stale heads, bad bootstraps and older states."""

    def test_head_age_counts_from_the_request(self) -> None:
        task = self.manual_stream_task()
        reader = task.reader
        self.assertEqual(reader.head_age_ms(), interfaces.HEAD_NEVER_READ_MS)
        reader.step()
        self.assertEqual(reader.head_age_ms(), interfaces.HEAD_NEVER_READ_MS)
        reader.step()
        self.manual_clock.advance(700)
        self.assertEqual(reader.head_age_ms(), 700)
        self.log.set_unavailable(True)
        self.assertGreater(reader.step(), 0)
        self.assertEqual(reader.head_age_ms(), 700)
        self.log.set_unavailable(False)
        reader.step()
        self.assertEqual(reader.head_age_ms(), 0)

    def test_a_slow_answer_is_as_old_as_its_request(self) -> None:
        """A node that was paused during a read is not fresh after it."""
        task = self.manual_stream_task()
        task.reader.step()
        manual, store = self.manual_clock, self.store

        class SlowStore:
            def read(
                self, stream: str, start: int, limit: int, wait_ms: int
            ) -> _client.Page:
                page = store.read(stream, start, limit, wait_ms)
                manual.advance(8_000)
                return page

        task.reader._store = SlowStore()  # type: ignore
        task.reader.step()
        self.assertEqual(task.reader.head_age_ms(), 8_000)

    def test_a_bootstrap_never_restores_an_older_state(self) -> None:
        self.append_zones(5)
        self.snapshot()
        self.append_zones(3, "later#a")
        task = self.manual_stream_task()
        self.read_to_head(task)
        before = task.reader.fold
        task.reader._bootstrapped = False
        task.reader.step()
        self.assertIs(task.reader.fold, before)
        self.assertEqual(before.to_bytes(), self.replayed_state())

    def test_a_read_that_stops_before_the_head_is_not_fresh(self) -> None:
        self.append_zones(250)
        task = self.manual_stream_task()
        task.reader.step()
        task.reader.step()
        self.assertEqual(task.reader.fold.next_offset, 200)
        self.assertEqual(
            task.reader.head_age_ms(), interfaces.HEAD_NEVER_READ_MS
        )
        task.reader.step()
        self.assertEqual(task.reader.head_age_ms(), 0)

    def test_a_truncated_log_is_not_fresh(self) -> None:
        self.append_zones(3)
        task = self.manual_stream_task()
        task.reader.step()
        task.reader.step()
        self.manual_clock.advance(100)
        self.log.streams[CONTROL].records.pop()
        self.assertGreater(task.reader.step(), 0)
        self.assertEqual(task.reader.head_age_ms(), 100)
        self.assertEqual(task.reader.fold.next_offset, 3)

    def test_log_that_went_back_is_not_read_on(self) -> None:
        """Guards against a fold of records that were never written."""
        self.append_zones(3)
        task = self.manual_stream_task()
        self.read_until(task, 3)
        self.log.set_unavailable(True)
        self.assertGreater(task.reader.step(), 0)
        # A copy without the last record, and others at its offset.
        self.log.streams[CONTROL].records.pop()
        self.append_zones(2, "other#b")
        self.log.set_unavailable(False)
        age_ms = task.reader.head_age_ms()
        for _ in range(3):
            self.manual_clock.advance(100)
            self.assertGreater(task.reader.step(), 0)
        self.assertEqual(3, task.reader.fold.next_offset)
        self.assertEqual(age_ms + 300, task.reader.head_age_ms())

    def test_log_that_lost_nothing_is_read_on_after_an_outage(self) -> None:
        """The last record is compared, also one that has expired."""
        self.append_zones(3)
        task = self.manual_stream_task()
        self.read_until(task, 3)
        for expired in (0, 3):
            self.log.set_unavailable(True)
            self.assertGreater(task.reader.step(), 0)
            self.log.set_unavailable(False)
            self.log.expire(CONTROL, expired)
            self.append_zones(1, f"other#{expired}")
            self.read_until(task, len(self.log.streams[CONTROL].records))

    def snapshot(self, parts: int = 3, late: int = 0) -> list[bytes]:
        """Append a snapshot of all records; return its lines.

        `late` records are appended after those that it covers.
        """
        fold = agreement.ControlState()
        for record in self.log.streams[CONTROL].records:
            fold.apply_batch(
                record["offset"], record["time_ms"], record["data"]
            )
        lines = list(fold.encode())
        through = fold.next_offset - 1
        snapshot = agreement.Snapshot(f"s{through}", through, lines)
        self.append_zones(late, "between#a")
        whole = agreement.split_snapshot(snapshot)[0]
        size = -(-len(whole.data) // parts)
        for part in agreement.split_snapshot(snapshot, size):
            writer = f"snapshot#{through}"
            batch = agreement.encode_batch(writer, part.part + 1, [part])
            self.log.append(CONTROL, f"{writer}:{part.part}", batch)
        return lines

    def replayed_state(self) -> bytes:
        fold = agreement.ControlState()
        for record in self.log.streams[CONTROL].records:
            fold.apply_batch(
                record["offset"], record["time_ms"], record["data"]
            )
        return fold.to_bytes()

    def read_to_head(
        self, task: _stream.StreamTask[agreement.ControlState]
    ) -> None:
        end = len(self.log.streams[CONTROL].records)
        for _ in range(100):
            if task.reader.fold.next_offset == end:
                return
            task.reader.step()
        self.fail("the head was not reached")

    def test_bootstrap_from_a_snapshot_across_windows(self) -> None:
        self.append_zones(30)
        self.snapshot()
        self.append_zones(_bootstrap.WINDOW_RECORDS * 2 + 7, "later#a")
        self.log.expire(CONTROL, 30)
        task = self.manual_stream_task()
        self.read_to_head(task)
        self.assertEqual(task.reader.fold.to_bytes(), self.replayed_state())
        self.assertEqual(task.reader.snapshot_through, 29)

    def test_a_gap_bootstraps_again_and_keeps_the_old_state(self) -> None:
        self.append_zones(5)
        task = self.manual_stream_task()
        self.read_to_head(task)
        self.append_zones(10, "later#a")
        self.snapshot()
        self.append_zones(2, "last#a")
        self.log.expire(CONTROL, 12)
        task.reader.step()
        self.assertEqual(task.reader.fold.next_offset, 5)
        self.read_to_head(task)
        self.assertEqual(task.reader.fold.to_bytes(), self.replayed_state())
        self.assertEqual(task.reader.bootstrap_count, 2)

    def test_no_snapshot_after_expiry_is_never_ready(self) -> None:
        self.append_zones(5)
        self.log.expire(CONTROL, 2)
        task = self.manual_stream_task()
        for _ in range(3):
            self.assertGreater(task.reader.step(), 0)
        self.assertEqual(
            task.reader.head_age_ms(), interfaces.HEAD_NEVER_READ_MS
        )

    def test_damaged_and_too_old_snapshots_are_skipped(self) -> None:
        self.append_zones(10)
        good = self.snapshot()
        self.append_zones(3, "later#a")
        for number, data in enumerate(("!", "eJw=", "")):
            part = agreement.SnapshotPart(f"bad{number}", 12, 0, 1, data)
            batch = agreement.encode_batch(f"bad{number}", 1, [part])
            self.log.append(CONTROL, f"bad{number}", batch)
        mislabelled = agreement.Snapshot("mislabelled", 14, good)
        batch = agreement.encode_batch(
            "mislabelled", 1, agreement.split_snapshot(mislabelled)
        )
        self.log.append(CONTROL, "mislabelled", batch)
        self.log.expire(CONTROL, 5)
        task = self.manual_stream_task()
        self.read_to_head(task)
        self.assertEqual(task.reader.fold.to_bytes(), self.replayed_state())

    def test_a_snapshot_followed_by_a_gap_is_not_used(self) -> None:
        self.append_zones(10)
        self.snapshot(parts=1, late=3)
        self.log.expire(CONTROL, 11)
        task = self.manual_stream_task()
        self.assertGreater(task.reader.step(), 0)
        self.assertEqual(task.reader.fold.next_offset, 0)

    def test_another_node_starts_from_a_written_snapshot(self) -> None:
        control = self.control()
        for number in range(5):
            control.append([zone_out(f"z{number}")], self.deadline_ms())
        self.assertTrue(control.task.snapshots.write(threading.Event()))
        (last,) = control.append([zone_out("last")], self.deadline_ms())
        self.log.expire(CONTROL, 5)
        other = self.control("n2#a")
        view = other.wait_for(last.position, self.deadline_ms())
        assert view is not None
        self.assertEqual(len(view.zones_by_name), 6)
        self.assertEqual(
            other.task.reader.fold.to_bytes(),
            control.task.reader.fold.to_bytes(),
        )

    def test_no_second_snapshot_while_one_is_written(self) -> None:
        self.append_zones(agreement.SNAPSHOT_INTERVAL_RECORDS + 1)
        task = self.manual_stream_task()
        self.read_to_head(task)
        self.assertTrue(task.snapshots.due())
        fold = task.reader.fold.copy()
        snapshot = agreement.Snapshot("s", 5_000, fold.encode())
        first, second = agreement.split_snapshot(snapshot, 1_000)[:2]
        for number, part in enumerate((first, second)):
            batch = agreement.encode_batch("s", number + 1, [part])
            self.log.append(CONTROL, f"s:{number}", batch)
        self.read_to_head(task)
        self.assertFalse(task.snapshots.due())
        self.manual_clock.advance(60_000)
        # The writer is presumed dead.
        self.assertTrue(task.snapshots.due())


class PacingTest(unittest.TestCase):
    """Guards against nodes retrying at the same time after an outage."""

    def test_pauses_differ_and_stay_bounded(self) -> None:
        pauses = []
        for seed in range(50):
            backoff = _pacing.Backoff(random.Random(seed))
            for _ in range(10):
                pause_ms = backoff.next_ms()
                self.assertLessEqual(pause_ms, _pacing.MAX_PAUSE_MS)
                self.assertGreaterEqual(pause_ms, _pacing.BASE_PAUSE_MS)
            pauses.append(pause_ms)
        self.assertGreater(len(set(pauses)), 40)


if __name__ == "__main__":
    unittest.main()
