"""A caller's request, and the writer of its response."""

import collections.abc

import attrs
import h11

from quetzalward_core import clock
from quetzalward_gateway import _channel
from quetzalward_gateway import _http

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
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
        self.aborted = False

    @property
    def is_open(self) -> bool:
        """Tell whether the caller's connection is open."""
        return not self._channel.lost

    def _encode_head(self, status: int, headers: _http.Headers) -> bytes:
        if self._is_closing():
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(
            status_code=status,
            headers=headers,
            reason=REASON_PHRASES.get(status, b""),
        )
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
        self.started = self.finished = True
        self._channel.write(data)

    def start_stream(self, status: int, headers: _http.Headers) -> None:
        """Send the head of a streamed response, with chunked encoding."""
        transfer_encoding = (b"transfer-encoding", b"chunked")
        data = self._encode_head(status, [*headers, transfer_encoding])
        self.started = True
        self._channel.write(data)

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
        self.aborted = True
        self._channel.abort()
