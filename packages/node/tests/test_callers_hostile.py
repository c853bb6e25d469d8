"""Tests of malformed, hostile and excessive input."""

import json
import socket
import unittest

import callers_fakes
import hypothesis
from hypothesis import strategies
import logbook

from quetzalward_core import errors
from quetzalward_node import _problems
from quetzalward_node import callers
from quetzalward_node.callers import _drafts
from quetzalward_node.callers import _framing

SHORT = callers.ConnectionLimits(
    header_timeout_ms=150, body_timeout_ms=150, idle_timeout_ms=150
)
HEAD = b"Host: test\r\nAuthorization: Bearer key-north\r\n"
VALID = callers_fakes.raw_request(
    "/v1/completions", {"model": "small", "prompt": "p", "max_tokens": 2}
)
CHUNKED = (
    b"POST /v1/completions HTTP/1.1\r\n"
    + HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
)
BODY = b'{"model": "small", "prompt": "p", "max_tokens": 2}'


def post(path=b"/v1/completions", extra=b"", body=BODY):
    """Return a request with extra header lines."""
    length = b"Content-Length: %d\r\n" % len(body)
    start = b"POST " + path + b" HTTP/1.1\r\n"
    return start + HEAD + length + extra + b"\r\n" + body


class HostileTestCase(unittest.TestCase):
    """Starts a callers' server with short time-outs."""

    def start(self, connection_limits=SHORT, **front):
        self.engine = callers_fakes.Engine()
        self.addCleanup(self.engine.close)
        self.front = callers_fakes.Front(
            [self.engine.url], connection_limits=connection_limits, **front
        )
        self.addCleanup(self.front.close)

    def send(self, *parts):
        """Send bytes and return all responses up to the server's close."""
        with self.front.connect() as sock:
            try:
                for part in parts:
                    sock.sendall(part)
            except ConnectionError:
                pass
            data = callers_fakes.receive_all(sock)
        return callers_fakes.parse_responses(data)

    def assert_kind(self, kind, *parts):
        responses = self.send(*parts)
        self.assertEqual(1, len(responses), responses)
        problem = responses[0].problem
        self.assertEqual(kind, problem["kind"], problem)
        self.assertEqual(responses[0].status, problem["status"])
        media = responses[0].headers["content-type"]
        self.assertEqual("application/problem+json", media)
        return responses[0]

    def assert_alive(self):
        responses = self.send(VALID)
        self.assertEqual([200], [response.status for response in responses])
        self.assertTrue(self.front.router.wait_all_released())


