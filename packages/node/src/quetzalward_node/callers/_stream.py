"""Execution of a completion request, with retries on other replicas."""

import typing

import attrs
from opentelemetry import trace

from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import quarantine
from quetzalward_core import streams
from quetzalward_node.callers import _cancels
from quetzalward_node.callers import _chunks
from quetzalward_node.callers import _crashes
from quetzalward_node.callers import _drafts
from quetzalward_node.callers import _engine
from quetzalward_node.callers import _exceptions
from quetzalward_node.callers import _meters
from quetzalward_node.callers import _relay
from quetzalward_node.callers import _responses
from quetzalward_node.callers import _targets
from quetzalward_node.callers import _watch
from quetzalward_node import interfaces
from quetzalward_node import telemetry

_Result = interfaces.AttemptResult
# Results after which the engine may still be processing the attempt.
_RESULTS_TO_CANCEL = frozenset(
    (_Result.CANCELLED, _Result.TIMED_OUT, _Result.FAILED)
)


# Attempts of one completion that may be cut off without a whole response. A
# prompt under which engines crash would otherwise end every replica.
MAX_CUT_ATTEMPTS = 3


@attrs.frozen
class Parts:
    """The dependencies that all requests share."""

    dispatcher: interfaces.Dispatcher
    connections: _targets.TargetConnections
    canceller: _cancels.Canceller
    clock: clocks.Clock
    tracing: telemetry.Tracing
    meters: _meters.Meters
    loop: _relay.RelayLoop
    crashes: _crashes.CrashGuard


@attrs.frozen
class _AttemptSpans:
    attempt: trace.Span
    target: trace.Span

    def end(self, result: str) -> None:
        """End both spans."""
        self.target.end()
        self.attempt.set_attribute("result", result)
        self.attempt.end()


