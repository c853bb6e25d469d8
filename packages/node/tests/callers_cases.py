"""Base class of tests that parse responses into server-sent events."""

import json
import unittest

import callers_fakes

from quetzalward_core import streams

PROMPT = "a quote for forty walls"
TOTAL = 10


def document(**options):
    """Return the body of a streamed completion."""
    return {
        "model": "small",
        "prompt": PROMPT,
        "max_tokens": TOTAL,
        "stream": True,
        **options,
    }


class StreamTestCase(unittest.TestCase):
    """Starts engines and a callers' server; parses server-sent events."""

    def start(self, *engines, **front):
        for engine in engines:
            self.addCleanup(engine.close)
        urls = [engine.url for engine in engines]
        self.front = callers_fakes.Front(urls, **front)
        self.addCleanup(self.front.close)

    def exchange(self, body, key="key-north", **headers):
        """Return status and body of one request on its own connection."""
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        named["Connection"] = "close"
        request = callers_fakes.raw_request(
            "/v1/completions", body, key, headers=named
        )
        with self.front.connect() as sock:
            sock.sendall(request)
            data = callers_fakes.receive_all(sock)
        head, _, rest = data.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        if b"chunked" in head:
            rest = b"".join(
                part
                for index, part in enumerate(rest.split(b"\r\n"))
                if index % 2
            )
        return status, rest

    def events(self, body=None, key="key-north", **headers):
        status, data = self.exchange(body or document(), key, **headers)
        self.assertEqual(200, status, data)
        return streams.SseParser().feed(data)

    def assert_problem(self, kind, body, key="key-north", **headers):
        status, data = self.exchange(body, key, **headers)
        problem = json.loads(data)
        self.assertEqual((kind, status), (problem["kind"], problem["status"]))
        return problem


def text_of(events):
    """Return the text of completion events."""
    parts = []
    for event in events:
        if event.data != "[DONE]":
            chunk = json.loads(event.data)
            parts += [c.get("text") or "" for c in chunk["choices"]]
    return "".join(parts)
