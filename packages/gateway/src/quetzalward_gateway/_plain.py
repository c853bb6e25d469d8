"""Requests that are answered as a whole, retried where allowed."""

import asyncio

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import placing
from quetzalward_core import quarantine
from quetzalward_core import streams
from quetzalward_gateway import _admission
from quetzalward_gateway import _attempts
from quetzalward_gateway import _channel
from quetzalward_gateway import _http
from quetzalward_gateway import _memory
from quetzalward_gateway import _pacing
from quetzalward_gateway import _permit_wait
from quetzalward_gateway import _runtime

# Limit of attempts that the target did not execute; they do not count towards
# the maximum of the route.
MAX_UNEXECUTED_ATTEMPTS = 3
# A repeatable request is sent to another target as well if the first has not
# responded within this multiple of its usual latency.
SLOW_LATENCY_FACTOR = 5.0
# Lower limit for that time: with a shorter one, ordinary long responses would
# be asked for twice.
MIN_SLOW_THRESHOLD_MS = 250.0
# No attempt is made with less time left, as a target could not use it.
MIN_REMAINING_MS = 5
# Time in which most targets at their limit have free capacity again.
RETRY_AFTER_MS = 300

_Attempt = _attempts.Attempt
_Result = _attempts.Result


async def run(call: _runtime.Call) -> None:
    """Forward a request to targets and their response to the caller."""
    exchange = PlainExchange(call)
    try:
        await exchange.run()
    finally:
        exchange.cancel()


