"""The HTTP/1.1 server for callers."""

import asyncio
import collections.abc
import contextlib
import enum
import traceback
import typing

import attrs
import h11

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _channel
from quetzalward_gateway import _pacing
from quetzalward_gateway import _responses

# Sent where the parser's state may not allow a response any more.
_INTERNAL_ERROR_RESPONSE = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
# Time for which the rest of a rejected request is read and discarded: closing
# with unread input resets the connection, and the caller loses the response.
LINGER_MS = 1_000

Handler = collections.abc.Callable[
    [_responses.RawRequest, _responses.Responder],
    collections.abc.Awaitable[None],
]


class Phase(enum.Enum):
    """How far a caller's connection is with its current request."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    # The request has been read, and is with the handler.
    HANDLING = "handling"


@attrs.frozen
class Ended:
    """A request that ended without an answer of the handler."""

    phase: Phase
    reason: str
    # `None` if not even a status was sent.
    status: int | None
    # `None` if the head was not complete.
    head: h11.Request | None


class _Rejected(Exception):
    """A request violates the protocol or the limits."""

    def __init__(self, status: int, reason: str = "") -> None:
        super().__init__(reason or f"status {status}")
        self.status = status


@attrs.define(eq=False)
class _Connection:
    """A caller's connection and how far it is with its current request."""

    channel: _channel.Channel
    http: h11.Connection
    pacer: _pacing.Pacer
    phase: Phase = Phase.IDLE
    head: h11.Request | None = None
    responder: _responses.Responder | None = None

    @property
    def has_input(self) -> bool:
        """Tell whether bytes of another request have been received."""
        return self.channel.has_input or bool(self.http.trailing_data[0])

    @property
    def has_response(self) -> bool:
        """Tell whether the response to the current request has begun."""
        return self.responder is not None and self.responder.started


