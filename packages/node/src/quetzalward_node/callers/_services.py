"""Forwarding of calls to plain services, with retries."""

import hashlib
import typing

import attrs

from quetzalward_core import errors
from quetzalward_node.callers import _connection
from quetzalward_node.callers import _exceptions
from quetzalward_node.callers import _service_attempt
from quetzalward_node.callers import _watch
from quetzalward_node import interfaces

# Statuses of a replica that did not do the work: a repeatable call is retried
# on another replica.
_RETRIED_STATUSES = frozenset((502, 503, 504))
# Attempts of one call that may be cut off without a whole response. A call
# under which replicas crash would otherwise end every one.
MAX_CUT_ATTEMPTS = 3
_Result = interfaces.AttemptResult
_Deliver = typing.Callable[
    [_service_attempt.ServiceResponse, _service_attempt.ServiceAttempt], None
]


@attrs.define(eq=False)
class ServiceRun:
    """Forwards one call to a replica and the response to the caller."""

    parts: _service_attempt.Parts
    request: _service_attempt.ServiceRequest
    _may_have_run: bool = False

    def run(self) -> None:
        """Run the call and respond to the caller.

        Raises `QuetzalwardError`, or `CallerDisconnectedError` if the caller
        disconnected.
        """
        if self.request.key is not None and not self.request.repeatable:
            self._run_keyed(self.request.key)
            return
        try:
            self._run_attempts(self._deliver)
        except _service_attempt.CallFailedError as failure:
            self._raise_if_caller_disconnected()
            raise self._final_error(failure) from failure

    def _run_keyed(self, key: str) -> None:
        started_call = self.parts.calls.begin(self._keyed_call(key))
        if isinstance(started_call, interfaces.CallResult):
            self._replay(started_call)
            return

        recorded = False

        def deliver(
            response: _service_attempt.ServiceResponse,
            attempt: _service_attempt.ServiceAttempt,
        ) -> None:
            nonlocal recorded
            self.parts.calls.finish(
                started_call, self._result_to_store(response)
            )
            recorded = True
            self._deliver(response, attempt)

        try:
            self._run_attempts(deliver)
        except _service_attempt.CallFailedError as failure:
            if not recorded:
                recorded = True
                self._record_failure(started_call, failure)
            raise self._keyed_error(failure) from failure
        finally:
            if not recorded:
                self._record_internal_error(started_call)

    def _run_attempts(self, deliver: _Deliver) -> None:
        crashes, trait = self.parts.crashes, self.request.trait
        crashes.check(trait)
        try:
            self._run_unblocked(deliver, trait)
        finally:
            crashes.end(trait)

    def _run_unblocked(self, deliver: _Deliver, trait: str) -> None:
        excluded: frozenset[str] = frozenset()
        last_failure: _service_attempt.CallFailedError | None = None
        cut_attempts = 0
        while True:
            try:
                grant = self._acquire_grant(excluded)
            except errors.QuetzalwardError:
                if last_failure is None:
                    raise
                self._end_without_retry(last_failure, deliver)
                return
            try:
                self._run_attempt(grant, deliver, trait)
                return
            except _service_attempt.CallFailedError as failure:
                last_failure = failure
            if _is_crash(last_failure) and not self._interrupted:
                self.parts.crashes.record_crash(trait)
            excluded |= {grant.target_id}
            if last_failure.sent and last_failure.response is None:
                cut_attempts += 1
            retry = not last_failure.sent or (
                self.request.repeatable
                and cut_attempts < MAX_CUT_ATTEMPTS
                and not self.parts.crashes.is_suspect(trait)
            )
            if not retry or self._interrupted or not self.parts.may_retry():
                self._end_without_retry(last_failure, deliver)
                return
            self.parts.meters.retries.add("services")

    @property
    def _interrupted(self) -> bool:
        interruption = self.request.interruption
        return interruption is not None and interruption.cause is not None

    def _raise_if_caller_disconnected(self) -> None:
        interruption = self.request.interruption
        caller_gone = _watch.Cause.CALLER_GONE
        if interruption is not None and interruption.cause is caller_gone:
            raise _exceptions.CallerDisconnectedError(
                "the caller disconnected"
            )

    def _acquire_grant(self, excluded: frozenset[str]) -> interfaces.Grant:
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

    def _run_attempt(
        self, grant: interfaces.Grant, deliver: _Deliver, trait: str
    ) -> None:
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
            response = attempt.fetch()
            self.parts.crashes.record_answer(trait)
            if response.complete:
                attempt.end(_Result.OK)
            if self.request.repeatable and response.complete:
                self._check_status(response)
            deliver(response, attempt)
            result = _Result.OK
        except _service_attempt.CallFailedError as failure:
            if failure.error.kind is errors.ErrorKind.TARGET_TIMEOUT:
                result = _Result.TIMED_OUT
            raise
        except _exceptions.CallerDisconnectedError:
            result = _Result.CANCELLED
            raise
        finally:
            self._may_have_run = self._may_have_run or attempt.sent
            attempt.end(result)

    def _check_status(
        self, response: _service_attempt.ServiceResponse
    ) -> None:
        if response.status in _RETRIED_STATUSES:
            error = errors.QuetzalwardError(
                errors.ErrorKind.TARGET_FAILED,
                f"the service responded with status {response.status}",
            )
            raise _service_attempt.CallFailedError(
                error, True, response.status, response
            )

    def _end_without_retry(
        self, failure: _service_attempt.CallFailedError, deliver: _Deliver
    ) -> None:
        """Forward the last response if there is one, or raise the failure."""
        if failure.response is None or self._interrupted:
            raise failure
        exchange = self.request.exchange
        self._respond(exchange, failure.response)

    def _deliver(
        self,
        response: _service_attempt.ServiceResponse,
        attempt: _service_attempt.ServiceAttempt,
    ) -> None:
        exchange = self.request.exchange
        if response.complete:
            self._respond(exchange, response)
            return
        headers = list(response.headers)
        if response.content_length is not None:
            headers.append(("Content-Length", response.content_length))
        exchange.start(response.status, headers)
        exchange.write(response.body)
        for data in attempt.read_remaining():
            exchange.write(data)

    def _respond(
        self,
        exchange: _connection.Exchange,
        response: _service_attempt.ServiceResponse,
    ) -> None:
        if exchange.method == "HEAD":
            headers = list(response.headers)
            if response.content_length is not None:
                headers.append(("Content-Length", response.content_length))
            exchange.start(response.status, headers)
            return
        exchange.respond(response.status, response.headers, response.body)

    def _keyed_call(self, key: str) -> interfaces.KeyedCall:
        request = self.request
        digest = hashlib.sha256()
        for part in (
            request.exchange.method.encode("latin-1"),
            request.target.encode("latin-1"),
            request.exchange.body,
        ):
            # Length prefixes keep different calls from hashing the same bytes.
            digest.update(len(part).to_bytes(8, "big") + part)
        return interfaces.KeyedCall(
            customer=request.customer,
            service=request.name,
            key=key,
            fingerprint=digest.hexdigest(),
            deadline_ms=request.exchange.arrived_ms
            + request.service.timeout_ms,
        )

    def _result_to_store(
        self, response: _service_attempt.ServiceResponse
    ) -> interfaces.CallResult:
        limit = self.request.max_kept_body_bytes
        fits = response.complete and len(response.body) <= limit
        stored_body = response.body if fits else None
        return interfaces.CallResult(
            response.status, response.content_type, stored_body
        )

    def _replay(self, result: interfaces.CallResult) -> None:
        if result.body is None:
            raise errors.QuetzalwardError(
                errors.ErrorKind.RESULT_NOT_KEPT,
                f"the service responded with status {result.status}",
            )
        headers = []
        if result.content_type:
            headers.append(("Content-Type", result.content_type))
        exchange = self.request.exchange
        exchange.respond(result.status, headers, result.body)

    def _record_failure(
        self,
        started_call: interfaces.StartedCall,
        failure: _service_attempt.CallFailedError,
    ) -> None:
        calls = self.parts.calls
        if not failure.sent:
            calls.abandon(started_call)
        elif failure.status is not None:
            result = interfaces.CallResult(failure.status, "", None)
            calls.finish(started_call, result)
        else:
            calls.mark_unknown(started_call)

    def _record_internal_error(
        self, started_call: interfaces.StartedCall
    ) -> None:
        """Record a call that ended with an internal error of the node."""
        if self._may_have_run:
            self.parts.calls.mark_unknown(started_call)
        else:
            self.parts.calls.abandon(started_call)

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
                "the call was cancelled before the service responded",
            )
        error = failure.error
        not_run = errors.Outcome.NOT_RUN
        if self._may_have_run and error.outcome is not_run:
            # The last attempt did not run, but an earlier one may have.
            return errors.QuetzalwardError(
                error.kind, error.detail, outcome=errors.Outcome.UNKNOWN
            )
        return error


def _is_crash(failure: _service_attempt.CallFailedError) -> bool:
    """Tell whether a target that had the request ended its connection."""
    return (
        failure.sent
        and failure.response is None
        and failure.error.kind is errors.ErrorKind.TARGET_FAILED
    )
