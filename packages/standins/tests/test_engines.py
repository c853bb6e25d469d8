"""Tests of serving: token rule, batch, cold start, cancel."""

import threading
import typing

import attrs
import support
import urllib3

from quetzalward_standins import _openai
from quetzalward_standins import _target
from quetzalward_standins import answers

# Long enough to be in progress while a test acts on it.
LONG = 8000


class AnswerTest(support.EngineCase):
    """Guards against answers that break the token rule or the format."""

    def setUp(self) -> None:
        super().setUp()
        self.serve("g1", [0, 1])

    def test_stream_follows_the_token_rule(self) -> None:
        body = support.draft("q", 20, stream=True)
        answer = self.chat(0, body)
        self.assertEqual(200, answer.status)
        text = support.stream_text(answer.data)
        self.assertEqual(answers.expected(body, 0, 20), text)

    def test_stream_names_its_request(self) -> None:
        body = support.draft("q", 1, stream=True)
        answer = self.chat(0, body, headers={"X-Request-Id": "r1"})
        self.assertEqual("r1", answer.headers["X-Request-Id"])

    def test_resumed_stream_has_exactly_the_rest(self) -> None:
        body = support.draft("q", 20, stream=True, resume_from=7)
        text = support.stream_text(self.chat(0, body).data)
        self.assertEqual(answers.expected(body, 7, 20), text)

    def test_json_answers(self) -> None:
        body = support.draft("q", 5)
        document = self.chat(0, body).json()
        message = document["choices"][0]["message"]
        self.assertEqual(answers.expected(body, 0, 5), message["content"])
        self.assertEqual(5, document["usage"]["completion_tokens"])
        body = {"model": "draft", "prompt": "p", "max_tokens": 5}
        document = self.post(0, "/v1/completions", body).json()
        self.assertEqual(
            answers.expected(body, 0, 5), document["choices"][0]["text"]
        )

    def test_usage_of_a_stream(self) -> None:
        options = {"include_usage": True}
        body = support.draft("q", 5, stream=True, stream_options=options)
        data = self.chat(0, body).data
        self.assertIn(b'"completion_tokens": 5', data)

    def test_refusals_do_not_run(self) -> None:
        other = {**support.draft("q", 5), "model": "other"}
        self.assertEqual(404, self.chat(0, other).status)
        self.assertEqual(503, self.chat(1, support.draft("q", 5)).status)
        self.assertEqual(503, self.chat(2, support.draft("q", 5)).status)
        bad = support.draft("q", 5, resume_from=6)
        self.assertEqual(400, self.chat(0, bad).status)
        counts = self.side.fleet.groups["g1"].target.counts
        self.assertEqual(0, counts["requests"])

    def test_kv_export_and_import(self) -> None:
        self.serve("g2", [2, 3])
        body = support.draft("q" * answers.PREFIX_BLOCK_CHARS, 1)
        self.chat(0, body)
        prefix = answers.prefix_ids(answers.prompt(body))[0]
        exported = self.pool.request("GET", f"{self.url(0)}/kv/{prefix}")
        self.assertEqual(200, exported.status)
        url = f"{self.url(2)}/kv/{prefix}"
        self.assertEqual(404, self.pool.request("GET", url).status)
        self.pool.request("PUT", url, body=exported.data)
        self.assertEqual(200, self.pool.request("GET", url).status)


class ManyStreamsTest(support.EngineCase):
    """Guards against a stand-in that cannot hold 300 streams at once."""

    engines = attrs.evolve(
        support.EngineCase.engines, token_ms=20.0, max_running=300
    )

    def test_300_streams_at_once(self) -> None:
        self.serve("g1", [0, 1])
        # Nobody ends before all have started.
        started = threading.Barrier(301)
        texts: dict[int, str] = {}

        def call(number: int) -> None:
            body = support.draft(f"q{number}", 40, stream=True)
            answer = self.chat(0, body, preload_content=False)
            started.wait(support.WAIT_S)
            texts[number] = support.stream_text(answer.read())

        threads = [
            threading.Thread(target=call, args=(number,))
            for number in range(300)
        ]
        for thread in threads:
            thread.start()
        started.wait(support.WAIT_S)
        for thread in threads:
            thread.join()
        expected = {
            n: answers.expected(support.draft(f"q{n}", 40), 0, 40)
            for n in range(300)
        }
        self.assertEqual(expected, texts)


