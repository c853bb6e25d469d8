"""cheroot's classes for a caller's connection and its requests."""

import contextlib
import io
import socket
import typing

import attrs
from cheroot import server as cheroot_server

from quetzalward_core import errors
from quetzalward_node import _problems
from quetzalward_node.callers import _exceptions
from quetzalward_node.callers import _framing

# Error kinds of the responses that cheroot itself gives to a bad request,
# by status.
_KIND_BY_STATUS = {
    405: errors.ErrorKind.METHOD_NOT_ALLOWED,
    408: errors.ErrorKind.CALLER_TIMEOUT,
    413: errors.ErrorKind.BODY_TOO_LARGE,
    414: errors.ErrorKind.HEADERS_TOO_LARGE,
    500: errors.ErrorKind.INTERNAL,
    503: errors.ErrorKind.OVERLOADED,
}


class HeadReader(io.BytesIO):
    """Lets cheroot parse a head that the connection manager has received."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Return false: bytes after the request are buffered in the framer."""
        return False


class SocketWriter:
    """Writes to a blocking socket, unbuffered unless asked otherwise.

    cheroot's own writer is a Python buffer over a socket with a Python
    timeout, which costs a poll and a copy per token.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Write to a socket whose send timeout is set by SO_SNDTIMEO."""
        self._sock = sock
        self.bytes_written = 0
        self._pending: bytearray | None = None

    def write(self, data: bytes) -> int:
        """Send or buffer all of `data`.

        Raises `OSError`.
        """
        if self._pending is None:
            self._sock.sendall(data)
        else:
            self._pending += data
        self.bytes_written += len(data)
        return len(data)

    def start_buffering(self) -> None:
        """Buffer written data until `try_flush` or `stop_buffering`."""
        self._pending = bytearray()

    def try_flush(self) -> bool:
        """Send without blocking; false if buffered data remains."""
        pending = self._pending
        if pending:
            try:
                sent = self._sock.send(pending, socket.MSG_DONTWAIT)
            except OSError:
                # The worker repeats the send and reports the error.
                return False
            del pending[:sent]
        return not pending

    def stop_buffering(self) -> None:
        """Send the buffered data and write unbuffered again.

        Raises `OSError`.
        """
        pending, self._pending = self._pending, None
        if pending:
            self._sock.sendall(pending)


