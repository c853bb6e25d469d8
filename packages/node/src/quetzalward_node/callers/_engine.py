"""One attempt to get a completion from one engine."""

import json
import typing

import attrs

from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import streams
from quetzalward_node.callers import _chunks
from quetzalward_node.callers import _relay
from quetzalward_node.callers import _targets
from quetzalward_node.callers import _watch
from quetzalward_node import interfaces

MAX_ERROR_BYTES = 65_536
MAX_DETAIL_CHARS = 500
# Statuses with which an engine rejects a request without starting it.
_NOT_STARTED_STATUSES = frozenset((404, 409, 425, 429, 503))
# The request itself is invalid; another replica would also reject it.
_INVALID_REQUEST_STATUSES = frozenset((400, 413, 422))


class AttemptFailedError(Exception):
    """An attempt ended without a complete response.

    `sent` is true if the engine may have started; `error` is reported to the
    caller if there is no further attempt; `final` rules out a retry; `is_cut`
    is true if the engine ended the connection before a whole response.
    """

    def __init__(
        self,
        result: interfaces.AttemptResult,
        error: errors.QuetzalwardError,
        sent: bool,
        final: bool = False,
        is_cut: bool = False,
    ) -> None:
        """Create the error with the detail of `error` as its message."""
        super().__init__(error.detail)
        self.result = result
        self.error = error
        self.sent = sent
        self.final = final
        self.is_cut = is_cut


def _failed(detail: str, sent: bool = True) -> AttemptFailedError:
    error = errors.QuetzalwardError(errors.ErrorKind.TARGET_FAILED, detail)
    return AttemptFailedError(interfaces.AttemptResult.FAILED, error, sent)


def _cut(detail: str) -> AttemptFailedError:
    error = errors.QuetzalwardError(errors.ErrorKind.TARGET_FAILED, detail)
    return AttemptFailedError(
        interfaces.AttemptResult.FAILED, error, sent=True, is_cut=True
    )


def _timed_out(detail: str) -> AttemptFailedError:
    error = errors.QuetzalwardError(errors.ErrorKind.TARGET_TIMEOUT, detail)
    return AttemptFailedError(interfaces.AttemptResult.TIMED_OUT, error, True)


@attrs.frozen
class ChunkConsumer:
    """The callbacks that receive the chunks of an attempt."""

    consume: typing.Callable[[_chunks.Chunk], None]
    # As in `_responses.Sink`.
    hold: typing.Callable[[], None]
    try_flush: typing.Callable[[], bool]
    release: typing.Callable[[], None]


@attrs.frozen
class EngineRequest:
    """The HTTP request of one attempt."""

    path: str
    headers: dict[str, str]
    body: bytes
    # Id by which the engine identifies the attempt.
    attempt_id: str


