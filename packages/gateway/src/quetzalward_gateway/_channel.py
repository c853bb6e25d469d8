"""A TCP connection as a byte channel with explicit ends."""

import asyncio
import collections.abc
import socket

from quetzalward_core import clock
from quetzalward_core import fleet

# Reading pauses above this, so that a fast sender cannot fill the memory.
HIGH_WATER_BYTES = 262_144
# A host that has vanished answers nothing; the kernel gives up on unsent
# data after this time.
USER_TIMEOUT_MS = 5_000


class ChannelReset(Exception):
    """The connection broke before its end."""


class ChannelTimeout(Exception):
    """The other side sent nothing in time."""


class Channel(asyncio.Protocol):
    """Buffers received bytes and tells a clean end from a reset."""

    def __init__(
        self,
        on_open: collections.abc.Callable[["Channel"], None] | None = None,
    ) -> None:
        """Start without a connection."""
        self._on_open = on_open
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._paused_reading = False
        self._paused_writing = False
        self._eof = False
        self._error: BaseException | None = None
        self.lost = False
        self.on_lost: collections.abc.Callable[[], None] | None = None

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes."""
        self._buffer += data
        if len(self._buffer) > HIGH_WATER_BYTES and self._transport:
            self._paused_reading = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note a clean end; the connection is then closed."""
        self._eof = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self.lost = True
        self._error = exc
        self._wake()
        self._wake_writer()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Hold writers back."""
        self._paused_writing = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._paused_writing = False
        self._wake_writer()

    # Used by tasks.

    @property
    def has_input(self) -> bool:
        """Tell whether bytes are waiting."""
        return bool(self._buffer)

    @property
    def peer(self) -> str:
        """Return the other side's IP address."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    async def receive(self, timeout_ms: float | None = None) -> bytes:
        """Return received bytes, or `b""` at a clean end.

        Raises `ChannelReset` if the connection broke and `ChannelTimeout`
        after `timeout_ms`.
        """
        if not self._buffer and not self._eof and not self.lost:
            await self._wait(timeout_ms)
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            if self._paused_reading and self._transport and not self.lost:
                self._paused_reading = False
                self._transport.resume_reading()
            return data
        if self._eof:
            return b""
        if self.lost:
            raise ChannelReset(str(self._error or "connection closed"))
        raise ChannelTimeout

    async def _wait(self, timeout_ms: float | None) -> None:
        loop = asyncio.get_running_loop()
        self._reader = loop.create_future()
        handle = None
        if timeout_ms is not None:
            handle = loop.call_later(
                max(0.0, timeout_ms) / clock.MILLIS_PER_SECOND, self._wake
            )
        try:
            await self._reader
        finally:
            self._reader = None
            if handle is not None:
                handle.cancel()

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the connection is gone."""
        if self._transport is not None and not self.lost:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the other side has taken most of what was written."""
        if self._paused_writing and not self.lost:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; the other side sees a reset."""
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _wake_writer(self) -> None:
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)


async def connect(address: fleet.Address, timeout_ms: float) -> Channel:
    """Open a connection.

    Raises `ChannelReset` if it is refused and `ChannelTimeout` in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
            _, channel = await loop.create_connection(
                Channel, address.host, address.port
            )
    except TimeoutError as error:
        raise ChannelTimeout from error
    except OSError as error:
        raise ChannelReset(str(error)) from error
    return channel
