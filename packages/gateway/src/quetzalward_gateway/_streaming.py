"""Streams from model groups, resumed at another group where allowed."""

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

# A waiting stream looks this often whether its group still produces.
LOOK_MS = 80
# A resumed stream without a place looks for one this often.
RESUME_LOOK_MS = 60
# Callers leave a stream after a gap of two seconds or more, so that a
# longer search for a place is of no use.
MAX_RESUME_WAIT_MS = 1_800
# Sends that ended without running do not count as attempts.
MAX_UNRUN_SENDS = 2
# A run that stalled or broke because a member was lost may be followed by
# another one even where the route allows a single attempt.
MAX_LOST_SENDS = 2
# Less time than this is no use to a group.
MIN_LEFT_MS = 20
# Time in which a broken group is usually formed anew.
UNKNOWN_RETRY_AFTER_MS = 400

_Part = typing.TypeVar("_Part")
_Attempt = _attempts.Attempt
_Result = _attempts.Result


def _is_event_stream(head: _http.Head) -> bool:
    return any(
        name == b"content-type" and value.startswith(b"text/event-stream")
        for name, value in head.headers
    )


class StreamExchange:
    """One caller's stream over one or more groups."""

    def __init__(self, call: _runtime.Call) -> None:
        """Start with nothing sent."""
        self._call = call
        self._state = call.runtime.state
        self._sequence = _events.EventSequence(call.request.last_event_id)
        self._tried: set[_state.GroupKey] = set()
        self._ran = 0
        self._unrun = 0
        self._first_event_ms: clock.Millis | None = None
        self._event_ms = call.raw.received_ms
        self._reading_tokens = 0
        self._longest_pause_ms: clock.Millis = 0

    async def run(self) -> None:
        """Serve the stream."""
        self._call.record_first_send()
        last = _Attempt(_Result.NOT_RUN, "no group")
        while True:
            if self._call.remaining_ms() <= MIN_LEFT_MS:
                last = attrs.evolve(last, result=_Result.TIMEOUT)
                break
            place = await self._find_place()
            if isinstance(place, placing.Refusal):
                self._end_refused(place)
                return
            if (self._ran or self._unrun) and not self._call.try_spend_retry():
                last = attrs.evolve(last, reason="no repeat budget")
                break
            last = await self._attempt(place)
            if last.result is _Result.COMPLETE:
                self._note_complete(place)
                return
            self._note_failure(place, last)
            if not self._may_go_on(last):
                break
        self._end_failed(last)

    async def _find_place(self) -> _state.StreamPlacement | placing.Refusal:
        """Return a place; a started stream waits for one for a while."""
        while True:
            now_ms = self._call.runtime.now_ms()
            place = self._state.place_stream(
                self._call.service,
                self._call.request,
                self._call.remaining_ms(),
                self._tried,
                now_ms,
            )
            if not isinstance(place, placing.Refusal):
                return place
            if not self._ran:
                return place
            if now_ms - self._event_ms > MAX_RESUME_WAIT_MS:
                return place
            if self._call.remaining_ms() <= MIN_LEFT_MS:
                return place
            self._tried.clear()
            await asyncio.sleep(RESUME_LOOK_MS / clock.MILLIS_PER_SECOND)

    def _may_go_on(self, last: _Attempt) -> bool:
        """Tell whether another send may follow a failed one."""
        if last.result in (_Result.TIMEOUT, _Result.GAP):
            return False
        if last.result is _Result.UNREACHABLE:
            return True
        if last.result is _Result.NOT_RUN:
            return self._unrun <= MAX_UNRUN_SENDS
        if not self._call.route.repeatable:
            return False
        bound = self._call.route.max_attempts
        if last.result is not _Result.FAILED:
            bound = max(bound, MAX_LOST_SENDS)
        return self._ran < bound

    # Ends.

    def _note_complete(self, place: _state.StreamPlacement) -> None:
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
            longest_pause_ms=self._longest_pause_ms,
            runs=self._ran,
        )
        metrics = call.runtime.metrics
        metrics.count("answered", "200")
        if first_ms is not None:
            metrics.latency("first_event", first_ms)
        if self._ran > 1:
            metrics.count("resumed")

    def _note_failure(
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
            silent_ms=self._call.runtime.now_ms() - self._event_ms,
            last_event=self._sequence.last_id,
        )

    def _end_refused(self, refusal: placing.Refusal) -> None:
        if self._call.responder.started:
            self._abort(refusal.reason)
        elif self._ran:
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
            self._call.responder.send_whole(
                last.head.status, last.head.forwarded, last.body
            )
        elif not self._ran:
            self._call.refuse(
                _runtime.Refused(
                    errors.ErrorKind.NO_TARGET,
                    last.reason,
                    UNKNOWN_RETRY_AFTER_MS,
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
        """Break a started stream off; it must not look complete."""
        self._call.log_event(
            "stream_aborted",
            reason=reason,
            last_event=self._sequence.last_id,
            left_ms=self._call.remaining_ms(),
        )
        self._call.runtime.metrics.count("aborted")
        self._call.responder.abort()

    # One send.

    async def _attempt(self, place: _state.StreamPlacement) -> _Attempt:
        runtime = self._call.runtime
        load = self._state.load_of(place.group.key)
        prompt = self._call.request.prompt
        tokens = prompt.prompt_tokens if prompt else 0
        # Counted before the connection is made, so that requests placed
        # meanwhile see it.
        load.started(tokens, runtime.now_ms())
        self._reading_tokens = tokens
        try:
            return await self._connect_and_relay(place, load)
        finally:
            load.prefill_done(self._reading_tokens)
            self._reading_tokens = 0
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
            self._tried.add(place.group.key)
            return _Attempt(_Result.UNREACHABLE, f"no connection: {error!r}")
        self._state.cold_start_budget.record_request(head.id, runtime.now_ms())
        try:
            attempt = await self._relay(place, channel, load)
        finally:
            channel.abort()
        self._tried.add(place.group.key)
        if attempt.result is _Result.NOT_RUN:
            self._unrun += 1
            self._blame(attempt, head.id)
        else:
            self._ran += 1
        if attempt.result is _Result.STALLED:
            load.suspect(runtime.now_ms())
        return attempt

    def _blame(self, attempt: _Attempt, head_id: str) -> None:
        """Report the target that an answer names as the cause."""
        culprit = attempt.head.failed_target_id if attempt.head else None
        if culprit is not None and culprit != head_id:
            self._state.suspects.add(culprit)

    async def _relay(
        self,
        place: _state.StreamPlacement,
        channel: _channel.Channel,
        load: placing.GroupLoad,
    ) -> _Attempt:
        """Send the request and pass its events on."""
        call = self._call
        http = _http.ClientCall(channel)
        http.send(
            call.request.method,
            call.request.target,
            call.target_headers(place.group.head, self._sequence.last_id),
            call.raw.body,
        )
        try:
            head = await self._wait(http.head, place, load)
            if isinstance(head, _Attempt):
                return head
            answer = call.runtime.platform.decode_answer(head)
            bad = _attempts.check_head(call.request, answer)
            if bad is not None:
                return bad
            if answer.status >= 300 or not _is_event_stream(head):
                return await self._whole(http, answer, place, load)
            return await self._events(http, answer, place, load)
        except (_channel.ChannelReset, _http.ProtocolBroken) as error:
            return _Attempt(_Result.BROKEN, f"the answer broke off: {error}")
        except _events.EventGap as error:
            return _Attempt(_Result.GAP, str(error))

    async def _whole(
        self,
        http: _http.ClientCall,
        answer: _ports.TargetAnswer,
        place: _state.StreamPlacement,
        load: placing.GroupLoad,
    ) -> _Attempt:
        """Take an answer that is no event stream."""
        parts = []
        while True:
            part = await self._wait(http.data, place, load)
            if isinstance(part, _Attempt):
                return part
            if part is None:
                break
            parts.append(part)
        body = b"".join(parts)
        if answer.status < 300 and not self._call.responder.started:
            self._call.responder.send_whole(
                answer.status, answer.forwarded, body
            )
            return _Attempt(_Result.COMPLETE)
        return _Attempt(
            _Result.FAILED,
            f"the target answered {answer.status}",
            answer,
            body,
        )

    async def _events(
        self,
        http: _http.ClientCall,
        answer: _ports.TargetAnswer,
        place: _state.StreamPlacement,
        load: placing.GroupLoad,
    ) -> _Attempt:
        """Pass events on as they arrive, only whole ones."""
        responder = self._call.responder
        splitter = _events.EventSplitter()
        while True:
            data = await self._wait(http.data, place, load)
            if isinstance(data, _Attempt):
                return data
            if data is None:
                break
            events = splitter.feed(data)
            if not events:
                continue
            self._note_event(place, load)
            ready = [e.data for e in events if self._sequence.is_next(e)]
            if not ready:
                continue
            if not responder.started:
                self._first_event_ms = self._event_ms
                responder.start_stream(answer.status, answer.forwarded)
            await responder.send_part(b"".join(ready))
        if not splitter.is_clean:
            return _Attempt(_Result.BROKEN, "the stream ended in an event")
        if not responder.started:
            responder.start_stream(answer.status, answer.forwarded)
        responder.finish()
        return _Attempt(_Result.COMPLETE)

    def _note_event(
        self, place: _state.StreamPlacement, load: placing.GroupLoad
    ) -> None:
        now_ms = self._call.runtime.now_ms()
        if self._reading_tokens:
            load.prefill_done(self._reading_tokens)
            self._reading_tokens = 0
        else:
            predicted = placing.pass_ms(
                place.engine, place.model, load.load(now_ms).active
            )
            load.observe_gap(now_ms - self._event_ms, predicted)
        load.record_own_event(now_ms)
        if self._call.responder.started:
            pause_ms = now_ms - self._event_ms
            self._longest_pause_ms = max(self._longest_pause_ms, pause_ms)
        self._event_ms = now_ms

    async def _wait(
        self,
        receive: collections.abc.Callable[
            [float], collections.abc.Awaitable[_Part]
        ],
        place: _state.StreamPlacement,
        load: placing.GroupLoad,
    ) -> _Part | _Attempt:
        """Wait for a part of the answer while the group is alive.

        Returns an `_Attempt` if the deadline passed or the group stalled.
        """
        call = self._call
        one_pass = placing.pass_ms(
            place.engine, place.model, place.engine.slots
        )
        while True:
            left_ms = call.remaining_ms() + _attempts.DEADLINE_GRACE_MS
            if left_ms <= 0:
                return _Attempt(_Result.TIMEOUT, "the deadline passed")
            try:
                return await receive(min(LOOK_MS, left_ms))
            except _channel.ChannelTimeout:
                now_ms = call.runtime.now_ms()
                if load.lost:
                    return _Attempt(_Result.STALLED, "the group was given up")
                if load.suspected or load.has_stalled(one_pass, now_ms):
                    return _Attempt(_Result.STALLED, "the group stalled")
                if not load.check_requested and load.needs_check(
                    one_pass, now_ms
                ):
                    load.check_requested = True
                    self._state.send_message_now = True
