"""Tests of the targets task against a fake engine on loopback."""

import http.server
import json
import queue
import random
import socket
import threading
import typing
import unittest

import attrs

import fakes
from quetzalward_core import clock
from quetzalward_core import routing
from quetzalward_core import testing
from quetzalward_node import interfaces
from quetzalward_node import targets
from quetzalward_node.targets import _codec
from quetzalward_node.targets import _fetch
from quetzalward_node.targets import _schedule
from quetzalward_node.targets import _watch

TIMEOUT_S = 30.0
REPORT: dict[str, typing.Any] = {
    "target": "g1",
    "epoch": 1024,
    "hosts": [
        {"host": "g1-h0", "incarnation": "1"},
        {"host": "g1-h1", "incarnation": "1"},
    ],
    "state": "warm",
    "models": ["m"],
    "running": 3,
    "waiting": 1,
    "kv_used": 0.5,
    "token_ms": 31.5,
    "bearable": 16,
    "age_ms": 200,
    "unknown_to_this_version": True,
}


class CodecTest(unittest.TestCase):
    """Guards against malformed answers and reports with a wrong time."""

    def test_age_is_subtracted_from_the_report_time(self) -> None:
        report = _codec.parse_report(json.dumps(REPORT).encode(), 10_000)
        self.assertEqual(report.as_of_ms, 9_800)
        group = testing.make_group()
        found = routing.presence(group, report, None, 10_000)
        self.assertIs(found, routing.Presence.READY)

    def test_invalid_bodies_raise_value_error(self) -> None:
        bad = [
            b"",
            b"[]",
            b"null",
            b"{}",
            json.dumps(REPORT | {"state": "hot"}).encode(),
            json.dumps(REPORT | {"running": -1}).encode(),
            json.dumps(REPORT | {"epoch": "x"}).encode(),
            json.dumps(REPORT | {"hosts": [1]}).encode(),
        ]
        for body in bad:
            with self.assertRaises(ValueError, msg=body):
                _codec.parse_report(body, 0)
        for body in bad[:4]:
            with self.assertRaises(ValueError, msg=body):
                _codec.parse_hosts(body, 0)

    def test_hostile_numbers_and_nesting_raise_value_error(self) -> None:
        """Each poll of them logged a traceback."""
        report = json.dumps(REPORT | {"epoch": 0})
        odd_report = report.replace('"epoch": 0', '"epoch": 1e999').encode()
        with self.assertRaises(ValueError):
            _codec.parse_report(odd_report, 0)
        odd_list = b'{"age_ms":1e999,"hosts":[]}'
        for body in (b"[" * 100_000, b"9" * 9_000, odd_list):
            for parse in (_codec.parse_report, _codec.parse_hosts):
                with self.assertRaises(ValueError, msg=body[:40]):
                    parse(body, 0)

    def test_odd_row_of_the_host_list_does_not_hide_the_others(self) -> None:
        """The node kept the last list, so it followed no host any more."""
        sound = {
            "host": "h1",
            "incarnation": "i",
            "zone": "z",
            "domain": "d",
            "state": "up",
            "engine_url": "http://127.0.0.1:1",
        }
        rows = [1, None, {}, [], {"host": "h2"}, sound]
        body = json.dumps({"age_ms": 5, "hosts": rows}).encode()
        self.assertEqual({"h1"}, _codec.parse_hosts(body, 100).hosts.keys())
        odd = json.dumps({"age_ms": 5, "hosts": rows[:-1]}).encode()
        with self.assertRaises(ValueError):
            _codec.parse_hosts(odd, 100)


