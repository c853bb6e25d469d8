"""Datagrams between gateway nodes."""

import asyncio
import collections.abc
import typing

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _log

# Called with a message, its sender and the clock that a view echoes.
MessageHandler = collections.abc.Callable[
    [coordination.Message, fleet.Address, int | None], None
]


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives the nodes' messages."""

    def __init__(
        self, handle_message: MessageHandler, log: _log.EventLog
    ) -> None:
        """Pass decoded messages to `handle_message`."""
        self._handle_message = handle_message
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: fleet.Address) -> None:
        """Bind the socket to an address.

        Raises `OSError` if that fails.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Decode a message; one that cannot be decoded is logged."""
        sender = fleet.Address(str(addr[0]), int(addr[1]))
        echo_ms, data = coordination.split_echo(data)
        try:
            message = coordination.decode(data)
        except ValueError as error:
            self._log.event(
                "datagram_unreadable", sender=str(sender), reason=str(error)
            )
            return
        self._handle_message(message, sender, echo_ms)

    def error_received(self, exc: Exception) -> None:
        """Log an error that the network stack reported."""
        self._log.event("datagram_undelivered", reason=str(exc))

    def send(self, data: bytes, address: fleet.Address) -> None:
        """Send a datagram; delivery is not guaranteed."""
        if self._transport is not None:
            self._transport.sendto(data, (address.host, address.port))
