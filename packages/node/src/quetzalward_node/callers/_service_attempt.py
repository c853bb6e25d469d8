"""One attempt to forward a call to a replica of a plain service."""

import typing

import attrs
from opentelemetry import trace
import urllib3

from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import quarantine
from quetzalward_core import streams
from quetzalward_node.callers import _connection
from quetzalward_node.callers import _crashes
from quetzalward_node.callers import _hops
from quetzalward_node.callers import _meters
from quetzalward_node.callers import _targets
from quetzalward_node.callers import _watch
from quetzalward_node import interfaces
from quetzalward_node import telemetry

# A smaller response is received completely before any of it is forwarded.
RESPONSE_BUFFER_BYTES = 262_144


@attrs.frozen
class Parts:
    """Dependencies shared by all calls."""

    router: interfaces.ServiceRouter
    calls: interfaces.CallRegistry
    may_retry: typing.Callable[[], bool]
    connections: _targets.TargetConnections
    clock: clocks.Clock
    tracing: telemetry.Tracing
    meters: _meters.Meters
    crashes: _crashes.CrashGuard


@attrs.frozen
class ServiceRequest:
    """A validated call; `path` and `query` are those sent to the service."""

    request_id: str
    customer: str
    name: str
    service: config.Service
    exchange: _connection.Exchange
    path: str
    query: str
    repeatable: bool
    key: str | None
    # A larger response to a keyed call is recorded without its body.
    max_kept_body_bytes: int
    # Set only for calls that may be cancelled when the caller disconnects.
    interruption: _watch.Interruption | None
    span: trace.Span

    @property
    def trait(self) -> str:
        """Return what the request shares with its repeats."""
        return quarantine.request_trait(
            self.customer,
            self.exchange.method.encode("latin-1", "replace"),
            self.name,
            self.target.encode("latin-1", "replace"),
            self.exchange.body or b"",
        )

    @property
    def target(self) -> str:
        """Return path and query as sent to the service."""
        return self.path + (f"?{self.query}" if self.query else "")


@attrs.frozen
class ServiceResponse:
    """A response of a service, or its first part."""

    status: int
    headers: list[tuple[str, str]]
    content_length: str | None
    # The complete body, or at least its first `RESPONSE_BUFFER_BYTES`.
    body: bytes
    complete: bool

    @property
    def content_type(self) -> str:
        """Return the media type, empty if there is none."""
        for name, value in self.headers:
            if name.lower() == "content-type":
                return value
        return ""


class CallFailedError(Exception):
    """An attempt failed; `status` is set if the service sent one."""

    def __init__(
        self,
        error: errors.QuetzalwardError,
        sent: bool,
        status: int | None = None,
        response: ServiceResponse | None = None,
    ) -> None:
        """Describe the failure; `sent` is true if sending had begun."""
        super().__init__(error.detail)
        self.error = error
        self.sent = sent
        self.status = status
        # Response to forward if there is no further attempt.
        self.response = response


