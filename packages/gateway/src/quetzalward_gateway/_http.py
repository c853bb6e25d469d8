"""An HTTP/1.1 client over channels; h11 parses and frames the messages."""

import asyncio
import typing

import attrs
import h11

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import streams
from quetzalward_gateway import _channel
from quetzalward_gateway import _memory
from quetzalward_gateway import _pacing

Headers = list[tuple[bytes, bytes]]

# Response heads of targets and of the store are far smaller.
MAX_HEAD_BYTES = 65_536
# Informational (1xx) responses before a response; a server in trouble may
# send them without end.
MAX_INFORMATIONAL_RESPONSES = 16
# Maximum size of a body that is buffered as a whole.
MAX_BODY_BYTES = 8 * 1024 * 1024


class ProtocolError(Exception):
    """The server did not send a valid and complete HTTP response."""


@attrs.frozen
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers
    # Whether a content length or chunked encoding delimits the body;
    # otherwise the end of the connection does.
    is_framed: bool

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the body is a series of server-sent events."""
        return any(
            name == b"content-type"
            and streams.is_event_stream(value.decode("latin-1"))
            for name, value in self.headers
        )


@attrs.frozen
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class ClientCall:
    """One request and its response on a connection."""

    def __init__(
        self,
        channel: _channel.Channel,
        pacer: _pacing.Pacer | None = None,
    ) -> None:
        """Use a connection on which no other request is in progress."""
        self._channel = channel
        self._pacer = pacer or _pacing.Pacer()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a request; the headers must give the length of its body."""
        self._pacer.restart()
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._channel.write(data)

    async def read_head(self, timeout_ms: float) -> ResponseHead:
        """Return the response head; informational (1xx) ones are skipped.

        Raises `ProtocolError`, and `ChannelReset` or `ChannelTimeout`. The
        part must be complete within the timeout, also if its bytes keep
        coming in.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next(timeout_ms)
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                names = {name for name, _ in headers}
                is_framed = bool(
                    names & {b"content-length", b"transfer-encoding"}
                )
                return ResponseHead(event.status_code, headers, is_framed)
            raise ProtocolError("the connection ended before a response head")
        raise ProtocolError("too many informational responses")

    async def read_data(self, timeout_ms: float) -> bytes | None:
        """Return the next part of the body, `None` at its end.

        Raises as `read_head` does.
        """
        event = await self._next(timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ProtocolError(
            "unexpected message part in place of the response body"
        )

    async def read_body(
        self,
        remaining_ms: typing.Callable[[], float],
        max_bytes: int = MAX_BODY_BYTES,
        holding: _memory.Holding | None = None,
    ) -> bytes:
        """Return the whole body.

        `remaining_ms` returns the time left, which also ends a body without
        end. Raises as `read_head` does, `ProtocolError` if the body is larger
        than `max_bytes`, and `AnswerEvicted`.
        """
        # One buffer: a list of small parts takes many times their size.
        body = bytearray()
        while True:
            left_ms = remaining_ms()
            if left_ms <= 0:
                raise _channel.ChannelTimeout
            part = await self.read_data(left_ms)
            if part is None:
                return bytes(body)
            if len(body) + len(part) > max_bytes:
                raise ProtocolError(f"the body exceeds {max_bytes} bytes")
            body += part
            if holding is not None:
                holding.resize(len(body))

    def has_trailing_data(self) -> bool:
        """Tell whether bytes follow the response."""
        trailing_bytes, _ = self._http.trailing_data
        return bool(trailing_bytes) or self._channel.has_input

    def is_reusable(self) -> bool:
        """Tell whether the connection can carry another request."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self.has_trailing_data()
            and not self._channel.lost
        )

    def start_next_cycle(self) -> None:
        """Prepare the connection for another request."""
        self._http.start_next_cycle()

    async def _next(self, timeout_ms: float) -> typing.Any:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_ms / clock.MILLIS_PER_SECOND
        await self._pacer.pause_if_due()
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                left_ms = (end_s - loop.time()) * clock.MILLIS_PER_SECOND
                with self._pacer.waiting():
                    data = await self._channel.receive(left_ms)
                self._http.receive_data(data)
                if left_ms <= 0:
                    # Parts of an event keep coming in.
                    raise _channel.ChannelTimeout
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from error


class CallFailed(Exception):
    """A call got no response; it may have been executed if it was sent."""

    def __init__(self, reason: str, sent: bool) -> None:
        """Take the reason, and whether the request may have been sent."""
        super().__init__(reason)
        self.sent = sent


class HttpClient:
    """Makes calls with small bodies over kept-alive connections."""

    def __init__(self, now_ms: typing.Callable[[], clock.Millis]) -> None:
        """Start with an empty pool of idle connections."""
        self._now_ms = now_ms
        self._idle_by_address: dict[
            fleet.Address, list[tuple[_channel.Channel, ClientCall]]
        ] = {}

    async def call(
        self,
        address: fleet.Address,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout_ms: float,
        reuse: bool = True,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """Send a request and return its response.

        Raises `CallFailed`; a connection on which a call failed is closed.
        """
        deadline_ms = self._now_ms() + timeout_ms
        channel, call = await self._acquire(address, timeout_ms, reuse)
        try:
            all_headers = [
                (b"content-length", str(len(body)).encode()),
                *headers,
            ]
            if all(name != b"host" for name, _ in headers):
                all_headers.insert(0, (b"host", str(address).encode()))
            call.send(method.encode(), target.encode(), all_headers, body)
            response = await self._receive(call, deadline_ms, max_body_bytes)
        except _channel.ChannelTimeout as error:
            channel.abort()
            raise CallFailed(
                f"no response from {address} within {timeout_ms:.0f} ms", True
            ) from error
        except (_channel.ChannelReset, ProtocolError) as error:
            channel.abort()
            raise CallFailed(
                f"call to {address} failed: {error}", True
            ) from error
        except BaseException:
            channel.abort()
            raise
        if reuse and call.is_reusable():
            call.start_next_cycle()
            idle = self._idle_by_address.setdefault(address, [])
            idle.append((channel, call))
        else:
            channel.close()
        return response

    async def _acquire(
        self, address: fleet.Address, timeout_ms: float, reuse: bool
    ) -> tuple[_channel.Channel, ClientCall]:
        idle = self._idle_by_address.get(address, []) if reuse else []
        while idle:
            channel, call = idle.pop()
            if not channel.lost and not channel.has_input:
                return channel, call
            channel.abort()
        try:
            channel = await _channel.connect(address, timeout_ms)
        except _channel.ChannelTimeout as error:
            raise CallFailed(
                f"no connection to {address} within {timeout_ms:.0f} ms",
                False,
            ) from error
        except _channel.ChannelReset as error:
            raise CallFailed(
                f"connection to {address} failed: {error}", False
            ) from error
        return channel, ClientCall(channel)

    async def _receive(
        self, call: ClientCall, deadline_ms: float, max_body_bytes: int
    ) -> Response:
        head = await call.read_head(deadline_ms - self._now_ms())
        body = await call.read_body(
            lambda: deadline_ms - self._now_ms(), max_body_bytes
        )
        return Response(head.status, head.headers, body)
