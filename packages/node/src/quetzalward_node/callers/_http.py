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
    """cheroot's server with the gate in place of its connection manager."""

    ConnectionClass = _connection.CallerConnection
    request_queue_size = LISTEN_BACKLOG

    def __init__(
        self,
        address: tuple[str, int],
        handle: typing.Callable[[_connection.Exchange], None],
        threads: int,
        limits: _connection_manager.GateLimits,
        configuration: typing.Callable[[], config.Configuration],
        clock: clocks.Clock,
        on_refused: typing.Callable[[errors.ErrorKind], None],
        on_error: typing.Callable[[str], None],
    ) -> None:
        """Create the server; `prepare` binds it and starts the workers.

        `on_refused` is told of requests answered without `handle`,
        `on_error` of errors that cheroot reports.
        """
        super().__init__(address, gateway=None, server_name="quetzalward")
        # A full queue means that every worker has as much again to do.
        self.requests = threadpool.ThreadPool(
            self,
            min=threads,
            max=threads,
            accepted_queue_size=threads,
            accepted_queue_timeout=0,
        )
        self.handle = handle
        self.configuration = configuration
        self.note_refused = on_refused
        self._on_error = on_error
        self._gate_limits = limits
        self._clock = clock
        self._busy: set[_connection.CallerConnection] = set()
        self._busy_changed = threading.Condition()
        self._stopping = False

    @property
    def gate(self) -> _connection_manager.Gate:
        """Return the gate; only after `prepare`."""
        return self._connections

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, 0 before `prepare`."""
        gate = getattr(self, "_connections", None)
        return gate.open_connections if gate is not None else 0

    @property
    def busy(self) -> int:
        """Return the number of requests with a worker or in its queue."""
        return len(self._busy)

    def prepare(self) -> None:
        """Bind the port and start the workers."""
        super().prepare()
        self._connections.close()
        self._connections: _connection_manager.Gate = _connection_manager.Gate(
            self, self.socket, self._gate_limits, self._clock
        )

    def submit(self, conn: _connection.CallerConnection) -> bool:
        """Queue a request for a worker; false if the queue is full."""
        with self._busy_changed:
            self._busy.add(conn)
        try:
            self.requests.put(conn)
        except queue.Full:
            self.note_done(conn)
            return False
        return True

    def refusal(self) -> errors.QuetzalwardError | None:
        """Return why new requests are refused, or `None`."""
        if not self._stopping:
            return None
        return errors.QuetzalwardError(
            errors.ErrorKind.NODE_STOPPING, "this entry host is stopping"
        )

    def refuse_new_requests(self) -> None:
        """Answer new requests with `node_stopping` from now on."""
        self._stopping = True

    def wait_until_done(self, timeout_ms: int) -> bool:
        """Wait for the requests in progress; false if some remain."""
        with self._busy_changed:
            return self._busy_changed.wait_for(
                lambda: not self._busy, timeout_ms / clocks.MILLIS_PER_SECOND
            )

    def note_done(self, conn: _connection.CallerConnection) -> None:
        """Note that a request has been answered."""
        with self._busy_changed:
            self._busy.discard(conn)
            self._busy_changed.notify_all()

    def note_closed(self, conn: _connection.CallerConnection) -> None:
        """Note that a connection was closed."""
        self.gate.forget(conn)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass cheroot's messages on instead of writing to stderr."""
        self._on_error(str(msg))