class InProgressCase(support.EngineCase):
    """Has streams in progress."""

    def begin(
        self, number: int, request_id: str = "r", tokens: int = LONG
    ) -> urllib3.BaseHTTPResponse:
        body = support.draft(request_id, tokens, stream=True)
        answer = self.chat(
            number,
            body,
            headers={"X-Request-Id": request_id},
            preload_content=False,
        )
        self.assertEqual(200, answer.status)
        return answer

    def target(self, group: str = "g1") -> _target.Target:
        return self.side.fleet.groups[group].target

    def assert_broken(self, answer: urllib3.BaseHTTPResponse) -> None:
        with self.assertRaises(urllib3.exceptions.HTTPError):
            answer.read()


class ColdStartTest(InProgressCase):
    """Guards against a cold target that hides too large a load."""

    engines = attrs.evolve(
        support.EngineCase.engines,
        warm_after_ms=3_600_000,
        warm_after_requests=3,
    )

    def setUp(self) -> None:
        super().setUp()
        self.serve("g1", [0, 1])

    def test_load_ends_cold_and_requests_warm_it(self) -> None:
        report = self.report(0)
        self.assertEqual(("cold", 2), (report["state"], report["bearable"]))
        for _ in range(3):
            self.assertEqual(200, self.chat(0, support.draft("q", 1)).status)
        self.assertEqual("warm", self.report(0)["state"])

    def test_too_many_requests_fail_all_of_them(self) -> None:
        first, second = self.begin(0, "a"), self.begin(0, "b")
        third = self.chat(0, support.draft("c", 5))
        self.assertEqual(500, third.status)
        self.assert_broken(first)
        self.assert_broken(second)
        self.assertEqual(1, self.target().counts["falls"])
        self.assertEqual("cold", self.report(0)["state"])
        self.assertEqual(200, self.chat(0, support.draft("q", 1)).status)

    def test_fault_makes_a_warm_target_cold(self) -> None:
        for _ in range(3):
            self.chat(0, support.draft("q", 1))
        self.fault(action="cold", target="g1")
        self.assertEqual("cold", self.report(0)["state"])


class CancelTest(InProgressCase):
    """Guards against work that goes on after its caller has gone."""

    def setUp(self) -> None:
        super().setUp()
        self.serve("g1", [0, 1])

    def test_cancel_by_id(self) -> None:
        answer = self.begin(0, "r1")
        cancel = {"request_id": "r1"}
        done = self.post(0, "/v1/cancel", cancel).json()
        self.assertEqual({"cancelled": True}, done)
        self.assert_broken(answer)
        self.assertEqual(0, self.report(0)["running"])
        done = self.post(0, "/v1/cancel", cancel).json()
        self.assertEqual({"cancelled": False}, done)

    def test_closed_connection_cancels(self) -> None:
        self.begin(0).close()
        support.wait_for(
            lambda: self.target().counts["cancelled"] == 1, "cancel"
        )
        self.assertEqual(0, self.report(0)["running"])


class PriorityTest(support.EngineCase):
    """Guards against a waiting queue that ignores priorities."""

    engines = attrs.evolve(support.EngineCase.engines, max_running=1)

    def test_larger_priority_leaves_the_queue_first(self) -> None:
        self.serve("g1", [0, 1])
        target = self.side.fleet.groups["g1"].target
        ended: list[str] = []

        def sequence(name: str, **body: typing.Any) -> None:
            document = support.draft(name, body.pop("tokens", 2), **body)
            one = _openai.parse_draft(document, True, name).sequence
            target.submit(one)

            def follow() -> None:
                while one.events.get() >= 0:
                    pass
                ended.append(name)

            thread = threading.Thread(target=follow)
            thread.start()
            threads.append(thread)

        threads: list[threading.Thread] = []
        sequence("long", tokens=500)
        support.wait_for(lambda: target.snapshot()["running"] == 1, "start")
        sequence("low", priority=0, tokens=200)
        sequence("high", priority=5, tokens=200)
        for thread in threads:
            thread.join()
        self.assertEqual(["long", "high", "low"], ended)