class Exchange:
    """One request and its response.

    Writing raises `CallerDisconnectedError` once the caller has disconnected.
    """

    def __init__(
        self, request: "CallerRequest", framed: _framing.FramedRequest
    ) -> None:
        """Wrap a parsed request."""
        self._request = request
        self.method: str = request.method.decode("latin-1")
        target = request.uri.decode("latin-1")
        self.path, _, self.query = target.partition("?")
        self.head = framed.head
        self.body = framed.body
        self.arrived_ms: int = request.conn.arrived_ms
        # Set by the handler before it responds.
        self.request_id = ""

    @property
    def socket(self) -> socket.socket:
        """Return the caller's socket."""
        return typing.cast(socket.socket, self._request.conn.socket)

    @property
    def headers_sent(self) -> bool:
        """Return whether the headers of the response were sent."""
        return bool(self._request.sent_headers)

    def respond(
        self,
        status: int,
        headers: typing.Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a complete response."""
        has_no_body = status == 204 or status == 304 or status < 200
        extra = [] if has_no_body else [("Content-Length", str(len(body)))]
        other_headers = [
            h for h in headers if h[0].lower() != "content-length"
        ]
        self.start(status, [*other_headers, *extra])
        if body and not has_no_body:
            self.write(body)

    def start(
        self, status: int, headers: typing.Iterable[tuple[str, str]]
    ) -> None:
        """Send the head of a response whose body follows in parts."""
        request = self._request
        phrase = _problems.reason_phrase(status)
        line = f"{status} {phrase}".encode("latin-1")
        # cheroot writes the status as bytes; its annotation says str.
        request.status = typing.cast(str, line)
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        if self.request_id:
            id_header = (b"X-Request-Id", self.request_id.encode("ascii"))
            request.outheaders.append(id_header)
        with self._detect_disconnect():
            request.ensure_headers_sent()

    def write(self, data: bytes) -> None:
        """Send a part of the body; blocks while the caller does not read."""
        if self.method == "HEAD":
            return
        with self._detect_disconnect():
            self._request.write(data)

    def start_buffering(self) -> None:
        """Buffer written data until `try_flush` or `stop_buffering`."""
        self._request.conn.wfile.start_buffering()

    def try_flush(self) -> bool:
        """Send without blocking; false if buffered data remains."""
        return bool(self._request.conn.wfile.try_flush())

    def stop_buffering(self) -> None:
        """Send the buffered data and write unbuffered again."""
        with self._detect_disconnect():
            self._request.conn.wfile.stop_buffering()

    def fail(self, error: errors.QuetzalwardError) -> None:
        """Respond with an error, or abort if the headers were already sent."""
        if self.headers_sent:
            self.abort()
            return
        status, headers, body = _problems.render(error)
        self.respond(status, headers, body)

    def abort(self) -> None:
        """Close the connection, so that the caller detects the truncation."""
        self._request.close_connection = True
        self._request.aborted = True

    @contextlib.contextmanager
    def _detect_disconnect(self) -> typing.Iterator[None]:
        try:
            yield
        except (OSError, ValueError) as error:
            self.abort()
            raise _exceptions.CallerDisconnectedError(repr(error)) from error


class CallerRequest(cheroot_server.HTTPRequest):
    """A request whose head and body were already received."""

    aborted = False

    def read_request_line(self) -> bool:
        """Parse the request line; responds and returns false if malformed."""
        try:
            return bool(super().read_request_line())
        except ValueError:
            # urllib's URL parser rejects some targets with ValueError.
            self.simple_response("400 Bad Request", "malformed request target")
            return False

    def read_request_headers(self) -> bool:
        """Set whether the connection persists.

        The headers themselves were checked by the framer.
        """
        head: _framing.Head = self.conn.framed.head
        connection = (head.get("connection") or "").lower()
        tokens = {token.strip() for token in connection.split(",")}
        if self.response_protocol == "HTTP/1.1":
            self.close_connection = "close" in tokens
        else:
            self.close_connection = "keep-alive" not in tokens
        return True

    def respond(self) -> None:
        """Call the server's handler and end a chunked response."""
        exchange = Exchange(self, self.conn.framed)
        self.server.handle(exchange)
        if self.chunked_write and not self.aborted:
            with contextlib.suppress(OSError):
                self.conn.wfile.write(b"0\r\n\r\n")

    def simple_response(self, status: str | int, msg: str = "") -> None:
        """Render an error that cheroot itself detects as problem details."""
        code = int(str(status)[:3])
        kind = _KIND_BY_STATUS.get(code, errors.ErrorKind.MALFORMED_REQUEST)
        error = errors.QuetzalwardError(kind, msg or str(status))
        self.close_connection = True
        self.server.on_rejected(kind)
        with contextlib.suppress(OSError):
            self.conn.wfile.write(_problems.render_closing(error))


@attrs.define
class ReadState:
    """State and deadline of a connection that is being read."""

    deadline_ms: int
    # Set once an error response was sent and the caller has yet to close.
    lingering: bool = False
    # Bytes received and discarded while lingering.
    discarded_bytes: int = 0
    sent_continue: bool = False


class CallerConnection(cheroot_server.HTTPConnection):
    """A caller's connection.

    The connection manager reads from it, a worker writes to it.
    """

    RequestHandlerClass = CallerRequest

    def __init__(self, server: typing.Any, sock: socket.socket) -> None:
        """Wrap an accepted socket."""
        super().__init__(server, sock)
        self.wfile = SocketWriter(sock)
        limits = server.configuration().limits
        self.framer = _framing.Framer(
            limits.max_header_bytes, limits.max_body_bytes
        )
        self.framed: _framing.FramedRequest | None = None
        self.arrived_ms = 0
        self.read_state = ReadState(0)
        self.buffered_bytes = 0
        self._closed = False

    def apply_limits(self) -> None:
        """Apply the current configuration's limits to the next request."""
        limits = self.server.configuration().limits
        self.framer.max_header_bytes = limits.max_header_bytes
        self.framer.max_body_bytes = limits.max_body_bytes

    def assign_request(
        self, framed: _framing.FramedRequest, arrived_ms: int
    ) -> None:
        """Set the request that a worker is to handle next."""
        self.framed = framed
        self.arrived_ms = arrived_ms
        self.rfile = HeadReader(framed.head.raw)

    def communicate(self) -> bool:
        """Handle the assigned request."""
        try:
            return bool(super().communicate())
        finally:
            self.framed = None
            self.server.on_request_done(self)

    def close(self) -> None:
        """Close the socket.

        Never raises, since an exception would end the worker thread.
        """
        if self._closed:
            return
        self._closed = True
        with contextlib.suppress(OSError):
            super().close()
        with contextlib.suppress(OSError):
            self.socket.close()
        self.server.on_connection_closed(self)
