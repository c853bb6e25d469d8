"""Streams, resumed at another group or target where allowed."""

import asyncio

import attrs

from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import fleet
from quetzalward_core import placing
from quetzalward_core import quarantine
from quetzalward_gateway import _attempts
from quetzalward_gateway import _channel
from quetzalward_gateway import _events
from quetzalward_gateway import _permit_wait
from quetzalward_gateway import _places
from quetzalward_gateway import _runtime
from quetzalward_gateway import _stream_attempt

# Interval at which an interrupted stream tries to find another place.
RESUME_POLL_INTERVAL_MS = 60
# Interval at which a stream whose target is silent looks for another place.
HEDGE_INTERVAL_MS = 240
# Callers abandon a stream after a gap of 2 s or more, so that a longer search
# for a place is of no use.
MAX_RESUME_WAIT_MS = 1_800
# Attempts that the target did not execute after which another one is still
# made; they do not count towards the maximum of the route.
MAX_UNEXECUTED_ATTEMPTS = 2
# A stream whose target has ended may be executed this many times in total,
# also if the route allows a single attempt.
MAX_EXECUTIONS_ON_LOSS = 2
# No attempt is made with less time left, as a target could not use it.
MIN_REMAINING_MS = 20
# Time in which a group that lost a member is usually formed again.
NO_TARGET_RETRY_AFTER_MS = 400
# Wait before the second attempt of a request whose target crashed when it
# began to answer. Meanwhile the nodes tell each other of such crashes, so that
# requests with the same part are not sent to twice as many targets.
EVIDENCE_WAIT_MS = 120

_Attempt = _attempts.Attempt
_Result = _attempts.Result


@attrs.frozen
class _Outcome:
    """How an attempt ended, and its weight as evidence of a crash."""

    attempt: _Attempt
    crash_weight: int = 0


