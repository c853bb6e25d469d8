"""Admission of requests at a node that stops, and their end."""

from quetzalward_core import draining
from quetzalward_core import errors
from quetzalward_core import placing
from quetzalward_gateway import _attempts
from quetzalward_gateway import _runtime

# Another node can serve the request at once.
RETRY_AFTER_MS = 50
# Multiples of a request's usual time that must be left. A caller may send one
# that is not repeatable again only if it has certainly not run.
_LATENCY_FACTOR = 5.0
_UNREPEATABLE_LATENCY_FACTOR = 10.0
_STREAM_FACTOR = 1.5
# Lower limit for that time; the usual latency is a mean.
_MIN_REPEATABLE_MS = 500.0
_MIN_UNREPEATABLE_MS = 1_000.0


def admit(
    call: _runtime.Call, drain: draining.Drain
) -> _runtime.Call | _runtime.Refused:
    """Refuse a request that cannot end in time; limit the time of others."""
    now_ms = call.runtime.now_ms()
    if call.is_stream:
        may_begin = drain.may_begin_stream(_stream_ms(call), now_ms)
        latest_ms = drain.end_ms
    else:
        may_begin = drain.may_begin(_plain_ms(call), now_ms)
        latest_ms = drain.answer_ms
    if not may_begin:
        return refusal("the request cannot end before the node does")
    call.deadline_ms = min(
        call.deadline_ms, latest_ms - _attempts.DEADLINE_GRACE_MS
    )
    return call


def refusal(reason: str) -> _runtime.Refused:
    """Return the refusal of a request that has not been sent."""
    return _runtime.Refused(
        errors.ErrorKind.NODE_STOPPING, reason, RETRY_AFTER_MS
    )


def end(call: _runtime.Call) -> None:
    """End a request that is under way when the node ends."""
    responder = call.responder
    call.log_event(
        "request_cut",
        is_sent=call.is_sent,
        is_started=responder.started,
        left_ms=call.remaining_ms(),
    )
    if responder.started:
        responder.abort()
    elif call.is_sent:
        call.refuse(
            _runtime.Refused(
                errors.ErrorKind.TARGET_TIMEOUT,
                "the node ended before the target had answered",
            )
        )
    else:
        call.refuse(refusal("the node ended before the request was sent"))


def _plain_ms(call: _runtime.Call) -> float:
    """Return the time that a request without a stream may take.

    A service that has become slow shows first in the requests under way.
    """
    runtime, service = call.runtime, call.service.name
    latencies_ms = [
        runtime.state.outcomes.latency_ms(target.id)
        for target in runtime.state.directory.of_service(service)
    ]
    factor, needed_ms = _UNREPEATABLE_LATENCY_FACTOR, _MIN_UNREPEATABLE_MS
    if call.route.repeatable:
        factor, needed_ms = _LATENCY_FACTOR, _MIN_REPEATABLE_MS
    needed_ms = max(needed_ms, factor * max(latencies_ms, default=0.0))
    now_ms = runtime.now_ms()
    ages_ms = [
        now_ms - other.raw.received_ms
        for other in runtime.calls
        if other.service.name == service
    ]
    return min(max([needed_ms, *ages_ms]), call.remaining_ms())


def _stream_ms(call: _runtime.Call) -> float:
    """Return the time that a stream may take at the slowest group."""
    state, request = call.runtime.state, call.request
    engine = call.service.engine
    model = None
    if engine is not None:
        model = engine.models_by_name.get(request.model or "")
    if engine is None or model is None or request.prompt is None:
        return call.remaining_ms()
    now_ms = call.runtime.now_ms()
    slowest_ms = 0.0
    for group in state.open_groups(call.service.name, model.name, now_ms):
        load = state.load_of(group.key)
        answer_ms = load.slowness * placing.whole_answer_ms(
            engine, model, load.load(now_ms), request.prompt
        )
        slowest_ms = max(slowest_ms, answer_ms)
    return min(_STREAM_FACTOR * slowest_ms, call.remaining_ms())
