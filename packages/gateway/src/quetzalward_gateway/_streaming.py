"""Streams from model groups, resumed on another group where allowed."""

import asyncio
import collections.abc
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import placing
from quetzalward_gateway import _attempts
from quetzalward_gateway import _channel
from quetzalward_gateway import _events
from quetzalward_gateway import _http
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _state

# Interval at which a waiting stream checks whether its group has stalled.
STALL_CHECK_INTERVAL_MS = 80
# Interval at which an interrupted stream tries to find another group.
RESUME_POLL_INTERVAL_MS = 60
# Callers abandon a stream after a gap of 2 s or more, so that a longer search
# for a group is of no use.
MAX_RESUME_WAIT_MS = 1_800
# Attempts that the group did not execute after which another one is still
# made; they do not count towards the maximum of the route.
MAX_UNEXECUTED_ATTEMPTS = 2
# A stream that stalled or broke because a member was lost may be executed this
# many times in total, even if the route allows a single attempt.
MAX_EXECUTIONS_ON_LOSS = 2
# No attempt is made with less time left, as a group could not use it.
MIN_REMAINING_MS = 20
# Time in which a group that lost a member is usually formed again.
NO_TARGET_RETRY_AFTER_MS = 400

_Part = typing.TypeVar("_Part")
_Attempt = _attempts.Attempt
_Result = _attempts.Result


def _is_event_stream(head: _http.ResponseHead) -> bool:
    return any(
        name == b"content-type" and value.startswith(b"text/event-stream")
        for name, value in head.headers
    )


