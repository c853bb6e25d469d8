"""A TCP connection as a byte channel that tells a close from a reset."""

import asyncio
import collections.abc
import socket

from quetzalward_core import clock
from quetzalward_core import fleet

# Reading pauses while more is buffered, so that a fast sender cannot exhaust
# the memory.
HIGH_WATER_BYTES = 65_536
# A host that has failed acknowledges nothing; the kernel closes a connection
# with unacknowledged data after this time.
USER_TIMEOUT_MS = 5_000


class ChannelReset(Exception):
    """The connection was refused or lost, or closed without an end of file."""


class ChannelTimeout(Exception):
    """The peer sent nothing, or accepted no connection, in time."""


class Channel(asyncio.Protocol):
    """Buffers received bytes and tells a clean close from a reset."""

    def __init__(
        self,
        on_open: collections.abc.Callable[["Channel"], None] | None = None,
        on_close: collections.abc.Callable[["Channel"], None] | None = None,
    ) -> None:
        """Start unconnected.

        `on_open` and `on_close` are called with the channel once it is open,
        and once all is sent or the connection is lost.
        """
        self._on_open = on_open
        self._on_close = on_close
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._received_eof = False
        self._error: BaseException | None = None
        self.lost = False
        self.on_lost: collections.abc.Callable[[], None] | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, set socket options and call `on_open`."""
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
        """Buffer received bytes; pause reading above the high-water mark."""
        self._buffer += data
        if len(self._buffer) > HIGH_WATER_BYTES and self._transport:
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record a clean close; the transport then closes itself."""
        self._received_eof = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection and wake all waiting tasks."""
        self.lost = True
        self._error = exc
        self._wake_reader()
        self._wake_writer()
        if self.on_lost is not None:
            self.on_lost()
        if self._on_close is not None:
            self._on_close(self)

    def pause_writing(self) -> None:
        """Make `drain` wait: the write buffer is full."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Let `drain` return: the write buffer has room."""
        self._is_writing_paused = False
        self._wake_writer()

    # Called by tasks.

    @property
    def has_input(self) -> bool:
        """Tell whether received bytes are buffered."""
        return bool(self._buffer)

    @property
    def has_output(self) -> bool:
        """Tell whether bytes wait to be sent, also once it is closing."""
        if self._transport is None or self.lost:
            return False
        return self._transport.get_write_buffer_size() > 0

    @property
    def peer_ip(self) -> str:
        """Return the IP address of the peer, empty if it is unknown."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    async def receive(self, timeout_ms: float | None = None) -> bytes:
        """Return some received bytes, or `b""` after a clean close.

        Raises `ChannelReset` if the connection was lost and
        `ChannelTimeout` if nothing was received within `timeout_ms`.
        """
        if not self._buffer and not self._received_eof and not self.lost:
            await self._wait_for_input(timeout_ms)
        if self._buffer:
            data = bytes(self._buffer[:HIGH_WATER_BYTES])
            del self._buffer[:HIGH_WATER_BYTES]
            if self._is_reading_paused and not self._buffer:
                self._resume_reading()
            return data
        if self._received_eof:
            return b""
        if self.lost:
            raise ChannelReset(str(self._error or "connection closed"))
        raise ChannelTimeout

    def _resume_reading(self) -> None:
        if self._transport is not None and not self.lost:
            self._is_reading_paused = False
            self._transport.resume_reading()

    async def _wait_for_input(self, timeout_ms: float | None) -> None:
        loop = asyncio.get_running_loop()
        self._read_waiter = loop.create_future()
        handle = None
        if timeout_ms is not None:
            handle = loop.call_later(
                max(0.0, timeout_ms) / clock.MILLIS_PER_SECOND,
                self._wake_reader,
            )
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None
            if handle is not None:
                handle.cancel()

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the connection is lost."""
        if self._transport is not None and not self.lost:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room or the connection is lost."""
        if self._is_writing_paused and not self.lost:
            self._write_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._write_waiter
            finally:
                self._write_waiter = None

    def close(self) -> None:
        """Close after sending what has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and drop unsent data; the peer sees a reset."""
        if self._transport is not None:
            self._transport.abort()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _wake_writer(self) -> None:
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)


async def connect(address: fleet.Address, timeout_ms: float) -> Channel:
    """Open a connection.

    Raises `ChannelReset` if it fails and `ChannelTimeout` if it is not open
    within `timeout_ms`.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
            _, channel = await loop.create_connection(
                Channel, address.host, address.port
            )
    except TimeoutError as error:
        raise ChannelTimeout from error
    except (OSError, ValueError, OverflowError) as error:
        # The last two are raised for an address that cannot be one.
        raise ChannelReset(str(error)) from error
    return channel
