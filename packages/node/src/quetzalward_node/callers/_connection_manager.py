"""Management of the connections whose requests no worker is handling.

One thread accepts connections and receives requests on all of them, so that
idle and slow callers use memory but no thread. Only complete requests are
passed to workers. Malformed, timed-out and excess requests are rejected here.
"""

import collections
import contextlib
import selectors
import socket
import struct
import threading
import typing

import attrs

from quetzalward_core import clock as clocks
from quetzalward_core import errors
from quetzalward_node import _problems
from quetzalward_node.callers import _connection
from quetzalward_node.callers import _framing

MAX_RECEIVE_BYTES = 65_536
MAX_ACCEPTS_PER_POLL = 64
# The kernel doubles the value, giving 256 KiB per caller.
SEND_BUFFER_BYTES = 131_072
# Lets a caller read its error response before the connection is closed.
LINGER_MS = 2_000
MAX_LINGER_BYTES = 4_194_304
EXPIRY_INTERVAL_MS = 100
OVERLOAD_RETRY_MS = 1_000


@attrs.frozen
class ConnectionLimits:
    """Limits on connections and on requests being received."""

    max_connections: int = 1280
    # Buffered bytes of requests being received, over all connections.
    max_buffered_bytes: int = 67_108_864
    header_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    # A caller that reads nothing for this long is treated as disconnected.
    write_timeout_ms: int = 20_000


