"""HTTP connections to targets.

A connection serves one exchange at a time and returns to the pool only after
its response has been read to the end. Every other connection is closed, so
that no response can reach a later request.
"""

import collections
import contextlib
import http.client
import io
import re
import socket
import threading
import typing
import urllib.parse

import attrs
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions
from urllib3 import response as urllib3_response

from quetzalward_core import clock as clocks

MAX_IDLE_PER_TARGET = 16
CONNECT_TIMEOUT_MS = 1_000
READ_BYTES = 65_536
# A chunk's size line with extensions; `http.client` handles longer ones.
MAX_SIZE_LINE_BYTES = 256
_SIZE_LINE = re.compile(rb"(\r\n)?([0-9A-Fa-f]{1,8})(?:;[^\r\n]*)?\r\n")
# Errors that the libraries raise on a broken connection or response.
CONNECTION_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3_exceptions.HTTPError,
    ValueError,
    AttributeError,
)


class NotConnectedError(Exception):
    """The connection was not established, so nothing was sent."""


class TargetTimeoutError(Exception):
    """The target sent nothing within the timeout."""


class TargetConnectionError(Exception):
    """The connection failed or the response was malformed."""


def _is_timeout(error: BaseException) -> bool:
    return isinstance(error, (TimeoutError, urllib3_exceptions.TimeoutError))


@contextlib.contextmanager
def _translate_errors() -> typing.Iterator[None]:
    try:
        yield
    except CONNECTION_ERRORS as error:
        if _is_timeout(error):
            raise TargetTimeoutError(repr(error)) from error
        raise TargetConnectionError(repr(error)) from error


@attrs.define(eq=False)
class ChunkedBody:
    """The rest of a chunked response, taken over from `http.client`."""

    sock: socket.socket
    # As in `http.client`: remaining bytes of the chunk, 0 if only its line
    # break remains, `None` at the start of a size line.
    chunk_left: int | None
    pending: bytes = b""
    finished: bool = False

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the part of the body in them."""
        rest = self.pending + data
        parts = []
        while rest:
            if self.chunk_left:
                part = rest[: self.chunk_left]
                parts.append(part)
                rest = rest[len(part) :]
                self.chunk_left -= len(part)
                continue
            line = _SIZE_LINE.match(rest)
            if line is None or bool(line.group(1)) != (self.chunk_left == 0):
                self.finished = len(rest) > MAX_SIZE_LINE_BYTES
                break
            size = int(line.group(2), 16)
            if size == 0:
                self.finished = True
                break
            self.chunk_left = size
            rest = rest[line.end() :]
        self.pending = rest
        return parts[0] if len(parts) == 1 else b"".join(parts)


class _HeadReader:
    """Reads the lines of a response's head, which must be complete."""

    def __init__(self, source: typing.Any) -> None:
        self._source = source

    def readline(self, limit: int) -> bytes:
        line: bytes = self._source.readline(limit)
        # A longer line is rejected by `http.client`.
        if not line.endswith(b"\n") and len(line) < limit:
            raise http.client.IncompleteRead(line)
        return line

    def close(self) -> None:
        self._source.close()


class _WholeHeadResponse(http.client.HTTPResponse):
    """Rejects a head that the end of the connection cuts off.

    `http.client` takes that end for the empty line behind the headers. A 200
    without a length would then be a complete response with an empty body.
    """

    def begin(self) -> None:
        source = self.fp
        reader = typing.cast(typing.Any, _HeadReader(source))
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = source


class _PushbackReader(io.RawIOBase):
    """Reads bytes that were pushed back, then the rest of the stream."""

    def __init__(self, data: bytes, rest: typing.Any) -> None:
        super().__init__()
        self._data = data
        self._rest = rest

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int:
        data = self._data or self._rest.read1(len(buffer))
        count = min(len(data), len(buffer))
        buffer[:count] = data[:count]
        if self._data:
            self._data = self._data[count:]
        return count

    def close(self) -> None:
        super().close()
        self._rest.close()


