"""In-memory store of the most recent spans, by request id."""

import collections
import threading
import typing

import attrs
from opentelemetry import context as otel_context
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import sampling
from opentelemetry import trace

# A stored span takes at most about 1.5 KB, as its longest attribute has 200
# characters, so the ring buffer takes at most about 6 MB.
MAX_SPANS = 4096
NS_PER_MS = 1_000_000


class RecordOnly(sampling.Sampler):
    """A sampler that records spans without setting the sampled flag."""

    def should_sample(
        self,
        parent_context: otel_context.Context | None,
        trace_id: int,
        name: str,
        *args: typing.Any,
        **kwargs: typing.Any,
    ) -> sampling.SamplingResult:
        """Return the decision to record without sampling."""
        attributes = kwargs.get("attributes")
        if attributes is None and len(args) > 1:
            attributes = args[1]
        parent = trace.get_current_span(parent_context).get_span_context()
        return sampling.SamplingResult(
            sampling.Decision.RECORD_ONLY, attributes, parent.trace_state
        )

    def get_description(self) -> str:
        """Return the sampler's name."""
        return "RecordOnly"


@attrs.frozen
class _StoredSpan:
    request_id: str
    name: str
    start_ns: int
    duration_ms: float
    attributes: dict[str, typing.Any]


class RecentSpans(sdk_trace.SpanProcessor):
    """Keeps ended spans in a ring buffer; safe for use by many threads."""

    def __init__(self, max_spans: int = MAX_SPANS) -> None:
        """Start without spans."""
        self._lock = threading.Lock()
        self._spans: collections.deque[_StoredSpan] = collections.deque(
            maxlen=max_spans
        )
        # Request id of each span in progress. A parent span is still open when
        # its child starts, so a child finds the id of its request here.
        self._request_id_by_span_id: dict[int, str] = {}

    def on_start(
        self,
        span: sdk_trace.Span,
        parent_context: otel_context.Context | None = None,
    ) -> None:
        """Record the request that a span belongs to."""
        own_request_id = (span.attributes or {}).get("request_id")
        parent = span.parent.span_id if span.parent else 0
        with self._lock:
            request_id = own_request_id or self._request_id_by_span_id.get(
                parent
            )
            if request_id and span.context:
                self._request_id_by_span_id[span.context.span_id] = str(
                    request_id
                )

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Store a span that belongs to a request."""
        start_ns, end_ns = span.start_time or 0, span.end_time or 0
        span_id = span.context.span_id if span.context else 0
        with self._lock:
            request_id = self._request_id_by_span_id.pop(span_id, None)
            if request_id is not None:
                stored = _StoredSpan(
                    request_id,
                    span.name,
                    start_ns,
                    (end_ns - start_ns) / NS_PER_MS,
                    dict(span.attributes or {}),
                )
                self._spans.append(stored)

    def rows(self, request_id: str) -> list[dict[str, typing.Any]]:
        """Return the spans of a request, ordered by start.

        `start_ms` is in milliseconds since the epoch.
        """
        with self._lock:
            found = [r for r in self._spans if r.request_id == request_id]
        return [
            {
                "name": stored.name,
                "start_ms": stored.start_ns / NS_PER_MS,
                "duration_ms": stored.duration_ms,
                "attributes": stored.attributes,
            }
            for stored in sorted(found, key=lambda stored: stored.start_ns)
        ]
