"""A small asynchronous HTTP server for the platform's stand-ins."""

import asyncio
import collections.abc
import socket
import struct
import time
import typing
import urllib.parse

import attrs
import h11

from quetzalward_standins.platform import _listener

RECEIVE_BYTES = 65_536


@attrs.frozen
class Request:
    """A request with its complete body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # When it had been read (monotonic clock).
    read_s: float = attrs.field(factory=time.monotonic)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the decoded query parameters."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text))


class Reply:
    """Writes one response; a handler may also abort it."""

    def __init__(
        self, http: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        """Create the writer of a connection's next response."""
        self._http = http
        self._writer = writer
        self._is_framed = True
        self.aborted = False

    def send(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete response."""
        sent = {"content-length": str(len(body)), **(headers or {})}
        self.send_headers(status, sent)
        if body:
            self.send_data(body)
        self.send_end()

    def send_headers(self, status: int, headers: dict[str, str]) -> None:
        """Send the status line and the headers."""
        response = h11.Response(
            status_code=status, headers=list(headers.items())
        )
        self._writer.write(self._http.send(response) or b"")

    def send_unframed_headers(
        self, status: int, headers: dict[str, str]
    ) -> None:
        """Send a head whose body ends with the connection.

        h11 would add chunked encoding, so the bytes are written directly.
        Until `close`, the end of the connection is a reset, since a clean one
        would make the body look complete.
        """
        self._is_framed = False
        self._set_reset_on_close(True)
        lines = [f"HTTP/1.1 {status} OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))

    def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._is_framed:
            data = self._http.send(h11.Data(data=data)) or b""
        self._writer.write(data)

    def send_end(self) -> None:
        """End the body; without a length or chunks, close the connection."""
        if self._is_framed:
            self._writer.write(self._http.send(h11.EndOfMessage()) or b"")
        else:
            self.close()

    def close(self) -> None:
        """Close the connection after what was sent, wherever the body is."""
        self.aborted = True
        self._set_reset_on_close(False)
        self._writer.close()

    def _set_reset_on_close(self, enabled: bool) -> None:
        sock = self._writer.get_extra_info("socket")
        linger = struct.pack("ii", enabled, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def reset(self) -> None:
        """Abort the connection."""
        self.aborted = True
        self._writer.transport.abort()

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection is closed or closing."""
        return self._writer.transport.is_closing()


Handler = collections.abc.Callable[
    [Request, Reply], collections.abc.Awaitable[None]
]
# Called with each request when it has been read; the handler is called later.
Gate = collections.abc.Callable[[Request], collections.abc.Awaitable[None]]


async def _pass(request: Request) -> None:
    """Let each request pass at once."""


class Server(_listener.Listener):
    """HTTP server on a loopback port."""

    def __init__(self, handler: Handler, gate: Gate = _pass) -> None:
        """Create a server that passes each request to a handler."""
        super().__init__()
        self._handler = handler
        self._gate = gate

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, h11.ProtocolError, EOFError):
            # The connection failed; the client observes it too.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            request = await _read_request(http, reader)
            if request is None:
                return
            # A caller that leaves meanwhile is noticed afterwards.
            await self._gate(request)
            if writer.transport.is_closing():
                return
            reply = Reply(http, writer)
            task = asyncio.create_task(_handle(self._handler, request, reply))
            disconnect = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait(
                [task, disconnect], return_when=asyncio.FIRST_COMPLETED
            )
            if task not in done:
                # The client disconnected, or pipelined a second request.
                task.cancel()
                await asyncio.gather(task, disconnect, return_exceptions=True)
                return
            disconnect.cancel()
            await asyncio.gather(disconnect, return_exceptions=True)
            await writer.drain()
            if reply.aborted or http.our_state is not h11.DONE:
                return
            http.start_next_cycle()


async def _handle(handler: Handler, request: Request, reply: Reply) -> None:
    await handler(request, reply)


async def _next_event(
    http: h11.Connection, reader: asyncio.StreamReader
) -> typing.Any:
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        http.receive_data(await reader.read(RECEIVE_BYTES))


async def _read_request(
    http: h11.Connection, reader: asyncio.StreamReader
) -> Request | None:
    head = await _next_event(http, reader)
    if not isinstance(head, h11.Request):
        return None
    parts = []
    while True:
        event = await _next_event(http, reader)
        if isinstance(event, h11.EndOfMessage):
            break
        parts.append(bytes(event.data))
    headers = {
        name.decode(): value.decode("latin-1") for name, value in head.headers
    }
    return Request(
        head.method.decode(),
        head.target.decode("latin-1"),
        headers,
        b"".join(parts),
    )