class StreamExchange:
    """Serves one caller's stream from one group after another."""

    def __init__(self, call: _runtime.Call) -> None:
        """Take an admitted call; nothing is sent yet."""
        self._call = call
        self._state = call.runtime.state
        self._sequence = _events.EventSequence(call.request.last_event_id)
        self._tried_groups: set[_state.GroupKey] = set()
        self._executed_attempts = 0
        self._unexecuted_attempts = 0
        self._first_event_ms: clock.Millis | None = None
        self._last_event_ms = call.raw.received_ms
        self._prefill_tokens = 0
        self._longest_gap_ms: clock.Millis = 0

    async def run(self) -> None:
        """Serve the stream until it is complete, refused or aborted."""
        self._call.record_first_send()
        last = _Attempt(_Result.NOT_RUN, "no group has been tried")
        while True:
            if self._call.remaining_ms() <= MIN_REMAINING_MS:
                last = attrs.evolve(last, result=_Result.TIMEOUT)
                break
            place = await self._find_place()
            if isinstance(place, placing.Refusal):
                self._end_refused(place)
                return
            if (
                self._executed_attempts or self._unexecuted_attempts
            ) and not self._call.try_spend_retry():
                last = attrs.evolve(
                    last, reason="the retry budget is exhausted"
                )
                break
            last = await self._attempt(place)
            if last.result is _Result.COMPLETE:
                self._record_completion(place)
                return
            self._log_failure(place, last)
            if not self._may_retry(last):
                break
        self._end_failed(last)

    async def _find_place(self) -> _state.StreamPlacement | placing.Refusal:
        """Return a group with room for the stream, or the refusal.

        A stream that has been interrupted waits for one, at most
        `MAX_RESUME_WAIT_MS` after its last event.
        """
        while True:
            now_ms = self._call.runtime.now_ms()
            place = self._state.place_stream(
                self._call.service,
                self._call.request,
                self._call.remaining_ms(),
                self._tried_groups,
                now_ms,
            )
            if not isinstance(place, placing.Refusal):
                return place
            if not self._executed_attempts:
                return place
            if now_ms - self._last_event_ms > MAX_RESUME_WAIT_MS:
                return place
            if self._call.remaining_ms() <= MIN_REMAINING_MS:
                return place
            self._tried_groups.clear()
            await asyncio.sleep(
                RESUME_POLL_INTERVAL_MS / clock.MILLIS_PER_SECOND
            )

    def _may_retry(self, last: _Attempt) -> bool:
        """Tell whether another attempt may follow a failed one."""
        if last.result in (_Result.TIMEOUT, _Result.GAP):
            return False
        if last.result is _Result.UNREACHABLE:
            return True
        if last.result is _Result.NOT_RUN:
            return self._unexecuted_attempts <= MAX_UNEXECUTED_ATTEMPTS
        if not self._call.route.repeatable:
            return False
        max_executions = self._call.route.max_attempts
        if last.result is not _Result.FAILED:
            max_executions = max(max_executions, MAX_EXECUTIONS_ON_LOSS)
        return self._executed_attempts < max_executions

    # Completion and failure.

    def _record_completion(self, place: _state.StreamPlacement) -> None:
        call = self._call
        first_ms = None
        if self._first_event_ms is not None:
            first_ms = self._first_event_ms - call.raw.received_ms
        call.log_event(
            "stream",
            group=place.group.entry.name,
            epoch=place.group.entry.epoch,
            target=place.group.head.id,
            predicted_ms=round(place.first_event_ms),
            load=round(place.load, 1),
            load_age_ms=place.load_age_ms,
            first_ms=first_ms,
            longest_pause_ms=self._longest_gap_ms,
            runs=self._executed_attempts,
        )
        metrics = call.runtime.metrics
        metrics.count("answered", "200")
        if first_ms is not None:
            metrics.record_latency("first_event", first_ms)
        if self._executed_attempts > 1:
            metrics.count("resumed")

    def _log_failure(
        self, place: _state.StreamPlacement, last: _Attempt
    ) -> None:
        entry = place.group.entry
        load = self._state.load_of(place.group.key)
        self._call.log_event(
            "attempt_failed",
            target=place.group.head.id,
            group=entry.name,
            epoch=entry.epoch,
            result=last.result.value,
            reason=last.reason,
            predicted_ms=round(place.first_event_ms),
            group_active=load.active,
            silent_ms=self._call.runtime.now_ms() - self._last_event_ms,
            last_event=self._sequence.last_id,
        )

    def _end_refused(self, refusal: placing.Refusal) -> None:
        if self._call.responder.started:
            self._abort(refusal.reason)
        elif self._executed_attempts:
            self._call.refuse(
                _runtime.Refused(
                    errors.ErrorKind.TARGET_FAILED, refusal.reason
                )
            )
        else:
            self._call.refuse(
                _runtime.Refused(
                    errors.ErrorKind.OVERLOADED,
                    refusal.reason,
                    refusal.retry_after_ms,
                )
            )

    def _end_failed(self, last: _Attempt) -> None:
        if self._call.responder.started:
            self._abort(last.reason)
        elif last.result is _Result.FAILED and last.head is not None:
            self._call.runtime.metrics.count("answered", str(last.head.status))
            self._call.responder.send_response(
                last.head.status, last.head.forwarded, last.body
            )
        elif not self._executed_attempts:
            self._call.refuse(
                _runtime.Refused(
                    errors.ErrorKind.NO_TARGET,
                    last.reason,
                    NO_TARGET_RETRY_AFTER_MS,
                )
            )
        elif last.result is _Result.TIMEOUT:
            self._call.refuse(
                _runtime.Refused(errors.ErrorKind.TARGET_TIMEOUT, last.reason)
            )
        else:
            self._call.refuse(
                _runtime.Refused(errors.ErrorKind.TARGET_FAILED, last.reason)
            )

    def _abort(self, reason: str) -> None:
        """Abort a started stream, which must not appear complete."""
        self._call.log_event(
            "stream_aborted",
            reason=reason,
            last_event=self._sequence.last_id,
            left_ms=self._call.remaining_ms(),
        )
        self._call.runtime.metrics.count("aborted")
        self._call.responder.abort()

    # A single attempt.

    async def _attempt(self, place: _state.StreamPlacement) -> _Attempt:
        runtime = self._call.runtime
        load = self._state.load_of(place.group.key)
        prompt = self._call.request.prompt
        tokens = prompt.prompt_tokens if prompt else 0
        # Counted before the connection is opened, so that the placement of
        # concurrent requests takes it into account.
        load.started(tokens, runtime.now_ms())
        self._prefill_tokens = tokens
        try:
            return await self._connect_and_relay(place, load)
        finally:
            load.prefill_done(self._prefill_tokens)
            self._prefill_tokens = 0
            load.ended()

    async def _connect_and_relay(
        self,
        place: _state.StreamPlacement,
        load: placing.GroupLoad,
    ) -> _Attempt:
        runtime = self._call.runtime
        head = place.group.head
        try:
            channel = await _channel.connect(
                head.address,
                min(_attempts.CONNECT_TIMEOUT_MS, self._call.remaining_ms()),
            )
        except (_channel.ChannelReset, _channel.ChannelTimeout) as error:
            load.suspect(runtime.now_ms())
            self._state.suspects.add(head.id)
            self._tried_groups.add(place.group.key)
            return _Attempt(
                _Result.UNREACHABLE,
                f"connection to the group's head failed: {error!r}",
            )
        self._state.cold_start_budget.record_request(head.id, runtime.now_ms())
        try:
            attempt = await self._relay(place, channel, load)
        finally:
            channel.abort()
        self._tried_groups.add(place.group.key)
        if attempt.result is _Result.NOT_RUN:
            self._unexecuted_attempts += 1
            self._suspect_culprit(attempt, head.id)
        else:
            self._executed_attempts += 1
        if attempt.result is _Result.STALLED:
            load.suspect(runtime.now_ms())
        return attempt

    def _suspect_culprit(self, attempt: _Attempt, head_id: str) -> None:
        """Mark the target that a response names as the cause as a suspect."""
        culprit = attempt.head.failed_target_id if attempt.head else None
        if culprit is not None and culprit != head_id:
            self._state.suspects.add(culprit)

    async def _relay(
        self,
        place: _state.StreamPlacement,
        channel: _channel.Channel,
        load: placing.GroupLoad,
    ) -> _Attempt:
        """Send the request and forward the events of its response."""
        call = self._call
        http = _http.ClientCall(channel)
        http.send(
            call.request.method,
            call.request.target,
            call.target_headers(place.group.head, self._sequence.last_id),
            call.raw.body,
        )
        try:
            head = await self._receive_part(http.read_head, place, load)
            if isinstance(head, _Attempt):
                return head
            answer = call.runtime.platform.decode_answer(head)
            failed_attempt = _attempts.check_response_head(
                call.request, answer
            )
            if failed_attempt is not None:
                return failed_attempt
            if answer.status >= 300 or not _is_event_stream(head):
                return await self._receive_response(http, answer, place, load)
            return await self._relay_events(http, answer, place, load)
        except (
            _channel.ChannelReset,
            _events.EventTooLarge,
            _http.ProtocolError,
        ) as error:
            return _Attempt(
                _Result.BROKEN, f"incomplete or invalid response: {error}"
            )
        except _events.EventGap as error:
            return _Attempt(_Result.GAP, str(error))

    async def _receive_response(
        self,
        http: _http.ClientCall,
        answer: _ports.TargetAnswer,
        place: _state.StreamPlacement,
        load: placing.GroupLoad,
    ) -> _Attempt:
        """Receive a response that is an error or no event stream.

        Forwards it unless it is an error or the stream has been started.
        """
        parts = []
        size = 0
        while True:
            part = await self._receive_part(http.read_data, place, load)
            if isinstance(part, _Attempt):
                return part
            if part is None:
                break
            size += len(part)
            if size > _http.MAX_BODY_BYTES:
                raise _http.ProtocolError(
                    f"the body exceeds {_http.MAX_BODY_BYTES} bytes"
                )
            parts.append(part)
        body = b"".join(parts)
        if answer.status < 300 and not self._call.responder.started:
            self._call.responder.send_response(
                answer.status, answer.forwarded, body
            )
            return _Attempt(_Result.COMPLETE)
        return _Attempt(
            _Result.FAILED,
            f"the target responded with status {answer.status}",
            answer,
            body,
        )

    async def _relay_events(
        self,
        http: _http.ClientCall,
        answer: _ports.TargetAnswer,
        place: _state.StreamPlacement,
        load: placing.GroupLoad,
    ) -> _Attempt:
        """Forward complete events as they arrive."""
        responder = self._call.responder
        splitter = _events.EventSplitter()
        while True:
            data = await self._receive_part(http.read_data, place, load)
            if isinstance(data, _Attempt):
                return data
            if data is None:
                break
            events = splitter.feed(data)
            if not events:
                continue
            self._record_event(place, load)
            to_forward = [e.data for e in events if self._sequence.accept(e)]
            if not to_forward:
                continue
            if not responder.started:
                self._first_event_ms = self._last_event_ms
                responder.start_stream(answer.status, answer.forwarded)
            await responder.send_chunk(b"".join(to_forward))
        if not splitter.is_at_event_boundary:
            return _Attempt(_Result.BROKEN, "the stream ended within an event")
        if not responder.started:
            responder.start_stream(answer.status, answer.forwarded)
        responder.finish()
        return _Attempt(_Result.COMPLETE)

    def _record_event(
        self, place: _state.StreamPlacement, load: placing.GroupLoad
    ) -> None:
        now_ms = self._call.runtime.now_ms()
        if self._prefill_tokens:
            load.prefill_done(self._prefill_tokens)
            self._prefill_tokens = 0
        else:
            predicted_ms = placing.pass_ms(
                place.engine, place.model, load.load(now_ms).active
            )
            load.observe_gap(now_ms - self._last_event_ms, predicted_ms)
        load.record_own_event(now_ms)
        if self._call.responder.started:
            gap_ms = now_ms - self._last_event_ms
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
        self._last_event_ms = now_ms

    async def _receive_part(
        self,
        receive: collections.abc.Callable[
            [float], collections.abc.Awaitable[_Part]
        ],
        place: _state.StreamPlacement,
        load: placing.GroupLoad,
    ) -> _Part | _Attempt:
        """Receive a part of the response while the group makes progress.

        Returns a failed `_Attempt` if the deadline passes or the group
        stalls.
        """
        call = self._call
        full_load_pass_ms = placing.pass_ms(
            place.engine, place.model, place.engine.slots
        )
        while True:
            left_ms = call.remaining_ms() + _attempts.DEADLINE_GRACE_MS
            if left_ms <= 0:
                return _Attempt(
                    _Result.TIMEOUT, "the request's deadline has passed"
                )
            try:
                return await receive(min(STALL_CHECK_INTERVAL_MS, left_ms))
            except _channel.ChannelTimeout:
                now_ms = call.runtime.now_ms()
                if load.lost:
                    return _Attempt(
                        _Result.STALLED,
                        "the coordinator has given up the group's epoch",
                    )
                if load.suspected or load.has_stalled(
                    full_load_pass_ms, now_ms
                ):
                    return _Attempt(
                        _Result.STALLED,
                        "the group has stalled or is a suspect",
                    )
                if not load.check_requested and load.needs_check(
                    full_load_pass_ms, now_ms
                ):
                    load.check_requested = True
                    self._state.send_message_now = True
