"""HTTP/1.1 calls over channels, framed by h11."""

import typing

import attrs
import h11

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _channel

Headers = list[tuple[bytes, bytes]]

# Heads of targets and of the store stay far below.
MAX_HEAD_BYTES = 65_536


class ProtocolBroken(Exception):
    """The other side sent bytes that are no HTTP answer."""


@attrs.frozen
class Head:
    """Status and headers of an answer."""

    status: int
    headers: Headers
    # Whether length or chunks tell the end of the body; otherwise the
    # connection's end does.
    framed: bool


@attrs.frozen
class Answer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class ClientCall:
    """One request and its answer on a connection of its own."""

    def __init__(self, channel: _channel.Channel) -> None:
        """Use a connection that carries no other request."""
        self._channel = channel
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a request with its length."""
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._channel.write(data)

    async def head(self, timeout_ms: float) -> Head:
        """Return the answer's head; informational answers are skipped."""
        while True:
            event = await self._next(timeout_ms)
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                names = {name for name, _ in headers}
                framed = bool(
                    names & {b"content-length", b"transfer-encoding"}
                )
                return Head(event.status_code, headers, framed)
            raise ProtocolBroken("no answer before the end")

    async def data(self, timeout_ms: float) -> bytes | None:
        """Return the next part of the body, `None` at its end."""
        event = await self._next(timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ProtocolBroken("unexpected part of an answer")

    def has_extra(self) -> bool:
        """Tell whether bytes follow the answer."""
        extra, _ = self._http.trailing_data
        return bool(extra) or self._channel.has_input

    def is_reusable(self) -> bool:
        """Tell whether the connection can carry another request."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self.has_extra()
            and not self._channel.lost
        )

    def next_cycle(self) -> None:
        """Prepare the connection for another request."""
        self._http.start_next_cycle()

    async def _next(self, timeout_ms: float) -> typing.Any:
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._channel.receive(timeout_ms)
                self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise ProtocolBroken(str(error)) from error


class CallFailed(Exception):
    """A call got no answer; it may have been carried out if it was sent."""

    def __init__(self, reason: str, sent: bool) -> None:
        """Say why, and whether the request went out."""
        super().__init__(reason)
        self.sent = sent


class HttpClient:
    """Small calls that are answered whole, over reused connections."""

    def __init__(self, now_ms: typing.Callable[[], clock.Millis]) -> None:
        """Start without connections."""
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
    ) -> Answer:
        """Send a request and return its answer.

        Raises `CallFailed`; a connection without an answer is not reused.
        """
        until_ms = self._now_ms() + timeout_ms
        channel, call = await self._take(address, timeout_ms, reuse)
        try:
            sent = [(b"content-length", str(len(body)).encode()), *headers]
            if all(name != b"host" for name, _ in headers):
                sent.insert(0, (b"host", str(address).encode()))
            call.send(method.encode(), target.encode(), sent, body)
            answer = await self._receive(call, until_ms)
        except _channel.ChannelTimeout as error:
            channel.abort()
            raise CallFailed(
                f"no answer from {address} within {timeout_ms:.0f} ms", True
            ) from error
        except (_channel.ChannelReset, ProtocolBroken) as error:
            channel.abort()
            raise CallFailed(f"{address}: {error}", True) from error
        except BaseException:
            channel.abort()
            raise
        if reuse and call.is_reusable():
            call.next_cycle()
            idle = self._idle_by_address.setdefault(address, [])
            idle.append((channel, call))
        else:
            channel.close()
        return answer

    async def _take(
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
            raise CallFailed(f"{address}: {error}", False) from error
        return channel, ClientCall(channel)

    async def _receive(self, call: ClientCall, until_ms: float) -> Answer:
        head = await call.head(until_ms - self._now_ms())
        parts: list[bytes] = []
        while True:
            part = await call.data(until_ms - self._now_ms())
            if part is None:
                return Answer(head.status, head.headers, b"".join(parts))
            parts.append(part)
