"""Tests of calls forwarded to plain services."""

import http.client
import json
import threading
import unittest

import callers_fakes

from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node.callers import _hops
from quetzalward_node import interfaces


class ServiceTestCase(unittest.TestCase):
    """Starts services and a callers' server."""

    def start(self, *services, **front):
        self.services = services
        for service in services:
            self.addCleanup(service.close)
        urls = [service.url for service in services]
        self.front = callers_fakes.Front(urls, **front)
        self.addCleanup(self.front.close)

    def call(self, method, path, body=b"", key=None, **headers):
        """Return status, headers and body of one call."""
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        named.setdefault("Authorization", "Bearer key-north")
        if key is not None:
            named["Idempotency-Key"] = key
        connection = http.client.HTTPConnection(
            *self.front.address, timeout=callers_fakes.WAIT_S
        )
        try:
            connection.request(method, f"/services/booking{path}", body, named)
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()

    def assert_problem(self, kind, outcome, response):
        status, headers, body = response
        problem = json.loads(body)
        self.assertEqual(
            (kind, outcome), (problem["kind"], problem["outcome"])
        )
        self.assertEqual("application/problem+json", headers["Content-Type"])
        self.assertTrue(self.front.router.wait_all_released())
        return problem

    def request_counts(self):
        return [len(service.requests) for service in self.services]


class PassThroughTest(ServiceTestCase):
    """Guards against altered calls and leaked headers."""

    def test_method_path_body_and_headers_pass(self):
        self.start(callers_fakes.Service())
        self.services[0].status = 201
        self.services[0].answer = b'{"ok": 1}'
        status, headers, body = self.call(
            "PUT",
            "/a%20b/c?x=1&y=%2F",
            b"body",
            X_Own="kept",
            X_Hop="dropped",
            Connection="close, X-Hop",
            TE="trailers",
            X_Quetzalward_Customer="south",
        )
        self.assertEqual((201, b'{"ok": 1}'), (status, body))
        self.assertEqual("/a%20b/c?x=1&y=%2F", headers["X-Seen"])
        self.assertNotIn("X-Internal", headers)
        method, path, pairs, seen = self.services[0].requests[0]
        self.assertEqual(("PUT", b"body"), (method, seen))
        sent = {name.lower(): value for name, value in pairs}
        self.assertEqual("kept", sent["x-own"])
        self.assertEqual("north", sent["x-quetzalward-customer"])
        self.assertIn("traceparent", sent)
        for name in ("x-hop", "te", "authorization"):
            self.assertNotIn(name, sent)

    def test_large_response_is_passed_in_parts(self):
        self.start(callers_fakes.Service())
        content = bytes(range(256)) * 8_000
        self.services[0].answer = content
        self.assertEqual(content, self.call("GET", "/stock")[2])
        self.assertTrue(self.front.router.wait_all_released())

    def test_head_has_the_length_and_no_body(self):
        self.start(callers_fakes.Service())
        self.services[0].answer = b"x" * 500
        status, headers, body = self.call("HEAD", "/stock")
        self.assertEqual(
            (200, "500", b""), (status, headers["Content-Length"], body)
        )

    def test_truncated_response_is_detectable(self):
        self.start(callers_fakes.Service())
        self.services[0].answer = b"x" * 1_000_000
        self.services[0].cut_at = 600_000
        with self.assertRaises(http.client.IncompleteRead):
            self.call("POST", "/bookings", b"{}")
        self.assertTrue(self.front.router.wait_all_released())

    def test_event_stream_that_breaks_off_is_detectable(self):
        """The end of the connection ended an event like a whole body."""
        self.start(callers_fakes.Service())
        service = self.services[0]
        service.content_type, service.has_length = "text/event-stream", False
        event = b"data: x\n\n"
        service.answer = event
        self.assertEqual(event, self.call("GET", "/events")[2])
        service.answer = event + event[:-1]
        status, _, _ = self.call("GET", "/events")
        self.assertEqual(502, status)
        service.answer = event * 100_000 + event[:-1]
        with self.assertRaises(http.client.IncompleteRead):
            self.call("GET", "/events")

    def test_unknown_and_forbidden_services(self):
        self.start(callers_fakes.Service())
        south = {"Authorization": "Bearer key-south"}
        self.assert_problem(
            "forbidden", "not_run", self.call("GET", "/stock", **south)
        )
        with self.front.connect() as sock:
            sock.sendall(
                callers_fakes.raw_request(
                    "/services/none/x", headers={"Connection": "close"}
                )
            )
            data = callers_fakes.receive_all(sock)
        self.assertIn(b'"unknown_service"', data)
        self.assertEqual([0], self.request_counts())

    def test_dot_segments_and_odd_methods_are_refused(self):
        self.start(callers_fakes.Service())
        for path in (
            "/stock/./x",
            "/stock/../x",
            "/stock/%2e%2e/x",
            "/stock/.%2E%5cx",
        ):
            response = self.call("GET", path)
            self.assert_problem("malformed_request", "not_run", response)
        response = self.call("TRACE", "/stock")
        self.assert_problem("method_not_allowed", "not_run", response)
        self.assertEqual([0], self.request_counts())


