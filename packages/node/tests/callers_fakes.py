"""Fakes for tests of the callers' task, and a server that uses them."""

import collections
import hashlib
import json
import socket
import threading
import typing

import attrs
import fake_targets

from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_node import callers
from quetzalward_node import interfaces
from quetzalward_node import telemetry

SECRET = b"a secret of the test cluster"
Engine = fake_targets.Engine
Service = fake_targets.Service
text = fake_targets.text
token = fake_targets.token
KEYS_BY_CUSTOMER = {"north": "key-north", "south": "key-south"}
WAIT_S = fake_targets.WAIT_S
POLL_INTERVAL_S = 0.01


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


class Router:
    """A dispatcher and service router over fixed URLs, in order.

    Records every grant, release and finish, so that a test can check that
    none is missing or repeated.
    """

    def __init__(self, urls: list[str], retries: int = 10) -> None:
        """Grant the first URL that is not excluded."""
        self.urls = urls
        self.retries = retries
        self.error: errors.QuetzalwardError | None = None
        # Number of upcoming grants that are issued already expired.
        self.expire_next = 0
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
                if self.expire_next:
                    self.expire_next -= 1
                    grant = attrs.evolve(grant, expires_ms=0)
                self.granted.append(grant)
                return grant
        raise errors.QuetzalwardError(
            errors.ErrorKind.NO_TARGET, "no target left"
        )

    def release(
        self, grant: interfaces.Grant, report: interfaces.AttemptReport
    ) -> None:
        """Record a release."""
        with self.changed:
            self.released.append((grant, report))
            self.changed.notify_all()

    def finish(self, request_id: str) -> None:
        """Record that a request finished."""
        with self.changed:
            self.finished[request_id] += 1
            self.changed.notify_all()

    def may_retry(self) -> bool:
        """Consume one retry; false if none is left."""
        with self.changed:
            self.retries -= 1
            return self.retries >= 0

    def all_released(self) -> bool:
        """Return whether all grants were released and requests finished."""
        granted = sorted(grant.grant_id for grant in self.granted)
        released = sorted(grant.grant_id for grant, _ in self.released)
        return granted == released and self.started == self.finished

    def wait_all_released(self) -> bool:
        """Wait until all grants were released and requests finished."""
        with self.changed:
            return self.changed.wait_for(self.all_released, WAIT_S)

    def results(self) -> list[interfaces.AttemptResult]:
        """Return the results of the released attempts, in order."""
        return [report.result for _, report in self.released]


class Calls:
    """An in-memory call registry that records the outcome of each key."""

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
            earlier = self.calls.get(key)
            if earlier is None:
                self.calls[key] = call
                return interfaces.StartedCall(f"i{len(self.calls)}", call)
            if earlier.fingerprint != call.fingerprint:
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
        """Store a result."""
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
    """A callers' server whose dependencies are fakes."""

    def __init__(
        self,
        urls: list[str],
        threads: int = 8,
        retries: int = 10,
        connection_limits: callers.ConnectionLimits | None = None,
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
            connection_limits=connection_limits,
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
    for _ in range(int(WAIT_S / POLL_INTERVAL_S)):
        if predicate():
            return True
        pause.wait(POLL_INTERVAL_S)
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
class Response:
    """One response parsed from raw bytes."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def problem(self) -> dict[str, typing.Any]:
        """Return the problem details."""
        return typing.cast(dict[str, typing.Any], json.loads(self.body))


def _decode_chunked(data: bytes) -> tuple[bytes, bytes, bool]:
    body = b""
    while data:
        size_line, _, data = data.partition(b"\r\n")
        size = int(size_line, 16)
        if size == 0:
            return body, data.removeprefix(b"\r\n"), True
        body += data[:size]
        data = data[size + 2 :]
    return body, b"", False


def parse_responses(data: bytes) -> list[Response]:
    """Parse raw bytes into responses; interim ones are skipped."""
    responses = []
    while data:
        head, found, data = data.partition(b"\r\n\r\n")
        if not found:
            raise AssertionError(f"incomplete response head: {head!r}")
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
            body, data, complete = _decode_chunked(data)
        elif "content-length" in headers:
            length = int(headers["content-length"])
            body, data = data[:length], data[length:]
        else:
            body, data = data, b""
        responses.append(Response(int(status), headers, body, complete))
    return responses