@attrs.define(eq=False)
class ServiceAttempt:
    """One attempt; the first call of `end` releases its grant."""

    parts: Parts
    request: ServiceRequest
    grant: interfaces.Grant
    span: trace.Span
    deadline_ms: clocks.Millis
    # True from just before the first byte is sent.
    sent: bool = False
    _status: int | None = None
    _connection: _targets.TargetConnection | None = None
    _is_event_stream: bool = False
    # The last bytes of the response.
    _tail: bytes = b""
    _ended: bool = False

    def fetch(self) -> ServiceResponse:
        """Send the call and read the first part of the response.

        Raises `CallFailedError`.
        """
        connection = self._open()
        exchange = self.request.exchange
        self._check_grant()
        self.sent = True
        try:
            response = connection.send(
                exchange.method,
                self.request.target,
                self._headers(),
                exchange.body or None,
                self._remaining_ms(),
            )
        except _targets.TargetTimeoutError as error:
            raise self._failure(True) from error
        except _targets.TargetConnectionError as error:
            raise self._failure(False) from error
        self._status = response.status
        self._is_event_stream = streams.is_event_stream(
            response.headers.get("Content-Type", "")
        )
        body = self._read_prefix(connection)
        return ServiceResponse(
            response.status,
            _hops.response_headers(response.headers.items()),
            response.headers.get("Content-Length"),
            body,
            len(body) < RESPONSE_BUFFER_BYTES,
        )

    def read_remaining(self) -> typing.Iterator[bytes]:
        """Yield the parts of the response after the first.

        Raises `CallFailedError`.
        """
        connection = self._connection
        while connection is not None:
            try:
                data = self._read(connection)
            except (
                _targets.TargetTimeoutError,
                _targets.TargetConnectionError,
            ) as error:
                raise self._failure(False) from error
            if not data:
                return
            yield data

    def end(self, result: interfaces.AttemptResult) -> None:
        """Release the grant and the connection."""
        if self._ended:
            return
        self._ended = True
        try:
            report = interfaces.AttemptReport(result)
            self.parts.router.release(self.grant, report)
        finally:
            self.parts.meters.attempts.add(result.value)
            self.span.set_attribute("result", result.value)
            self.span.end()
            self._attach(None)
            if self._connection is not None:
                self.parts.connections.release(self._connection)

    def _check_grant(self) -> None:
        """Raise `CallFailedError` if the grant has expired.

        The checks made when it was granted may no longer hold.
        """
        if self.grant.expired(self.parts.clock.now_ms()):
            error = errors.QuetzalwardError(
                errors.ErrorKind.OVERLOADED, "the grant expired before use"
            )
            raise CallFailedError(error, sent=False)

    def _open(self) -> _targets.TargetConnection:
        try:
            # After a failed send on a reused connection it would be unknown
            # whether the call ran.
            connection = self.parts.connections.open(
                self.grant.url, fresh=not self.request.repeatable
            )
        except _targets.NotConnectedError as error:
            failed = errors.QuetzalwardError(
                errors.ErrorKind.TARGET_FAILED,
                f"cannot connect to {error}",
                outcome=errors.Outcome.NOT_RUN,
            )
            raise CallFailedError(failed, sent=False) from error
        self._connection = connection
        self._attach(connection)
        return connection

    def _attach(self, connection: _targets.TargetConnection | None) -> None:
        if self.request.interruption is not None:
            sock = connection.sock if connection is not None else None
            self.request.interruption.attach(sock)

    def _headers(self) -> urllib3.HTTPHeaderDict:
        headers = urllib3.HTTPHeaderDict()
        caller_headers = self.request.exchange.head.headers
        for name, value in _hops.request_headers(caller_headers):
            headers.add(name, value)
        headers["X-Request-Id"] = self.request.request_id
        headers[_hops.CUSTOMER_HEADER] = self.request.customer
        for name, value in self.parts.tracing.headers(self.span).items():
            headers[name] = value
        return headers

    def _read_prefix(self, connection: _targets.TargetConnection) -> bytes:
        body = bytearray()
        try:
            while len(body) < RESPONSE_BUFFER_BYTES:
                data = self._read(connection)
                if not data:
                    break
                body += data
        except _targets.TargetTimeoutError as error:
            raise self._failure(True) from error
        except _targets.TargetConnectionError as error:
            raise self._failure(False) from error
        return bytes(body)

    def _read(self, connection: _targets.TargetConnection) -> bytes:
        """Return the next bytes of the response, empty at its end.

        Raises `TargetConnectionError` if it ends within an event, because the
        end of the connection may be all that ends it.
        """
        data = connection.read(self._remaining_ms())
        self._tail = (self._tail + data)[-streams.EVENT_END_BYTES :]
        is_cut = not data and not streams.ends_with_event(self._tail)
        if is_cut and self._is_event_stream:
            raise _targets.TargetConnectionError("ended within an event")
        return data

    def _remaining_ms(self) -> int:
        return max(1, self.deadline_ms - self.parts.clock.now_ms())

    def _failure(self, timed_out: bool) -> CallFailedError:
        kind = errors.ErrorKind.TARGET_FAILED
        detail = "the connection to the service was lost"
        if timed_out:
            kind = errors.ErrorKind.TARGET_TIMEOUT
            detail = "the service did not respond in time"
        outcome = None if self._status is None else errors.Outcome.RAN
        error = errors.QuetzalwardError(kind, detail, outcome=outcome)
        return CallFailedError(error, sent=True, status=self._status)
