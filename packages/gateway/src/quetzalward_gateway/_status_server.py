"""An HTTP server for the readiness and the metrics of the node."""

import asyncio
import collections.abc

import attrs
import h11

from quetzalward_core import fleet


@attrs.frozen
class StatusResponse:
    """Status code and body of a response."""

    status: int
    body: bytes = b""


ResponseSource = collections.abc.Callable[[], StatusResponse]


class StatusServer:
    """Answers every request with the current response of a source."""

    def __init__(self, source: ResponseSource) -> None:
        """Take the source of the responses; it must not block."""
        self._source = source
        self._server: asyncio.Server | None = None

    async def start(self, address: fleet.Address) -> None:
        """Start listening on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _StatusProtocol(self._source), address.host, address.port
        )


class _StatusProtocol(asyncio.Protocol):
    """Answers the requests on one connection."""

    def __init__(self, source: ResponseSource) -> None:
        self._source = source
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each request that the received bytes complete."""
        assert self._transport is not None
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.EndOfMessage):
                    self._send_response()
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError:
            # The client does not speak HTTP, so no response is possible.
            self._transport.close()

    def _send_response(self) -> None:
        assert self._transport is not None
        status_response = self._source()
        length = str(len(status_response.body)).encode()
        response = h11.Response(
            status_code=status_response.status,
            headers=[(b"content-length", length)],
        )
        data = self._http.send(response) or b""
        if status_response.body:
            data += self._http.send(h11.Data(data=status_response.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._transport.close()
