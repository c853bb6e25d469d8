"""Metrics of the callers' task."""

import attrs

from quetzalward_node import telemetry


@attrs.frozen
class Meters:
    """Counters and latencies; label values come from fixed sets."""

    requests: telemetry.Counter
    refused: telemetry.Counter
    attempts: telemetry.Counter
    retries: telemetry.Counter
    tokens: telemetry.Counter
    continuations: telemetry.Counter
    callers_gone: telemetry.Counter
    cancels: telemetry.Counter
    server_errors: telemetry.Counter
    request_ms: telemetry.Latency
    first_token_ms: telemetry.Latency
    inter_token_ms: telemetry.Latency


def create(metrics: telemetry.Metrics) -> Meters:
    """Register the metrics of the callers' task."""
    prefix = "quetzalward_callers_"
    return Meters(
        requests=metrics.counter(
            prefix + "requests_total",
            "Requests by route and result (ok or error kind).",
            "route",
            "result",
        ),
        refused=metrics.counter(
            prefix + "refused_total",
            "Requests refused before they reached a worker.",
            "kind",
        ),
        attempts=metrics.counter(
            prefix + "attempts_total", "Attempts by result.", "result"
        ),
        retries=metrics.counter(
            prefix + "retries_total", "Attempts after the first.", "route"
        ),
        tokens=metrics.counter(
            prefix + "tokens_total", "Tokens sent to callers.", "model"
        ),
        continuations=metrics.counter(
            prefix + "continuations_total",
            "Streams continued by Last-Event-ID.",
        ),
        callers_gone=metrics.counter(
            prefix + "callers_gone_total",
            "Requests whose caller left before the end.",
        ),
        cancels=metrics.counter(
            prefix + "cancels_total",
            "Cancel calls to engines by result.",
            "result",
        ),
        server_errors=metrics.counter(
            prefix + "server_errors_total",
            "Errors that the HTTP server reported.",
        ),
        request_ms=metrics.latency(
            prefix + "request_seconds", "Whole request.", "route"
        ),
        first_token_ms=metrics.latency(
            prefix + "first_token_seconds",
            "Arrival of the request to its first token.",
            "model",
        ),
        inter_token_ms=metrics.latency(
            prefix + "inter_token_seconds",
            "Wait for each token after the first.",
            "model",
        ),
    )
