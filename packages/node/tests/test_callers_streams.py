"""Tests of failover between engines and of resumption by callers."""

import json

import callers_cases
import callers_fakes

from quetzalward_core import streams
from quetzalward_node import interfaces

PROMPT = callers_cases.PROMPT
TOTAL = callers_cases.TOTAL
OK = interfaces.AttemptResult.OK
FAILED = interfaces.AttemptResult.FAILED
document = callers_cases.document
text_of = callers_cases.text_of


class BaseUrlTest(callers_cases.StreamTestCase):
    """Guards against dropping the path of a target's base URL."""

    def test_request_path_includes_the_path_of_the_base_url(self):
        engine = callers_fakes.Engine()
        self.start(engine)
        self.front.router.urls[:] = [engine.url + "/h/host-1/"]
        self.events()
        self.events()
        paths = [request[0] for request in engine.requests]
        self.assertEqual(["/h/host-1/v1/completions"] * 2, paths)


class ExpiredGrantTest(callers_cases.StreamTestCase):
    """Guards against sending work to a zone taken out during a pause (R4)."""

    def test_expired_grant_sends_nothing(self):
        first, second = callers_fakes.Engine(), callers_fakes.Engine()
        self.start(first, second)
        self.front.router.expire_next = 1
        events = self.events()
        self.assertEqual(callers_fakes.text(PROMPT, TOTAL), text_of(events))
        self.assertEqual((0, 1), (len(first.requests), len(second.requests)))
        self.assertTrue(self.front.router.wait_all_released())

    def test_without_another_target_the_outcome_is_not_run(self):
        engine = callers_fakes.Engine()
        self.start(engine)
        self.front.router.expire_next = 1
        problem = self.assert_problem("overloaded", document())
        self.assertEqual("not_run", problem["outcome"])
        self.assertEqual([], engine.requests)


class FailoverTest(callers_cases.StreamTestCase):
    """Guards against lost, repeated or foreign tokens after a failure."""

    def assert_complete(self, *results, **options):
        events = self.events(document(**options))
        expected = callers_fakes.text(PROMPT, TOTAL)
        self.assertEqual(expected, text_of(events))
        self.assertEqual("[DONE]", events[-1].data)
        self.assertEqual(len(events), len({e.event_id for e in events}))
        self.assertTrue(self.front.router.wait_all_released())
        self.assertEqual(list(results), self.front.router.results())
        return events

    def test_break_in_mid_stream_resumes_at_the_next_token(self):
        for numbered in (True, False):
            with self.subTest(numbered=numbered):
                first = callers_fakes.Engine(break_after=3, numbered=numbered)
                second = callers_fakes.Engine(break_after=4, numbered=numbered)
                third = callers_fakes.Engine(numbered=numbered)
                self.start(first, second, third)
                self.assert_complete(FAILED, FAILED, OK)
                starts = [
                    engine.requests[0][1]["resume_from"]
                    for engine in (first, second, third)
                ]
                self.assertEqual([0, 3, 7], starts)
                seeds = {
                    engine.requests[0][1]["seed"]
                    for engine in (first, second, third)
                }
                self.assertEqual(1, len(seeds))

    def test_every_break_position(self):
        for position in range(TOTAL):
            with self.subTest(position=position):
                self.start(
                    callers_fakes.Engine(break_after=position),
                    callers_fakes.Engine(),
                )
                self.assert_complete(FAILED, OK)

    def test_unstreamed_response_fails_over(self):
        self.start(callers_fakes.Engine(break_after=3), callers_fakes.Engine())
        status, data = self.exchange(document(stream=False))
        self.assertEqual(200, status)
        completion = json.loads(data)
        expected = callers_fakes.text(PROMPT, TOTAL)
        self.assertEqual(expected, completion["choices"][0]["text"])
        self.assertEqual(TOTAL, completion["usage"]["completion_tokens"])

    def test_break_before_the_usage_does_not_repeat_the_finish(self):
        options = {"stream_options": {"include_usage": True}}
        self.start(
            callers_fakes.Engine(break_at_usage=True), callers_fakes.Engine()
        )
        events = self.assert_complete(FAILED, OK, **options)
        self.assertEqual(TOTAL + 3, len(events))
        usage = json.loads(events[-2].data)["usage"]
        counts = (usage["prompt_tokens"], usage["completion_tokens"])
        self.assertEqual((3, TOTAL), counts)

    def test_break_before_an_unrequested_usage_is_no_failure(self):
        self.start(callers_fakes.Engine(break_at_usage=True))
        self.assert_complete(OK)

    def test_continuation_after_the_finish_gets_the_real_usage(self):
        body = document(stream_options={"include_usage": True})
        self.start(callers_fakes.Engine())
        all_events = self.events(body)
        self.start(callers_fakes.Engine(status=503), callers_fakes.Engine())
        rest = self.events(body, Last_Event_ID=all_events[-3].event_id)
        self.assertEqual(all_events[-2].event_id, rest[0].event_id)
        usage = json.loads(rest[0].data)["usage"]
        self.assertEqual(3, usage["prompt_tokens"])

    def test_engine_that_ignores_resume_repeats_no_token(self):
        self.start(
            callers_fakes.Engine(break_after=3),
            callers_fakes.Engine(ignore_resume=True),
        )
        self.assert_complete(FAILED, OK)

    def test_missing_and_foreign_tokens_fail_the_attempt(self):
        for script in ({"skip_index": 4}, {"change_id_after": 4}):
            with self.subTest(script=script):
                self.start(
                    callers_fakes.Engine(**script), callers_fakes.Engine()
                )
                self.assert_complete(FAILED, OK)

    def test_stalled_engine_is_sent_a_cancel(self):
        for stall_after in (0, 3):
            with self.subTest(stall_after=stall_after):
                stalled = callers_fakes.Engine(stall_after=stall_after)
                self.start(
                    stalled,
                    callers_fakes.Engine(),
                    first_token_timeout_ms=200,
                    token_timeout_ms=200,
                )
                timed_out = interfaces.AttemptResult.TIMED_OUT
                self.assert_complete(timed_out, OK)
                self.assertTrue(stalled.wait_for(lambda: stalled.cancelled))
                attempt_id = stalled.requests[0][2]["X-Request-Id"]
                self.assertEqual([attempt_id], stalled.cancelled)

    def test_refusing_and_dead_engines_are_skipped(self):
        dead = callers_fakes.Engine()
        cold = callers_fakes.Engine(status=503, error_body={"state": "cold"})
        busy = callers_fakes.Engine(status=429)
        self.start(dead, cold, busy, callers_fakes.Engine())
        dead.close()
        self.addCleanup(setattr, dead, "close", None)
        self.assert_complete(
            FAILED,
            interfaces.AttemptResult.COLD,
            interfaces.AttemptResult.REFUSED,
            OK,
        )

    def test_connection_with_an_outstanding_response_is_not_reused(self):
        stalled = callers_fakes.Engine(stall_after=2)
        self.start(stalled, token_timeout_ms=200, retries=0)
        events = self.events()
        self.assertEqual(2, len(events) - 1)
        self.assertEqual("target_timeout", json.loads(events[-1].data)["kind"])
        stalled.released.set()
        stalled.script.stall_after = None
        all_events = self.events(document(prompt="another"))
        self.assertEqual(
            callers_fakes.text("another", TOTAL), text_of(all_events)
        )