class PlainExchange:
    """Serves one request, by several targets at once if one is slow.

    A target that has not answered for a while may only be slow, so its
    connection is kept until another one has answered.
    """

    def __init__(self, call: _runtime.Call) -> None:
        """Take an admitted call; nothing is sent yet."""
        self._call = call
        self._state = call.runtime.state
        self._pool = _admission.pool_of(call.service)
        self._guard = call.crash_guard
        self._tried: set[str] = set()
        # Targets that have been recorded as slow.
        self._slow: set[str] = set()
        self._target_by_task: dict[asyncio.Task[_Attempt], fleet.Target] = {}
        self._executed_attempts = 0
        self._unexecuted_attempts = 0
        # Why no target was left for another attempt.
        self._refusal: placing.Refusal | None = None
        self._is_exhausted = False
        # Whether targets crashed under the request.
        self._is_stopped = False
        self._error: _Attempt | None = None
        self._last = _Attempt(_Result.NOT_RUN, "no target is available")

    async def run(self) -> None:
        """Serve the request until it is answered or refused."""
        self._call.record_first_send(self._pool)
        if self._guard.is_blocked:
            self._call.refuse(self._call.refusal_of_crash(False))
            return
        while True:
            slow_threshold_ms = None
            if self._may_start():
                target = await self._choose()
                if target is not None and await self._may_send():
                    self._start(target)
                    slow_threshold_ms = self._slow_threshold_ms(target)
            if not self._target_by_task:
                break
            ended = await self._next_end(slow_threshold_ms)
            if ended is None:
                self._record_slow()
            elif self._process(ended):
                return
        if self._error is not None:
            _forward(self._call, self._error)
        elif self._is_stopped:
            may_have_run = bool(self._executed_attempts)
            self._call.refuse(self._call.refusal_of_crash(may_have_run))
        else:
            self._call.refuse(self._refused())

    def cancel(self) -> None:
        """Close the connections to targets that have not answered."""
        for task in self._target_by_task:
            task.cancel()

    def _may_start(self) -> bool:
        """Tell whether another attempt may begin now."""
        if (
            self._is_exhausted
            or self._call.remaining_ms() <= MIN_REMAINING_MS
            or self._unexecuted_attempts >= MAX_UNEXECUTED_ATTEMPTS
        ):
            return False
        executions = self._executed_attempts + len(self._target_by_task)
        if not self._call.route.repeatable:
            return not executions
        return executions < self._call.route.max_attempts

    async def _choose(self) -> fleet.Target | None:
        """Return the target of the next attempt; `None` ends the search."""
        runtime = self._call.runtime

        def choose() -> fleet.Target | placing.Refusal:
            return self._state.place_plain(
                self._call.service, self._tried, runtime.now_ms()
            )

        if self._target_by_task:
            # One of them may answer during a wait for a permit.
            target = choose()
        else:
            target = await _permit_wait.place(self._call, self._pool, choose)
        if isinstance(target, placing.Refusal):
            self._is_exhausted = True
            self._refusal = self._state.final_refusal(
                target, self._pool, runtime.now_ms()
            )
            return None
        is_repeat = (
            self._executed_attempts
            or self._unexecuted_attempts
            or self._target_by_task
        )
        if is_repeat and not self._call.try_spend_retry():
            self._is_exhausted = True
            self._last = attrs.evolve(
                self._last, reason="the retry budget is exhausted"
            )
            return None
        return target

    async def _may_send(self) -> bool:
        """Tell whether the request may go on to another target."""
        if self._target_by_task:
            # It was sent already, and its target may have crashed under it.
            may_send = not (self._guard.is_blocked or self._guard.is_suspect())
        else:
            may_send = await self._guard.may_send(self._call.remaining_ms())
        if not may_send:
            self._is_exhausted = self._is_stopped = True
        return may_send

    def _start(self, target: fleet.Target) -> None:
        self._tried.add(target.id)
        # Counted before the connection is opened, so that the placement of
        # concurrent requests takes it into account.
        runtime = self._call.runtime
        if self._state.admission.record_request(target, runtime.now_ms()):
            runtime.metrics.count("permits_used")
        task = asyncio.get_running_loop().create_task(
            _attempt(self._call, target)
        )
        self._target_by_task[task] = target

    def _slow_threshold_ms(self, target: fleet.Target) -> float | None:
        """Return the time after which to ask another target as well."""
        if not self._may_start():
            return None
        usual_latency_ms = self._state.outcomes.latency_ms(target.id)
        return max(
            MIN_SLOW_THRESHOLD_MS, SLOW_LATENCY_FACTOR * usual_latency_ms
        )

    async def _next_end(self, timeout_ms: float | None) -> _Attempt | None:
        """Return an attempt that has ended; `None` on a time-out."""
        timeout_s = None
        if timeout_ms is not None:
            timeout_s = timeout_ms / clock.MILLIS_PER_SECOND
        done, _ = await asyncio.wait(
            self._target_by_task,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            del self._target_by_task[task]
            return task.result()
        return None

    def _record_slow(self) -> None:
        """Record that the targets asked so far have not answered in time."""
        for target in self._target_by_task.values():
            if target.id in self._slow:
                continue
            self._slow.add(target.id)
            now_ms = self._call.runtime.now_ms()
            self._state.observe_outcome(target.id, False, 0.0, now_ms)
            self._call.log_event("target_slow", target=target.id)

    def _process(self, attempt: _Attempt) -> bool:
        """Process the end of an attempt; true if the caller got its answer."""
        self._last = attempt
        self._is_exhausted = False
        if attempt.result is _Result.UNREACHABLE:
            return False
        if attempt.result is _Result.NOT_RUN:
            self._unexecuted_attempts += 1
            return False
        self._executed_attempts += 1
        if attempt.is_cut and self._guard.is_suspect():
            self._is_exhausted = self._is_stopped = True
        if attempt.result is not _Result.ANSWERED:
            return False
        assert attempt.head is not None
        is_error = attempt.head.status >= 500
        if is_error and (self._target_by_task or self._may_start()):
            self._error = attempt
            return False
        _forward(self._call, attempt)
        return True

    def _refused(self) -> _runtime.Refused:
        """Return the refusal that matches the failure of the last attempt."""
        last, kind = self._last, errors.ErrorKind.NO_TARGET
        if not self._executed_attempts and self._refusal is not None:
            return _runtime.Refused(
                kind, self._refusal.reason, self._refusal.retry_after_ms
            )
        if not self._executed_attempts:
            return _runtime.Refused(kind, last.reason, RETRY_AFTER_MS)
        kind = errors.ErrorKind.TARGET_FAILED
        if self._call.remaining_ms() <= MIN_REMAINING_MS:
            kind = errors.ErrorKind.TARGET_TIMEOUT
        return _runtime.Refused(kind, last.reason)


def _forward(call: _runtime.Call, attempt: _Attempt) -> None:
    head = attempt.head
    assert head is not None
    call.runtime.metrics.count("answered", str(head.status))
    call.log_event("answered", status=head.status, target=attempt.target_id)
    call.runtime.metrics.record_latency(
        "plain", call.runtime.now_ms() - call.raw.received_ms
    )
    call.responder.send_response(head.status, head.forwarded, attempt.body)


async def _attempt(call: _runtime.Call, target: fleet.Target) -> _Attempt:
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
        return _Attempt(_Result.UNREACHABLE, "connection to the target failed")
    withheld = call.withheld(target)
    if withheld is not None:
        channel.abort()
        return withheld
    outcomes.started(target.id)
    try:
        attempt = await _exchange(call, target, channel)
    finally:
        outcomes.ended(target.id)
        channel.abort()
    if attempt.is_cut:
        call.crash_guard.record_crash(
            target.incarnation, quarantine.CONTEXT_WEIGHT
        )
    elif attempt.result is _Result.ANSWERED:
        call.crash_guard.record_sound(runtime.now_ms())
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
) -> _Attempt:
    pacer = _pacing.Pacer(call.runtime.costly_work)
    http = _http.ClientCall(channel, pacer)
    request = call.request
    sent_ms = call.runtime.now_ms()
    http.send(
        request.method,
        request.target,
        call.target_headers(target, request.last_event_id),
        call.raw.body,
    )

    def remaining_ms() -> clock.Millis:
        return call.remaining_ms() + _attempts.DEADLINE_GRACE_MS

    try:
        head = await http.read_head(remaining_ms())
        answer = call.runtime.platform.decode_answer(head)
        pool = _admission.pool_of(call.service)
        call.observe_answer(target, pool, answer, sent_ms)
        with call.runtime.answer_memory.holding(channel.abort) as holding:
            body = await http.read_body(remaining_ms, holding=holding)
        if head.is_event_stream and not streams.ends_with_event(body):
            return _Attempt(
                _Result.BROKEN, "the response ended within an event"
            )
    except _channel.ChannelTimeout:
        return _Attempt(
            _Result.TIMEOUT, "the target did not respond within the deadline"
        )
    except (_channel.ChannelReset, _http.ProtocolError) as error:
        return _Attempt(
            _Result.BROKEN,
            f"incomplete or invalid response: {error}",
            is_cut=True,
        )
    except _memory.AnswerEvicted as error:
        return _Attempt(_Result.BROKEN, str(error))
    return _attempts.check_response_head(request, answer) or _Attempt(
        _Result.ANSWERED, "", answer, body
    )
