"""One caller's connection and the requests on it, as cheroot sees them."""

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

# cheroot's own refusals of a request line, by status.
_KIND_BY_STATUS = {
    405: errors.ErrorKind.METHOD_NOT_ALLOWED,
    408: errors.ErrorKind.CALLER_TIMEOUT,
    413: errors.ErrorKind.BODY_TOO_LARGE,
    414: errors.ErrorKind.HEADERS_TOO_LARGE,
    500: errors.ErrorKind.INTERNAL,
    503: errors.ErrorKind.OVERLOADED,
}


class HeadReader(io.BytesIO):
    """Lets cheroot parse a head that the gate has already received."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Return false: the framer holds what follows the request."""
        return False


class DirectWriter:
    """Writes to a blocking socket without a buffer.

    cheroot's own writer is a buffer in Python over a socket with a Python
    timeout, which costs a poll and a copy for each token.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Write to a socket whose send timeout is the kernel's."""
        self._sock = sock
        self.bytes_written = 0
        self._held: bytearray | None = None

    def write(self, data: bytes) -> int:
        """Send everything, or raise `OSError`."""
        if self._held is None:
            self._sock.sendall(data)
        else:
            self._held += data
        self.bytes_written += len(data)
        return len(data)

    def hold(self) -> None:
        """Keep what is written until `try_flush` or `release`."""
        self._held = bytearray()

    def try_flush(self) -> bool:
        """Send without waiting; false if something is left to send."""
        held = self._held
        if held:
            try:
                sent = self._sock.send(held, socket.MSG_DONTWAIT)
            except OSError:
                # The worker sends again and reports it.
                return False
            del held[:sent]
        return not held

    def release(self) -> None:
        """Send what is left and write directly again, or raise `OSError`."""
        held, self._held = self._held, None
        if held:
            self._sock.sendall(held)


