"""A loopback port whose open connections can be reset."""

import asyncio


class Listener:
    """Accepts connections until closed; subclasses serve them."""

    def __init__(self) -> None:
        """Create a listener; `start` binds the port."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> int:
        """Listen on loopback; return the port."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", port
        )
        address: tuple[str, int] = self._server.sockets[0].getsockname()
        return address[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection and list its open writers in `_writers`."""
        raise NotImplementedError
