"""A loopback proxy that delays, resets, silences or cuts one way."""

import asyncio
import enum

from quetzalward_standins.platform import _listener

RECEIVE_BYTES = 65_536


class ProxyMode(enum.Enum):
    """What a proxy does with the bytes that it gets."""

    PASS = "pass"
    DELAY = "delay"
    # New and open connections are reset.
    RESET = "reset"
    # Bytes are taken and go nowhere.
    SILENT = "silent"
    # Requests arrive, answers do not.
    ONE_WAY = "one_way"


class Proxy(_listener.Listener):
    """Passes connections on to a port, as its mode says."""

    def __init__(self, port: int, delay_s: float = 0.15) -> None:
        """Pass on to a port of loopback."""
        super().__init__()
        self.mode = ProxyMode.PASS
        self._target_port = port
        self._delay_s = delay_s

    def set_mode(self, mode: ProxyMode) -> None:
        """Change what happens, also to open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            self._reset_all()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = (writer, far_writer)
        self._writers.update(ends)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, answers=False),
                self._pump(far_reader, writer, answers=True),
            )
        finally:
            for end in ends:
                self._writers.discard(end)
                end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        try:
            while data := await reader.read(RECEIVE_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(self._delay_s)
                one_way = self.mode is ProxyMode.ONE_WAY and answers
                if one_way or self.mode is ProxyMode.SILENT:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
