"""Fake HTTP log with fault injection, for the tests of the log task."""

import collections
import http.server
import json
import socket
import threading
import typing
import urllib.parse

import attrs

MAX_WAIT_S = 0.2


@attrs.define
class Stream:
    """Records of one stream; those before `first` have expired."""

    first: int = 0
    records: list[dict[str, typing.Any]] = attrs.field(factory=list)


class FakeLog:
    """State of the log; each append consumes the next of `faults`.

    Faults: `lost_answer` (stored, connection closed), `lost_request` (closed
    before storing), `unavailable` (503), `rate` (429), `refused` (400).
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.streams: dict[str, Stream] = collections.defaultdict(Stream)
        self.faults: collections.deque[str] = collections.deque()
        self.unavailable = False
        self.time_ms = 1_000
        self.append_count = 0

    def append(self, stream: str, batch_id: str, data: str) -> int:
        with self.changed:
            records = self.streams[stream].records
            records.append(
                {
                    "offset": len(records),
                    "id": batch_id,
                    "data": data,
                    "time_ms": self.time_ms,
                }
            )
            self.changed.notify_all()
            return len(records) - 1

    def read(
        self, name: str, start: int, limit: int, wait_s: float
    ) -> tuple[int, dict[str, typing.Any]]:
        with self.changed:
            stream = self.streams[name]
            self.changed.wait_for(
                lambda: len(stream.records) > start or self.unavailable, wait_s
            )
            answer = {"first": stream.first, "next": len(stream.records)}
            if self.unavailable:
                return 503, {}
            if start < stream.first:
                return 410, answer
            records = stream.records[start : start + limit]
            return 200, {**answer, "records": records}

    def expire(self, name: str, first: int) -> None:
        with self.changed:
            self.streams[name].first = first

    def set_unavailable(self, unavailable: bool) -> None:
        with self.changed:
            self.unavailable = unavailable
            self.changed.notify_all()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    log: FakeLog


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Headers and body are written separately; with Nagle's algorithm each
    # response is delayed by 40 ms.
    disable_nagle_algorithm = True
    server: _Server

    def do_GET(self) -> None:
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        wait_s = min(int(query["wait_ms"]) / 1000, MAX_WAIT_S)
        status, answer = self.server.log.read(
            self.stream_name(parts.path),
            int(query["from"]),
            int(query["limit"]),
            wait_s,
        )
        self.answer(status, answer)

    def do_POST(self) -> None:
        log = self.server.log
        length = int(self.headers["Content-Length"])
        document = json.loads(self.rfile.read(length))
        with log.changed:
            log.append_count += 1
            fault = log.faults.popleft() if log.faults else ""
            if log.unavailable:
                fault = "unavailable"
        statuses = {"unavailable": 503, "rate": 429, "refused": 400}
        if fault in statuses:
            self.answer(statuses[fault], {})
            return
        if fault != "lost_request":
            name = self.stream_name(self.path)
            offset = log.append(name, document["id"], document["data"])
        if fault:
            self.close_connection = True
            self.connection.shutdown(socket.SHUT_RDWR)
            return
        self.answer(200, {"offset": offset})

    def stream_name(self, path: str) -> str:
        return path.split("/")[3]

    def answer(self, status: int, document: dict[str, typing.Any]) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: typing.Any) -> None:
        pass


class FakeLogServer:
    """Serves a `FakeLog` on a free port."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.log = self.log
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        )
        self._thread.start()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self._server.server_address[1]}"

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()