class ExhaustedTest(callers_cases.StreamTestCase):
    """Guards against a wrong outcome `not_run` and against endless retries."""

    def test_exhausted_retry_budget_ends_the_attempts(self):
        engines = [callers_fakes.Engine(break_after=0) for _ in range(4)]
        self.start(*engines, retries=2)
        problem = self.assert_problem("target_failed", document())
        self.assertEqual("unknown", problem["outcome"])
        self.assertEqual(3, len(self.front.router.granted))
        self.assertTrue(self.front.router.wait_all_released())

    def test_repeat_of_a_prompt_that_ended_engines_is_refused(self):
        """Each engine ends its connection before the first token."""
        self.start(*(callers_fakes.Engine(break_after=0) for _ in range(8)))
        self.assert_problem("target_failed", document())
        problem = self.assert_problem("prompt_blocked", document())
        self.assertEqual("not_run", problem["outcome"])
        self.assertEqual(3, len(self.front.router.granted))

    def test_rejection_by_all_targets_has_outcome_not_run(self):
        self.start(callers_fakes.Engine(status=503))
        problem = self.assert_problem("overloaded", document())
        self.assertEqual("not_run", problem["outcome"])
        self.assertTrue(problem["retryable"])

    def test_failure_without_a_second_target_has_unknown_outcome(self):
        self.start(callers_fakes.Engine(break_after=0))
        problem = self.assert_problem("target_failed", document())
        self.assertEqual("unknown", problem["outcome"])
        self.assertFalse(problem["retryable"])

    def test_engine_that_rejects_the_request_is_not_retried(self):
        error = {"error": {"message": "top_k\n is unknown"}}
        self.start(
            callers_fakes.Engine(status=400, error_body=error),
            callers_fakes.Engine(),
        )
        problem = self.assert_problem("malformed_request", document())
        self.assertIn("top_k\\n is unknown", problem["detail"])
        self.assertEqual(1, len(self.front.router.granted))

    def test_started_response_resumes_with_the_retry_budget_exhausted(self):
        """Guards against a replica failure that truncates many responses."""
        self.start(
            callers_fakes.Engine(break_after=4),
            callers_fakes.Engine(),
            retries=0,
        )
        events = self.events()
        self.assertEqual(callers_fakes.text(PROMPT, TOTAL), text_of(events))

    def test_stream_that_breaks_every_engine_is_sent_to_few(self):
        """A draft under which engines end must not end all of them."""
        for break_after in (0, 1):
            with self.subTest(break_after=break_after):
                engines = [
                    callers_fakes.Engine(break_after=break_after)
                    for _ in range(8)
                ]
                self.start(*engines, retries=8)
                if break_after:
                    last = json.loads(self.events()[-1].data)
                    self.assertEqual("target_failed", last["kind"])
                else:
                    self.assert_problem("target_failed", document())
                self.assertEqual(3, len(self.front.router.granted))

    def test_stream_can_be_resumed_after_an_error_event(self):
        self.start(callers_fakes.Engine(break_after=4), retries=0)
        events = self.events()
        self.assertEqual("target_failed", json.loads(events[-1].data)["kind"])
        self.assertEqual(callers_fakes.token(PROMPT, 3), text_of(events[3:4]))
        self.front.router.urls = [callers_fakes.Engine().url]
        rest = self.events(Last_Event_ID=events[-1].event_id)
        expected = callers_fakes.text(PROMPT, TOTAL, start=4)
        self.assertEqual(expected, text_of(rest))