class StreamExchange:
    """Serves one caller's stream from one place after another.

    A place is a serving group, or a target of a service without groups.
    While one is silent, another one is asked as well where the route
    allows it. The first one with a new event serves the caller from then on.
    """

    def __init__(self, call: _runtime.Call) -> None:
        """Take an admitted call; nothing is sent yet."""
        self._call = call
        self._state = call.runtime.state
        self._placer = _places.placer_of(call)
        self._guard = call.crash_guard
        self._progress = _stream_attempt.StreamProgress(
            _events.EventSequence(call.request.last_event_id),
            call.raw.received_ms,
        )
        self._executed_attempts = 0
        self._unexecuted_attempts = 0
        self._open_attempts: list[_stream_attempt.StreamAttempt] = []
        # The attempt beside one whose target is silent.
        self._hedge: asyncio.Task[_Outcome | None] | None = None
        self._is_budget_exhausted = False
        self._next_hedge_ms = call.raw.received_ms

    async def run(self) -> None:
        """Serve the stream until it is complete, refused or aborted."""
        try:
            await self._serve()
        finally:
            self._cancel_hedge()

    async def _serve(self) -> None:
        self._call.record_first_send(self._placer.pool)
        last = _Attempt(_Result.NOT_RUN, "no target has been tried")
        while True:
            if self._call.remaining_ms() <= MIN_REMAINING_MS:
                last = attrs.evolve(last, result=_Result.TIMEOUT)
                break
            if self._guard.is_blocked:
                self._end_blocked()
                return
            place = await self._find_place()
            if isinstance(place, placing.Refusal):
                self._end_refused(place)
                return
            if not await self._guard.may_send(self._call.remaining_ms()):
                self._end_blocked()
                return
            if (
                self._executed_attempts or self._unexecuted_attempts
            ) and not self._call.try_spend_retry():
                last = attrs.evolve(
                    last, reason="the retry budget is exhausted"
                )
                break
            outcome = await self._follow(await self._run_attempt(place))
            last = outcome.attempt
            if last.result is _Result.COMPLETE:
                return
            if not await self._may_retry(last, place.target):
                break
            if outcome.crash_weight == quarantine.BEGUN_WEIGHT:
                await asyncio.sleep(EVIDENCE_WAIT_MS / clock.MILLIS_PER_SECOND)
                if self._guard.is_suspect():
                    last = attrs.evolve(
                        last, reason="several targets crashed under it"
                    )
                    break
        self._end_failed(last)

    async def _find_place(self) -> _places.StreamPlace | placing.Refusal:
        """Return a place with room for the stream, or the refusal.

        A stream that has been interrupted waits for one, at most
        `MAX_RESUME_WAIT_MS` after its last event.
        """
        while True:
            now_ms = self._call.runtime.now_ms()
            place = await _permit_wait.place(
                self._call, self._placer.pool, self._placer.choose
            )
            if not isinstance(place, placing.Refusal):
                return place
            if not self._executed_attempts:
                return place
            if now_ms - self._progress.last_event_ms > MAX_RESUME_WAIT_MS:
                return place
            if self._call.remaining_ms() <= MIN_REMAINING_MS:
                return place
            self._placer.forget_chosen()
            await asyncio.sleep(
                RESUME_POLL_INTERVAL_MS / clock.MILLIS_PER_SECOND
            )

    async def _run_attempt(self, place: _places.StreamPlace) -> _Outcome:
        """Send the request to a place, and record how that ended."""
        attempt = _stream_attempt.StreamAttempt(
            self._call, place, self._progress, self
        )
        self._open_attempts.append(attempt)
        try:
            last = await attempt.run()
        except asyncio.CancelledError:
            self._executed_attempts += 1
            raise
        finally:
            self._open_attempts.remove(attempt)
        self._count(last)
        if last.result is _Result.COMPLETE:
            self._record_completion(place)
            return _Outcome(last)
        self._log_failure(place, last, attempt.phase)
        crash_weight = attempt.crash_weight(last)
        if crash_weight:
            self._guard.record_crash(place.incarnation, crash_weight)
        return _Outcome(last, crash_weight)

    # Attempts beside a silent one.

    def attempt_silent(self, attempt: _stream_attempt.StreamAttempt) -> None:
        """Ask at another place as well, where that is allowed."""
        now_ms = self._call.runtime.now_ms()
        if self._hedge is not None and not self._hedge.done():
            return
        executions = self._executed_attempts + len(self._open_attempts)
        if (
            not self._call.route.repeatable
            or executions >= self._call.route.max_attempts
            or self._unexecuted_attempts > MAX_UNEXECUTED_ATTEMPTS
            or self._is_budget_exhausted
            or self._call.remaining_ms() <= MIN_REMAINING_MS
            or now_ms < self._next_hedge_ms
        ):
            return
        self._next_hedge_ms = now_ms + HEDGE_INTERVAL_MS
        self._hedge = asyncio.create_task(self._run_hedge())

    def attempt_produced(self, attempt: _stream_attempt.StreamAttempt) -> None:
        """End all other attempts, since this one serves the caller."""
        for other in self._open_attempts:
            if other is not attempt:
                other.supersede()
        if self._hedge is not asyncio.current_task():
            self._cancel_hedge()

    async def _run_hedge(self) -> _Outcome | None:
        """Send the request to another place; `None` if there is none."""
        place = await _permit_wait.place(
            self._call, self._placer.pool, self._placer.choose
        )
        if (
            isinstance(place, placing.Refusal)
            or self._guard.is_blocked
            or self._guard.is_suspect()
        ):
            return None
        if not self._call.try_spend_retry():
            self._is_budget_exhausted = True
            return None
        self._call.runtime.metrics.count("hedged")
        return await self._run_attempt(place)

    async def _follow(self, outcome: _Outcome) -> _Outcome:
        """Return the outcome of the last attempt that runs."""
        while self._hedge is not None:
            hedge, self._hedge = self._hedge, None
            try:
                hedge_outcome = await hedge
            except asyncio.CancelledError:
                hedge.cancel()
                raise
            if hedge_outcome is not None:
                crash_weight = max(
                    outcome.crash_weight, hedge_outcome.crash_weight
                )
                outcome = attrs.evolve(
                    hedge_outcome, crash_weight=crash_weight
                )
        return outcome

    def _cancel_hedge(self) -> None:
        if self._hedge is not None:
            self._hedge.cancel()
            self._hedge = None

    def _count(self, last: _Attempt) -> None:
        """Count an attempt."""
        if last.result is _Result.NOT_RUN:
            self._unexecuted_attempts += 1
        elif last.result is not _Result.UNREACHABLE:
            self._executed_attempts += 1

    async def _may_retry(self, last: _Attempt, target: fleet.Target) -> bool:
        """Tell whether another attempt may follow a failed one.

        An execution at a target that has ended does not count towards the
        maximum of the route.
        """
        if last.result in (_Result.TIMEOUT, _Result.GAP):
            return False
        if last.result is _Result.UNREACHABLE:
            return True
        if last.result is _Result.NOT_RUN:
            return self._unexecuted_attempts <= MAX_UNEXECUTED_ATTEMPTS
        if not self._call.route.repeatable:
            return False
        if self._executed_attempts < self._call.route.max_attempts:
            return True
        return (
            last.is_cut
            and self._executed_attempts < MAX_EXECUTIONS_ON_LOSS
            and await _has_ended(target)
        )

    # Completion and failure.

    def _record_completion(self, place: _places.StreamPlace) -> None:
        call = self._call
        first_ms = None
        if self._progress.first_event_ms is not None:
            first_ms = self._progress.first_event_ms - call.raw.received_ms
        call.log_event(
            "stream",
            **place.identity(),
            **place.prediction(),
            limit_per_s=self._state.target_limits.per_s(place.target.key),
            first_ms=first_ms,
            longest_pause_ms=self._progress.longest_gap_ms,
            parts=call.request.shared_parts,
            runs=self._executed_attempts,
        )
        metrics = call.runtime.metrics
        metrics.count("answered", "200")
        if first_ms is not None:
            metrics.record_latency("first_event", first_ms)
        if self._executed_attempts > 1:
            metrics.count("resumed")

    def _log_failure(
        self,
        place: _places.StreamPlace,
        last: _Attempt,
        phase: _attempts.Phase,
    ) -> None:
        self._call.runtime.metrics.count(
            "failed_attempts", f"{last.result.value}, {phase.value}"
        )
        self._call.log_event(
            "attempt_failed",
            **place.identity(),
            result=last.result.value,
            phase=phase.value,
            parts=self._call.request.shared_parts,
            reason=last.reason,
            **place.prediction(),
            active=place.load.active,
            silent_ms=self._call.runtime.now_ms()
            - self._progress.last_event_ms,
            last_event=self._progress.sequence.last_id,
        )

    def _end_refused(self, refusal: placing.Refusal) -> None:
        refusal = self._state.final_refusal(
            refusal, self._placer.pool, self._call.runtime.now_ms()
        )
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

    def _end_blocked(self) -> None:
        """End a request that is blocked."""
        refused = self._call.refusal_of_crash(bool(self._executed_attempts))
        if self._call.responder.started:
            self._abort(refused.reason)
            return
        self._call.refuse(refused)

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
            last_event=self._progress.sequence.last_id,
            left_ms=self._call.remaining_ms(),
        )
        self._call.runtime.metrics.count("aborted")
        self._call.responder.abort()


async def _has_ended(target: fleet.Target) -> bool:
    """Tell whether a target takes no more connections."""
    try:
        channel = await _channel.connect(
            target.address, _attempts.CONNECT_TIMEOUT_MS
        )
    except (_channel.ChannelReset, _channel.ChannelTimeout):
        return True
    channel.abort()
    return False
