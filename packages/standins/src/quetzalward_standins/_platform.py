"""Stand-ins for the weight store and a plain service."""

import collections
import re
import threading
import time

import attrs

from quetzalward_core import clock
from quetzalward_standins import _faults
from quetzalward_standins import _http

_BOOKING = re.compile(r"/bookings/(.+)")


@attrs.frozen
class WeightSettings:
    """Limits of the weight store."""

    fetches_per_s: float = 8.0
    burst: float = 8.0
    # Time that one fetch takes.
    fetch_ms: int = 200


@attrs.frozen
class WeightFaults:
    """Fault switches of the weight store."""

    outage: bool = False
    slow_ms: int = 0


class WeightStore:
    """`GET /weights/{model}`, refused with 429 above a rate."""

    def __init__(self, settings: WeightSettings, source: clock.Clock) -> None:
        """Start with a full burst and no faults."""
        self._settings = settings
        self._lock = threading.Lock()
        self._rate = _faults.RateLimit(
            source, settings.fetches_per_s, settings.burst
        )
        self.faults = WeightFaults()
        self._counts: collections.Counter[str] = collections.Counter()

    def handle(self, request: _http.Request) -> _http.Response:
        """Answer one request."""
        if request.path == "/faults":
            if request.method == "POST":
                self.faults = _faults.merge(self.faults, request.document())
            document = _faults.to_document(self.faults)
            return _http.json_response(200, document)
        if request.path == "/stats":
            return _http.json_response(200, dict(self._counts))
        if not request.path.startswith("/weights/"):
            return _http.error_response(404, "not_found")
        return self._fetch(request.path.removeprefix("/weights/"))

    def _fetch(self, model: str) -> _http.Response:
        faults = self.faults
        time.sleep(faults.slow_ms / 1000)
        if faults.outage:
            return _http.error_response(503, "outage")
        with self._lock:
            wait_ms = self._rate.take()
            self._counts["refused" if wait_ms else "fetches"] += 1
        if wait_ms:
            return _http.error_response(
                429,
                "fetch_rate",
                (("Retry-After", str(-(-wait_ms // 1000))),),
                retry_after_ms=wait_ms,
            )
        time.sleep(self._settings.fetch_ms / 1000)
        return _http.json_response(200, {"model": model})


@attrs.frozen
class ServiceFaults:
    """Fault switches of the plain service."""

    # Bookings whose answer is lost after the effect.
    lose_answers: int = 0
    lose_probability: float = 0.0
    # Delay before and after the effect.
    before_ms: int = 0
    after_ms: int = 0
    # Answers 503 to every call, before any effect.
    outage: bool = False
    # Replicas (`/c/{replica}` prefix) whose connections are dropped.
    cut_clients: list[str] = attrs.field(factory=list)


class Service:
    """A plain service; its bookings must not run twice.

    `POST /bookings` runs once per call and counts runs by `Idempotency-Key`;
    a call without the header is counted under the empty key.
    """

    def __init__(self) -> None:
        """Start without bookings or faults."""
        self._lock = threading.Lock()
        self._loss = _faults.LossSwitch()
        self.faults = ServiceFaults()
        self.executions: collections.Counter[str] = collections.Counter()

    def handle(self, request: _http.Request) -> _http.Response:
        """Answer one request."""
        if request.path == "/faults":
            if request.method == "POST":
                self.set_faults(request.document())
            document = _faults.to_document(self.faults)
            return _http.json_response(200, document)
        if request.path == "/executions":
            with self._lock:
                return _http.json_response(200, dict(self.executions))
        faults = self.faults
        if request.client in faults.cut_clients:
            raise _http.DropConnection
        if faults.outage:
            return _http.error_response(503, "outage")
        if request.path == "/bookings" and request.method == "POST":
            return self._book(request)
        match = _BOOKING.fullmatch(request.path)
        if match and request.method == "GET":
            return self._status(match[1].strip('"'))
        return self._echo(request)

    def set_faults(self, changes: dict[str, _http.Json]) -> None:
        """Change the named switches."""
        self.faults = _faults.merge(self.faults, changes)
        self._loss.set(self.faults.lose_answers, self.faults.lose_probability)
        # The count is consumed by the loss switch.
        self.faults = attrs.evolve(self.faults, lose_answers=0)

    def _book(self, request: _http.Request) -> _http.Response:
        faults = self.faults
        # The header's value is a quoted string in the IETF draft.
        key = request.headers.get("idempotency-key", "").strip('"')
        time.sleep(faults.before_ms / 1000)
        with self._lock:
            self.executions[key] += 1
            number = sum(self.executions.values())
        time.sleep(faults.after_ms / 1000)
        self._loss.check()
        return _http.json_response(201, {"booking": number, "key": key})

    def _status(self, key: str) -> _http.Response:
        with self._lock:
            count = self.executions.get(key, 0)
        if not count:
            return _http.error_response(404, "not_found")
        return _http.json_response(200, {"key": key, "count": count})

    def _echo(self, request: _http.Request) -> _http.Response:
        return _http.json_response(
            200,
            {
                "method": request.method,
                "path": request.path,
                "query": request.query,
                "headers": request.headers,
                "body": request.body.decode("utf-8", "replace"),
            },
        )
