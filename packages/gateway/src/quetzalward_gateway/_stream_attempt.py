"""A single attempt to serve a stream from one place."""

import collections.abc
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import quarantine
from quetzalward_gateway import _attempts
from quetzalward_gateway import _channel
from quetzalward_gateway import _events
from quetzalward_gateway import _http
from quetzalward_gateway import _memory
from quetzalward_gateway import _pacing
from quetzalward_gateway import _places
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# Interval at which a waiting stream checks whether its target has stalled.
STALL_CHECK_INTERVAL_MS = 80
# A part of a body that is split into events at once; it may hold a thousand.
PART_BYTES = 4_096

_Part = typing.TypeVar("_Part")
_Attempt = _attempts.Attempt
_Result = _attempts.Result


@attrs.define
class StreamProgress:
    """What the caller of a stream has received, over all attempts."""

    sequence: _events.EventSequence
    # Time of the last event, or of the request if there was none.
    last_event_ms: clock.Millis
    first_event_ms: clock.Millis | None = None
    longest_gap_ms: clock.Millis = 0


def _cut(result: _Result, reason: str) -> _Attempt:
    return _Attempt(result, reason, is_cut=True)


class AttemptObserver(typing.Protocol):
    """Learns of the progress of attempts that may run beside each other."""

    def attempt_silent(self, attempt: "StreamAttempt") -> None:
        """Learn that an attempt's target is silent; called repeatedly."""

    def attempt_produced(self, attempt: "StreamAttempt") -> None:
        """Learn that an attempt is about to write to the caller."""


