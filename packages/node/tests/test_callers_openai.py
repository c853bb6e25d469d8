"""Tests of the OpenAI-compatible paths with the OpenAI client library."""

import unittest

import callers_fakes
import openai

PROMPT = "draw a wall"


class ClientTestCase(unittest.TestCase):
    """Starts engines, a callers' server and a client."""

    def start(self, *engines, **front):
        self.engines = engines
        for engine in engines:
            self.addCleanup(engine.close)
        urls = [engine.url for engine in engines]
        self.front = callers_fakes.Front(urls, **front)
        self.addCleanup(self.front.close)
        self.client = self.make_client("key-north")

    def make_client(self, key):
        client = openai.OpenAI(
            api_key=key, base_url=self.front.url + "/v1", max_retries=0
        )
        self.addCleanup(client.close)
        return client

    def chat(self, **options):
        return self.client.chat.completions.create(
            model="small",
            messages=[{"role": "user", "content": PROMPT}],
            max_tokens=6,
            **options,
        )


class CompletionTest(ClientTestCase):
    """Guards against responses that the client library cannot parse."""

    def test_chat_without_stream(self):
        self.start(callers_fakes.Engine())
        completion = self.chat()
        message = completion.choices[0].message
        self.assertEqual(callers_fakes.text(PROMPT, 6), message.content)
        self.assertEqual("assistant", message.role)
        self.assertEqual("length", completion.choices[0].finish_reason)
        self.assertEqual(9, completion.usage.total_tokens)
        self.assertTrue(self.front.router.wait_all_released())

    def test_chat_with_stream_and_usage(self):
        self.start(callers_fakes.Engine())
        chunks = list(
            self.chat(stream=True, stream_options={"include_usage": True})
        )
        parts = [c.choices[0].delta.content for c in chunks if c.choices]
        text = "".join(part or "" for part in parts)
        self.assertEqual(callers_fakes.text(PROMPT, 6), text)
        self.assertEqual(6, chunks[-1].usage.completion_tokens)
        self.assertEqual(1, len({chunk.id for chunk in chunks}))

    def test_stream_without_usage_sends_none(self):
        self.start(callers_fakes.Engine())
        chunks = list(self.chat(stream=True))
        self.assertTrue(all(chunk.choices for chunk in chunks))

    def test_text_completion(self):
        self.start(callers_fakes.Engine())
        completion = self.client.completions.create(
            model="small-quotes", prompt=PROMPT, max_tokens=4
        )
        expected = callers_fakes.text(PROMPT, 4)
        self.assertEqual(expected, completion.choices[0].text)

    def test_models_lists_those_the_customer_may_use(self):
        self.start(callers_fakes.Engine())
        names = [model.id for model in self.client.models.list()]
        family = ["small", "small-quotes", "small-2"]
        self.assertEqual(["large", *family], names)
        other = self.make_client("key-south")
        self.assertEqual(family, [model.id for model in other.models.list()])
        self.assertEqual("small", other.models.retrieve("small").id)
        with self.assertRaises(openai.NotFoundError):
            other.models.retrieve("large")

    def test_several_requests_on_one_connection(self):
        self.start(callers_fakes.Engine())
        for _ in range(5):
            self.chat()
        self.assertEqual(1, self.front.server.open_connections)


class ClientFailoverTest(ClientTestCase):
    """Guards against a failover that is visible to the client library."""

    def test_stream_continues_after_an_engine_failure(self):
        self.start(callers_fakes.Engine(break_after=2), callers_fakes.Engine())
        chunks = list(self.chat(stream=True))
        parts = [chunk.choices[0].delta.content for chunk in chunks]
        text = "".join(part or "" for part in parts)
        self.assertEqual(callers_fakes.text(PROMPT, 6), text)
        self.assertEqual(2, len(self.front.router.granted))
        self.assertEqual(1, len({chunk.id for chunk in chunks}))

    def test_error_in_mid_stream_is_raised(self):
        self.start(callers_fakes.Engine(break_after=2), retries=0)
        with self.assertRaises(openai.APIError) as raised:
            list(self.chat(stream=True))
        self.assertEqual("target_failed", raised.exception.code)


class ClientErrorTest(ClientTestCase):
    """Guards against errors that the client library maps to a wrong class."""

    def test_errors_map_to_the_client_classes(self):
        self.start(callers_fakes.Engine())
        with self.assertRaises(openai.AuthenticationError):
            self.make_client("nobody").models.list()
        with self.assertRaises(openai.NotFoundError) as raised:
            self.client.completions.create(model="none", prompt="x")
        self.assertEqual("unknown_model", raised.exception.code)
        with self.assertRaises(openai.PermissionDeniedError):
            self.make_client("key-south").completions.create(
                model="large", prompt="x"
            )
        with self.assertRaises(openai.BadRequestError) as raised:
            self.chat(n=2)
        self.assertIn("n must be 1", raised.exception.message)
        self.assertEqual([], self.front.router.granted)
