"""Tests of the log's own rules."""

import threading
import typing
import unittest

import urllib3

from quetzalward_core import clock
from quetzalward_standins import _http
from quetzalward_standins import _log


class StreamsTest(unittest.TestCase):
    """Guards against wrong offsets, rates and retention."""

    def setUp(self) -> None:
        self.clock = clock.ManualClock(wall_ms=1000)

    def streams(self, **settings: typing.Any) -> _log.Streams:
        return _log.Streams(_log.LogSettings(**settings), self.clock)

    def test_offsets_are_counted_per_stream(self) -> None:
        streams = self.streams()
        self.assertEqual((0, 0), streams.append("a", "1", "x"))
        self.assertEqual((1, 0), streams.append("a", "1", "x"))
        self.assertEqual((0, 0), streams.append("b", "1", "x"))
        page = streams.read("a", 1, 10)
        self.assertEqual((0, 2), (page.first, page.following))
        self.assertEqual([_log.Record(1, "1", "x", 1000)], page.records)

    def test_appends_of_all_streams_share_one_rate(self) -> None:
        streams = self.streams(appends_per_s=100, burst=2)
        streams.append("a", "1", "")
        streams.append("b", "2", "")
        offset, wait_ms = streams.append("c", "3", "")
        self.assertEqual(-1, offset)
        self.clock.advance(wait_ms)
        self.assertEqual((0, 0), streams.append("c", "3", ""))

    def test_records_expire_by_count(self) -> None:
        streams = self.streams(retained_records=2)
        for number in range(5):
            streams.append("a", str(number), "")
        with self.assertRaises(_log.ExpiredError) as caught:
            streams.read("a", 2, 10)
        self.assertEqual(3, caught.exception.first)
        self.assertEqual(5, caught.exception.following)
        self.assertEqual(2, len(streams.read("a", 3, 10).records))

    def test_records_expire_by_time_without_appends(self) -> None:
        streams = self.streams(retention_ms=100)
        streams.append("a", "1", "")
        self.clock.advance(101)
        with self.assertRaises(_log.ExpiredError):
            streams.read("a", 0, 10)
        page = streams.read("a", 1, 10)
        self.assertEqual((1, 1, []), (page.first, page.following, []))


class LogServiceTest(unittest.TestCase):
    """Guards against a log that differs from the documented interface."""

    def setUp(self) -> None:
        settings = _log.LogSettings(appends_per_s=1000, retained_records=3)
        self.service = _log.LogService(settings, clock.SystemClock())
        self.server = _http.Server(self.service.handle, threads=8)
        self.addCleanup(self.server.stop)
        self.pool = urllib3.PoolManager()

    def request(
        self,
        method: str,
        query: str = "",
        prefix: str = "",
        **more: typing.Any,
    ) -> urllib3.BaseHTTPResponse:
        url = f"{self.server.url}{prefix}/v1/streams/control/records{query}"
        return self.pool.request(method, url, retries=False, **more)

    def append(self, id_: str, prefix: str = "") -> urllib3.BaseHTTPResponse:
        record = {"id": id_, "data": "d"}
        return self.request("POST", prefix=prefix, json=record)

    def test_append_and_read(self) -> None:
        self.assertEqual({"offset": 0}, self.append("a").json())
        page = self.request("GET", "?from=0").json()
        time_ms = page["records"][0].pop("time_ms")
        self.assertGreater(time_ms, 0)
        record = {"offset": 0, "id": "a", "data": "d"}
        self.assertEqual({"first": 0, "next": 1, "records": [record]}, page)

    def test_expired_offset_is_410(self) -> None:
        for number in range(5):
            self.append(str(number))
        answer = self.request("GET", "?from=0")
        self.assertEqual(410, answer.status)
        self.assertEqual(2, answer.json()["first"])
        self.assertEqual(5, answer.json()["next"])

    def test_lost_answer_keeps_the_record(self) -> None:
        self.service.set_faults({"lose_appends": 1})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.append("a")
        self.assertEqual({"offset": 1}, self.append("a").json())

    def test_outage_is_503_and_ends(self) -> None:
        self.service.set_faults({"outage": True})
        self.assertEqual(503, self.append("a").status)
        self.assertEqual(503, self.request("GET", "?from=0").status)
        self.service.set_faults({"outage": False})
        self.assertEqual({"offset": 0}, self.append("a").json())

    def test_one_client_is_cut_off(self) -> None:
        self.service.set_faults({"cut_clients": ["node-1"]})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.append("a", "/c/node-1")
        self.assertEqual(200, self.append("a", "/c/node-2").status)

    def test_waiting_read_gets_a_later_record(self) -> None:
        answers = []

        def read() -> None:
            answer = self.request("GET", "?from=0&wait_ms=30000")
            answers.append(answer.json()["records"][0]["id"])

        reader = threading.Thread(target=read)
        reader.start()
        self.append("late")
        reader.join()
        self.assertEqual(["late"], answers)

    def test_rate_is_429(self) -> None:
        settings = _log.LogSettings(burst=1)
        manual = _log.LogService(settings, clock.ManualClock())
        request = _http.Request(
            "POST",
            "/v1/streams/a/records",
            {},
            {},
            b'{"id": "a", "data": ""}',
        )
        self.assertEqual(200, manual.handle(request).status)
        self.assertEqual(429, manual.handle(request).status)