class CallerServer:
    """Accepts callers' connections and passes requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: collections.abc.Callable[[], fleet.CallerLimits],
        now_ms: collections.abc.Callable[[], clock.Millis],
        on_ended: collections.abc.Callable[[Ended], None] = lambda _: None,
    ) -> None:
        """Take a handler; `limits` is called for each request.

        `on_ended` is called for each request that the handler left without
        an answer, or that did not reach it.
        """
        self._handler = handler
        self._limits = limits
        self._now_ms = now_ms
        self._on_ended = on_ended
        self._costly_work = _pacing.CostlyWork()
        self._server: asyncio.Server | None = None
        self._connection_by_task: dict[asyncio.Task[None], _Connection] = {}
        self._idle_channels: set[_channel.Channel] = set()
        # Also those whose task has ended, until all is sent.
        self._open_channels: set[_channel.Channel] = set()
        self._is_draining = False
        self._is_closing = False
        self._is_ending = False

    async def start(self, address: fleet.Address) -> None:
        """Start listening on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _channel.Channel(
                self._start_serving, self._open_channels.discard
            ),
            address.host,
            address.port,
            backlog=512,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of connections that are not idle."""
        return len(self._connection_by_task) - len(self._idle_channels)

    @property
    def unsent(self) -> int:
        """Return the number of connections with bytes that wait to be sent.

        The request is no longer in flight then, as its response is written.
        """
        return sum(channel.has_output for channel in self._open_channels)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    def close_idle(self) -> None:
        """Stop accepting connections and close the idle ones."""
        if self._server is not None:
            self._server.close()
        self._is_closing = True
        for channel in list(self._idle_channels):
            # A request may have come in that its task has not read yet.
            if not channel.has_input:
                channel.close()

    def end_unanswered(self) -> None:
        """End the requests without a response; each gets a status."""
        self._is_ending = self._is_closing = True
        for task, connection in list(self._connection_by_task.items()):
            if not connection.has_response:
                task.cancel()

    def end_all(self) -> None:
        """End all requests."""
        self._is_ending = self._is_closing = True
        for task in list(self._connection_by_task):
            task.cancel()

    def _start_serving(self, channel: _channel.Channel) -> None:
        self._open_channels.add(channel)
        connection = _Connection(
            channel, self._parser(), _pacing.Pacer(self._costly_work)
        )
        task = asyncio.get_running_loop().create_task(
            self._serve_connection(connection)
        )
        self._connection_by_task[task] = connection
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._connection_by_task.pop(task, None)

    def _parser(self) -> h11.Connection:
        """Return a parser of one request, with the current limits."""
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits().header_bytes
        )

    async def _serve_connection(self, connection: _Connection) -> None:
        """Serve the requests of one connection in turn."""
        channel = connection.channel
        try:
            while not channel.lost:
                request = await self._read_request(connection)
                if request is None:
                    break
                if not await self._handle_request(connection, request):
                    break
            self._report_dropped_input(connection)
            channel.close()
        except _Rejected as error:
            await self._reject(connection, error)
        except (_channel.ChannelReset, _channel.ChannelTimeout) as error:
            self._report(connection, str(error) or "timeout")
            channel.abort()
        except asyncio.CancelledError:
            if channel.lost:
                raise
            if connection.phase is not Phase.IDLE or connection.has_input:
                await self._reject(
                    connection, _Rejected(503, "the node has ended"), 0
                )
        except Exception:
            self._end_failed(connection)
        finally:
            self._idle_channels.discard(channel)
            if not channel.lost:
                channel.close()

    async def _handle_request(
        self, connection: _Connection, request: _responses.RawRequest
    ) -> bool:
        """Handle a request; return whether the connection stays open."""
        channel, http = connection.channel, connection.http
        connection.phase = Phase.HANDLING
        if channel.lost:
            self._report(connection, "the caller has left")
            return False
        responder = _responses.Responder(
            http, channel, lambda: self._closes_after_response(connection)
        )
        connection.responder = responder
        task = asyncio.current_task()
        assert task is not None
        channel.on_lost = lambda: _cancel_handling(task)
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            reason = "the caller has left" if channel.lost else "cancelled"
            self._report(connection, reason)
            channel.abort()
            return False
        finally:
            channel.on_lost = None
        if not responder.finished:
            self._end_unfinished(connection, responder)
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if self._closes_after_response(connection) and self._is_closing:
            return False
        rest = http.trailing_data[0]
        connection.http = self._parser()
        connection.phase, connection.head = Phase.IDLE, None
        connection.responder = None
        if rest:
            self._feed(connection.http, rest)
        return True

    def _closes_after_response(self, connection: _Connection) -> bool:
        """Tell whether the connection closes after the next response.

        Another request that has been received is answered before that.
        """
        if self._is_ending:
            return True
        return self._is_draining and not connection.has_input

    async def _read_request(
        self, connection: _Connection
    ) -> _responses.RawRequest | None:
        """Return the next request, `None` if the connection ends first.

        Raises `_Rejected` if the request violates the protocol or the limits.
        """
        if not await self._await_input(connection):
            return None
        connection.pacer.restart()
        # In force for the whole request.
        limits = self._limits()
        connection.phase = Phase.HEAD
        head = await self._next_event(connection, limits.header_timeout_ms)
        if isinstance(head, h11.ConnectionClosed):
            connection.phase = Phase.IDLE
            return None
        if not isinstance(head, h11.Request):
            raise _Rejected(400)
        received_ms = self._now_ms()
        connection.phase, connection.head = Phase.BODY, head
        http = connection.http
        if http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            connection.channel.write(http.send(continue_response) or b"")
        body = bytearray()
        while True:
            event = await self._next_event(
                connection, limits.header_timeout_ms
            )
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise _Rejected(400)
            if len(body) + len(event.data) > limits.body_bytes:
                raise _Rejected(413)
            body += event.data
        return _responses.RawRequest(
            head.method,
            head.target,
            list(head.headers),
            bytes(body),
            received_ms,
        )

    async def _await_input(self, connection: _Connection) -> bool:
        """Wait for a request's first bytes; false if there will be none."""
        channel = connection.channel
        if connection.has_input:
            return True
        if self._is_closing:
            return False
        idle_since_ms = self._now_ms()
        left_ms = self._limits().idle_timeout_ms
        self._idle_channels.add(channel)
        try:
            while left_ms > 0:
                try:
                    data = await channel.receive(left_ms)
                except _channel.ChannelTimeout:
                    # A longer time may have come into force meanwhile.
                    idle_ms = self._now_ms() - idle_since_ms
                    left_ms = self._limits().idle_timeout_ms - idle_ms
                    continue
                except _channel.ChannelReset:
                    return False
                if data:
                    connection.http = self._parser()
                    connection.phase = Phase.HEAD
                    self._feed(connection.http, data)
                return bool(data)
        finally:
            self._idle_channels.discard(channel)
        return False

    async def _next_event(
        self, connection: _Connection, timeout_ms: float
    ) -> typing.Any:
        """Return the next part of a request.

        It must be complete within the timeout, also if its bytes keep coming
        in.
        """
        await connection.pacer.pause_if_due()
        deadline_ms = self._now_ms() + timeout_ms
        while True:
            try:
                event = connection.http.next_event()
            except h11.RemoteProtocolError as error:
                raise _Rejected(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            left_ms = deadline_ms - self._now_ms()
            if left_ms <= 0:
                raise _Rejected(408)
            try:
                with connection.pacer.waiting():
                    data = await connection.channel.receive(left_ms)
            except _channel.ChannelTimeout as error:
                raise _Rejected(408) from error
            if not data:
                raise _channel.ChannelReset(
                    "the caller closed the connection within a request"
                )
            self._feed(connection.http, data)

    @staticmethod
    def _feed(http: h11.Connection, data: bytes) -> None:
        try:
            http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _Rejected(error.error_status_hint, str(error)) from error

    # Requests that the handler does not answer.

    def _report(
        self,
        connection: _Connection,
        reason: str,
        status: int | None = None,
    ) -> None:
        self._on_ended(
            Ended(connection.phase, reason, status, connection.head)
        )

    def _report_dropped_input(self, connection: _Connection) -> None:
        """Report a request behind one that ended the connection."""
        if connection.responder is not None and connection.has_input:
            connection.phase, connection.head = Phase.HEAD, None
            self._report(
                connection, "the previous request ended the connection"
            )

    async def _reject(
        self,
        connection: _Connection,
        error: _Rejected,
        linger_ms: clock.Millis = LINGER_MS,
    ) -> None:
        """Answer a request that is not passed to the handler."""
        http, channel = connection.http, connection.channel
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._report(connection, str(error))
            channel.abort()
            return
        self._report(connection, str(error), error.status)
        response = h11.Response(
            status_code=error.status,
            headers=[
                (b"content-length", b"0"),
                (b"connection", b"close"),
            ],
            reason=_responses.REASON_PHRASES.get(error.status, b""),
        )
        channel.write(http.send(response) or b"")
        end_ms = self._now_ms() + linger_ms
        with contextlib.suppress(
            _channel.ChannelReset, _channel.ChannelTimeout
        ):
            while end_ms > self._now_ms():
                if not await channel.receive(end_ms - self._now_ms()):
                    break
        channel.close()

    def _end_unfinished(
        self, connection: _Connection, responder: _responses.Responder
    ) -> None:
        """End a request whose handler returned without a whole response."""
        if responder.aborted:
            # The handler has said why.
            return
        if responder.started:
            self._report(
                connection, "the handler left the response incomplete"
            )
            connection.channel.abort()
            return
        self._report(connection, "the handler gave no response", 500)
        connection.channel.write(_INTERNAL_ERROR_RESPONSE)

    def _end_failed(self, connection: _Connection) -> None:
        """End a request under which an unexpected exception was raised."""
        reason = traceback.format_exc()
        if connection.has_response:
            self._report(connection, reason)
            connection.channel.abort()
            return
        self._report(connection, reason, 500)
        connection.channel.write(_INTERNAL_ERROR_RESPONSE)


def _cancel_handling(task: asyncio.Task[None]) -> None:
    """Cancel the handling of a request whose caller has disconnected."""
    task.cancel()