class KindTest(HostileTestCase):
    """Guards against invalid input that gets the wrong error kind."""

    def test_each_malformed_request_has_its_kind(self):
        self.start()
        malformed = (
            b"nonsense\r\n\r\n",
            b"POST /v1/completions\r\n\r\n",
            b"POST /v1/completions HTTP/9.9\r\nHost: a\r\n\r\n",
            b"post /v1/models HTTP/1.1\r\n" + HEAD + b"\r\n",
            b"GET //[ HTTP/1.1\r\n" + HEAD + b"\r\n",
            b"GET /v1/models#x HTTP/1.1\r\n" + HEAD + b"\r\n",
            b"GET http://a/v1/models HTTP/1.1\r\n" + HEAD + b"\r\n",
            b"GET /v1/models HTTP/1.1\nHost: a\n\n",
            b"GET /v1/models HTTP/1.1\r\nAuthorization: Bearer a\r\n\r\n",
            post(extra=b"X-A : b\r\n"),
            post(extra=b"X-A: b\r\n folded\r\n"),
            post(extra=b"X-A: a\x00b\r\n"),
            post(extra=b"no colon\r\n"),
            post(extra=b"Content-Length: 5\r\n"),
            post(extra=b"Transfer-Encoding: chunked\r\n"),
            post(extra=b"Authorization: Bearer key-south\r\n"),
            post(extra=b"Host: other\r\n"),
            post(extra=b"Last-Event-ID: a\r\nLast-Event-ID: b\r\n"),
            post(extra=b"Content-Encoding: gzip\r\n"),
            CHUNKED + b"zz\r\n",
            CHUNKED + b"-5\r\n",
            CHUNKED + b"2\r\nabc\r\n",
            CHUNKED.replace(b"chunked", b"gzip, chunked") + b"0\r\n\r\n",
            VALID.replace(b"Length: ", b"Length: +"),
            post(body=b"{"),
            post(body=b"[]"),
            post(body=b"\xff"),
            post(body=b'{"model": "small", "prompt": NaN}'),
            post(body=b'{"model": "small", "model": "x", "prompt": "p"}'),
            post(body=b'{"model": "small", "prompt": "\\ud800"}'),
            post(body=b"[" * 100_000),
            post(body=b'{"model": 1, "prompt": "p"}'),
            post(body=b'{"model": "small", "prompt": 5}'),
            post(body=b'{"model": "small"}'),
        )
        for request in malformed:
            with self.subTest(request=request[:200]):
                self.assert_kind("malformed_request", request)
        self.assert_alive()
        self.assertEqual(1, len(self.front.router.granted))

    def test_other_kinds(self):
        self.start(max_body_bytes=1_000, max_header_bytes=2_000)
        unknown = BODY.replace(b"small", b"tiny")
        for kind, request in (
            ("unauthenticated", b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"),
            ("unauthenticated", post().replace(b"Bearer", b"Basic")),
            ("unknown_model", post(body=unknown)),
            ("not_found", post(b"/nowhere")),
            ("method_not_allowed", post(b"/v1/models")),
            ("method_not_allowed", VALID.replace(b"POST", b"GET")),
            ("method_not_allowed", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"),
            ("body_too_large", post(body=b" " * 1_001)),
            ("body_too_large", CHUNKED + b"3e9\r\n"),
            ("body_too_large", post().replace(b"Length: ", b"Length: 999999")),
            ("headers_too_large", post(extra=b"X-A: " + b"b" * 2_000)),
            ("headers_too_large", b"GET /" + b"a" * 4_000),
            ("headers_too_large", post(extra=b"X: 1\r\n" * 101)),
            ("caller_timeout", VALID[:20]),
            ("caller_timeout", VALID[:-1]),
            ("caller_timeout", CHUNKED + b"5\r\nab"),
        ):
            with self.subTest(kind=kind, request=request[:200]):
                self.assert_kind(kind, request)
        self.assert_alive()

    def test_wrong_types_in_bodies(self):
        good = {"model": "m", "prompt": "p"}
        chat = {"model": "m", "messages": [{"role": "user", "content": "a"}]}
        for endpoint, base, changes in (
            (
                _drafts.Endpoint.TEXT,
                good,
                (
                    {"max_tokens": 0},
                    {"max_tokens": True},
                    {"max_tokens": "5"},
                    {"n": 2},
                    {"best_of": 3},
                    {"stream": "yes"},
                    {"stream": 1},
                    {"stream_options": []},
                    {"stream_options": {"include_usage": 1}},
                    {"seed": 1.5},
                    {"seed": 2**64},
                    {"resume_from": 3},
                    {"prompt": ["a", "b"]},
                    {"prompt": [1, 2]},
                ),
            ),
            (
                _drafts.Endpoint.CHAT,
                chat,
                (
                    {"messages": []},
                    {"messages": "a"},
                    {"messages": ["a"]},
                    {"messages": [{"content": "a"}]},
                    {"messages": [{"role": 1}]},
                    {"messages": [{"role": "user", "content": 5}]},
                    {"messages": [{"role": "user", "content": ["a"]}]},
                    {"messages": [{"role": "u", "content": [{"text": 1}]}]},
                ),
            ),
        ):
            _drafts.parse(endpoint, json.dumps(base).encode())
            for change in changes:
                with self.subTest(change=change):
                    body = json.dumps({**base, **change}).encode()
                    with self.assertRaises(errors.QuetzalwardError) as raised:
                        _drafts.parse(endpoint, body)
                    kind = errors.ErrorKind.MALFORMED_REQUEST
                    self.assertIs(kind, raised.exception.kind)

    def test_control_characters_are_escaped_in_details(self):
        self.start()
        body = json.dumps({"model": "a\r\n\x1b[1m\u202e", "prompt": "p"})
        response = self.assert_kind("unknown_model", post(body=body.encode()))
        detail = response.problem["detail"]
        self.assertEqual("a\\r\\n\\x1b[1m\\u202e", detail)
        self.assertEqual("a\\x00b", _problems.escape("a\x00b"))

    def test_internal_error_is_answered_and_frees_everything(self):
        self.start()
        acquire = self.front.router.acquire
        self.front.router.acquire = None
        self.assert_kind("internal", VALID)
        self.front.router.acquire = acquire
        self.front.router.finished.clear()
        for _ in range(3):
            self.assert_alive()


class LogTest(HostileTestCase):
    """Guards against log lines that a caller can forge or multiply."""

    def test_unexpected_error_is_logged_once_and_escaped(self):
        self.start()

        def fail(request):
            raise ValueError(f"bad {request.prompt}")

        self.front.router.acquire = fail
        body = json.dumps({"model": "small", "prompt": "a\r\nb\x1b[1m"})
        handler = logbook.TestHandler()
        # Application-wide, since the workers log from their own threads.
        handler.push_application()
        self.addCleanup(handler.pop_application)
        for _ in range(3):
            self.assert_kind("internal", post(body=body.encode()))
        errors_logged = [
            record.message
            for record in handler.records
            if record.level >= logbook.ERROR
        ]
        self.assertEqual(1, len(errors_logged))
        self.assertTrue(errors_logged[0].isprintable(), errors_logged)
        self.assertIn("ValueError: bad a", errors_logged[0])


class AcceptedTest(HostileTestCase):
    """Guards against rejecting unusual but valid requests."""

    def assert_ok(self, *parts, count=1):
        responses = self.send(*parts)
        statuses = [response.status for response in responses]
        self.assertEqual([200] * count, statuses, responses)

    def test_valid_forms(self):
        self.start()
        size = b"%x" % len(BODY)
        for request in (
            VALID,
            b"\r\n" + VALID,
            CHUNKED + size + b"\r\n" + BODY + b"\r\n0\r\n\r\n",
            CHUNKED + size + b";a=b\r\n" + BODY + b"\r\n0\r\nX: y\r\n\r\n",
            CHUNKED
            + b"1\r\n{\r\n"
            + b"%x\r\n" % (len(BODY) - 1)
            + BODY[1:]
            + b"\r\n0\r\n\r\n",
            VALID.replace(b"HTTP/1.1", b"HTTP/1.0"),
            post(extra=b"X-A:\r\nX-A: \xe9\r\n"),
            post(extra=b"authorization2: a\r\n"),
        ):
            with self.subTest(request=request):
                self.assert_ok(request)

    def test_request_in_single_bytes(self):
        self.start()
        with self.front.connect() as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for value in VALID:
                sock.sendall(bytes([value]))
            responses = callers_fakes.parse_responses(
                callers_fakes.receive_all(sock)
            )
        self.assertEqual([200], [response.status for response in responses])

    def test_pipelined_requests_are_answered_in_order(self):
        self.start()
        other = VALID.replace(b'"p"', b'"q"')
        responses = self.send(VALID + other + VALID)
        texts = [json.loads(a.body)["choices"][0]["text"] for a in responses]
        expected = [callers_fakes.text(prompt, 2) for prompt in "pqp"]
        self.assertEqual(expected, texts)

    def test_caller_that_waits_for_100_continue(self):
        self.start()
        request = post(extra=b"Expect: 100-continue\r\n")
        head, body = request[: -len(BODY)], BODY
        with self.front.connect() as sock:
            sock.sendall(head)
            interim = sock.recv(65_536)
            self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", interim)
            sock.sendall(body)
            data = callers_fakes.receive_all(sock)
        responses = callers_fakes.parse_responses(data)
        self.assertEqual([200], [response.status for response in responses])

    def test_framing_does_not_depend_on_packet_boundaries(self):
        data = VALID + CHUNKED + b"3\r\nabc\r\n0\r\n\r\n" + VALID
        for size in range(1, 80):
            framer = _framing.Framer(32_768, 1_000)
            bodies = []
            for at in range(0, len(data), size):
                framer.feed(data[at : at + size])
                while (request := framer.take()) is not None:
                    bodies.append(request.body)
            self.assertEqual([BODY, b"abc", BODY], bodies)


def _pieces():
    """Return a strategy of raw requests, most of them nearly valid."""
    tokens = strategies.sampled_from(
        [
            b"\r\n",
            b"\n",
            b"\r\n\r\n",
            b" ",
            b":",
            b"\x00",
            b"\xff",
            b"Content-Length: 3\r\n",
            b"Content-Length: 99999999999999999999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: close\r\n",
            b"Expect: 100-continue\r\n",
            b"Last-Event-ID: 0.0.0\r\n",
            b"Idempotency-Key: k\r\n",
            b"HTTP/1.1",
            b"HTTP/1.0",
            b"GET ",
            b"HEAD ",
            b"OPTIONS * ",
            b"/services/booking/stock",
            b"/services/booking/%2e%2e/x",
            b"/v1/models",
            b'{"',
            b'"stream": true, ',
            b"0\r\n\r\n",
            b"ffffffff\r\n",
        ]
    )
    junk = strategies.one_of(tokens, strategies.binary(max_size=8))
    base = strategies.sampled_from(
        [
            VALID,
            VALID.replace(b'"model"', b'"stream": true, "model"'),
            CHUNKED + b"3\r\nabc\r\n0\r\n\r\n",
            callers_fakes.raw_request("/v1/models", method="GET"),
            callers_fakes.raw_request("/services/booking/stock"),
        ]
    )

    @strategies.composite
    def changed(draw):
        data = draw(base)
        for _ in range(draw(strategies.integers(0, 3))):
            start = draw(strategies.integers(0, len(data)))
            length = draw(strategies.integers(0, 6))
            data = data[:start] + draw(junk) + data[start + length :]
        return data

    joined = strategies.lists(junk, max_size=8).map(b"".join)
    return strategies.one_of(changed(), changed(), joined)


class FuzzTest(HostileTestCase):
    """Guards against input that ends a thread or gets an unlisted error."""

    def check(self, response):
        if response.status == 200:
            return
        if not response.body:
            # A response to HEAD.
            return
        problem = response.problem
        kind = errors.ErrorKind(problem["kind"])
        self.assertEqual(errors.PROBLEM_TYPES[kind].status, response.status)
        self.assertIsNot(errors.ErrorKind.INTERNAL, kind)

    def test_every_response_is_a_listed_kind_or_a_success(self):
        self.start(threads=4)

        @hypothesis.settings(
            derandomize=True,
            max_examples=30,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        @hypothesis.given(strategies.lists(_pieces(), min_size=8, max_size=8))
        def run(requests):
            socks = [self.front.connect() for _ in requests]
            for sock, data in zip(socks, requests, strict=True):
                try:
                    sock.sendall(data)
                except ConnectionError:
                    continue
            for sock in socks:
                with sock:
                    received = callers_fakes.receive_all(sock)
                for response in callers_fakes.parse_responses(received):
                    self.check(response)

        run()
        self.assert_alive()
        self.assertEqual(0, self.front.server.in_progress)