class UnkeyedTest(ServiceTestCase):
    """Guards against retrying a call that may not run twice."""

    def test_call_that_broke_after_sending_is_not_repeated(self):
        self.start(callers_fakes.Service(), callers_fakes.Service())
        self.services[0].drop = True
        response = self.call("POST", "/bookings", b"{}")
        self.assert_problem("target_failed", "unknown", response)
        self.assertEqual([1, 0], self.request_counts())

    def test_only_repeatable_calls_use_kept_connections(self):
        self.start(callers_fakes.Service())
        for key in (None, "a", None, "b"):
            self.call("POST", "/bookings", b"{}", key)
        self.assertEqual(4, len(set(self.services[0].peers)))
        for _ in range(4):
            self.call("GET", "/stock")
        self.assertEqual(4, len(set(self.services[0].peers)))

    def test_error_status_is_passed_on_and_not_repeated(self):
        self.start(callers_fakes.Service(), callers_fakes.Service())
        self.services[0].status = 503
        self.assertEqual(503, self.call("POST", "/bookings", b"{}")[0])
        self.assertEqual([1, 0], self.request_counts())

    def test_call_that_was_never_connected_is_repeated(self):
        self.start(callers_fakes.Service(), callers_fakes.Service())
        self.services[0].close()
        self.addCleanup(setattr, self.services[0], "close", lambda: None)
        self.services[0].close = lambda: None
        self.assertEqual(200, self.call("POST", "/bookings", b"{}")[0])
        self.assertEqual([0, 1], self.request_counts())

    def test_unreachable_service_did_not_run(self):
        self.start(callers_fakes.Service())
        self.services[0].close()
        self.services[0].close = lambda: None
        response = self.call("POST", "/bookings", b"{}")
        problem = self.assert_problem("target_failed", "not_run", response)
        self.assertTrue(problem["retryable"])

    def test_time_out_is_unknown(self):
        self.start(callers_fakes.Service())
        service = self.front.configuration.services["booking"]
        self.front.configuration.services["booking"] = config.Service(
            service.targets, timeout_ms=200
        )
        self.services[0].stall.set()
        response = self.call("POST", "/bookings", b"{}")
        self.assert_problem("target_timeout", "unknown", response)
        self.assertEqual(
            [interfaces.AttemptResult.TIMED_OUT], self.front.router.results()
        )