class ScheduleTest(unittest.TestCase):
    """Guards the limits on the poll rate and on the age of reports."""

    def polls(self, count: int) -> dict[str, list[int]]:
        """Return the poll times of healthy targets within a minute."""
        schedule = _schedule.Schedule(random.Random(1))
        found: dict[str, list[int]] = {f"t{n}": [] for n in range(count)}
        schedule.set_targets(found, 0)
        for now_ms in range(0, 60_000, 10):
            for due in schedule.start_due(now_ms):
                found[due.target_id].append(now_ms)
                schedule.finish(due.target_id, True, 1_000, now_ms)
        return found

    def test_polls_are_bounded(self) -> None:
        count = sum(len(times) for times in self.polls(18).values())
        self.assertLess(count / 60, _schedule.MAX_POLLS_PER_S * 1.2)

    def test_reports_stay_recent_with_many_targets(self) -> None:
        gaps = [
            later - earlier
            for times in self.polls(60).values()
            for earlier, later in zip(times, times[1:])
        ]
        self.assertLess(max(gaps), routing.REPORT_MAX_AGE_MS - 900)

    def test_failing_targets_are_polled_less_often(self) -> None:
        schedule = _schedule.Schedule(random.Random(1))
        schedule.set_targets(["t"], 0)
        polls = 0
        for now_ms in range(0, 60_000, 10):
            for due in schedule.start_due(now_ms):
                polls += 1
                schedule.finish(due.target_id, False, 1_000, now_ms)
        self.assertLess(polls, 15)

    def test_a_running_poll_is_not_started_twice(self) -> None:
        schedule = _schedule.Schedule(random.Random(1))
        schedule.set_targets(["t"], 0)
        self.assertEqual(len(schedule.start_due(0)), 1)
        self.assertEqual(schedule.start_due(100_000), [])

    def test_large_host_lists_are_read_less_often(self) -> None:
        schedule = _schedule.Schedule(random.Random(1))
        self.assertTrue(schedule.start_hosts_if_due(0))
        schedule.finish_hosts(80_000, 50, 0)
        self.assertFalse(schedule.start_hosts_if_due(7_900))
        self.assertTrue(schedule.start_hosts_if_due(10_000))
        schedule.finish_hosts(100, 5_700, 10_000)
        self.assertFalse(schedule.start_hosts_if_due(21_000))
        self.assertTrue(schedule.start_hosts_if_due(30_000))


