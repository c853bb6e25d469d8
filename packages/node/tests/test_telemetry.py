"""Tests of metrics and spans."""

import json
import pathlib
import tempfile
import threading
import unittest

import callers_fakes

from quetzalward_node import telemetry

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


class MetricsTest(unittest.TestCase):
    """Guards against lost counts and an invalid Prometheus text format."""

    def test_text_format(self):
        metrics = telemetry.Metrics()
        metrics.counter("a_total", "Things.", "kind").add('x"\\\ny')
        metrics.counter("b_total", "Nothing yet.")
        metrics.gauge("c", "A value.", lambda: 1.5)
        self.assertEqual(
            "# HELP a_total Things.\n"
            "# TYPE a_total counter\n"
            'a_total{kind="x\\"\\\\\\ny"} 1\n'
            "# HELP b_total Nothing yet.\n"
            "# TYPE b_total counter\n"
            "b_total 0\n"
            "# HELP c A value.\n"
            "# TYPE c gauge\n"
            "c 1.5\n",
            metrics.render(),
        )

    def test_latency_has_quantiles_sum_and_count(self):
        metrics = telemetry.Metrics()
        latency = metrics.latency("wait_seconds", "Waits.", "model")
        for value_ms in range(1, 101):
            latency.observe_ms(value_ms, "m")
        # Two significant digits.
        self.assertAlmostEqual(95, latency.quantile_ms(0.95, "m"), delta=1)
        self.assertIsNone(latency.quantile_ms(0.95, "none"))
        text = metrics.render()
        self.assertIn('wait_seconds_sum{model="m"} 5.05', text)
        self.assertIn('wait_seconds_count{model="m"} 100', text)
        self.assertIn('wait_seconds{model="m",quantile="0.95"} 0.095', text)
        latency.observe_ms(10**9, "m")
        latency.observe_ms(0, "m")

    def test_counts_from_many_threads_are_all_kept(self):
        counter = telemetry.Metrics().counter("a_total", "Things.")
        threads = [
            threading.Thread(
                target=lambda: [counter.add() for _ in range(1_000)]
            )
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(8_000, counter.value())

    def test_same_name_is_the_same_metric(self):
        metrics = telemetry.Metrics()
        first = metrics.counter("a_total", "Things.")
        self.assertIs(first, metrics.counter("a_total", "Things."))
        with self.assertRaises(ValueError):
            metrics.latency("a_total", "Things.")


class SpansTest(unittest.TestCase):
    """Guards against missing spans and a broken trace context."""

    def run_request(self, trace_file=None):
        first = callers_fakes.Engine(break_after=2)
        second = callers_fakes.Engine()
        front = callers_fakes.Front(
            [first.url, second.url], trace_file=trace_file
        )
        body = {"model": "small", "prompt": "p", "max_tokens": 4}
        headers = {"Connection": "close", "traceparent": TRACEPARENT}
        request = callers_fakes.raw_request(
            "/v1/completions", body, headers=headers
        )
        with front.connect() as sock:
            sock.sendall(request)
            data = callers_fakes.receive_all(sock)
        self.answer = callers_fakes.parse_responses(data)[0]
        self.assertEqual(200, self.answer.status)
        front.close()
        sent = [
            engine.requests[0][2]["traceparent"] for engine in (first, second)
        ]
        first.close()
        second.close()
        return front, sent

    def test_one_span_per_hop_in_the_trace_of_the_caller(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "spans.jsonl"
            _, sent = self.run_request(str(path))
            lines = path.read_text().splitlines()
        spans = [json.loads(line) for line in lines]
        names = sorted(span["name"] for span in spans)
        expected = ["entry"] + ["attempt", "queue", "route", "target"] * 2
        self.assertEqual(sorted(expected), names)
        for span in spans:
            self.assertEqual("0x" + TRACE_ID, span["context"]["trace_id"])
        targets = {
            span["context"]["span_id"].removeprefix("0x")
            for span in spans
            if span["name"] == "target"
        }
        self.assertEqual(targets, {value.split("-")[2] for value in sent})
        results = {
            span["attributes"]["result"]
            for span in spans
            if span["name"] == "attempt"
        }
        self.assertEqual({"failed", "ok"}, results)

    def test_trace_context_is_propagated_without_a_trace_file(self):
        _, sent = self.run_request()
        for value in sent:
            self.assertRegex(value, f"00-{TRACE_ID}-[0-9a-f]{{16}}-01")

    def test_recent_spans_of_a_request_without_a_trace_file(self):
        front, _ = self.run_request()
        request_id = self.answer.headers["x-request-id"]
        rows = front.telemetry.tracing.spans(request_id)
        names = ["entry"] + ["queue", "route", "attempt", "target"] * 2
        self.assertEqual(names, [row["name"] for row in rows])
        starts = [row["start_ms"] for row in rows]
        self.assertEqual(sorted(starts), starts)
        self.assertEqual("ok", rows[0]["attributes"]["result"])
        self.assertEqual([], front.telemetry.tracing.spans("unknown"))

    def test_old_spans_are_evicted_from_the_ring_buffer(self):
        tracing = telemetry.Tracing("n1")
        self.addCleanup(tracing.close)
        for number in range(5_000):
            tracing.entry({}, {"request_id": f"r{number}"}).end()
        self.assertEqual([], tracing.spans("r0"))
        self.assertEqual(1, len(tracing.spans("r4999")))

    def test_recording_does_not_set_the_sampled_flag(self):
        tracing = telemetry.Tracing("n1")
        self.addCleanup(tracing.close)
        for given in ({}, {"traceparent": TRACEPARENT[:-1] + "0"}):
            span = tracing.entry(given, {"request_id": "r"})
            # Bit 0 means sampled; bit 1 only that the id is random.
            flags = int(tracing.headers(span)["traceparent"][-2:], 16)
            self.assertEqual(0, flags & 1)
            span.end()

    def test_requests_are_counted(self):
        front, _ = self.run_request()
        text = front.telemetry.metrics.render()
        prefix = "quetzalward_callers_"
        for line in (
            'requests_total{route="completions",result="ok"} 1',
            'attempts_total{result="failed"} 1',
            'attempts_total{result="ok"} 1',
            'retries_total{route="drafts"} 1',
            'tokens_total{model="small"} 4',
            'request_seconds_count{route="completions"} 1',
            'first_token_seconds_count{model="small"} 1',
            'inter_token_seconds_count{model="small"} 3',
            "in_progress 0",
            "streams 0",
        ):
            self.assertIn(prefix + line, text)