class RepeatableTest(ServiceTestCase):
    """Guards against failures that a retry would have hidden."""

    def test_broken_and_failing_replicas_are_skipped(self):
        self.start(*(callers_fakes.Service() for _ in range(3)))
        self.services[0].drop = True
        self.services[1].status = 503
        self.assertEqual(200, self.call("GET", "/stock/7")[0])
        self.assertEqual([1, 1, 1], self.request_counts())

    def test_call_that_ends_every_replica_is_sent_to_few(self):
        """A repeatable call under which replicas crash must not end all."""
        self.start(*(callers_fakes.Service() for _ in range(6)))
        for service in self.services:
            service.drop = True
        response = self.call("GET", "/stock/7")
        self.assert_problem("target_failed", "unknown", response)
        self.assertEqual(3, sum(self.request_counts()))

    def test_repeat_of_a_call_that_ended_replicas_is_refused(self):
        """Its caller, or another one of the customer, sends it again."""
        self.start(*(callers_fakes.Service() for _ in range(9)))
        for service in self.services:
            service.drop = True
        self.call("GET", "/stock/7")
        for _ in range(4):
            response = self.call("GET", "/stock/7")
            self.assert_problem("prompt_blocked", "not_run", response)
        self.assertEqual(3, sum(self.request_counts()))

    def test_call_that_runs_once_is_refused_after_three_replicas(self):
        """Each arrival ends one replica, as it is never sent again."""
        self.start(callers_fakes.Service())
        self.services[0].drop = True
        for _ in range(3):
            response = self.call("POST", "/bookings", b"same")
            self.assert_problem("target_failed", "unknown", response)
        response = self.call("POST", "/bookings", b"same")
        self.assert_problem("prompt_blocked", "not_run", response)
        self.services[0].drop = False
        self.assertEqual(200, self.call("POST", "/bookings", b"other")[0])
        self.assertEqual([4], self.request_counts())

    def test_answer_in_between_clears_a_call(self):
        self.start(callers_fakes.Service())
        for drop in (True, True, False, True, True):
            self.services[0].drop = drop
            self.call("POST", "/bookings", b"same")
        self.assertEqual([5], self.request_counts())

    def test_last_response_is_passed_on_when_the_budget_is_spent(self):
        self.start(callers_fakes.Service(), callers_fakes.Service(), retries=0)
        self.services[0].status = 503
        self.assertEqual(503, self.call("GET", "/stock")[0])
        self.assertEqual([1, 0], self.request_counts())

    def test_unreachable_replica_does_not_hide_an_earlier_attempt(self):
        self.start(callers_fakes.Service(), callers_fakes.Service())
        self.services[0].drop = True
        self.services[1].close()
        self.services[1].close = lambda: None
        response = self.call("GET", "/stock")
        self.assert_problem("target_failed", "unknown", response)

    def test_caller_that_disconnected_ends_the_call(self):
        self.start(callers_fakes.Service())
        self.services[0].stall.set()
        with self.front.connect() as sock:
            sock.sendall(
                callers_fakes.raw_request(
                    "/services/booking/stock", method="GET"
                )
            )
            service = self.services[0]
            service.wait_for(lambda: bool(service.requests))
        self.assertTrue(self.front.router.wait_all_released())
        self.assertEqual([1], self.request_counts())


