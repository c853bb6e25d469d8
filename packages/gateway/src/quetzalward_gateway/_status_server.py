"""Small answers about the node itself: readiness and metrics."""

import asyncio
import collections.abc

import attrs
import h11

from quetzalward_core import fleet


@attrs.frozen
class StatusAnswer:
    """A status and a text."""

    status: int
    body: bytes = b""


Source = collections.abc.Callable[[], StatusAnswer]


class StatusServer:
    """Answers every request with what a source says at that moment."""

    def __init__(self, source: Source) -> None:
        """Take answers from a source, which must not block."""
        self._source = source
        self._server: asyncio.Server | None = None

    async def start(self, address: fleet.Address) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _StatusProtocol(self._source), address.host, address.port
        )


class _StatusProtocol(asyncio.Protocol):
    """Answers the requests of one connection."""

    def __init__(self, source: Source) -> None:
        self._source = source
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the requests that are complete."""
        assert self._transport is not None
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.EndOfMessage):
                    self._reply()
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError:
            # Whoever asks does not speak HTTP; there is nothing to answer.
            self._transport.close()

    def _reply(self) -> None:
        assert self._transport is not None
        answer = self._source()
        length = str(len(answer.body)).encode()
        response = h11.Response(
            status_code=answer.status, headers=[(b"content-length", length)]
        )
        data = self._http.send(response) or b""
        if answer.body:
            data += self._http.send(h11.Data(data=answer.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._transport.close()