class ConnectionManager:
    """Replaces cheroot's `ConnectionManager`."""

    def __init__(
        self,
        server: typing.Any,
        listener: socket.socket,
        limits: ConnectionLimits,
        clock: clocks.Clock,
    ) -> None:
        """Watch a listening socket; `run` accepts from it."""
        self._server = server
        self._listener = listener
        self._limits = limits
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        listener.setblocking(False)
        self._selector.register(listener, selectors.EVENT_READ)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._returned: collections.deque[_connection.CallerConnection] = (
            collections.deque()
        )
        self._waiting: set[_connection.CallerConnection] = set()
        self._open: set[_connection.CallerConnection] = set()
        self._open_lock = threading.Lock()
        self._buffered_bytes = 0
        self._accepting = True
        self._stop_requested = False
        # Set while `run` is not executing, also before its first call:
        # otherwise `stop` during start-up could wait for a `run` that never
        # begins.
        self._stopped = threading.Event()
        self._stopped.set()
        self._last_expiry_ms = clock.now_ms()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether connections may persist after a response."""
        return self._server.rejection() is None

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def buffered_bytes(self) -> int:
        """Return the buffered bytes of requests being received."""
        return self._buffered_bytes

    def put(self, conn: _connection.CallerConnection) -> None:
        """Accept a connection returned by a worker; never raises."""
        self._returned.append(conn)
        self._wake()

    def remove(self, conn: _connection.CallerConnection) -> None:
        """Remove a closed connection."""
        with self._open_lock:
            self._open.discard(conn)

    def run(self, expiration_interval: float) -> None:
        """Serve connections until `stop`."""
        self._stopped.clear()
        try:
            while not self._stop_requested:
                self._poll(EXPIRY_INTERVAL_MS / clocks.MILLIS_PER_SECOND)
        finally:
            self._stopped.set()

    def stop(self) -> None:
        """Make `run` return and wait until it has."""
        self._stop_requested = True
        self._wake()
        self._stopped.wait()

    def close(self) -> None:
        """Close every connection and the selector."""
        with self._open_lock:
            remaining = list(self._open)
        for conn in remaining:
            conn.close()
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _wake(self) -> None:
        # If the buffer is full, the selector wakes up anyway.
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def _poll(self, timeout_s: float) -> None:
        for key, _ in self._selector.select(timeout_s):
            if key.fileobj is self._listener:
                self._accept()
            elif key.fileobj is self._wake_reader:
                self._watch_returned()
            else:
                self._run_isolated(self._receive, key.data)
        now_ms = self._clock.now_ms()
        if now_ms - self._last_expiry_ms >= EXPIRY_INTERVAL_MS:
            self._last_expiry_ms = now_ms
            self._expire(now_ms)

    def _run_isolated(
        self,
        step: typing.Callable[[_connection.CallerConnection], None],
        conn: _connection.CallerConnection,
    ) -> None:
        """Run a step; an unexpected error closes only this connection."""
        try:
            step(conn)
        except Exception as error:
            self._server.error_log(
                f"connection closed after unexpected error: {error!r}"
            )
            self._drop(conn)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_POLL):
            try:
                sock, address = self._listener.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError:
                # Out of file descriptors. The listener stays readable, which
                # would make this a busy loop; `_expire` resumes accepting.
                self._selector.unregister(self._listener)
                self._accepting = False
                return
            self._set_options(sock)
            conn = _connection.CallerConnection(self._server, sock)
            conn.remote_addr, conn.remote_port = address[:2]
            with self._open_lock:
                self._open.add(conn)
            self._watch(conn, self._limits.idle_timeout_ms)
            if len(self._open) > self._limits.max_connections:
                self._evict_idle_or_reject(conn)

    def _set_options(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        seconds, remainder_ms = divmod(
            self._limits.write_timeout_ms, clocks.MILLIS_PER_SECOND
        )
        timeout = struct.pack("ll", seconds, remainder_ms * 1000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)

    def _evict_idle_or_reject(
        self, newest: _connection.CallerConnection
    ) -> None:
        """Close the connection idle for longest, or reject the newest."""
        idle = [
            conn
            for conn in self._waiting
            if conn is not newest and self._is_idle(conn)
        ]
        if idle:
            self._drop(min(idle, key=lambda conn: conn.read_state.deadline_ms))
        else:
            self._reject(newest, self._overloaded("too many connections"))

    def _is_idle(self, conn: _connection.CallerConnection) -> bool:
        return conn.buffered_bytes == 0 and not (
            conn.read_state.lingering or conn.framer.head
        )

    def _watch(
        self, conn: _connection.CallerConnection, timeout_ms: int
    ) -> None:
        conn.read_state = _connection.ReadState(
            self._clock.now_ms() + timeout_ms
        )
        self._selector.register(conn.socket, selectors.EVENT_READ, conn)
        self._waiting.add(conn)

    def _unwatch(self, conn: _connection.CallerConnection) -> None:
        self._set_buffered_bytes(conn, 0)
        if conn in self._waiting:
            self._waiting.discard(conn)
            self._selector.unregister(conn.socket)

    def _drop(self, conn: _connection.CallerConnection) -> None:
        self._unwatch(conn)
        conn.close()

    def _set_buffered_bytes(
        self, conn: _connection.CallerConnection, buffered_bytes: int
    ) -> None:
        self._buffered_bytes += buffered_bytes - conn.buffered_bytes
        conn.buffered_bytes = buffered_bytes

    def _watch_returned(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_reader.recv(MAX_RECEIVE_BYTES)
        while self._returned:
            conn = self._returned.popleft()
            try:
                conn.socket.setblocking(False)
                conn.apply_limits()
                self._watch(conn, self._limits.idle_timeout_ms)
            except (OSError, ValueError):
                self._drop(conn)
                continue
            self._run_isolated(self._process_input, conn)

    def _receive(self, conn: _connection.CallerConnection) -> None:
        if conn not in self._waiting:
            return
        try:
            data = conn.socket.recv(MAX_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(conn)
        elif conn.read_state.lingering:
            conn.read_state.discarded_bytes += len(data)
            if conn.read_state.discarded_bytes > MAX_LINGER_BYTES:
                self._drop(conn)
        else:
            conn.framer.feed(data)
            self._process_input(conn)

    def _process_input(self, conn: _connection.CallerConnection) -> None:
        had_head = conn.framer.head is not None
        was_idle = self._is_idle(conn)
        try:
            framed = conn.framer.take()
        except errors.QuetzalwardError as error:
            self._reject(conn, error)
            return
        if framed is not None:
            self._dispatch(conn, framed)
            return
        self._set_buffered_bytes(conn, conn.framer.buffered_bytes)
        if self._buffered_bytes > self._limits.max_buffered_bytes:
            self._reject(
                conn,
                self._overloaded(
                    "requests being received exceed the memory limit"
                ),
            )
            return
        now_ms = self._clock.now_ms()
        if conn.framer.head is not None and not had_head:
            conn.read_state.deadline_ms = now_ms + self._limits.body_timeout_ms
            self._send_continue(conn)
        elif was_idle and conn.buffered_bytes:
            conn.read_state.deadline_ms = (
                now_ms + self._limits.header_timeout_ms
            )

    def _send_continue(self, conn: _connection.CallerConnection) -> None:
        if conn.framer.expects_continue and not conn.read_state.sent_continue:
            conn.read_state.sent_continue = True
            with contextlib.suppress(OSError):
                conn.socket.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _dispatch(
        self,
        conn: _connection.CallerConnection,
        framed: _framing.FramedRequest,
    ) -> None:
        rejection = self._server.rejection()
        if rejection is not None:
            self._reject(conn, rejection)
            return
        self._unwatch(conn)
        conn.assign_request(framed, self._clock.now_ms())
        # SO_SNDTIMEO limits sends, see `_set_options`.
        conn.socket.settimeout(None)
        if not self._server.submit(conn):
            conn.socket.setblocking(False)
            self._watch(conn, LINGER_MS)
            self._reject(
                conn,
                self._overloaded(
                    "all worker threads are busy and their queue is full"
                ),
            )

    def _overloaded(self, detail: str) -> errors.QuetzalwardError:
        return errors.QuetzalwardError(
            errors.ErrorKind.OVERLOADED, detail, OVERLOAD_RETRY_MS
        )

    def _reject(
        self,
        conn: _connection.CallerConnection,
        error: errors.QuetzalwardError,
    ) -> None:
        """Send an error response, then discard input until the caller closes.

        Closing with unread input would reset the connection, and the caller
        could lose the response.
        """
        self._server.on_rejected(error.kind)
        self._set_buffered_bytes(conn, 0)
        try:
            conn.socket.send(_problems.render_closing(error))
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self._drop(conn)
            return
        conn.read_state = _connection.ReadState(
            self._clock.now_ms() + LINGER_MS, lingering=True
        )

    def _expire(self, now_ms: clocks.Millis) -> None:
        if not self._accepting:
            self._selector.register(self._listener, selectors.EVENT_READ)
            self._accepting = True
        expired = [
            c for c in self._waiting if c.read_state.deadline_ms <= now_ms
        ]
        for conn in expired:
            if conn.read_state.lingering or self._is_idle(conn):
                self._drop(conn)
                continue
            self._reject(
                conn,
                errors.QuetzalwardError(
                    errors.ErrorKind.CALLER_TIMEOUT,
                    "the request was not received completely in time",
                ),
            )
