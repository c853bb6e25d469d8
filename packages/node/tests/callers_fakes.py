"""Fakes for the tests of the callers' task: engine, service, dispatcher."""

import collections
import hashlib
import http.server
import json
import socket
import threading
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node import callers
from quetzalward_node import interfaces
from quetzalward_node import telemetry

SECRET = b"a secret of the test cluster"
KEYS_BY_CUSTOMER = {"north": "key-north", "south": "key-south"}
WAIT_S = 20.0
POLL_S = 0.01


def configuration(**limits: typing.Any) -> config.Configuration:
    """Return two customers, two models and one service."""
    customers = {
        name: config.Customer(
            key_sha256=(hashlib.sha256(key.encode()).hexdigest(),),
            models=("*",) if name == "north" else ("small",),
            services=("*",) if name == "north" else (),
        )
        for name, key in KEYS_BY_CUSTOMER.items()
    }
    models = {
        "small": config.Model(
            1, 1, adapters=("small-quotes",), versions=("small-2",)
        ),
        "large": config.Model(2, 1),
    }
    service = config.Service(
        targets=(),
        timeout_ms=5_000,
        repeatable=(config.RepeatableCall("GET", "/stock"),),
    )
    return config.Configuration(
        customers=customers,
        models=models,
        services={"booking": service},
        limits=config.Limits(**limits),
    )


def token(prompt: str, index: int) -> str:
    """Return the token that every engine gives at an index."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return f"{digest[:8]}:{index} "


def text(prompt: str, count: int, start: int = 0) -> str:
    """Return the tokens from `start` up to `count`."""
    return "".join(token(prompt, i) for i in range(start, count))


@attrs.define(eq=False)
class Script:
    """What a fake engine does to the requests it receives."""

    # Close the connection after this many tokens of an attempt.
    break_after: int | None = None
    # Send nothing more after this many tokens until released.
    stall_after: int | None = None
    # Send an answer id that changes after this many tokens.
    foreign_after: int | None = None
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
        """Ignore connections that the test or the node cut."""


class Endpoint:
    """A fake target on a free port."""

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
                foreign = script.foreign_after
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
        """Wait until the engine's records fulfil a predicate."""
        with self.changed:
            return self.changed.wait_for(predicate, WAIT_S)

    def close(self) -> None:
        """Release stalled answers and stop."""
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
        self.send_header("Content-Type", "application/json")
        self.send_header("X-Seen", self.path)
        self.send_header("Connection", "X-Internal")
        self.send_header("X-Internal", "not for callers")
        self.send_header("Content-Length", str(len(service.answer)))
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
        self.cut_at: int | None = None
        self.drop = False
        self.stall = threading.Event()
        self.released = threading.Event()
        super().__init__()

    def wait_for(self, predicate: typing.Callable[[], bool]) -> bool:
        """Wait until the service's records fulfil a predicate."""
        with self.changed:
            return self.changed.wait_for(predicate, WAIT_S)

    def close(self) -> None:
        """Release stalled answers and stop."""
        self.released.set()
        super().close()


