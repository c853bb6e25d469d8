"""The callers' side: connections, requests and their answers."""

import asyncio
import collections.abc
import typing

import attrs
import h11

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _channel
from quetzalward_gateway import _http

_REASONS = {
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
    """A request as it was read from a connection."""

    method: bytes
    target: bytes
    headers: _http.Headers
    body: bytes
    received_ms: clock.Millis


class Responder:
    """Writes one answer, whole or as a stream."""

    def __init__(
        self,
        http: h11.Connection,
        channel: _channel.Channel,
        closing: collections.abc.Callable[[], bool],
    ) -> None:
        """Answer on a channel; `closing` tells whether it ends after it."""
        self._http = http
        self._channel = channel
        self._closing = closing
        self.started = False
        self.finished = False

    def _head(self, status: int, headers: _http.Headers) -> bytes:
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(
            status_code=status,
            headers=headers,
            reason=_REASONS.get(status, b""),
        )
        self.started = True
        return self._http.send(response) or b""

    def send_whole(
        self, status: int, headers: _http.Headers, body: bytes
    ) -> None:
        """Send a complete answer."""
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, [*headers, length])
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.finished = True
        self._channel.write(data)

    def start_stream(self, status: int, headers: _http.Headers) -> None:
        """Send the head of a streamed answer, in chunks."""
        coding = (b"transfer-encoding", b"chunked")
        self._channel.write(self._head(status, [*headers, coding]))

    async def send_part(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        self._channel.write(self._http.send(h11.Data(data=data)) or b"")
        await self._channel.drain()

    def finish(self) -> None:
        """Send the end of a streamed answer."""
        self._channel.write(self._http.send(h11.EndOfMessage()) or b"")
        self.finished = True

    def abort(self) -> None:
        """End without a complete answer; the caller sees a reset."""
        self._channel.abort()


Handler = collections.abc.Callable[
    [RawRequest, Responder], collections.abc.Awaitable[None]
]


class _Rejected(Exception):
    """A request that breaks the protocol or the limits."""

    def __init__(self, status: int) -> None:
        super().__init__(str(status))
        self.status = status


class CallerServer:
    """Accepts callers and hands their requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: collections.abc.Callable[[], fleet.CallerLimits],
        now_ms: collections.abc.Callable[[], clock.Millis],
    ) -> None:
        """Serve with the limits in force at each request."""
        self._handler = handler
        self._limits = limits
        self._now_ms = now_ms
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: set[_channel.Channel] = set()
        self._stopping = False
        self._refusing = False

    async def start(self, address: fleet.Address) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _channel.Channel(self._opened),
            address.host,
            address.port,
            backlog=512,
        )

    @property
    def in_flight(self) -> int:
        """Return the connections that have a request."""
        return len(self._tasks) - len(self._idle)

    def drain(self) -> None:
        """End each connection with its next answer."""
        self._stopping = True

    def close_idle(self) -> None:
        """Stop accepting and close the connections without a request."""
        if self._server is not None:
            self._server.close()
        self._refusing = True
        for channel in list(self._idle):
            channel.close()

    def abort_all(self) -> None:
        """End all connections."""
        for task in list(self._tasks):
            task.cancel()

    def _opened(self, channel: _channel.Channel) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: _channel.Channel) -> None:
        """Serve the requests of one connection."""
        limits = self._limits()
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        try:
            while not channel.lost:
                request = await self._read(http, channel)
                if request is None:
                    break
                if not await self._answer(http, channel, request):
                    break
            channel.close()
        except _Rejected as error:
            self._reject(http, channel, error.status)
        except (_channel.ChannelReset, _channel.ChannelTimeout):
            channel.abort()
        finally:
            self._idle.discard(channel)
            if not channel.lost:
                channel.close()

    async def _answer(
        self,
        http: h11.Connection,
        channel: _channel.Channel,
        request: RawRequest,
    ) -> bool:
        """Handle a request; false if its connection ends."""
        responder = Responder(http, channel, lambda: self._stopping)
        task = asyncio.current_task()
        assert task is not None
        channel.on_lost = lambda: _cancel(task)
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            # The caller left, or the node stops; either way nothing more
            # can be sent.
            channel.abort()
            return False
        finally:
            channel.on_lost = None
        if not responder.finished:
            channel.abort()
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if self._refusing:
            return False
        http.start_next_cycle()
        return True

    async def _read(
        self, http: h11.Connection, channel: _channel.Channel
    ) -> RawRequest | None:
        """Return the next request, `None` if the connection is over."""
        limits = self._limits()
        head = await self._read_head(http, channel, limits)
        if head is None:
            return None
        received_ms = self._now_ms()
        if http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            channel.write(http.send(go_on) or b"")
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._event(http, channel, limits.header_timeout_ms)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise _Rejected(400)
            size += len(event.data)
            if size > limits.body_bytes:
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
            self._idle.add(channel)
            if self._refusing:
                return None
            try:
                data = await channel.receive(limits.idle_timeout_ms)
            except _channel.ChannelTimeout:
                return None
            finally:
                self._idle.discard(channel)
            if not data:
                return None
            self._feed(http, data)
        event = await self._event(http, channel, limits.header_timeout_ms)
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise _Rejected(400)
        return event

    async def _event(
        self,
        http: h11.Connection,
        channel: _channel.Channel,
        timeout_ms: float,
    ) -> typing.Any:
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                raise _Rejected(error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await channel.receive(timeout_ms)
            except _channel.ChannelTimeout as error:
                raise _Rejected(408) from error
            if not data:
                raise _channel.ChannelReset("request ended early")
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
            headers=[(b"content-length", b"0"), (b"connection", b"close")],
            reason=_REASONS.get(status, b""),
        )
        channel.write(http.send(response) or b"")
        channel.close()


def _cancel(task: asyncio.Task[None]) -> None:
    """End the work for a caller that has left."""
    task.cancel()
