"""Buffered requests to services without engines, retried where allowed."""

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import placing
from quetzalward_gateway import _admission
from quetzalward_gateway import _attempts
from quetzalward_gateway import _channel
from quetzalward_gateway import _http
from quetzalward_gateway import _permit_wait
from quetzalward_gateway import _runtime

# Limit of attempts that the target did not execute; they do not count towards
# the maximum of the route.
MAX_UNEXECUTED_ATTEMPTS = 3
# A repeatable request is sent to another target if the first has not responded
# within this multiple of its usual latency.
SLOW_LATENCY_FACTOR = 5.0
# Lower limit for that time: a shorter one would also abandon ordinary long
# responses.
MIN_SLOW_THRESHOLD_MS = 250.0
# No attempt is made with less time left, as a target could not use it.
MIN_REMAINING_MS = 5
# Time in which most targets at their limit have free capacity again.
RETRY_AFTER_MS = 300

_Attempt = _attempts.Attempt
_Result = _attempts.Result


async def run(call: _runtime.Call) -> None:
    """Forward a request to targets and their response to the caller."""
    runtime = call.runtime
    tried: set[str] = set()
    executed_attempts = unexecuted_attempts = 0
    error_attempt: _Attempt | None = None
    refusal: placing.Refusal | None = None
    last = _Attempt(_Result.NOT_RUN, "no target is available")
    pool = _admission.pool_of(call.service)
    call.record_first_send(pool)

    def choose() -> fleet.Target | placing.Refusal:
        return runtime.state.place_plain(call.service, tried, runtime.now_ms())

    while call.remaining_ms() > MIN_REMAINING_MS:
        target = await _permit_wait.place(call, pool, choose)
        if isinstance(target, placing.Refusal):
            refusal = runtime.state.final_refusal(
                target, pool, runtime.now_ms()
            )
            break
        tried.add(target.id)
        if (
            executed_attempts or unexecuted_attempts
        ) and not call.try_spend_retry():
            last = attrs.evolve(last, reason="the retry budget is exhausted")
            break
        last = await _attempt(call, target, executed_attempts)
        if last.result is _Result.UNREACHABLE:
            continue
        if last.result is _Result.NOT_RUN:
            unexecuted_attempts += 1
            if unexecuted_attempts >= MAX_UNEXECUTED_ATTEMPTS:
                break
            continue
        executed_attempts += 1
        if last.result is _Result.ANSWERED:
            if not _is_worth_repeating(call, last, executed_attempts):
                _forward(call, last)
                return
            error_attempt = last
        if (
            not call.route.repeatable
            or executed_attempts >= call.route.max_attempts
        ):
            break
    if error_attempt is not None:
        _forward(call, error_attempt)
    else:
        call.refuse(_refusal_for(call, last, executed_attempts, refusal))


def _is_worth_repeating(
    call: _runtime.Call, attempt: _Attempt, executed_attempts: int
) -> bool:
    """Tell whether to send a request that got a 5xx to another target."""
    assert attempt.head is not None
    return (
        attempt.head.status >= 500
        and call.route.repeatable
        and executed_attempts < call.route.max_attempts
    )


def _refusal_for(
    call: _runtime.Call,
    last: _Attempt,
    executed_attempts: int,
    refusal: placing.Refusal | None,
) -> _runtime.Refused:
    """Return the refusal that matches the failure of the last attempt.

    `refusal` says why there was no target for another one.
    """
    if not executed_attempts and refusal is not None:
        return _runtime.Refused(
            errors.ErrorKind.NO_TARGET, refusal.reason, refusal.retry_after_ms
        )
    if not executed_attempts:
        return _runtime.Refused(
            errors.ErrorKind.NO_TARGET, last.reason, RETRY_AFTER_MS
        )
    if call.remaining_ms() <= MIN_REMAINING_MS:
        return _runtime.Refused(errors.ErrorKind.TARGET_TIMEOUT, last.reason)
    return _runtime.Refused(errors.ErrorKind.TARGET_FAILED, last.reason)