class Router:
    """A dispatcher and service router over fixed URLs, in order.

    It records every grant, release and finish, so that a test can check that
    none is missing or repeated.
    """

    def __init__(self, urls: list[str], retries: int = 10) -> None:
        """Grant the first URL that is not excluded."""
        self.urls = urls
        self.retries = retries
        self.error: errors.QuetzalwardError | None = None
        self.changed = threading.Condition()
        self.requests: list[interfaces.RouteRequest] = []
        self.granted: list[interfaces.Grant] = []
        self.released: list[
            tuple[interfaces.Grant, interfaces.AttemptReport]
        ] = []
        self.started: collections.Counter[str] = collections.Counter()
        self.finished: collections.Counter[str] = collections.Counter()

    def acquire(self, request: interfaces.RouteRequest) -> interfaces.Grant:
        """Grant an attempt of a draft."""
        with self.changed:
            self.requests.append(request)
            self.started[request.request_id] = 1
        return self._grant(
            request.request_id, request.excluded, request.attempt
        )

    def choose(self, call: interfaces.ServiceCall) -> interfaces.Grant:
        """Grant an attempt of a service call."""
        return self._grant(call.request_id, call.excluded, 1)

    def _grant(
        self, request_id: str, excluded: frozenset[str], attempt: int
    ) -> interfaces.Grant:
        if self.error is not None:
            raise self.error
        for number, url in enumerate(self.urls):
            target = f"t{number}"
            if target in excluded:
                continue
            with self.changed:
                grant = interfaces.Grant(
                    len(self.granted), request_id, target, url, "z1", attempt
                )
                self.granted.append(grant)
                return grant
        raise errors.QuetzalwardError(errors.ErrorKind.NO_TARGET, "none left")

    def release(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> None:
        """Record a release."""
        with self.changed:
            self.released.append((grant, report))
            self.changed.notify_all()

    def finish(self, request_id: str) -> None:
        """Record the end of a request."""
        with self.changed:
            self.finished[request_id] += 1
            self.changed.notify_all()

    def may_retry(self) -> bool:
        """Spend one of the retries."""
        with self.changed:
            self.retries -= 1
            return self.retries >= 0

    def balanced(self) -> bool:
        """Return whether all grants were released and requests finished."""
        granted = sorted(grant.grant_id for grant in self.granted)
        released = sorted(grant.grant_id for grant, _ in self.released)
        return granted == released and self.started == self.finished

    def wait_balanced(self) -> bool:
        """Wait until all grants were released and requests finished."""
        with self.changed:
            return self.changed.wait_for(self.balanced, WAIT_S)

    def results(self) -> list[interfaces.AttemptResult]:
        """Return the results of the released attempts, in order."""
        return [report.result for _, report in self.released]


class Calls:
    """A call registry in memory; records what became of each key."""

    def __init__(self) -> None:
        """Start without keys."""
        self.lock = threading.Lock()
        self.events: list[tuple[str, str]] = []
        self.calls: dict[tuple[str, str], interfaces.KeyedCall] = {}
        self.results: dict[tuple[str, str], interfaces.CallResult] = {}
        self.error: errors.QuetzalwardError | None = None

    def begin(
        self, call: interfaces.KeyedCall
    ) -> interfaces.StartedCall | interfaces.CallResult:
        """Claim a key."""
        if self.error is not None:
            raise self.error
        with self.lock:
            key = (call.customer, call.key)
            known = self.calls.get(key)
            if known is None:
                self.calls[key] = call
                return interfaces.StartedCall(f"i{len(self.calls)}", call)
            if known.fingerprint != call.fingerprint:
                raise errors.QuetzalwardError(
                    errors.ErrorKind.KEY_REUSED, "another request"
                )
            if key in self.results:
                return self.results[key]
            raise errors.QuetzalwardError(
                errors.ErrorKind.CALL_IN_PROGRESS, "open", 1_000
            )

    def finish(
        self, started: interfaces.StartedCall, result: interfaces.CallResult
    ) -> None:
        """Keep a result."""
        with self.lock:
            call = started.call
            self.results[(call.customer, call.key)] = result
            self.events.append(("finish", call.key))

    def abandon(self, started: interfaces.StartedCall) -> None:
        """Free a key."""
        with self.lock:
            call = started.call
            del self.calls[(call.customer, call.key)]
            self.events.append(("abandon", call.key))

    def mark_unknown(self, started: interfaces.StartedCall) -> None:
        """Record an unknown outcome."""
        with self.lock:
            self.events.append(("unknown", started.call.key))


class Front:
    """A callers' server with fakes behind it."""

    def __init__(
        self,
        urls: list[str],
        threads: int = 8,
        retries: int = 10,
        gate_limits: callers.GateLimits | None = None,
        trace_file: str | None = None,
        **limits: typing.Any,
    ) -> None:
        """Start a server on a free port."""
        self.router = Router(urls, retries)
        self.calls = Calls()
        self.configuration = configuration(**limits)
        self.telemetry = telemetry.create("n1", trace_file)
        self.server = callers.CallersServer(
            listen="127.0.0.1:0",
            threads=threads,
            secret=SECRET,
            dispatcher=self.router,
            services=self.router,
            calls=self.calls,
            configuration=lambda: self.configuration,
            clock=clock.SystemClock(),
            telemetry=self.telemetry,
            gate_limits=gate_limits,
        )
        self.server.start()
        self.address = self.server.address
        self.url = f"http://127.0.0.1:{self.address[1]}"
        self.drained: bool | None = None

    def close(self) -> None:
        """Drain and stop."""
        if self.drained is None:
            self.drained = self.server.drain(10_000)
        self.telemetry.tracing.close()

    def connect(self) -> socket.socket:
        """Return a raw connection."""
        return socket.create_connection(self.address, WAIT_S)


def wait_until(predicate: typing.Callable[[], bool]) -> bool:
    """Poll until a predicate holds; false after `WAIT_S`."""
    pause = threading.Event()
    for _ in range(int(WAIT_S / POLL_S)):
        if predicate():
            return True
        pause.wait(POLL_S)
    return False


def raw_request(
    path: str,
    document: typing.Any = None,
    key: str = "key-north",
    method: str = "POST",
    headers: typing.Mapping[str, str] | None = None,
) -> bytes:
    """Return the bytes of a request with a JSON body."""
    body = b"" if document is None else json.dumps(document).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: test",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def receive_all(sock: socket.socket) -> bytes:
    """Return everything up to the close of a connection."""
    data = bytearray()
    try:
        while part := sock.recv(65_536):
            data += part
    except ConnectionError:
        pass
    return bytes(data)


@attrs.frozen
class Answer:
    """One answer read from raw bytes."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def problem(self) -> dict[str, typing.Any]:
        """Return the problem details."""
        return typing.cast(dict[str, typing.Any], json.loads(self.body))


def _dechunk(data: bytes) -> tuple[bytes, bytes, bool]:
    body = b""
    while data:
        size_line, _, data = data.partition(b"\r\n")
        size = int(size_line, 16)
        if size == 0:
            return body, data.removeprefix(b"\r\n"), True
        body += data[:size]
        data = data[size + 2 :]
    return body, b"", False


def parse_answers(data: bytes) -> list[Answer]:
    """Split raw bytes into answers, without interim ones."""
    answers = []
    while data:
        head, found, data = data.partition(b"\r\n\r\n")
        if not found:
            raise AssertionError(f"no answer: {head!r}")
        lines = head.decode("latin-1").split("\r\n")
        protocol, status, _ = lines[0].split(" ", 2)
        if protocol != "HTTP/1.1":
            raise AssertionError(lines[0])
        pairs = [line.split(": ", 1) for line in lines[1:]]
        headers = {name.lower(): value for name, value in pairs}
        complete = True
        if status == "100":
            continue
        if "transfer-encoding" in headers:
            body, data, complete = _dechunk(data)
        elif "content-length" in headers:
            length = int(headers["content-length"])
            body, data = data[:length], data[length:]
        else:
            body, data = data, b""
        answers.append(Answer(int(status), headers, body, complete))
    return answers
