"""The HTTP server of the callers' port, on cheroot."""

import queue
import threading
import typing

from cheroot import server as cheroot_server
from cheroot.workers import threadpool

from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node.callers import _connection
from quetzalward_node.callers import _connection_manager

LISTEN_BACKLOG = 1024


class CallersHttpServer(cheroot_server.HTTPServer):
    """cheroot's server with this package's connection manager."""

    ConnectionClass = _connection.CallerConnection
    request_queue_size = LISTEN_BACKLOG

    def __init__(
        self,
        address: tuple[str, int],
        handle: typing.Callable[[_connection.Exchange], None],
        threads: int,
        limits: _connection_manager.ConnectionLimits,
        configuration: typing.Callable[[], config.Configuration],
        clock: clocks.Clock,
        on_rejected: typing.Callable[[errors.ErrorKind], None],
        on_error: typing.Callable[[str], None],
    ) -> None:
        """Create the server; `prepare` binds it and starts the workers.

        `on_rejected` is called for requests rejected without `handle`,
        `on_error` for errors that cheroot reports.
        """
        super().__init__(address, gateway=None, server_name="quetzalward")
        # The queue holds as many waiting requests as there are workers.
        self.requests = threadpool.ThreadPool(
            self,
            min=threads,
            max=threads,
            accepted_queue_size=threads,
            accepted_queue_timeout=0,
        )
        self.handle = handle
        self.configuration = configuration
        self.on_rejected = on_rejected
        self._on_error = on_error
        self._connection_limits = limits
        self._clock = clock
        self._busy: set[_connection.CallerConnection] = set()
        self._busy_changed = threading.Condition()
        self._stopping = False

    @property
    def connection_manager(self) -> _connection_manager.ConnectionManager:
        """Return the connection manager; only after `prepare`."""
        return self._connections

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, 0 before `prepare`."""
        connection_manager = getattr(self, "_connections", None)
        return (
            connection_manager.open_connections
            if connection_manager is not None
            else 0
        )

    @property
    def busy(self) -> int:
        """Return the number of requests being handled or queued."""
        return len(self._busy)

    def prepare(self) -> None:
        """Bind the port and start the workers."""
        super().prepare()
        self._connections.close()
        self._connections: _connection_manager.ConnectionManager = (
            _connection_manager.ConnectionManager(
                self, self.socket, self._connection_limits, self._clock
            )
        )

    def submit(self, conn: _connection.CallerConnection) -> bool:
        """Queue a request for a worker; false if the queue is full."""
        with self._busy_changed:
            self._busy.add(conn)
        try:
            self.requests.put(conn)
        except queue.Full:
            self.on_request_done(conn)
            return False
        return True

    def rejection(self) -> errors.QuetzalwardError | None:
        """Return the error for new requests, or `None` if accepted."""
        if not self._stopping:
            return None
        return errors.QuetzalwardError(
            errors.ErrorKind.NODE_STOPPING, "this entry host is stopping"
        )

    def reject_new_requests(self) -> None:
        """Reject new requests with `node_stopping` from now on."""
        self._stopping = True

    def wait_until_done(self, timeout_ms: int) -> bool:
        """Wait for requests in progress; false on a time-out."""
        with self._busy_changed:
            return self._busy_changed.wait_for(
                lambda: not self._busy, timeout_ms / clocks.MILLIS_PER_SECOND
            )

    def on_request_done(self, conn: _connection.CallerConnection) -> None:
        """Remove a connection whose request has been handled."""
        with self._busy_changed:
            self._busy.discard(conn)
            self._busy_changed.notify_all()

    def on_connection_closed(self, conn: _connection.CallerConnection) -> None:
        """Remove a closed connection from the connection manager."""
        self.connection_manager.remove(conn)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass cheroot's messages to `on_error` instead of stderr."""
        self._on_error(str(msg))
