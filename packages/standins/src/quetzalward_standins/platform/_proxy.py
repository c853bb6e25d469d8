"""A loopback proxy that injects network faults."""

import asyncio
import enum

from quetzalward_standins.platform import _listener

RECEIVE_BYTES = 65_536


class ProxyMode(enum.Enum):
    """How a proxy treats the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    # New and open connections are reset.
    RESET = "reset"
    # Bytes are read and discarded in both directions.
    SILENT = "silent"
    # Requests are forwarded, responses are discarded.
    ONE_WAY = "one_way"


class Proxy(_listener.Listener):
    """Forwards connections to a port as its mode requires."""

    def __init__(self, port: int, delay_s: float = 0.15) -> None:
        """Forward to a loopback port."""
        super().__init__()
        self.mode = ProxyMode.PASS
        self._target_port = port
        self._delay_s = delay_s

    def set_mode(self, mode: ProxyMode) -> None:
        """Set the mode of new and open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            self._reset_all()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = (writer, upstream_writer)
        self._writers.update(ends)
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, is_response=False),
                self._forward(upstream_reader, writer, is_response=True),
            )
        finally:
            for end in ends:
                self._writers.discard(end)
                end.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(RECEIVE_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(self._delay_s)
                one_way = self.mode is ProxyMode.ONE_WAY and is_response
                if one_way or self.mode is ProxyMode.SILENT:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