@attrs.define(eq=False)
class EngineAttempt:
    """Sends a request to the engine of a grant and relays its chunks."""

    grant: interfaces.Grant
    request: EngineRequest
    limits: config.Limits
    connections: _targets.TargetConnections
    clock: clocks.Clock
    interruption: _watch.Interruption
    loop: _relay.RelayLoop
    sent: bool = False
    tokens: int = 0
    first_token_ms: float | None = None
    # Total time spent waiting for tokens after the first one.
    token_wait_ms: float = 0.0
    # Time spent waiting for the engine since the last token. Excludes time
    # in which a slow caller blocked the worker.
    _wait_since_token_ms: float = 0.0
    _connection: _targets.TargetConnection | None = None
    _parser: streams.SseParser = attrs.field(factory=streams.SseParser)

    def relay(self, consumer: ChunkConsumer) -> None:
        """Relay chunks until the terminal `[DONE]`.

        Raises `AttemptFailedError` and any error of the consumer.
        """
        connection = self._open()
        started_ms = self.clock.now_ms()
        try:
            status = self._send(connection)
        except AttemptFailedError as error:
            stale = connection.reused and self.interruption.cause is None
            if (
                error.result is not interfaces.AttemptResult.FAILED
                or not stale
            ):
                raise
            # The engine may have closed the pooled connection while it was
            # idle, which does not indicate a fault of the engine.
            self.close()
            connection = self._open(fresh=True)
            status = self._send(connection)
        self._wait_since_token_ms = self.clock.now_ms() - started_ms
        if status != 200:
            raise self._status_error(connection, status)
        while not self._relay_in_loop(connection, consumer):
            data = self._read(connection)
            if not data:
                raise _cut("the stream ended before the response was complete")
            if self._consume(data, consumer):
                break
        self._finish_reading(connection)

    def record_token(self) -> None:
        """Record the time of a token in the chunk being consumed."""
        if self.tokens == 0:
            self.first_token_ms = self._wait_since_token_ms
        else:
            self.token_wait_ms += self._wait_since_token_ms
        self.tokens += 1
        self._wait_since_token_ms = 0

    def close(self) -> None:
        """Return the connection to the pool, or close it if not reusable."""
        self.interruption.attach(None)
        if self._connection is not None:
            self.connections.release(self._connection)
            self._connection = None

    def report(
        self, result: interfaces.AttemptResult
    ) -> interfaces.AttemptReport:
        """Return the measurements of the attempt."""
        token_ms = None
        if self.tokens > 1:
            token_ms = self.token_wait_ms / (self.tokens - 1)
        return interfaces.AttemptReport(
            result=result,
            tokens=self.tokens,
            first_token_ms=self.first_token_ms,
            token_ms=token_ms,
        )

    def _consume(self, data: bytes, consumer: ChunkConsumer) -> bool:
        """Pass on the chunks in a part of the body; true at `[DONE]`."""
        for chunk in self._parse(data):
            if chunk is None:
                return True
            consumer.consume(chunk)
        return False

    def _relay_in_loop(
        self, connection: _targets.TargetConnection, consumer: ChunkConsumer
    ) -> bool:
        """Serve the stream in the relay loop; true at `[DONE]`.

        Returns false if the worker has to go on with a blocking read.
        """
        timeout_ms = self.limits.token_timeout_ms - round(
            self._wait_since_token_ms
        )
        if self.tokens == 0 or timeout_ms <= 0:
            return False
        try:
            detached = connection.detach()
        except _targets.TargetConnectionError as error:
            raise _cut("the connection to the engine failed") from error
        if detached is None:
            return False
        body, received = detached
        job = _relay.Job(
            body,
            lambda data: self._consume(data, consumer),
            consumer.try_flush,
            self._record_wait,
            timeout_ms,
            self.clock.now_ms(),
        )
        consumer.hold()
        try:
            self.loop.serve(job, received)
        finally:
            connection.reattach(body)
            consumer.release()
        return job.complete

    def _record_wait(self, waited_ms: clocks.Millis) -> None:
        self._wait_since_token_ms += waited_ms

    def _open(self, fresh: bool = False) -> _targets.TargetConnection:
        try:
            connection = self.connections.open(self.grant.url, fresh)
        except _targets.NotConnectedError as error:
            raise _failed(f"cannot connect to {error}", sent=False) from error
        self._connection = connection
        self.interruption.attach(connection.sock)
        return connection

    def _check_grant(self) -> None:
        """Reject an expired grant before anything is sent.

        A pause of the process between grant and send could otherwise send
        new work to a zone that was taken out in the meantime.
        """
        if self.grant.expired(self.clock.now_ms()):
            error = errors.QuetzalwardError(
                errors.ErrorKind.OVERLOADED, "the grant expired before use"
            )
            raise AttemptFailedError(
                interfaces.AttemptResult.CANCELLED, error, sent=False
            )

    def _send(self, connection: _targets.TargetConnection) -> int:
        self._check_grant()
        self.sent = True
        try:
            response = connection.send(
                "POST",
                self.request.path,
                self.request.headers,
                self.request.body,
                self.limits.first_token_timeout_ms,
            )
        except _targets.TargetTimeoutError as error:
            raise _timed_out(
                "the engine sent no response headers within the timeout"
            ) from error
        except _targets.TargetConnectionError as error:
            raise _cut("the connection to the engine failed") from error
        echoed_id = response.headers.get("X-Request-Id")
        if echoed_id is not None and echoed_id != self.request.attempt_id:
            raise _failed(
                "the engine's response has the id of another request"
            )
        media_type = response.headers.get("Content-Type") or ""
        if response.status == 200 and "text/event-stream" not in media_type:
            raise _failed("the engine's response is not an event stream")
        return int(response.status)

    def _read(self, connection: _targets.TargetConnection) -> bytes:
        timeout_ms = self.limits.token_timeout_ms
        if self.tokens == 0:
            timeout_ms = self.limits.first_token_timeout_ms
        remaining_ms = timeout_ms - self._wait_since_token_ms
        if remaining_ms <= 0:
            raise _timed_out(f"no token within {timeout_ms} ms")
        started_ms = self.clock.now_ms()
        try:
            return connection.read(round(remaining_ms))
        except _targets.TargetTimeoutError as error:
            raise _timed_out(f"no token within {timeout_ms} ms") from error
        except _targets.TargetConnectionError as error:
            raise _cut("the connection to the engine failed") from error
        finally:
            self._wait_since_token_ms += self.clock.now_ms() - started_ms

    def _parse(self, data: bytes) -> typing.Iterator[_chunks.Chunk | None]:
        try:
            for event in self._parser.feed(data):
                yield _chunks.parse(event)
        except (streams.SseError, _chunks.ChunkError) as error:
            raise _failed(str(error)) from error

    def _finish_reading(self, connection: _targets.TargetConnection) -> None:
        """Read the end of the body so that the connection can be reused."""
        try:
            while connection.read(self.limits.token_timeout_ms):
                pass
        except (_targets.TargetTimeoutError, _targets.TargetConnectionError):
            # The response is complete; only the connection is lost.
            connection.close()

    def _status_error(
        self, connection: _targets.TargetConnection, status: int
    ) -> AttemptFailedError:
        document = self._error_document(connection)
        detail = f"the engine responded with status {status}"
        if status in _INVALID_REQUEST_STATUSES:
            error = errors.QuetzalwardError(
                errors.ErrorKind.MALFORMED_REQUEST,
                f"{detail}: {_error_message(document)}"[:MAX_DETAIL_CHARS],
            )
            return AttemptFailedError(
                interfaces.AttemptResult.OK, error, sent=False, final=True
            )
        if status in _NOT_STARTED_STATUSES:
            is_cold = _is_cold(document)
            result = interfaces.AttemptResult.REFUSED
            if is_cold:
                result = interfaces.AttemptResult.COLD
            error = errors.QuetzalwardError(
                errors.ErrorKind.OVERLOADED, detail, retry_after_ms=1_000
            )
            return AttemptFailedError(result, error, sent=False)
        return _failed(detail)

    def _error_document(
        self, connection: _targets.TargetConnection
    ) -> dict[str, typing.Any]:
        body = b""
        try:
            while len(body) < MAX_ERROR_BYTES:
                data = connection.read(self.limits.token_timeout_ms)
                if not data:
                    break
                body += data
            document = json.loads(body)
        except (
            _targets.TargetTimeoutError,
            _targets.TargetConnectionError,
            ValueError,
            RecursionError,
        ):
            return {}
        return document if isinstance(document, dict) else {}


def _error_message(document: dict[str, typing.Any]) -> str:
    error = document.get("error")
    if isinstance(error, dict):
        error = error.get("message")
    message = error or document.get("detail") or "no reason given"
    return message if isinstance(message, str) else "no reason given"


def _is_cold(document: dict[str, typing.Any]) -> bool:
    """Return whether an error response reports a cold start."""
    error = document.get("error")
    names = [document.get("state"), document.get("kind"), error]
    if isinstance(error, dict):
        names += [error.get("code"), error.get("type")]
    return "cold" in names
