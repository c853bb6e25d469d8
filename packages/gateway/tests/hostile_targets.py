"""Targets in trouble: servers that send bytes that are no answer."""

import asyncio
import collections.abc
import contextlib
import socket
import struct
import threading
import typing

from quetzalward_core import fleet

# Sends what a target answers; it ends when the caller closes.
Script = collections.abc.Callable[
    [asyncio.StreamWriter], collections.abc.Awaitable[None]
]


class HostileTarget:
    """Serves one script on a loopback port and records closed connections."""

    def __init__(self, script: Script) -> None:
        """Answer each connection with a script."""
        self.script = script
        self.address = fleet.Address("127.0.0.1", 0)
        self.closed = asyncio.Event()
        self.sent_bytes = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self.script(writer)
        self.closed.set()
        writer.transport.abort()

    @contextlib.asynccontextmanager
    async def running(self) -> typing.AsyncIterator["HostileTarget"]:
        """Listen while the context is open."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = fleet.Address("127.0.0.1", port)
        try:
            yield self
        finally:
            server.close()


def broken_off(data: bytes, is_reset: bool) -> HostileTarget:
    """Return a target that ends its connection after some bytes."""

    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        # The bytes arrive before the end.
        await asyncio.sleep(0.05)
        if not is_reset:
            writer.close()
            await writer.wait_closed()
            return
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    return HostileTarget(send)


def endless(head: bytes, block: bytes, pause_s: float = 0.0) -> HostileTarget:
    """Return a target that sends a block again and again after a head."""

    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        while True:
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(pause_s)

    return HostileTarget(send)


@contextlib.contextmanager
def flood(head: bytes, block: bytes) -> typing.Iterator[fleet.Address]:
    """Send a block without end, as fast as it is read, from a thread."""

    def serve(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(head)
            while not is_ended.is_set():
                connection.sendall(block)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                connection.settimeout(0.5)
                threads.append(
                    threading.Thread(target=serve, args=[connection])
                )
                threads[-1].start()

    is_ended = threading.Event()
    threads = [threading.Thread(target=accept)]
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threads[0].start()
        try:
            yield fleet.Address("127.0.0.1", listener.getsockname()[1])
        finally:
            is_ended.set()
            listener.shutdown(socket.SHUT_RDWR)
            for thread in threads:
                thread.join()
