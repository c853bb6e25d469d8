"""Fake engine and service for the tests of the callers' task."""

import hashlib
import http.server
import json
import socket
import threading
import typing

import attrs

WAIT_S = 20.0


def token(prompt: str, index: int) -> str:
    """Return the token that every fake engine generates at an index."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return f"{digest[:8]}:{index} "


def text(prompt: str, count: int, start: int = 0) -> str:
    """Return the tokens from `start` up to `count`."""
    return "".join(token(prompt, i) for i in range(start, count))


@attrs.define(eq=False)
class Script:
    """How a fake engine answers the requests it receives."""

    # Close the connection after this many tokens of an attempt.
    break_after: int | None = None
    # Send nothing more after this many tokens until released.
    stall_after: int | None = None
    # Change the id of the answer after this many tokens.
    change_id_after: int | None = None
    # Leave out the token at this index.
    skip_index: int | None = None
    ignore_resume: bool = False
    # Close the connection after the finish, before the usage.
    break_at_usage: bool = False
    numbered: bool = True
    status: int = 200
    error_body: dict[str, typing.Any] = attrs.field(factory=dict)
    # Bytes of padding in each token, to fill socket buffers.
    padding: int = 0


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = False

    def handle_error(self, request: typing.Any, address: typing.Any) -> None:
        """Ignore connections closed by the test or the node."""


class Endpoint:
    """A fake target that listens on a free port."""

    handler: type[http.server.BaseHTTPRequestHandler]

    def __init__(self) -> None:
        """Bind a free port and serve."""
        self._server = _Server(("127.0.0.1", 0), self.handler)
        self._server.owner = self  # type: ignore[attr-defined]
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()


class _EngineHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args: typing.Any) -> None:
        """Stay silent."""

    def do_POST(self) -> None:
        """Answer a completion or a cancel."""
        engine = self.server.owner  # type: ignore[attr-defined]
        length = int(self.headers["Content-Length"])
        body = json.loads(self.rfile.read(length))
        if self.path == "/v1/cancel":
            with engine.changed:
                engine.cancelled.append(body["request_id"])
                engine.changed.notify_all()
            self._json(200, {})
            return
        with engine.changed:
            engine.requests.append((self.path, body, dict(self.headers)))
            engine.changed.notify_all()
        if engine.script.status != 200:
            self._json(engine.script.status, engine.script.error_body)
            return
        try:
            self._stream(engine, body)
        except OSError:
            with engine.changed:
                engine.broken += 1
                engine.changed.notify_all()
            self.close_connection = True

    def _json(self, status: int, document: typing.Any) -> None:
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _stream(self, engine: "Engine", body: dict[str, typing.Any]) -> None:
        script = engine.script
        chat = self.path.endswith("chat/completions")
        prompt = body["messages"][-1]["content"] if chat else body["prompt"]
        total = body.get("max_tokens", 8)
        start = 0 if script.ignore_resume else body["resume_from"]
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.end_headers()
        if chat:
            first = {"delta": {"role": "assistant", "content": ""}}
            self._event({"id": "e", "choices": [{"index": 0, **first}]})
        for sent, index in enumerate(range(start, total)):
            if script.break_after == sent:
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            if script.stall_after == sent:
                engine.released.wait(WAIT_S)
            if index != script.skip_index:
                foreign = script.change_id_after
                answer = "e" if foreign is None or sent < foreign else "f"
                self._token(script, chat, prompt, index, answer)
        choice: dict[str, typing.Any] = {"index": 0}
        choice.update({"delta": {}} if chat else {"text": ""})
        choice["finish_reason"] = "length"
        self._event({"id": "e", "choices": [choice]})
        if script.break_at_usage:
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True
            return
        usage = {"prompt_tokens": 3, "completion_tokens": total - start}
        self._event({"id": "e", "choices": [], "usage": usage})
        self._chunk(b"data: [DONE]\n\n")
        self.wfile.write(b"0\r\n\r\n")

    def _token(
        self, script: Script, chat: bool, prompt: str, index: int, answer: str
    ) -> None:
        content = token(prompt, index) + "x" * script.padding
        choice: dict[str, typing.Any] = {"index": 0, "finish_reason": None}
        choice.update(
            {"delta": {"content": content}} if chat else {"text": content}
        )
        number = index if script.numbered else None
        self._event({"id": answer, "choices": [choice]}, number)

    def _event(self, document: typing.Any, number: int | None = None) -> None:
        head = b"" if number is None else f"id: {number}\n".encode()
        self._chunk(head + b"data: " + json.dumps(document).encode() + b"\n\n")

    def _chunk(self, data: bytes) -> None:
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class Engine(Endpoint):
    """A fake model engine."""

    handler = _EngineHandler

    def __init__(self, **script: typing.Any) -> None:
        """Serve with the given script."""
        self.script = Script(**script)
        self.changed = threading.Condition()
        self.requests: list[tuple[str, dict, dict]] = []
        self.cancelled: list[str] = []
        self.broken = 0
        self.released = threading.Event()
        super().__init__()

    def wait_for(self, predicate: typing.Callable[[], bool]) -> bool:
        """Wait for a predicate on the recorded requests; false on time-out."""
        with self.changed:
            return self.changed.wait_for(predicate, WAIT_S)

    def close(self) -> None:
        """Let stalled answers continue and stop."""
        self.released.set()
        super().close()


class _ServiceHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args: typing.Any) -> None:
        """Stay silent."""

    def _answer(self) -> None:
        service = self.server.owner  # type: ignore[attr-defined]
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        with service.changed:
            service.peers.append(self.client_address)
            service.requests.append(
                (self.command, self.path, self.headers.items(), body)
            )
            service.changed.notify_all()
        if service.stall.is_set():
            service.released.wait(WAIT_S)
        if service.drop:
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True
            return
        self.send_response(service.status)
        self.send_header("Content-Type", service.content_type)
        self.send_header("X-Seen", self.path)
        self.send_header("Connection", "X-Internal")
        self.send_header("X-Internal", "not for callers")
        if service.has_length:
            self.send_header("Content-Length", str(len(service.answer)))
        else:
            self.close_connection = True
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(service.answer[: service.cut_at])
        if service.cut_at is not None:
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = do_PATCH = _answer


class Service(Endpoint):
    """A fake plain service."""

    handler = _ServiceHandler

    def __init__(self) -> None:
        """Serve `{}` with status 200."""
        self.changed = threading.Condition()
        self.requests: list[tuple[str, str, list, bytes]] = []
        self.peers: list[tuple[str, int]] = []
        self.status = 200
        self.answer = b"{}"
        self.content_type = "application/json"
        self.has_length = True
        self.cut_at: int | None = None
        self.drop = False
        self.stall = threading.Event()
        self.released = threading.Event()
        super().__init__()

    def wait_for(self, predicate: typing.Callable[[], bool]) -> bool:
        """Wait for a predicate on the recorded requests; false on time-out."""
        with self.changed:
            return self.changed.wait_for(predicate, WAIT_S)

    def close(self) -> None:
        """Release stalled answers and stop."""
        self.released.set()
        super().close()
