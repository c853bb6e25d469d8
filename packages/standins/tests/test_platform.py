"""Tests of the plain service and the weight store."""

import typing
import unittest

import urllib3

from quetzalward_core import clock
from quetzalward_standins import _http
from quetzalward_standins import _platform


class ServiceTest(unittest.TestCase):
    """Guards against a service that hides a repeated execution."""

    def setUp(self) -> None:
        self.service = _platform.Service()
        self.server = _http.Server(self.service.handle, threads=4)
        self.addCleanup(self.server.stop)
        self.pool = urllib3.PoolManager()

    def request(
        self, method: str, path: str, **more: typing.Any
    ) -> urllib3.BaseHTTPResponse:
        url = self.server.url + path
        return self.pool.request(method, url, retries=False, **more)

    def book(self, key: str) -> urllib3.BaseHTTPResponse:
        return self.request(
            "POST", "/bookings", headers={"Idempotency-Key": key}, json={}
        )

    def test_every_call_runs_and_is_counted(self) -> None:
        self.assertEqual(201, self.book('"k1"').status)
        self.assertEqual(201, self.book("k1").status)
        self.book("k2")
        executions = self.request("GET", "/executions").json()
        self.assertEqual({"k1": 2, "k2": 1}, executions)

    def test_status_call(self) -> None:
        self.assertEqual(404, self.request("GET", "/bookings/k1").status)
        self.book("k1")
        self.assertEqual(200, self.request("GET", "/bookings/k1").status)

    def test_lost_answer_follows_the_execution(self) -> None:
        self.service.set_faults({"lose_answers": 1})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.book("k1")
        self.assertEqual(1, self.service.executions["k1"])
        self.assertEqual(201, self.book("k2").status)

    def test_outage_rejects_before_execution(self) -> None:
        self.service.set_faults({"outage": True})
        self.assertEqual(503, self.book("k1").status)
        self.assertEqual(0, self.service.executions["k1"])

    def test_one_replica_is_cut_off(self) -> None:
        self.service.set_faults({"cut_clients": ["booking-a"]})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.request("POST", "/c/booking-a/bookings")
        self.assertEqual(
            201, self.request("POST", "/c/booking-b/bookings").status
        )

    def test_other_paths_echo(self) -> None:
        answer = self.request(
            "PUT", "/x/y?q=1", body=b"text", headers={"X-Test": "v"}
        )
        echo = answer.json()
        self.assertEqual(
            ("PUT", "/x/y", {"q": "1"}, "text", "v"),
            (
                echo["method"],
                echo["path"],
                echo["query"],
                echo["body"],
                echo["headers"]["x-test"],
            ),
        )


class WeightStoreTest(unittest.TestCase):
    """Guards against a weight store that ignores its rate limit."""

    def test_rate_is_429_until_tokens_return(self) -> None:
        manual = clock.ManualClock()
        settings = _platform.WeightSettings(
            fetches_per_s=1, burst=1, fetch_ms=0
        )
        store = _platform.WeightStore(settings, manual)
        request = _http.Request("GET", "/weights/draft", {}, {}, b"")
        self.assertEqual(200, store.handle(request).status)
        self.assertEqual(429, store.handle(request).status)
        manual.advance(1001)
        self.assertEqual(200, store.handle(request).status)