@attrs.define(eq=False)
class TargetConnection:
    """One connection to a target with at most one exchange."""

    origin: str
    http: urllib3_connection.HTTPConnection
    sock: socket.socket
    reused: bool
    # Path of the target's base URL. A pooled connection serves all targets
    # of one origin, so each `open` sets it.
    base_path: str = ""
    _response: urllib3_response.HTTPResponse | None = None
    # Set only by a read that reached the end of the response; the response
    # object also reports itself closed after a timeout.
    _complete: bool = False

    def send(
        self,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes | None,
        timeout_ms: clocks.Millis,
    ) -> urllib3_response.HTTPResponse:
        """Send a request and wait for the response headers.

        Raises `TargetTimeoutError` or `TargetConnectionError`.
        """
        self.http.timeout = _timeout_s(timeout_ms)
        self._complete = False
        with _translate_errors():
            self.http.request(
                method,
                self.base_path + path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            self._response = self.http.getresponse()
            return self._response

    def read(self, timeout_ms: clocks.Millis) -> bytes:
        """Return the next bytes of the response body, empty at its end.

        Raises `TargetTimeoutError` or `TargetConnectionError`.
        """
        response = self._response
        if response is None:
            raise TargetConnectionError("no response to read")
        with _translate_errors():
            # Before the read: after the last byte `http.client` closes the
            # file, and a response that ends the connection closes the socket.
            if self.sock.fileno() >= 0:
                self.sock.settimeout(_timeout_s(timeout_ms))
            data = response.read1(READ_BYTES, decode_content=False)
        self._complete = not data
        return data

    def detach(self) -> tuple[ChunkedBody, bytes] | None:
        """Take over reading the body; `None` if it is not chunked.

        Also returns the bytes already received. The socket is non-blocking
        until `reattach`. Raises `TargetConnectionError`.
        """
        raw = self._raw()
        if raw is None or not raw.chunked or raw.fp is None:
            return None
        with _translate_errors():
            self.sock.settimeout(0)
            received = raw.fp.peek(READ_BYTES)
            raw.fp.read(len(received))
        return ChunkedBody(self.sock, raw.chunk_left), bytes(received)

    def reattach(self, body: ChunkedBody) -> None:
        """Let `read` continue where the detached body stopped."""
        raw = self._raw()
        if raw is not None and raw.fp is not None:
            raw.chunk_left = body.chunk_left
            if body.pending:
                rest = _PushbackReader(body.pending, raw.fp)
                raw.fp = io.BufferedReader(rest)

    def _raw(self) -> typing.Any:
        """Return the `http.client` response that urllib3 wraps."""
        raw = getattr(self._response, "_original_response", None)
        return raw if isinstance(raw, http.client.HTTPResponse) else None

    @property
    def reusable(self) -> bool:
        """Return whether the connection can serve another request."""
        return self._complete and self.http.sock is not None

    def close(self) -> None:
        """Close the connection, even with a response outstanding."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            self.sock.shutdown(socket.SHUT_RDWR)
        if self._response is not None:
            with contextlib.suppress(*CONNECTION_ERRORS):
                self._response.close()
        with contextlib.suppress(*CONNECTION_ERRORS):
            self.http.close()


def _timeout_s(timeout_ms: clocks.Millis) -> float:
    # A timeout of 0 would make the socket non-blocking.
    return max(timeout_ms, 1) / clocks.MILLIS_PER_SECOND


class TargetConnections:
    """A pool of idle connections by origin; thread-safe."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._lock = threading.Lock()
        self._idle_by_origin: dict[
            str, collections.deque[TargetConnection]
        ] = {}
        self._closed = False

    def open(self, url: str, fresh: bool = False) -> TargetConnection:
        """Return a connection to the host of `url`.

        `fresh` opens a new one: on a pooled connection a failure to send does
        not prove that the target received nothing. Raises
        `NotConnectedError`.
        """
        parts = urllib.parse.urlsplit(url)
        origin = f"{parts.hostname}:{parts.port or 80}"
        base_path = parts.path.rstrip("/")
        while not fresh:
            pooled = self._pop_idle(origin)
            if pooled is None:
                break
            if pooled.http.is_connected:
                pooled.reused = True
                pooled.base_path = base_path
                return pooled
            pooled.close()
        connection = _connect(origin, parts.hostname or "", parts.port or 80)
        connection.base_path = base_path
        return connection

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if connection.reusable:
            with self._lock:
                idle = self._idle_by_origin.setdefault(
                    connection.origin, collections.deque()
                )
                if not self._closed and len(idle) < MAX_IDLE_PER_TARGET:
                    idle.append(connection)
                    return
        connection.close()

    def close(self) -> None:
        """Close all idle connections and pool none from now on."""
        with self._lock:
            self._closed = True
            pooled = [
                c for idle in self._idle_by_origin.values() for c in idle
            ]
            self._idle_by_origin.clear()
        for connection in pooled:
            connection.close()

    def _pop_idle(self, origin: str) -> TargetConnection | None:
        with self._lock:
            idle = self._idle_by_origin.get(origin)
            if not idle:
                self._idle_by_origin.pop(origin, None)
                return None
            return idle.pop()


def _connect(origin: str, host: str, port: int) -> TargetConnection:
    connection = urllib3_connection.HTTPConnection(
        host,
        port,
        timeout=CONNECT_TIMEOUT_MS / clocks.MILLIS_PER_SECOND,
    )
    connection.response_class = _WholeHeadResponse
    try:
        connection.connect()
    except CONNECTION_ERRORS as error:
        connection.close()
        raise NotConnectedError(f"{origin}: {error!r}") from error
    return TargetConnection(origin, connection, connection.sock, False)