class Exchange:
    """One request and the answer to it.

    Writing raises `CallerGoneError` once the caller is gone.
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
        # Replaced by the handler before it answers.
        self.request_id = ""

    @property
    def socket(self) -> socket.socket:
        """Return the caller's socket."""
        return typing.cast(socket.socket, self._request.conn.socket)

    @property
    def started(self) -> bool:
        """Return whether the answer's headers were sent."""
        return bool(self._request.sent_headers)

    def respond(
        self,
        status: int,
        headers: typing.Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        lengthless = status == 204 or status == 304 or status < 200
        extra = [] if lengthless else [("Content-Length", str(len(body)))]
        kept = [h for h in headers if h[0].lower() != "content-length"]
        self.start(status, [*kept, *extra])
        if body and not lengthless:
            self.write(body)

    def start(
        self, status: int, headers: typing.Iterable[tuple[str, str]]
    ) -> None:
        """Send the head of an answer whose body follows in parts."""
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
            identity = (b"X-Request-Id", self.request_id.encode("ascii"))
            request.outheaders.append(identity)
        with self._caller_errors():
            request.ensure_headers_sent()

    def write(self, data: bytes) -> None:
        """Send a part of the body; blocks while the caller reads slowly."""
        if self.method == "HEAD":
            return
        with self._caller_errors():
            self._request.write(data)

    def hold(self) -> None:
        """Keep what is written until `try_flush` or `release`."""
        self._request.conn.wfile.hold()

    def try_flush(self) -> bool:
        """Send without waiting; false if something is left to send."""
        return bool(self._request.conn.wfile.try_flush())

    def release(self) -> None:
        """Send what is left and write directly again."""
        with self._caller_errors():
            self._request.conn.wfile.release()

    def fail(self, error: errors.QuetzalwardError) -> None:
        """Answer with an error, or cut the connection if it has started."""
        if self.started:
            self.abort()
            return
        status, headers, body = _problems.render(error)
        self.respond(status, headers, body)

    def abort(self) -> None:
        """Close the connection, so that the answer is seen to be cut off."""
        self._request.close_connection = True
        self._request.aborted = True

    @contextlib.contextmanager
    def _caller_errors(self) -> typing.Iterator[None]:
        try:
            yield
        except (OSError, ValueError) as error:
            self.abort()
            raise _exceptions.CallerGoneError(repr(error)) from error


class CallerRequest(cheroot_server.HTTPRequest):
    """A request whose head and body are already in memory."""

    aborted = False

    def read_request_line(self) -> bool:
        """Parse the request line; answers and returns false if malformed."""
        try:
            return bool(super().read_request_line())
        except ValueError:
            # urllib's URL parser rejects some targets with ValueError.
            self.simple_response("400 Bad Request", "malformed target")
            return False

    def read_request_headers(self) -> bool:
        """Decide whether the connection stays open; the framer checked all."""
        head: _framing.Head = self.conn.framed.head
        connection = (head.get("connection") or "").lower()
        tokens = {token.strip() for token in connection.split(",")}
        if self.response_protocol == "HTTP/1.1":
            self.close_connection = "close" in tokens
        else:
            self.close_connection = "keep-alive" not in tokens
        return True

    def respond(self) -> None:
        """Let the server's handler answer."""
        exchange = Exchange(self, self.conn.framed)
        self.server.handle(exchange)
        if self.chunked_write and not self.aborted:
            with contextlib.suppress(OSError):
                self.conn.wfile.write(b"0\r\n\r\n")

    def simple_response(self, status: str | int, msg: str = "") -> None:
        """Answer a refusal of cheroot's own with problem details."""
        code = int(str(status)[:3])
        kind = _KIND_BY_STATUS.get(code, errors.ErrorKind.MALFORMED_REQUEST)
        error = errors.QuetzalwardError(kind, msg or str(status))
        self.close_connection = True
        self.server.note_refused(kind)
        with contextlib.suppress(OSError):
            self.conn.wfile.write(_problems.render_closing(error))


@attrs.define
class Wait:
    """What the gate is waiting for on a connection, and until when."""

    deadline_ms: int
    # Set once an error was answered and only the close is outstanding.
    lingering: bool = False
    # Bytes discarded while lingering.
    discarded: int = 0
    sent_continue: bool = False


class CallerConnection(cheroot_server.HTTPConnection):
    """A caller's connection; the gate reads it, a worker writes to it."""

    RequestHandlerClass = CallerRequest

    def __init__(self, server: typing.Any, sock: socket.socket) -> None:
        """Wrap an accepted socket."""
        super().__init__(server, sock)
        self.wfile = DirectWriter(sock)
        limits = server.configuration().limits
        self.framer = _framing.Framer(
            limits.max_header_bytes, limits.max_body_bytes
        )
        self.framed: _framing.FramedRequest | None = None
        self.arrived_ms = 0
        self.wait = Wait(0)
        self.held_bytes = 0
        self._closed = False

    def apply_limits(self) -> None:
        """Take over the limits now in force, for the next request."""
        limits = self.server.configuration().limits
        self.framer.max_header_bytes = limits.max_header_bytes
        self.framer.max_body_bytes = limits.max_body_bytes

    def hand_over(
        self, framed: _framing.FramedRequest, arrived_ms: int
    ) -> None:
        """Prepare the next request for a worker."""
        self.framed = framed
        self.arrived_ms = arrived_ms
        self.rfile = HeadReader(framed.head.raw)

    def communicate(self) -> bool:
        """Answer the request that the gate handed over."""
        try:
            return bool(super().communicate())
        finally:
            self.framed = None
            self.server.note_done(self)

    def close(self) -> None:
        """Close the socket; never raises, since a worker would end."""
        if self._closed:
            return
        self._closed = True
        with contextlib.suppress(OSError):
            super().close()
        with contextlib.suppress(OSError):
            self.socket.close()
        self.server.note_closed(self)