class StreamAttempt:
    """Sends a stream's request to one place and forwards the events.

    A target that falls silent may go on, so its connection is kept until the
    deadline, or until the observer lets another attempt supersede this one.
    """

    def __init__(
        self,
        call: _runtime.Call,
        place: _places.StreamPlace,
        progress: StreamProgress,
        observer: AttemptObserver | None = None,
    ) -> None:
        """Take the place; nothing is sent yet."""
        self._call = call
        self._state = call.runtime.state
        self._place = place
        self._progress = progress
        self._observer = observer
        self._channel: _channel.Channel | None = None
        self._is_superseded = False
        # Whether the target is silent, and may not go on.
        self._is_silent = False
        self._load = place.load
        # Prompt tokens that count as pending at the place.
        self._prefill_tokens = 0
        self._pacer = _pacing.Pacer(call.runtime.costly_work)
        self._next_check_ms: clock.Millis = 0
        # When this attempt's response and its first event arrived.
        self.response_ms: clock.Millis | None = None
        self.first_event_ms: clock.Millis | None = None
        # Whether the answer was written long enough, or to its end.
        self._has_settled = False

    @property
    def phase(self) -> _attempts.Phase:
        """Return how far the target got."""
        if self.first_event_ms is not None:
            return _attempts.Phase.WRITING
        if self.response_ms is not None:
            return _attempts.Phase.BEGUN
        return _attempts.Phase.SENT

    async def run(self) -> _Attempt:
        """Send the request and forward the response."""
        runtime = self._call.runtime
        started_ms = runtime.now_ms()
        prompt = self._call.request.prompt
        tokens = prompt.prompt_tokens if prompt else 0
        # Counted before the connection is opened, so that the placement of
        # concurrent requests takes it into account.
        self._load.started(tokens, started_ms)
        self._place.started()
        self._prefill_tokens = tokens
        if self._state.admission.record_request(
            self._place.target, started_ms
        ):
            runtime.metrics.count("permits_used")
        attempt = None
        try:
            attempt = await self._connect_and_relay()
            if self._is_superseded:
                attempt = _Attempt(
                    _Result.SUPERSEDED, "another attempt went on first"
                )
            return attempt
        finally:
            self._load.prefill_done(self._prefill_tokens)
            self._prefill_tokens = 0
            self._load.ended()
            now_ms = runtime.now_ms()
            self._place.ended(attempt, now_ms - started_ms, now_ms)

    def supersede(self) -> None:
        """End this attempt, since another one writes to the caller."""
        self._is_superseded = True
        if self._channel is not None:
            self._channel.abort()

    async def _connect_and_relay(self) -> _Attempt:
        try:
            channel = await _channel.connect(
                self._place.target.address,
                min(_attempts.CONNECT_TIMEOUT_MS, self._call.remaining_ms()),
            )
        except (_channel.ChannelReset, _channel.ChannelTimeout) as error:
            self._place.mark_unreachable(self._call.runtime.now_ms())
            return _Attempt(
                _Result.UNREACHABLE,
                f"connection to the target failed: {error!r}",
            )
        self._channel = channel
        try:
            attempt = await self._relay(channel)
        finally:
            channel.abort()
        if attempt.result is _Result.NOT_RUN:
            self._suspect_culprit(attempt)
        return attempt

    def _suspect_culprit(self, attempt: _Attempt) -> None:
        """Mark the target that a response names as the cause as a suspect."""
        culprit = attempt.head.failed_target_id if attempt.head else None
        if culprit is not None and culprit != self._place.target.id:
            self._state.suspects.add(culprit)

    async def _relay(self, channel: _channel.Channel) -> _Attempt:
        """Send the request and forward the events of its response."""
        call = self._call
        withheld = call.withheld(self._place.target)
        if withheld is not None:
            return withheld
        http = _http.ClientCall(channel, self._pacer)
        last_event_id = self._progress.sequence.last_id
        sent_ms = call.runtime.now_ms()
        http.send(
            call.request.method,
            call.request.target,
            call.target_headers(self._place.target, last_event_id),
            call.raw.body,
        )
        try:
            head = await self._receive_part(http.read_head)
            if isinstance(head, _Attempt):
                return head
            answer = call.runtime.platform.decode_answer(head)
            call.observe_answer(
                self._place.target, self._place.pool, answer, sent_ms
            )
            failed_attempt = _attempts.check_response_head(
                call.request, answer
            )
            if failed_attempt is not None:
                return failed_attempt
            self.response_ms = call.runtime.now_ms()
            memory = call.runtime.answer_memory
            with memory.holding(channel.abort) as holding:
                if answer.status >= 300 or not head.is_event_stream:
                    return await self._receive_response(http, answer, holding)
                return await self._relay_events(
                    http, answer, head.is_framed, holding
                )
        except (_channel.ChannelReset, _http.ProtocolError) as error:
            return _cut(
                _Result.BROKEN, f"incomplete or invalid response: {error}"
            )
        except (_events.EventTooLarge, _memory.AnswerEvicted) as error:
            return _Attempt(_Result.BROKEN, str(error))
        except _events.EventGap as error:
            return _Attempt(_Result.GAP, str(error))

    async def _receive_response(
        self,
        http: _http.ClientCall,
        answer: _ports.TargetAnswer,
        holding: _memory.Holding,
    ) -> _Attempt:
        """Receive a response that is an error or no event stream.

        Forwards it unless it is an error or the stream has been started.
        """
        buffer = bytearray()
        while True:
            part = await self._receive_part(http.read_data)
            if isinstance(part, _Attempt):
                return part
            if self._is_superseded:
                return _Attempt(_Result.SUPERSEDED)
            if part is None:
                break
            buffer += part
            if len(buffer) > _http.MAX_BODY_BYTES:
                raise _http.ProtocolError(
                    f"the body exceeds {_http.MAX_BODY_BYTES} bytes"
                )
            holding.resize(len(buffer))
        body = bytes(buffer)
        if answer.status < 300 and not self._call.responder.started:
            self._claim()
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
        is_framed: bool,
        holding: _memory.Holding,
    ) -> _Attempt:
        """Forward complete events as they arrive."""
        responder = self._call.responder
        splitter = _events.EventSplitter()
        while True:
            data = await self._receive_part(http.read_data)
            if isinstance(data, _Attempt):
                return data
            if self._is_superseded:
                return _Attempt(_Result.SUPERSEDED)
            if data is None:
                break
            for start in range(0, len(data), PART_BYTES):
                events = splitter.feed(data[start : start + PART_BYTES])
                holding.resize(splitter.buffered_bytes)
                failed = await self._forward_events(answer, events)
                if failed is not None:
                    return failed
        if not splitter.is_at_event_boundary:
            return _cut(_Result.BROKEN, "the stream ended within an event")
        if not is_framed and self.first_event_ms is None:
            # The end of the connection is all that ends such a body, and a
            # target that crashes ends it, too.
            return _cut(_Result.BROKEN, "the stream ended before an event")
        self._claim()
        if is_framed:
            self._settle()
        if not responder.started:
            responder.start_stream(answer.status, answer.forwarded)
        responder.finish()
        return _Attempt(_Result.COMPLETE)

    async def _forward_events(
        self, answer: _ports.TargetAnswer, events: list[_events.Event]
    ) -> _Attempt | None:
        """Forward events; return the attempt if it cannot go on."""
        if not events:
            # The target is not silent, but makes no progress either.
            self._check_progress_if_due()
        else:
            responder, progress = self._call.responder, self._progress
            self._record_event()
            to_forward, error = self._accept(events)
            if to_forward:
                self._claim()
                if not responder.started:
                    progress.first_event_ms = progress.last_event_ms
                    responder.start_stream(answer.status, answer.forwarded)
                with self._pacer.waiting():
                    await responder.send_chunk(to_forward)
                if not all(event.is_comment for event in events):
                    self._pacer.record_progress()
            if error is not None:
                return _Attempt(_Result.BROKEN, str(error))
        await self._pacer.pause_if_due()
        if self._is_superseded:
            return _Attempt(_Result.SUPERSEDED)
        return None

    def _claim(self) -> None:
        """Let no other attempt write to the caller from now on."""
        if self._observer is not None:
            self._observer.attempt_produced(self)

    def _accept(
        self, events: list[_events.Event]
    ) -> tuple[bytes, _events.NotAnEvent | None]:
        """Return what to forward, up to the first part that is no event.

        The events before it are forwarded, since the next attempt goes on
        behind the last one that was accepted.
        """
        accepted = []
        last_id = self._progress.sequence.last_id
        for event in events:
            try:
                if self._progress.sequence.accept(event):
                    accepted.append(event.data)
            except _events.NotAnEvent as error:
                return b"".join(accepted), error
            except _events.EventGap:
                # None of these events is forwarded, so that another attempt
                # may still write them.
                self._progress.sequence.last_id = last_id
                raise
        return b"".join(accepted), None

    def _record_event(self) -> None:
        now_ms = self._call.runtime.now_ms()
        progress, load, place = self._progress, self._load, self._place
        if self._prefill_tokens:
            load.prefill_done(self._prefill_tokens)
            self._prefill_tokens = 0
        elif not self._is_silent:
            # A silence says nothing of how fast the target produces events.
            predicted_ms = place.pass_ms(load.load(now_ms).active)
            load.observe_gap(now_ms - progress.last_event_ms, predicted_ms)
        if self._is_silent:
            self._is_silent = False
            self._call.log_event(
                "attempt_resumed",
                **place.identity(),
                silent_ms=now_ms - progress.last_event_ms,
            )
        load.record_own_event(now_ms)
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        elif now_ms - self.first_event_ms >= quarantine.SETTLED_MS:
            self._settle()
        if self._call.responder.started:
            gap_ms = now_ms - progress.last_event_ms
            progress.longest_gap_ms = max(progress.longest_gap_ms, gap_ms)
        progress.last_event_ms = now_ms

    def _settle(self) -> None:
        """Record that the request does not crash the target."""
        if self._has_settled or self.response_ms is None:
            return
        self._has_settled = True
        self._call.crash_guard.record_sound(self.response_ms)

    def crash_weight(self, attempt: _Attempt) -> int:
        """Return the weight as evidence that the request crashes targets."""
        if not attempt.is_cut or self._has_settled:
            return 0
        if self.phase is _attempts.Phase.BEGUN:
            return quarantine.BEGUN_WEIGHT
        if self.first_event_ms is not None:
            written_ms = self._call.runtime.now_ms() - self.first_event_ms
            if written_ms >= quarantine.SETTLED_MS:
                return 0
        return quarantine.CONTEXT_WEIGHT

    async def _receive_part(
        self,
        receive: collections.abc.Callable[
            [float], collections.abc.Awaitable[_Part]
        ],
    ) -> _Part | _Attempt:
        """Receive a part of the response, also after a silence.

        Returns a failed `_Attempt` if the deadline passes.
        """
        call = self._call
        while True:
            left_ms = call.remaining_ms() + _attempts.DEADLINE_GRACE_MS
            if left_ms <= 0:
                return _Attempt(
                    _Result.TIMEOUT, "the request's deadline has passed"
                )
            try:
                return await receive(min(STALL_CHECK_INTERVAL_MS, left_ms))
            except _channel.ChannelTimeout:
                self._check_progress()

    def _check_progress_if_due(self) -> None:
        now_ms = self._call.runtime.now_ms()
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + STALL_CHECK_INTERVAL_MS
            self._check_progress()

    def _check_progress(self) -> None:
        """Report a silence of the target to the coordinator and observer."""
        load, place = self._load, self._place
        now_ms = self._call.runtime.now_ms()
        pass_ms = place.longest_pass_ms()
        if load.has_stalled(pass_ms, now_ms):
            if not self._is_silent:
                self._is_silent = True
                load.suspect(now_ms)
                self._state.send_message_now = True
                self._call.log_event(
                    "attempt_silent",
                    **place.identity(),
                    lost=load.lost,
                    silent_ms=now_ms - self._progress.last_event_ms,
                )
            if self._observer is not None:
                self._observer.attempt_silent(self)
        elif not load.check_requested and load.needs_check(pass_ms, now_ms):
            load.check_requested = True
            self._state.send_message_now = True
