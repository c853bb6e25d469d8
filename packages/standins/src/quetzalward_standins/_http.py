"""JSON over HTTP for the stand-ins, on cheroot.

A handler takes a `Request` and returns a `Response`. A path may start with
`/c/{client}`; the prefix is removed and names the client, so that a fault can
cut off one client of a stand-in that all of them share.
"""

import collections.abc
import errno
import http
import json
import logging
import select
import socket
import threading
import typing
import urllib.parse

import attrs
import cheroot.server

Json = typing.Any
Headers = tuple[tuple[str, str], ...]

CLIENT_PREFIX = "/c/"
MAX_BODY_BYTES = 16 * 1024 * 1024
# Idle connections stay open longer than a client's pool keeps them, so that
# reuse does not race with the server's close.
IDLE_TIMEOUT_S = 120
LISTEN_BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 1
# A stop waits for this interval to end.
EXPIRATION_INTERVAL_S = 0.1


class DropConnection(Exception):
    """The handler gives no answer; the connection is closed."""


class BadRequest(Exception):
    """The request is malformed; answered with status 400."""


@attrs.frozen
class Request:
    """One received request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: str = ""
    is_closed: collections.abc.Callable[[], bool] = lambda: False

    def document(self) -> dict[str, Json]:
        """Return the body as a JSON object, or raise `BadRequest`."""
        try:
            document = json.loads(self.body or b"{}")
        except ValueError as error:
            raise BadRequest(f"body is not JSON: {error}") from error
        if not isinstance(document, dict):
            raise BadRequest("body is not a JSON object")
        return document

    def number(self, name: str, default: int) -> int:
        """Return a query parameter as an integer, or raise `BadRequest`."""
        try:
            return int(self.query.get(name, default))
        except ValueError as error:
            raise BadRequest(f"{name} is not an integer") from error


@attrs.frozen
class Response:
    """An answer; `chunks` replaces `body` for a streamed answer."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Headers = ()
    chunks: collections.abc.Iterator[bytes] | None = None


Handler = collections.abc.Callable[[Request], Response]


def json_response(
    status: int, document: Json, headers: Headers = ()
) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, json.dumps(document).encode(), headers=headers)


def error_response(
    status: int, error: str, headers: Headers = (), **fields: Json
) -> Response:
    """Return a JSON answer that names an error."""
    return json_response(status, {"error": error, **fields}, headers)


class Server:
    """A running HTTP server on a loopback port of its own."""

    def __init__(
        self, handler: Handler, port: int = 0, threads: int = 32
    ) -> None:
        """Bind the port (0 takes a free one) and start to serve."""
        self._server = cheroot.server.HTTPServer(
            ("127.0.0.1", port), _gateway_of(handler), minthreads=threads
        )
        self._server.timeout = IDLE_TIMEOUT_S
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self._server.expiration_interval = EXPIRATION_INTERVAL_S
        self._server.keep_alive_conn_limit = 100_000
        self._server.max_request_body_size = MAX_BODY_BYTES
        setattr(self._server, "error_log", _log_error)
        self._server.prepare()
        self.port: int = self._server.bind_addr[1]
        self.url = f"http://127.0.0.1:{self.port}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close the port and the connections."""
        self._server.stop()
        self._thread.join()


def _log_error(
    msg: str = "", level: int = logging.INFO, traceback: bool = False
) -> None:
    logging.getLogger(__name__).log(level, msg, exc_info=traceback)


def _gateway_of(handler: Handler) -> type[cheroot.server.Gateway]:
    class HandlerGateway(cheroot.server.Gateway):
        def respond(self) -> None:
            _respond(self.req, handler)

    return HandlerGateway


def _respond(request: typing.Any, handler: Handler) -> None:
    try:
        response = handler(_read(request))
    except BadRequest as error:
        response = error_response(400, str(error))
    except DropConnection as error:
        # cheroot closes the connection without a word on this errno.
        raise ConnectionResetError(errno.ECONNRESET, "dropped") from error
    phrase = http.HTTPStatus(response.status).phrase
    request.status = f"{response.status} {phrase}".encode()
    for name, value in response.headers:
        request.outheaders.append((name.encode(), value.encode()))
    content_type = response.content_type.encode()
    request.outheaders.append((b"Content-Type", content_type))
    if response.chunks is None:
        size = str(len(response.body)).encode()
        request.outheaders.append((b"Content-Length", size))
        request.ensure_headers_sent()
        request.write(response.body)
        return
    _stream(request, response.chunks)


def _stream(
    request: typing.Any, chunks: collections.abc.Iterator[bytes]
) -> None:
    try:
        request.ensure_headers_sent()
        for chunk in chunks:
            request.write(chunk)
    except DropConnection as error:
        raise ConnectionResetError(errno.ECONNRESET, "dropped") from error
    finally:
        # Ends the generator when the caller has gone, which cancels its work.
        close = getattr(chunks, "close", None)
        if close:
            close()


def _read(request: typing.Any) -> Request:
    path, client = request.path.decode(), ""
    if path.startswith(CLIENT_PREFIX):
        client, _, rest = path.removeprefix(CLIENT_PREFIX).partition("/")
        path = "/" + rest
    headers = {
        name.decode().lower(): value.decode("latin-1")
        for name, value in request.inheaders.items()
    }
    connection = request.conn.socket
    return Request(
        method=request.method.decode(),
        path=urllib.parse.unquote(path),
        query=dict(urllib.parse.parse_qsl(request.qs.decode())),
        headers=headers,
        body=request.rfile.read(),
        client=client,
        is_closed=lambda: peer_closed(connection),
    )


def peer_closed(connection: socket.socket) -> bool:
    """Tell whether the peer has closed its side of the connection."""
    try:
        readable, _, _ = select.select([connection], [], [], 0)
        if not readable:
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
