"""Calls to plain services, passed through."""

import hashlib
import typing

import attrs

from quetzalward_core import errors
from quetzalward_node.callers import _connection
from quetzalward_node.callers import _exceptions
from quetzalward_node.callers import _service_attempt
from quetzalward_node.callers import _watch
from quetzalward_node import interfaces

# A replica that answers so did not do the work; a repeatable call moves on.
_RETRIED_STATUSES = frozenset((502, 503, 504))
_Result = interfaces.AttemptResult
_Deliver = typing.Callable[
    [_service_attempt.ServiceAnswer, _service_attempt.ServiceAttempt], None
]


@attrs.define(eq=False)
class ServiceRun:
    """Passes one call to a replica and its answer to the caller."""

    parts: _service_attempt.Parts
    request: _service_attempt.ServiceRequest
    _may_have_run: bool = False

    def run(self) -> None:
        """Answer the call.

        Raises `QuetzalwardError`, or `CallerGoneError` if the caller left.
        """
        if self.request.key is not None and not self.request.repeatable:
            self._run_keyed(self.request.key)
            return
        try:
            self._run_attempts(self._deliver)
        except _service_attempt.CallFailedError as failure:
            self._raise_if_caller_gone()
            raise self._final_error(failure) from failure

    def _run_keyed(self, key: str) -> None:
        started = self.parts.calls.begin(self._keyed_call(key))
        if isinstance(started, interfaces.CallResult):
            self._replay(started)
            return

        recorded = False

        def deliver(
            answer: _service_attempt.ServiceAnswer,
            attempt: _service_attempt.ServiceAttempt,
        ) -> None:
            nonlocal recorded
            self.parts.calls.finish(started, self._kept(answer))
            recorded = True
            self._deliver(answer, attempt)

        try:
            self._run_attempts(deliver)
        except _service_attempt.CallFailedError as failure:
            if not recorded:
                recorded = True
                self._record_failure(started, failure)
            raise self._keyed_error(failure) from failure
        finally:
            if not recorded:
                self._record_unexpected(started)

    def _run_attempts(self, deliver: _Deliver) -> None:
        excluded: frozenset[str] = frozenset()
        last: _service_attempt.CallFailedError | None = None
        while True:
            try:
                grant = self._choose(excluded)
            except errors.QuetzalwardError:
                if last is None:
                    raise
                self._give_up(last, deliver)
                return
            try:
                self._run_attempt(grant, deliver)
                return
            except _service_attempt.CallFailedError as failure:
                last = failure
            excluded |= {grant.target_id}
            repeat = self.request.repeatable or not last.sent
            if not repeat or self._interrupted or not self.parts.may_retry():
                self._give_up(last, deliver)
                return
            self.parts.meters.retries.add("services")

    @property
    def _interrupted(self) -> bool:
        interruption = self.request.interruption
        return interruption is not None and interruption.cause is not None

    def _raise_if_caller_gone(self) -> None:
        interruption = self.request.interruption
        gone = _watch.Cause.CALLER_GONE
        if interruption is not None and interruption.cause is gone:
            raise _exceptions.CallerGoneError("the caller left")

    def _choose(self, excluded: frozenset[str]) -> interfaces.Grant:
        request = self.request
        span = self.parts.tracing.child(request.span, "route")
        try:
            grant = self.parts.router.choose(
                interfaces.ServiceCall(
                    request.request_id,
                    request.customer,
                    request.name,
                    excluded,
                )
            )
            span.set_attribute("target", grant.target_id)
            return grant
        finally:
            span.end()

    def _run_attempt(self, grant: interfaces.Grant, deliver: _Deliver) -> None:
        timeout_ms = self.request.service.timeout_ms
        attempt = _service_attempt.ServiceAttempt(
            self.parts,
            self.request,
            grant,
            self.parts.tracing.child(
                self.request.span,
                "attempt",
                {"target": grant.target_id, "url": grant.url},
                client=True,
            ),
            self.parts.clock.now_ms() + timeout_ms,
        )
        result = _Result.FAILED
        try:
            answer = attempt.fetch()
            if answer.complete:
                attempt.end(_Result.OK)
            if self.request.repeatable and answer.complete:
                self._check_status(answer)
            deliver(answer, attempt)
            result = _Result.OK
        except _service_attempt.CallFailedError as failure:
            if failure.error.kind is errors.ErrorKind.TARGET_TIMEOUT:
                result = _Result.TIMED_OUT
            raise
        except _exceptions.CallerGoneError:
            result = _Result.CANCELLED
            raise
        finally:
            self._may_have_run = self._may_have_run or attempt.sent
            attempt.end(result)

    def _check_status(self, answer: _service_attempt.ServiceAnswer) -> None:
        if answer.status in _RETRIED_STATUSES:
            error = errors.QuetzalwardError(
                errors.ErrorKind.TARGET_FAILED,
                f"the service answered {answer.status}",
            )
            raise _service_attempt.CallFailedError(
                error, True, answer.status, answer
            )

    def _give_up(
        self, failure: _service_attempt.CallFailedError, deliver: _Deliver
    ) -> None:
        """Pass on the last answer if there is one, or raise the failure."""
        if failure.answer is None or self._interrupted:
            raise failure
        exchange = self.request.exchange
        self._respond(exchange, failure.answer)

    def _deliver(
        self,
        answer: _service_attempt.ServiceAnswer,
        attempt: _service_attempt.ServiceAttempt,
    ) -> None:
        exchange = self.request.exchange
        if answer.complete:
            self._respond(exchange, answer)
            return
        headers = list(answer.headers)
        if answer.length is not None:
            headers.append(("Content-Length", answer.length))
        exchange.start(answer.status, headers)
        exchange.write(answer.body)
        for data in attempt.rest():
            exchange.write(data)

    def _respond(
        self,
        exchange: _connection.Exchange,
        answer: _service_attempt.ServiceAnswer,
    ) -> None:
        if exchange.method == "HEAD":
            headers = list(answer.headers)
            if answer.length is not None:
                headers.append(("Content-Length", answer.length))
            exchange.start(answer.status, headers)
            return
        exchange.respond(answer.status, answer.headers, answer.body)

    def _keyed_call(self, key: str) -> interfaces.KeyedCall:
        request = self.request
        digest = hashlib.sha256()
        for part in (
            request.exchange.method.encode("latin-1"),
            request.target.encode("latin-1"),
            request.exchange.body,
        ):
            # Lengths keep two different calls from the same bytes.
            digest.update(len(part).to_bytes(8, "big") + part)
        return interfaces.KeyedCall(
            customer=request.customer,
            service=request.name,
            key=key,
            fingerprint=digest.hexdigest(),
            deadline_ms=request.exchange.arrived_ms
            + request.service.timeout_ms,
        )

    def _kept(
        self, answer: _service_attempt.ServiceAnswer
    ) -> interfaces.CallResult:
        limit = self.request.max_kept_body_bytes
        small = answer.complete and len(answer.body) <= limit
        kept = answer.body if small else None
        return interfaces.CallResult(answer.status, answer.content_type, kept)

    def _replay(self, result: interfaces.CallResult) -> None:
        if result.body is None:
            raise errors.QuetzalwardError(
                errors.ErrorKind.RESULT_NOT_KEPT,
                f"the service answered {result.status}",
            )
        headers = []
        if result.content_type:
            headers.append(("Content-Type", result.content_type))
        exchange = self.request.exchange
        exchange.respond(result.status, headers, result.body)

    def _record_failure(
        self,
        started: interfaces.StartedCall,
        failure: _service_attempt.CallFailedError,
    ) -> None:
        calls = self.parts.calls
        if not failure.sent:
            calls.abandon(started)
        elif failure.status is not None:
            result = interfaces.CallResult(failure.status, "", None)
            calls.finish(started, result)
        else:
            calls.mark_unknown(started)

    def _record_unexpected(self, started: interfaces.StartedCall) -> None:
        """Record a call that an error of the node itself has ended."""
        if self._may_have_run:
            self.parts.calls.mark_unknown(started)
        else:
            self.parts.calls.abandon(started)

    def _keyed_error(
        self, failure: _service_attempt.CallFailedError
    ) -> errors.QuetzalwardError:
        if failure.sent and failure.status is None:
            return errors.QuetzalwardError(
                errors.ErrorKind.OUTCOME_UNKNOWN, failure.error.detail
            )
        return failure.error

    def _final_error(
        self, failure: _service_attempt.CallFailedError
    ) -> errors.QuetzalwardError:
        if self._interrupted:
            return errors.QuetzalwardError(
                errors.ErrorKind.TARGET_TIMEOUT,
                "the call was given up before the service answered",
            )
        error = failure.error
        not_run = errors.Outcome.NOT_RUN
        if self._may_have_run and error.outcome is not_run:
            # An earlier attempt may have run, whatever the last one did.
            return errors.QuetzalwardError(
                error.kind, error.detail, outcome=errors.Outcome.UNKNOWN
            )
        return error
