"""Requests to plain services: answered whole, repeated where allowed."""

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_gateway import _attempts
from quetzalward_gateway import _channel
from quetzalward_gateway import _http
from quetzalward_gateway import _runtime

# Sends that end without running do not count as attempts; so many are made.
MAX_UNRUN_SENDS = 3
# A repeatable request moves to another target after this multiple of the
# target's usual latency without an answer.
SLOW_FACTOR = 5.0
# Below this a slow target is not told from an ordinary long answer.
MIN_SLOW_MS = 250.0
# Less time than this is no use to a target.
MIN_LEFT_MS = 5
# Time in which most targets of a plain service have free places again.
RETRY_AFTER_MS = 300

_Attempt = _attempts.Attempt
_Result = _attempts.Result


async def run(call: _runtime.Call) -> None:
    """Send a request to a target and answer the caller."""
    runtime = call.runtime
    tried: set[str] = set()
    ran = unrun = 0
    kept: _Attempt | None = None
    last = _Attempt(_Result.NOT_RUN, "no target")
    call.record_first_send()
    while call.remaining_ms() > MIN_LEFT_MS:
        now_ms = runtime.now_ms()
        target = runtime.state.place_plain(call.service, tried, now_ms)
        if target is None:
            break
        tried.add(target.id)
        if (ran or unrun) and not call.try_spend_retry():
            last = attrs.evolve(last, reason="the repeat budget is used up")
            break
        last = await _attempt(call, target, ran)
        if last.result is _Result.UNREACHABLE:
            continue
        if last.result is _Result.NOT_RUN:
            unrun += 1
            if unrun >= MAX_UNRUN_SENDS:
                break
            continue
        ran += 1
        if last.result is _Result.ANSWERED:
            if not _is_worth_repeating(call, last, ran):
                _forward(call, last)
                return
            kept = last
        if not call.route.repeatable or ran >= call.route.max_attempts:
            break
    if kept is not None:
        _forward(call, kept)
    else:
        call.refuse(_failure(call, last, ran))


def _is_worth_repeating(
    call: _runtime.Call, attempt: _Attempt, ran: int
) -> bool:
    """Tell whether another target may answer a failed request better."""
    assert attempt.head is not None
    return (
        attempt.head.status >= 500
        and call.route.repeatable
        and ran < call.route.max_attempts
    )


def _failure(
    call: _runtime.Call, last: _Attempt, ran: int
) -> _runtime.Refused:
    """Return the honest answer after the last attempt failed."""
    if not ran:
        return _runtime.Refused(
            errors.ErrorKind.NO_TARGET, last.reason, RETRY_AFTER_MS
        )
    if call.remaining_ms() <= MIN_LEFT_MS:
        return _runtime.Refused(errors.ErrorKind.TARGET_TIMEOUT, last.reason)
    return _runtime.Refused(errors.ErrorKind.TARGET_FAILED, last.reason)


def _forward(call: _runtime.Call, attempt: _Attempt) -> None:
    head = attempt.head
    assert head is not None
    call.runtime.metrics.count("answered", str(head.status))
    call.log_event("answered", status=head.status, target=attempt.target_id)
    call.runtime.metrics.latency(
        "plain", call.runtime.now_ms() - call.raw.received_ms
    )
    call.responder.send_whole(head.status, head.forwarded, attempt.body)


async def _attempt(
    call: _runtime.Call, target: fleet.Target, ran: int
) -> _Attempt:
    """Send the request to one target."""
    runtime = call.runtime
    outcomes = runtime.state.outcomes
    started_ms = runtime.now_ms()
    try:
        channel = await _channel.connect(
            target.address,
            min(_attempts.CONNECT_TIMEOUT_MS, call.remaining_ms()),
        )
    except (_channel.ChannelReset, _channel.ChannelTimeout) as error:
        outcomes.mark_unreachable(target.id, runtime.now_ms())
        call.log_event("unreachable", target=target.id, reason=repr(error))
        return _Attempt(_Result.UNREACHABLE, "no connection")
    outcomes.started(target.id)
    runtime.state.cold_start_budget.record_request(target.id, started_ms)
    try:
        attempt = await _exchange(call, target, channel, ran)
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
    ran: int,
) -> _Attempt:
    http = _http.ClientCall(channel)
    request = call.request
    http.send(
        request.method,
        request.target,
        call.target_headers(target, None),
        call.raw.body,
    )
    until_ms = _patience(call, target, ran)
    now_ms = call.runtime.now_ms
    try:
        head = await http.head(until_ms - now_ms())
        answer = call.runtime.platform.decode_answer(head)
        parts = []
        while True:
            part = await http.data(until_ms - now_ms())
            if part is None:
                break
            parts.append(part)
    except _channel.ChannelTimeout:
        if call.remaining_ms() > MIN_LEFT_MS:
            return _Attempt(_Result.SLOW, "the target is slow")
        return _Attempt(_Result.SLOW, "no answer within the deadline")
    except (_channel.ChannelReset, _http.ProtocolBroken) as error:
        return _Attempt(_Result.BROKEN, f"the answer broke off: {error}")
    return _attempts.check_head(request, answer) or _Attempt(
        _Result.ANSWERED, "", answer, b"".join(parts)
    )


def _patience(
    call: _runtime.Call, target: fleet.Target, ran: int
) -> clock.Millis:
    """Return until when to wait for a target's answer."""
    last_ms = call.deadline_ms + _attempts.DEADLINE_GRACE_MS
    if not call.route.repeatable or ran + 1 >= call.route.max_attempts:
        return last_ms
    usual = call.runtime.state.outcomes.latency_ms(target.id)
    slow = max(MIN_SLOW_MS, SLOW_FACTOR * usual)
    return min(last_ms, call.runtime.now_ms() + int(slow))
