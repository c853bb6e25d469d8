"""The gate: holds every connection that no worker is answering.

One thread accepts connections and collects requests from all of them, so
that idle and slow callers cost memory but no thread. Only complete requests
go to the workers. Malformed, late and excess requests are answered here.
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

RECEIVE_BYTES = 65_536
ACCEPTS_PER_TURN = 64
# The kernel doubles it, which makes 256 KiB per caller.
SEND_BYTES = 131_072
# Long enough for a caller to read its error answer before the close.
LINGER_MS = 2_000
LINGER_MAX_BYTES = 4_194_304
EXPIRY_INTERVAL_MS = 100
OVERLOAD_RETRY_MS = 1_000


@attrs.frozen
class GateLimits:
    """Bounds on what callers may hold open."""

    connections: int = 1280
    # Requests being received, over all connections.
    held_bytes: int = 67_108_864
    header_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    # A caller that reads nothing for this long counts as gone.
    write_timeout_ms: int = 20_000


class Gate:
    """Stands in for cheroot's `ConnectionManager`."""

    def __init__(
        self,
        server: typing.Any,
        listener: socket.socket,
        limits: GateLimits,
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
        self._held_bytes = 0
        self._accepting = True
        self._stop_requested = False
        # Set while `run` is not at work, also before its first call: a stop
        # during the start must not wait for a `run` that never begins.
        self._stopped = threading.Event()
        self._stopped.set()
        self._expired_ms = clock.now_ms()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether answers may leave their connection open."""
        return self._server.refusal() is None

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def held_bytes(self) -> int:
        """Return the bytes of requests that are being received."""
        return self._held_bytes

    def put(self, conn: _connection.CallerConnection) -> None:
        """Take a connection back from a worker; never raises."""
        self._returned.append(conn)
        self._wake()

    def forget(self, conn: _connection.CallerConnection) -> None:
        """Note that a connection was closed."""
        with self._open_lock:
            self._open.discard(conn)

    def run(self, expiration_interval: float) -> None:
        """Serve connections until `stop`."""
        self._stopped.clear()
        try:
            while not self._stop_requested:
                self._turn(EXPIRY_INTERVAL_MS / clocks.MILLIS_PER_SECOND)
        finally:
            self._stopped.set()

    def stop(self) -> None:
        """Make `run` return, and wait for it."""
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
        # A full buffer already wakes the selector.
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def _turn(self, timeout_s: float) -> None:
        for key, _ in self._selector.select(timeout_s):
            if key.fileobj is self._listener:
                self._accept()
            elif key.fileobj is self._wake_reader:
                self._take_returned()
            else:
                self._guarded(self._receive, key.data)
        now_ms = self._clock.now_ms()
        if now_ms - self._expired_ms >= EXPIRY_INTERVAL_MS:
            self._expired_ms = now_ms
            self._expire(now_ms)

    def _guarded(
        self,
        step: typing.Callable[[_connection.CallerConnection], None],
        conn: _connection.CallerConnection,
    ) -> None:
        """Run a step; an unexpected error costs only its own connection."""
        try:
            step(conn)
        except Exception as error:
            self._server.error_log(f"connection dropped: {error!r}")
            self._drop(conn)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, address = self._listener.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError:
                # No file descriptor is left. The listener stays readable, so
                # the thread would spin; accepting resumes at the next expiry.
                self._selector.unregister(self._listener)
                self._accepting = False
                return
            self._set_options(sock)
            conn = _connection.CallerConnection(self._server, sock)
            conn.remote_addr, conn.remote_port = address[:2]
            with self._open_lock:
                self._open.add(conn)
            self._watch(conn, self._limits.idle_timeout_ms)
            if len(self._open) > self._limits.connections:
                self._make_room(conn)

    def _set_options(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        seconds, rest_ms = divmod(
            self._limits.write_timeout_ms, clocks.MILLIS_PER_SECOND
        )
        timeout = struct.pack("ll", seconds, rest_ms * 1000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)

    def _make_room(self, newest: _connection.CallerConnection) -> None:
        """Close the longest idle connection, or refuse the newest one."""
        idle = [
            conn
            for conn in self._waiting
            if conn is not newest and self._is_idle(conn)
        ]
        if idle:
            self._drop(min(idle, key=lambda conn: conn.wait.deadline_ms))
        else:
            self._refuse(newest, self._overloaded("too many connections"))

    def _is_idle(self, conn: _connection.CallerConnection) -> bool:
        return conn.held_bytes == 0 and not (
            conn.wait.lingering or conn.framer.head
        )

    def _watch(
        self, conn: _connection.CallerConnection, timeout_ms: int
    ) -> None:
        conn.wait = _connection.Wait(self._clock.now_ms() + timeout_ms)
        self._selector.register(conn.socket, selectors.EVENT_READ, conn)
        self._waiting.add(conn)

    def _unwatch(self, conn: _connection.CallerConnection) -> None:
        self._set_held(conn, 0)
        if conn in self._waiting:
            self._waiting.discard(conn)
            self._selector.unregister(conn.socket)

    def _drop(self, conn: _connection.CallerConnection) -> None:
        self._unwatch(conn)
        conn.close()

    def _set_held(self, conn: _connection.CallerConnection, held: int) -> None:
        self._held_bytes += held - conn.held_bytes
        conn.held_bytes = held

    def _take_returned(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_reader.recv(RECEIVE_BYTES)
        while self._returned:
            conn = self._returned.popleft()
            try:
                conn.socket.setblocking(False)
                conn.apply_limits()
                self._watch(conn, self._limits.idle_timeout_ms)
            except (OSError, ValueError):
                self._drop(conn)
                continue
            self._guarded(self._advance, conn)

    def _receive(self, conn: _connection.CallerConnection) -> None:
        if conn not in self._waiting:
            return
        try:
            data = conn.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(conn)
        elif conn.wait.lingering:
            conn.wait.discarded += len(data)
            if conn.wait.discarded > LINGER_MAX_BYTES:
                self._drop(conn)
        else:
            conn.framer.feed(data)
            self._advance(conn)

    def _advance(self, conn: _connection.CallerConnection) -> None:
        had_head = conn.framer.head is not None
        was_idle = self._is_idle(conn)
        try:
            framed = conn.framer.take()
        except errors.QuetzalwardError as error:
            self._refuse(conn, error)
            return
        if framed is not None:
            self._dispatch(conn, framed)
            return
        self._set_held(conn, conn.framer.held_bytes)
        if self._held_bytes > self._limits.held_bytes:
            self._refuse(conn, self._overloaded("too much being received"))
            return
        now_ms = self._clock.now_ms()
        if conn.framer.head is not None and not had_head:
            conn.wait.deadline_ms = now_ms + self._limits.body_timeout_ms
            self._send_continue(conn)
        elif was_idle and conn.held_bytes:
            conn.wait.deadline_ms = now_ms + self._limits.header_timeout_ms

    def _send_continue(self, conn: _connection.CallerConnection) -> None:
        if conn.framer.expects_continue and not conn.wait.sent_continue:
            conn.wait.sent_continue = True
            with contextlib.suppress(OSError):
                conn.socket.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _dispatch(
        self,
        conn: _connection.CallerConnection,
        framed: _framing.FramedRequest,
    ) -> None:
        refusal = self._server.refusal()
        if refusal is not None:
            self._refuse(conn, refusal)
            return
        self._unwatch(conn)
        conn.hand_over(framed, self._clock.now_ms())
        # Sends time out in the kernel, see `_set_options`.
        conn.socket.settimeout(None)
        if not self._server.submit(conn):
            conn.socket.setblocking(False)
            self._watch(conn, LINGER_MS)
            self._refuse(conn, self._overloaded("all threads are busy"))

    def _overloaded(self, detail: str) -> errors.QuetzalwardError:
        return errors.QuetzalwardError(
            errors.ErrorKind.OVERLOADED, detail, OVERLOAD_RETRY_MS
        )

    def _refuse(
        self,
        conn: _connection.CallerConnection,
        error: errors.QuetzalwardError,
    ) -> None:
        """Answer an error, then discard input until the caller closes.

        A close with unread input would reset the connection, and the caller
        could lose the answer.
        """
        self._server.note_refused(error.kind)
        self._set_held(conn, 0)
        try:
            conn.socket.send(_problems.render_closing(error))
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self._drop(conn)
            return
        conn.wait = _connection.Wait(
            self._clock.now_ms() + LINGER_MS, lingering=True
        )

    def _expire(self, now_ms: clocks.Millis) -> None:
        if not self._accepting:
            self._selector.register(self._listener, selectors.EVENT_READ)
            self._accepting = True
        late = [c for c in self._waiting if c.wait.deadline_ms <= now_ms]
        for conn in late:
            if conn.wait.lingering or self._is_idle(conn):
                self._drop(conn)
                continue
            self._refuse(
                conn,
                errors.QuetzalwardError(
                    errors.ErrorKind.CALLER_TIMEOUT,
                    "the request was not complete in time",
                ),
            )