class WatchTest(unittest.TestCase):
    """Guards against slots whose owner does not watch the target."""

    def test_subset_and_owned_slots_are_watched(self) -> None:
        groups = [testing.make_group(f"g{n}") for n in range(100)]
        nodes = {f"n{n}": "z1" for n in range(20)}
        control = fakes.make_control(groups, nodes=nodes)
        found = {
            node: _watch.WatchList(node, "z1").update(control, 0)
            for node in nodes
        }
        self.assertEqual({len(one.subset) for one in found.values()}, {24})
        watched: frozenset[str] = frozenset()
        for one in found.values():
            self.assertLessEqual(one.subset, one.targets)
            watched |= one.targets - one.subset
        self.assertTrue(watched)


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves the documents of its server."""

    protocol_version = "HTTP/1.1"
    server: "Platform"

    def do_GET(self) -> None:  # noqa: N802
        path = self.path.partition("?")[0]
        self.server.paths.put(self.path)
        body = json.dumps(self.server.documents.get(path, {})).encode()
        self.send_response(200 if path in self.server.documents else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: object) -> None:
        """Log nothing."""


class Platform(http.server.ThreadingHTTPServer):
    """A fake platform: serves a host list and one engine."""

    daemon_threads = True

    def __init__(self) -> None:
        """Listen on a free port."""
        super().__init__(("127.0.0.1", 0), Handler)
        self.paths: queue.Queue[str] = queue.Queue()
        self.url = f"http://127.0.0.1:{self.server_port}"
        hosts = [
            {
                "host": f"g1-h{n}",
                "zone": "z1",
                "domain": "d1",
                "incarnation": 1,
                "state": "live",
                "engine_url": f"{self.url}/engine",
            }
            for n in range(2)
        ]
        self.documents: dict[str, typing.Any] = {
            "/hosts": {"age_ms": 5, "hosts": hosts},
            "/engine/report": REPORT,
            "/engine/cache_events": {
                "events": [{"seq": 1, "prefix": "p", "op": "add"}],
                "next": 1,
            },
        }


class Sink:
    """Queues what the task publishes."""

    def __init__(self) -> None:
        self.views: queue.Queue[
            tuple[interfaces.TargetsView, tuple[interfaces.CacheEvent, ...]]
        ] = queue.Queue()

    def publish_targets(
        self,
        view: interfaces.TargetsView,
        events: tuple[interfaces.CacheEvent, ...],
    ) -> None:
        self.views.put((view, events))


class TaskTest(unittest.TestCase):
    """Guards the path from HTTP answers to a published view."""

    def setUp(self) -> None:
        self.platform = Platform()
        thread = threading.Thread(target=self.platform.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.platform.server_close)
        self.addCleanup(self.platform.shutdown)
        self.group = testing.make_group()
        self.control = fakes.ControlSource(fakes.make_control([self.group]))
        settings = self.control.current.configuration
        engines = attrs.evolve(settings.engines, report_interval_ms=50)
        self.control.set(configuration=attrs.evolve(settings, engines=engines))
        self.sink = Sink()
        self.task = targets.TargetsTask(
            "n1",
            "z1",
            self.platform.url,
            self.control,
            self.sink,
            clock.SystemClock(),
            random.Random(1),
        )
        self.task.start()
        self.addCleanup(self.task.stop)

    def wait(
        self,
        check: typing.Callable[
            [interfaces.TargetsView, tuple[interfaces.CacheEvent, ...]], bool
        ],
    ) -> interfaces.TargetsView:
        while True:
            view, events = self.sink.views.get(timeout=TIMEOUT_S)
            if check(view, events):
                return view

    def test_report_and_events_reach_the_sink(self) -> None:
        expected = interfaces.CacheEvent("g1", "p", True)
        view = self.wait(lambda view, events: expected in events)
        self.assertEqual(view.subset, {"g1"})
        self.assertEqual(view.urls, {"g1": f"{self.platform.url}/engine"})
        self.assertEqual(view.reports["g1"].load, 4)
        assert view.host_list is not None
        self.assertEqual(len(view.host_list.hosts), 2)

    def test_report_of_another_target_is_ignored(self) -> None:
        self.wait(lambda view, _: "g1" in view.reports)
        other = REPORT | {"target": "g2", "running": 9}
        self.platform.documents["/engine/report"] = other
        while "/engine/report" not in self.platform.paths.get():
            pass
        while not self.platform.paths.empty():
            self.platform.paths.get()
        for _ in range(3):
            self.platform.paths.get(timeout=TIMEOUT_S)
        view = self.sink.views.get(timeout=TIMEOUT_S)[0]
        self.assertEqual(view.reports["g1"].running, 3)

    def test_failed_reads_do_not_end_the_task(self) -> None:
        self.wait(lambda view, _: "g1" in view.reports)
        del self.platform.documents["/engine/report"]
        del self.platform.documents["/hosts"]
        while not self.platform.paths.empty():
            self.platform.paths.get()
        for _ in range(3):
            self.platform.paths.get(timeout=TIMEOUT_S)
        self.platform.documents["/engine/report"] = REPORT | {"running": 7}
        self.wait(
            lambda view, _: "g1" in view.reports
            and view.reports["g1"].running == 7
        )

    def test_targets_that_left_the_fold_are_dropped(self) -> None:
        self.wait(lambda view, _: "g1" in view.reports)
        self.control.set(groups={})
        view = self.wait(lambda view, _: not view.subset)
        self.assertEqual((view.reports, view.urls), ({}, {}))


class FetchTest(unittest.TestCase):
    """Guards against unbounded answers and leaked connections."""

    def setUp(self) -> None:
        self.platform = Platform()
        thread = threading.Thread(target=self.platform.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.platform.server_close)
        self.addCleanup(self.platform.shutdown)
        self.fetcher = _fetch.Fetcher(2)
        self.addCleanup(self.fetcher.close)

    def test_limit_and_status(self) -> None:
        url = f"{self.platform.url}/hosts"
        size = len(self.fetcher.get(url, 65_536).data)
        self.fetcher.get(url, size)
        with self.assertRaises(_fetch.FetchError):
            self.fetcher.get(url, size - 1)
        with self.assertRaises(_fetch.FetchError):
            self.fetcher.get(f"{self.platform.url}/missing", 65_536)

    def test_connections_are_reused_and_replaced(self) -> None:
        url = f"{self.platform.url}/hosts"
        self.fetcher.get(url, 65_536)
        [kept] = self.fetcher._idle.values()
        self.fetcher.get(url, 65_536)
        self.assertEqual(list(self.fetcher._idle.values()), [kept])
        assert kept.sock is not None
        kept.sock.shutdown(socket.SHUT_RDWR)
        self.fetcher.get(url, 65_536)
        self.assertNotEqual(list(self.fetcher._idle.values()), [kept])

    def test_unreachable_address(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unused:
            port = unused.getsockname()[1]
        with self.assertRaises(_fetch.FetchError):
            self.fetcher.get(f"http://127.0.0.1:{port}/report", 10)