class ContinuationTest(callers_cases.StreamTestCase):
    """Guards against wrong events when a caller resumes after a disconnect."""

    def test_exactly_the_remaining_events_after_any_event(self):
        options = {"stream_options": {"include_usage": True}}
        body = document(**options)
        self.start(callers_fakes.Engine())
        all_events = self.events(body)
        # All tokens, finish, usage and the terminal event.
        self.assertEqual(TOTAL + 3, len(all_events))
        for index, event in enumerate(all_events):
            with self.subTest(index=index):
                rest = self.events(body, Last_Event_ID=event.event_id)
                expected = all_events[index + 1 :]
                self.assertEqual(
                    [e.event_id for e in expected],
                    [e.event_id for e in rest],
                )
                self.assertEqual(text_of(expected), text_of(rest))
        self.assertTrue(self.front.router.wait_all_released())

    def test_another_node_continues_with_the_same_seed(self):
        engine = callers_fakes.Engine()
        self.start(engine)
        all_events = self.events()
        self.start(callers_fakes.Engine(), engine)
        self.front.router.urls = [engine.url]
        reordered = dict(reversed(document().items()))
        rest = self.events(reordered, Last_Event_ID=all_events[3].event_id)
        self.assertEqual(
            callers_fakes.text(PROMPT, TOTAL, start=4), text_of(rest)
        )
        seeds = {body["seed"] for _, body, _ in engine.requests}
        self.assertEqual(1, len(seeds))

    def test_chat_role_is_not_repeated(self):
        self.start(callers_fakes.Engine())
        body = {
            "model": "small",
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": 3,
            "stream": True,
        }
        request = callers_fakes.raw_request
        seen = []
        for headers in ({}, None):
            if headers is None:
                headers = {"Last-Event-ID": seen[0][0].event_id}
            headers["Connection"] = "close"
            with self.front.connect() as sock:
                sock.sendall(
                    request("/v1/chat/completions", body, headers=headers)
                )
                data = callers_fakes.receive_all(sock)
            rest = data.partition(b"\r\n\r\n")[2].split(b"\r\n")[1::2]
            seen.append(streams.SseParser().feed(b"".join(rest)))
        self.assertIn("role", seen[0][0].data)
        self.assertEqual(
            [e.event_id for e in seen[0][1:]], [e.event_id for e in seen[1]]
        )
        self.assertNotIn("role", "".join(e.data for e in seen[1]))

    def test_wrong_customer_body_or_id_is_rejected(self):
        self.start(callers_fakes.Engine())
        event_id = self.events()[2].event_id
        granted = len(self.front.router.granted)
        kind = "bad_continuation"
        for body, key, given in (
            (document(), "key-south", event_id),
            (document(prompt="x"), "key-north", event_id),
            (document(stream=False), "key-north", event_id),
            (document(), "key-north", event_id[:-1] + "g"),
            (document(), "key-north", ""),
            (document(), "key-north", "0.0.0"),
        ):
            self.assert_problem(kind, body, key, Last_Event_ID=given)
        self.assertEqual(granted, len(self.front.router.granted))
