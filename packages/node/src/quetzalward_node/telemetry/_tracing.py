"""OpenTelemetry spans with W3C trace context and a JSON-lines exporter."""

import threading
import typing

from opentelemetry import context as otel_context
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from quetzalward_node.telemetry import _recent

Attributes = typing.Mapping[str, str | int | float | bool]


class JsonLinesExporter(export.SpanExporter):
    """Appends each span as one line of JSON to a file."""

    def __init__(self, path: str) -> None:
        """Open the file for appending."""
        self._file = open(path, "a", encoding="utf-8")
        self._lock = threading.Lock()

    def export(
        self, spans: typing.Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Write the spans."""
        lines = "".join(span.to_json(indent=None) + "\n" for span in spans)
        try:
            with self._lock:
                self._file.write(lines)
                self._file.flush()
        except (OSError, ValueError):
            return export.SpanExportResult.FAILURE
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()


class Tracing:
    """Starts spans and keeps the most recent ones in memory."""

    def __init__(self, node: str, trace_file: str | None = None) -> None:
        """Create the tracer of a node; export spans if a file is given."""
        record_only = _recent.RecordOnly()
        self._provider = sdk_trace.TracerProvider(
            # A caller's sampling decision is kept and propagated either way.
            sampler=sampling.ParentBased(
                sampling.ALWAYS_ON if trace_file else record_only,
                remote_parent_not_sampled=record_only,
                local_parent_not_sampled=record_only,
            ),
            resource=resources.Resource(
                {
                    "service.name": "quetzalward-node",
                    "service.instance.id": node,
                }
            ),
            shutdown_on_exit=False,
        )
        self._recent = _recent.RecentSpans()
        self._provider.add_span_processor(self._recent)
        if trace_file:
            self._provider.add_span_processor(
                export.BatchSpanProcessor(JsonLinesExporter(trace_file))
            )
        self._tracer = self._provider.get_tracer("quetzalward")
        self._propagator = tracecontext.TraceContextTextMapPropagator()

    def entry(
        self, headers: typing.Mapping[str, str], attributes: Attributes
    ) -> trace.Span:
        """Start a request's entry span, a child of the caller's if given."""
        parent = self._propagator.extract(
            dict(headers), context=otel_context.Context()
        )
        return self._tracer.start_span(
            "entry",
            context=parent,
            kind=trace.SpanKind.SERVER,
            attributes=dict(attributes),
        )

    def child(
        self,
        parent: trace.Span,
        name: str,
        attributes: Attributes | None = None,
        client: bool = False,
    ) -> trace.Span:
        """Start a child span."""
        return self._tracer.start_span(
            name,
            context=trace.set_span_in_context(parent, otel_context.Context()),
            kind=trace.SpanKind.CLIENT if client else trace.SpanKind.INTERNAL,
            attributes=dict(attributes or {}),
        )

    def headers(self, span: trace.Span) -> dict[str, str]:
        """Return the trace context headers of a span for an outgoing call."""
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(span, otel_context.Context())
        self._propagator.inject(carrier, context=context)
        return carrier

    def spans(self, request_id: str) -> list[dict[str, typing.Any]]:
        """Return the recent spans of a request, ordered by start."""
        return self._recent.rows(request_id)

    def close(self) -> None:
        """Export the pending spans and shut down."""
        self._provider.shutdown()
