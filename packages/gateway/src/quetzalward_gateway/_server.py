"""The HTTP/1.1 server for callers."""

import asyncio
import collections.abc
import typing

import attrs
import h11

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _channel
from quetzalward_gateway import _http

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@attrs.frozen
class RawRequest:
    """A complete request as read from a connection."""

    method: bytes
    target: bytes
    headers: _http.Headers
    body: bytes
    received_ms: clock.Millis


class Responder:
    """Writes one response, complete or as a stream."""

    def __init__(
        self,
        http: h11.Connection,
        channel: _channel.Channel,
        is_closing: collections.abc.Callable[[], bool],
    ) -> None:
        """Respond on a channel; `is_closing` tells whether it then closes."""
        self._http = http
        self._channel = channel
        self._is_closing = is_closing
        self.started = False
        self.finished = False

    def _encode_head(self, status: int, headers: _http.Headers) -> bytes:
        if self._is_closing():
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(
            status_code=status,
            headers=headers,
            reason=_REASON_PHRASES.get(status, b""),
        )
        self.started = True
        return self._http.send(response) or b""

    def send_response(
        self, status: int, headers: _http.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        content_length = (b"content-length", str(len(body)).encode())
        data = self._encode_head(status, [*headers, content_length])
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.finished = True
        self._channel.write(data)

    def start_stream(self, status: int, headers: _http.Headers) -> None:
        """Send the head of a streamed response, with chunked encoding."""
        transfer_encoding = (b"transfer-encoding", b"chunked")
        self._channel.write(
            self._encode_head(status, [*headers, transfer_encoding])
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a streamed response; wait for the write buffer."""
        self._channel.write(self._http.send(h11.Data(data=data)) or b"")
        await self._channel.drain()

    def finish(self) -> None:
        """Send the last chunk of a streamed response."""
        self._channel.write(self._http.send(h11.EndOfMessage()) or b"")
        self.finished = True

    def abort(self) -> None:
        """Abort an incomplete response; the caller sees a reset."""
        self._channel.abort()


Handler = collections.abc.Callable[
    [RawRequest, Responder], collections.abc.Awaitable[None]
]


class _Rejected(Exception):
    """A request violates the protocol or the limits."""

    def __init__(self, status: int) -> None:
        super().__init__(str(status))
        self.status = status


class CallerServer:
    """Accepts callers' connections and passes requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: collections.abc.Callable[[], fleet.CallerLimits],
        now_ms: collections.abc.Callable[[], clock.Millis],
    ) -> None:
        """Take a handler; `limits` is called for each request."""
        self._handler = handler
        self._limits = limits
        self._now_ms = now_ms
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_channels: set[_channel.Channel] = set()
        self._is_draining = False
        self._is_closing = False

    async def start(self, address: fleet.Address) -> None:
        """Start listening on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _channel.Channel(self._start_serving),
            address.host,
            address.port,
            backlog=512,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of connections that are not idle."""
        return len(self._tasks) - len(self._idle_channels)

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

    def abort_all(self) -> None:
        """Cancel the tasks of all connections."""
        for task in list(self._tasks):
            task.cancel()

    def _start_serving(self, channel: _channel.Channel) -> None:
        task = asyncio.get_running_loop().create_task(
            self._serve_connection(channel)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, channel: _channel.Channel) -> None:
        """Serve the requests of one connection in turn."""
        limits = self._limits()
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        try:
            while not channel.lost:
                request = await self._read_request(http, channel)
                if request is None:
                    break
                if not await self._handle_request(http, channel, request):
                    break
            channel.close()
        except _Rejected as error:
            self._reject(http, channel, error.status)
        except (_channel.ChannelReset, _channel.ChannelTimeout):
            channel.abort()
        finally:
            self._idle_channels.discard(channel)
            if not channel.lost:
                channel.close()

    async def _handle_request(
        self,
        http: h11.Connection,
        channel: _channel.Channel,
        request: RawRequest,
    ) -> bool:
        """Handle a request; return whether the connection stays open."""
        responder = Responder(http, channel, lambda: self._is_draining)
        task = asyncio.current_task()
        assert task is not None
        channel.on_lost = lambda: _cancel_handling(task)
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            # The caller disconnected, or the node stops; either way nothing
            # more can be sent.
            channel.abort()
            return False
        finally:
            channel.on_lost = None
        if not responder.finished:
            channel.abort()
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if self._is_closing:
            return False
        http.start_next_cycle()
        return True

    async def _read_request(
        self, http: h11.Connection, channel: _channel.Channel
    ) -> RawRequest | None:
        """Return the next request, `None` if the connection ends first.

        Raises `_Rejected` if the request violates the protocol or the limits.
        """
        limits = self._limits()
        head = await self._read_head(http, channel, limits)
        if head is None:
            return None
        received_ms = self._now_ms()
        if http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            channel.write(http.send(continue_response) or b"")
        parts: list[bytes] = []
        body_bytes = 0
        while True:
            event = await self._next_event(
                http, channel, limits.header_timeout_ms
            )
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise _Rejected(400)
            body_bytes += len(event.data)
            if body_bytes > limits.body_bytes:
                raise _Rejected(413)
            parts.append(bytes(event.data))
        return RawRequest(
            head.method,
            head.target,
            list(head.headers),
            b"".join(parts),
            received_ms,
        )

    async def _read_head(
        self,
        http: h11.Connection,
        channel: _channel.Channel,
        limits: fleet.CallerLimits,
    ) -> h11.Request | None:
        if not channel.has_input and not http.trailing_data[0]:
            self._idle_channels.add(channel)
            if self._is_closing:
                return None
            try:
                data = await channel.receive(limits.idle_timeout_ms)
            except _channel.ChannelTimeout:
                return None
            finally:
                self._idle_channels.discard(channel)
            if not data:
                return None
            self._feed(http, data)
        event = await self._next_event(http, channel, limits.header_timeout_ms)
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise _Rejected(400)
        return event

    async def _next_event(
        self,
        http: h11.Connection,
        channel: _channel.Channel,
        timeout_ms: float,
    ) -> typing.Any:
        """Return the next part of a request.

        It must be complete within the timeout, also if its bytes keep coming
        in.
        """
        deadline_ms = self._now_ms() + timeout_ms
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                raise _Rejected(error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            left_ms = deadline_ms - self._now_ms()
            if left_ms <= 0:
                raise _Rejected(408)
            try:
                data = await channel.receive(left_ms)
            except _channel.ChannelTimeout as error:
                raise _Rejected(408) from error
            if not data:
                raise _channel.ChannelReset(
                    "the caller closed the connection within a request"
                )
            self._feed(http, data)

    @staticmethod
    def _feed(http: h11.Connection, data: bytes) -> None:
        try:
            http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _Rejected(error.error_status_hint) from error

    @staticmethod
    def _reject(
        http: h11.Connection, channel: _channel.Channel, status: int
    ) -> None:
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            channel.abort()
            return
        response = h11.Response(
            status_code=status,
            headers=[
                (b"content-length", b"0"),
                (b"connection", b"close"),
            ],
            reason=_REASON_PHRASES.get(status, b""),
        )
        channel.write(http.send(response) or b"")
        channel.close()


def _cancel_handling(task: asyncio.Task[None]) -> None:
    """Cancel the handling of a request whose caller has disconnected."""
    task.cancel()