def _forward(call: _runtime.Call, attempt: _Attempt) -> None:
    head = attempt.head
    assert head is not None
    call.runtime.metrics.count("answered", str(head.status))
    call.log_event("answered", status=head.status, target=attempt.target_id)
    call.runtime.metrics.record_latency(
        "plain", call.runtime.now_ms() - call.raw.received_ms
    )
    call.responder.send_response(head.status, head.forwarded, attempt.body)


async def _attempt(
    call: _runtime.Call, target: fleet.Target, executed_attempts: int
) -> _Attempt:
    """Send the request to one target."""
    runtime = call.runtime
    outcomes = runtime.state.outcomes
    started_ms = runtime.now_ms()
    if runtime.state.admission.record_request(target, started_ms):
        runtime.metrics.count("permits_used")
    try:
        channel = await _channel.connect(
            target.address,
            min(_attempts.CONNECT_TIMEOUT_MS, call.remaining_ms()),
        )
    except (_channel.ChannelReset, _channel.ChannelTimeout) as error:
        outcomes.mark_unreachable(target.id, runtime.now_ms())
        call.log_event("unreachable", target=target.id, reason=repr(error))
        return _Attempt(_Result.UNREACHABLE, "connection to the target failed")
    withheld = call.withheld(target)
    if withheld is not None:
        channel.abort()
        return withheld
    outcomes.started(target.id)
    try:
        attempt = await _exchange(call, target, channel, executed_attempts)
    finally:
        outcomes.ended(target.id)
        channel.abort()
    attempt = attrs.evolve(attempt, target_id=target.id)
    latency_ms = runtime.now_ms() - started_ms
    ok = attempt.result is _Result.ANSWERED and (
        attempt.head is not None and attempt.head.status < 500
    )
    runtime.state.observe_outcome(target.id, ok, latency_ms, runtime.now_ms())
    if not ok:
        call.log_event(
            "attempt_failed",
            target=target.id,
            result=attempt.result.value,
            status=attempt.head.status if attempt.head else None,
            reason=attempt.reason,
            latency_ms=latency_ms,
        )
    return attempt


async def _exchange(
    call: _runtime.Call,
    target: fleet.Target,
    channel: _channel.Channel,
    executed_attempts: int,
) -> _Attempt:
    http = _http.ClientCall(channel)
    request = call.request
    sent_ms = call.runtime.now_ms()
    http.send(
        request.method,
        request.target,
        call.target_headers(target, None),
        call.raw.body,
    )
    attempt_deadline_ms = _attempt_deadline_ms(call, target, executed_attempts)
    now_ms = call.runtime.now_ms
    try:
        head = await http.read_head(attempt_deadline_ms - now_ms())
        answer = call.runtime.platform.decode_answer(head)
        pool = _admission.pool_of(call.service)
        call.observe_answer(target, pool, answer, sent_ms)
        body = await http.read_body(lambda: attempt_deadline_ms - now_ms())
    except _channel.ChannelTimeout:
        if call.remaining_ms() > MIN_REMAINING_MS:
            return _Attempt(
                _Result.SLOW,
                "the target exceeded its threshold for slow responses",
            )
        return _Attempt(
            _Result.SLOW, "the target did not respond within the deadline"
        )
    except (_channel.ChannelReset, _http.ProtocolError) as error:
        return _Attempt(
            _Result.BROKEN, f"incomplete or invalid response: {error}"
        )
    return _attempts.check_response_head(request, answer) or _Attempt(
        _Result.ANSWERED, "", answer, body
    )


def _attempt_deadline_ms(
    call: _runtime.Call, target: fleet.Target, executed_attempts: int
) -> clock.Millis:
    """Return the time until which to wait for a target's response.

    The target's usual latency limits it if another attempt may follow.
    """
    latest_ms = call.deadline_ms + _attempts.DEADLINE_GRACE_MS
    if (
        not call.route.repeatable
        or executed_attempts + 1 >= call.route.max_attempts
    ):
        return latest_ms
    usual_latency_ms = call.runtime.state.outcomes.latency_ms(target.id)
    slow_threshold_ms = max(
        MIN_SLOW_THRESHOLD_MS, SLOW_LATENCY_FACTOR * usual_latency_ms
    )
    return min(latest_ms, call.runtime.now_ms() + int(slow_threshold_ms))