@attrs.define(eq=False)
class DraftRun:
    """Relays one completion to the caller, resuming on other replicas.

    Every acquired grant is released exactly once, and the request is finished
    at the dispatcher at most once.
    """

    parts: Parts
    draft: _drafts.Draft
    # Template for the route request of each attempt.
    route: interfaces.RouteRequest
    limits: config.Limits
    seed: int
    sink: _responses.Sink
    start: streams.Position
    interruption: _watch.Interruption
    span: trace.Span
    _positions: streams.TokenPositions = attrs.field(
        factory=streams.TokenPositions
    )
    _phase: streams.Phase = streams.Phase.NOTHING
    _excluded: frozenset[str] = frozenset()
    _usage: dict[str, typing.Any] | None = None
    _may_have_run: bool = False
    _cut_attempts: int = 0
    _last_error: errors.QuetzalwardError | None = None
    # Time at which the last token was written to the caller.
    _last_token_sent_ms: clocks.Millis | None = None

    def run(self) -> errors.QuetzalwardError | None:
        """Serve the request; returns the error that was sent to the caller.

        Raises `CallerDisconnectedError` if the caller disconnected.
        """
        self._positions.sent = self.start.index
        self._phase = self.start.phase
        try:
            self._run_attempts()
            self.sink.finish(self._position, self._final_usage())
        except errors.QuetzalwardError as error:
            self.sink.fail(self._position, error)
            return error
        return None

    @property
    def _position(self) -> streams.Position:
        return streams.Position(self._positions.sent, self._phase)

    def _run_attempts(self) -> None:
        if self._complete_without_engine():
            return
        self.parts.crashes.check(self._trait)
        try:
            while not self._run_attempt():
                self._raise_if_interrupted()
                if not self._may_retry():
                    raise self._final_error()
                self.parts.meters.retries.add("drafts")
        finally:
            self.parts.dispatcher.finish(self.route.request_id)
            self.parts.crashes.end(self._trait)

    @property
    def _trait(self) -> str:
        """Return what the request shares with its repeats."""
        return quarantine.request_trait(
            self.route.customer,
            b"POST",
            "",
            self.draft.endpoint.value.encode(),
            self.draft.body_hash.encode(),
        )

    def _may_retry(self) -> bool:
        """Return whether another attempt is allowed.

        A completion that the caller has received in part is exempt from the
        retry budget: the failure of one replica breaks more streams at once
        than the budget of its node allows. `MAX_CUT_ATTEMPTS` limits its
        retries.
        """
        if self._cut_attempts >= MAX_CUT_ATTEMPTS:
            return False
        if self.parts.crashes.is_suspect(self._trait):
            return False
        if self._positions.sent > self.start.index:
            return True
        return self.parts.dispatcher.may_retry()

    def _complete_without_engine(self) -> bool:
        """Return whether the caller already has all that an engine sends."""
        if self.start.phase >= streams.Phase.USAGE:
            return True
        finished = self.start.phase >= streams.Phase.FINISH
        return finished and not self.draft.include_usage

    def _run_attempt(self) -> bool:
        """Run one attempt; true if the completion is finished."""
        number = self._positions.begin_attempt()
        grant = self._acquire(number)
        result = _Result.FAILED
        attempt = None
        spans = self._start_spans(grant)
        try:
            self._raise_if_interrupted()
            attempt = self._engine_attempt(grant, spans.target)
            self._relay(attempt, number)
            result = _Result.OK
            self.parts.crashes.record_answer(self._trait)
            return True
        except _engine.AttemptFailedError as failure:
            result = self._record_failure(failure)
            if failure.is_cut and result is _Result.FAILED:
                self._record_cut(attempt)
            if failure.final:
                raise self._final_error() from failure
            return False
        except (_exceptions.CallerDisconnectedError, errors.QuetzalwardError):
            result = _Result.CANCELLED
            raise
        finally:
            self._end_attempt(grant, attempt, result, spans)

    def _acquire(self, number: int) -> interfaces.Grant:
        request = attrs.evolve(
            self.route, excluded=self._excluded, attempt=number
        )
        self._raise_if_interrupted()
        queue_span = self.parts.tracing.child(self.span, "queue")
        try:
            grant = self.parts.dispatcher.acquire(request)
        except errors.QuetzalwardError as error:
            queue_span.set_attribute("error.kind", error.kind.value)
            if self._last_error is None:
                raise
            # The earlier failure is more specific than the lack of a target.
            raise self._final_error() from error
        finally:
            queue_span.end()
        route_span = self.parts.tracing.child(
            self.span,
            "route",
            {"target": grant.target_id, "zone": grant.zone},
        )
        route_span.end()
        return grant

    def _start_spans(self, grant: interfaces.Grant) -> _AttemptSpans:
        tracing = self.parts.tracing
        attempt = tracing.child(
            self.span,
            "attempt",
            {
                "attempt": self._positions.attempt,
                "target": grant.target_id,
                "resume_from": self._positions.sent,
            },
        )
        target = tracing.child(
            attempt, "target", {"url": grant.url}, client=True
        )
        return _AttemptSpans(attempt, target)

    def _engine_attempt(
        self, grant: interfaces.Grant, span: trace.Span
    ) -> _engine.EngineAttempt:
        attempt_id = f"{self.route.request_id}.{self._positions.attempt}"
        headers = {
            "Content-Type": "application/json",
            "Accept": "text/event-stream",
            "X-Request-Id": attempt_id,
            **self.parts.tracing.headers(span),
        }
        body = _drafts.engine_body(
            self.draft, self.seed, self.route.priority, self._positions.sent
        )
        request = _engine.EngineRequest(
            self.draft.endpoint.value, headers, body, attempt_id
        )
        return _engine.EngineAttempt(
            grant,
            request,
            self.limits,
            self.parts.connections,
            self.parts.clock,
            self.interruption,
            self.parts.loop,
        )

    def _relay(self, attempt: _engine.EngineAttempt, number: int) -> None:
        """Relay the chunks of an attempt until the completion is finished."""
        try:
            attempt.relay(
                _engine.ChunkConsumer(
                    lambda chunk: self._relay_chunk(attempt, number, chunk),
                    self.sink.hold,
                    self.sink.try_flush,
                    self.sink.release,
                )
            )
        except streams.UnexpectedFrameError as error:
            raise _engine.AttemptFailedError(
                _Result.FAILED,
                errors.QuetzalwardError(
                    errors.ErrorKind.TARGET_FAILED, str(error)
                ),
                sent=True,
            ) from error
        except _engine.AttemptFailedError:
            if self._phase < streams.Phase.FINISH or self._is_usage_missing:
                raise
            # Only the terminal event is missing; the node writes it itself.
        if self._phase < streams.Phase.FINISH:
            raise _engine.AttemptFailedError(
                _Result.FAILED,
                errors.QuetzalwardError(
                    errors.ErrorKind.TARGET_FAILED,
                    "the engine ended the stream without a finish reason",
                ),
                sent=True,
            )

    @property
    def _is_usage_missing(self) -> bool:
        """Return whether the usage is required but not yet known."""
        is_required = self.draft.include_usage or not self.draft.stream
        return is_required and self._usage is None

    def _relay_chunk(
        self,
        attempt: _engine.EngineAttempt,
        number: int,
        chunk: _chunks.Chunk,
    ) -> None:
        self._positions.check_answer(number, chunk.completion_id)
        if chunk.usage is not None:
            self._usage = chunk.usage
        if not chunk.has_choice or self._phase >= streams.Phase.FINISH:
            return
        if chunk.is_token:
            attempt.record_token()
            action = self._positions.record_token(number, chunk.token_number)
            if action is streams.FrameAction.DROP:
                return
            self._record_token_metrics()
            phase = streams.Phase.TOKENS
        elif chunk.has_finish_reason:
            phase = streams.Phase.FINISH
        elif self._phase >= streams.Phase.START or self._positions.sent:
            # A resumed completion starts with the role again.
            return
        else:
            phase = streams.Phase.START
        self._phase = (
            streams.Phase.FINISH if chunk.has_finish_reason else phase
        )
        self.sink.send(self._position, chunk)
        if chunk.is_token:
            self._last_token_sent_ms = self.parts.clock.now_ms()

    def _record_token_metrics(self) -> None:
        meters = self.parts.meters
        model = self.route.model
        now_ms = self.parts.clock.now_ms()
        meters.tokens.add(model)
        if self._last_token_sent_ms is None:
            waited_ms = now_ms - self.route.arrived_ms
            meters.first_token_ms.observe_ms(waited_ms, model)
        else:
            # Includes a failover; excludes delays by a slow caller.
            waited_ms = now_ms - self._last_token_sent_ms
            meters.inter_token_ms.observe_ms(waited_ms, model)

    def _record_failure(self, failure: _engine.AttemptFailedError) -> _Result:
        """Record a failed attempt and return the result to report."""
        self._may_have_run = self._may_have_run or failure.sent
        if failure.is_cut:
            self._cut_attempts += 1
        self._last_error = failure.error
        if self.interruption.cause is not None:
            return _Result.CANCELLED
        return failure.result

    def _record_cut(self, attempt: _engine.EngineAttempt | None) -> None:
        """Record a crash unless the engine had begun to answer."""
        if attempt is not None and not attempt.tokens:
            self.parts.crashes.record_crash(self._trait)

    def _end_attempt(
        self,
        grant: interfaces.Grant,
        attempt: _engine.EngineAttempt | None,
        result: _Result,
        spans: _AttemptSpans,
    ) -> None:
        """Cancel the attempt if needed, then release the grant.

        In this order, so that the slot is not granted again while the target
        still processes the attempt.
        """
        report = interfaces.AttemptReport(result)
        try:
            if attempt is not None:
                report = attempt.report(result)
                attempt.close()
                if attempt.sent and result in _RESULTS_TO_CANCEL:
                    attempt_id = attempt.request.attempt_id
                    self.parts.canceller.cancel(grant.url, attempt_id)
        finally:
            self._excluded |= {grant.target_id}
            self.parts.dispatcher.release(grant, report)
        self.parts.meters.attempts.add(result.value)
        spans.end(result.value)

    def _raise_if_interrupted(self) -> None:
        cause = self.interruption.cause
        if cause is None:
            return
        if cause is _watch.Cause.CALLER_GONE:
            raise _exceptions.CallerDisconnectedError(
                "the caller disconnected"
            )
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        if cause is _watch.Cause.STOPPING:
            kind = errors.ErrorKind.NODE_STOPPING
        elif self._may_have_run:
            kind = errors.ErrorKind.TARGET_TIMEOUT
        outcome = errors.Outcome.NOT_RUN
        if self._may_have_run:
            outcome = errors.Outcome.UNKNOWN
        raise errors.QuetzalwardError(
            kind,
            "the request was interrupted before it completed",
            outcome=outcome,
        )

    def _final_error(self) -> errors.QuetzalwardError:
        """Return the last error with the outcome over all attempts."""
        self._raise_if_interrupted()
        error = self._last_error
        if error is None:
            raise AssertionError("no attempt has failed")
        outcome = errors.Outcome.NOT_RUN
        if self._may_have_run:
            outcome = errors.Outcome.UNKNOWN
        return errors.QuetzalwardError(
            error.kind, error.detail, error.retry_after_ms, outcome
        )

    def _final_usage(self) -> dict[str, typing.Any]:
        reported = self._usage or {}
        prompt = reported.get("prompt_tokens")
        prompt = prompt if isinstance(prompt, int) else 0
        sent = self._positions.sent
        return {
            **reported,
            "prompt_tokens": prompt,
            "completion_tokens": sent,
            "total_tokens": prompt + sent,
        }