class KeyedTest(ServiceTestCase):
    """Guards against two runs of one key and against lost outcomes (R7)."""

    def book(self, key="k-1", body=b"{}", **headers):
        return self.call("POST", "/bookings", body, key, **headers)

    def test_response_is_replayed_without_a_second_run(self):
        self.start(callers_fakes.Service())
        self.services[0].status = 201
        self.services[0].answer = b'{"booked": 1}'
        first = self.book()
        second = self.book('"k-1"')
        for status, headers, body in (first, second):
            self.assertEqual((201, b'{"booked": 1}'), (status, body))
            self.assertEqual("application/json", headers["Content-Type"])
        self.assertEqual([1], self.request_counts())
        self.assertEqual([("finish", "k-1")], self.front.calls.events)

    def test_key_with_another_body_is_refused(self):
        self.start(callers_fakes.Service())
        self.book()
        for response in (
            self.book(body=b"{ }"),
            self.call("POST", "/bookings?x", b"{}", "k-1"),
            self.call("PUT", "/bookings", b"{}", "k-1"),
        ):
            self.assert_problem("key_reused", "not_run", response)
        self.assertEqual([1], self.request_counts())

    def test_key_space_belongs_to_one_customer(self):
        self.start(callers_fakes.Service())
        customers = self.front.configuration.customers
        customers["south"] = customers["south"].__class__(
            key_sha256=customers["south"].key_sha256
        )
        self.book()
        self.book(body=b"[]", Authorization="Bearer key-south")
        self.assertEqual([2], self.request_counts())

    def test_second_call_while_the_first_runs(self):
        self.start(callers_fakes.Service())
        service = self.services[0]
        service.stall.set()
        thread = threading.Thread(target=self.book)
        thread.start()
        service.wait_for(lambda: bool(service.requests))
        response = self.book()
        problem = self.assert_in_progress(response)
        self.assertTrue(problem["retryable"])
        service.released.set()
        thread.join(callers_fakes.WAIT_S)
        self.assertEqual([1], self.request_counts())

    def assert_in_progress(self, response):
        status, headers, body = response
        problem = json.loads(body)
        self.assertEqual((409, "1"), (status, headers["Retry-After"]))
        self.assertEqual("call_in_progress", problem["kind"])
        return problem

    def test_call_that_never_connected_frees_its_key(self):
        self.start(callers_fakes.Service())
        self.services[0].close()
        self.services[0].close = lambda: None
        self.assert_problem("target_failed", "not_run", self.book())
        self.assertEqual([("abandon", "k-1")], self.front.calls.events)

    def test_router_refusal_frees_the_key(self):
        self.start(callers_fakes.Service())
        self.front.router.error = errors.QuetzalwardError(
            errors.ErrorKind.NODE_ISOLATED, "cut off"
        )
        self.assert_problem("node_isolated", "not_run", self.book())
        self.assertEqual([("abandon", "k-1")], self.front.calls.events)

    def test_lost_response_is_unknown_and_never_repeated(self):
        self.start(callers_fakes.Service(), callers_fakes.Service())
        self.services[0].drop = True
        self.assert_problem("outcome_unknown", "unknown", self.book())
        self.assertEqual([("unknown", "k-1")], self.front.calls.events)
        self.assertEqual([1, 0], self.request_counts())

    def test_truncated_response_is_known_to_have_run(self):
        self.start(callers_fakes.Service())
        self.services[0].answer = b"x" * 100
        self.services[0].cut_at = 50
        self.assert_problem("target_failed", "ran", self.book())
        self.services[0].cut_at = None
        self.assert_problem("result_not_kept", "ran", self.book())
        self.assertEqual([1], self.request_counts())

    def test_large_response_is_recorded_once_without_its_body(self):
        self.start(callers_fakes.Service())
        for size, key in ((20_000, "a"), (1_000_000, "b")):
            self.services[0].answer = b"x" * size
            self.assertEqual(size, len(self.book(key)[2]))
            self.assert_problem("result_not_kept", "ran", self.book(key))
        events = [("finish", "a"), ("finish", "b")]
        self.assertEqual(events, self.front.calls.events)

    def test_caller_that_disconnected_does_not_stop_a_keyed_call(self):
        self.start(callers_fakes.Service())
        service = self.services[0]
        service.stall.set()
        with self.front.connect() as sock:
            sock.sendall(
                callers_fakes.raw_request(
                    "/services/booking/bookings",
                    {},
                    headers={"Idempotency-Key": "k-1"},
                )
            )
            service.wait_for(lambda: bool(service.requests))
        service.stall.clear()
        service.released.set()
        self.assertTrue(self.front.router.wait_all_released())
        self.front.close()
        self.assertEqual([("finish", "k-1")], self.front.calls.events)

    def test_log_outage_refuses_keyed_calls(self):
        self.start(callers_fakes.Service())
        self.front.calls.error = errors.QuetzalwardError(
            errors.ErrorKind.LOG_UNAVAILABLE, "log out", 2_500
        )
        status, headers, body = self.book()
        self.assertEqual((503, "3"), (status, headers["Retry-After"]))
        self.assertEqual([0], self.request_counts())

    def test_error_of_the_node_after_sending_is_not_reported_as_not_run(self):
        self.start(callers_fakes.Service())
        self.front.calls.finish = None
        self.assert_problem("internal", "unknown", self.book())
        self.assertEqual([("unknown", "k-1")], self.front.calls.events)

    def test_key_on_a_repeatable_call_needs_no_registry(self):
        self.start(callers_fakes.Service())
        self.assertEqual(200, self.call("GET", "/stock", key="k")[0])
        self.assertEqual([], self.front.calls.events)

    def test_malformed_keys(self):
        self.start(callers_fakes.Service())
        for key in ("", '""', '"a', "a b", "a,b", '"\u00e9"', "x" * 256):
            with self.subTest(key=key):
                response = self.book(key.encode("latin-1"))
                self.assert_problem("malformed_request", "not_run", response)
        self.assertEqual([0], self.request_counts())


class RepeatableRuleTest(unittest.TestCase):
    """Guards against repeating a call that only looks repeatable."""

    def test_prefix_ends_at_a_segment(self):
        service = config.Service(
            targets=(), repeatable=(config.RepeatableCall("GET", "/stock"),)
        )
        for method, path, expected in (
            ("GET", "/stock", True),
            ("GET", "/stock/7", True),
            ("GET", "/stockpile", False),
            ("POST", "/stock", False),
            ("GET", "/%73tock", False),
            ("GET", "/", False),
        ):
            found = _hops.is_repeatable(service, method, path)
            self.assertEqual(expected, found, path)


class ExpiredGrantTest(ServiceTestCase):
    """Guards against sending a call on an expired grant, after a pause."""

    def test_keyed_call_did_not_run_and_its_key_is_free(self):
        self.start(callers_fakes.Service())
        self.front.router.expire_next = 10
        response = self.call("POST", "/bookings", b"{}", key="k1")
        self.assert_problem("overloaded", "not_run", response)
        self.assertEqual([0], self.request_counts())
        self.front.router.expire_next = 0
        status, _, _ = self.call("POST", "/bookings", b"{}", key="k1")
        self.assertEqual(200, status)
        self.assertEqual([1], self.request_counts())
