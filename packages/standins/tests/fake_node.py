"""A node for tests of the launcher and the demo: `fake_node run --settings`.

It answers drafts itself by the token rule and passes bookings on. It breaks
every stream off once, so that callers must reconnect. The setting `fault`
makes it do wrong: `repeat_token`, `run_twice`, `lose_booking`.
"""

import json
import signal
import sys
import threading
import typing

import urllib3

from quetzalward_standins import _http
from quetzalward_standins import answers

BREAK_AFTER = 5


class FakeNode:
    """The smallest node that the launcher and the demo accept."""

    def __init__(self, settings: dict[str, typing.Any]) -> None:
        self.settings = settings
        self.fault = settings.get("fault")
        self.pool = urllib3.PoolManager(maxsize=32)
        self.stopping = False
        self.log = settings["log_url"] + "/v1/streams/control/records"

    def operate(self, request: _http.Request) -> _http.Response:
        if request.path == "/readyz":
            return _http.json_response(503 if self.stopping else 200, {})
        if not request.headers.get("authorization", "").startswith("Bearer "):
            return _http.error_response(401, "unauthenticated")
        if request.path == "/operators/v1/config":
            document = request.document()["document"]
            if self.settings.get("refuses_config"):
                return _http.error_response(422, "config_invalid")
            self.form_group()
            record = {"id": "config", "data": json.dumps(document)}
            self.pool.request("POST", self.log, json=record)
        return _http.json_response(200, {})

    def form_group(self) -> None:
        listing = self.pool.request(
            "GET", self.settings["hosts_url"] + "/hosts"
        )
        hosts = listing.json()["hosts"][:2]
        refs = [{k: h[k] for k in ("host", "incarnation")} for h in hosts]
        order = {"fencing": 1, "group": "g1", "epoch": 1, "model": "draft"}
        url = hosts[0]["engine_url"] + "/orders"
        assign = {**order, "order_id": "1", "kind": "assign", "hosts": refs}
        self.pool.request("POST", url, json=assign)
        load = {**order, "order_id": "2", "kind": "load"}
        self.pool.request("POST", url, json=load)

    def handle(self, request: _http.Request) -> _http.Response:
        if self.stopping:
            problem = {"kind": "node_stopping", "outcome": "not_run"}
            return _http.json_response(503, problem)
        if request.path.startswith("/services/booking/"):
            return self.book(request)
        return self.draft(request)

    def draft(self, request: _http.Request) -> _http.Response:
        last_id = request.headers.get("last-event-id")
        body = request.document()
        start = int(last_id) if last_id else 0
        chunks = self.events(body, start, breaks=last_id is None)
        return _http.Response(
            200, content_type="text/event-stream", chunks=chunks
        )

    def events(
        self, body: dict[str, typing.Any], start: int, breaks: bool
    ) -> typing.Iterator[bytes]:
        mark = answers.digest(answers.question(body))
        for index in range(start, body["max_tokens"]):
            if breaks and index == BREAK_AFTER:
                raise _http.DropConnection
            text = answers.token(mark, index)
            if self.fault == "repeat_token" and index == BREAK_AFTER:
                text += text
            choice = {"index": 0, "delta": {"content": text}}
            data = json.dumps({"choices": [choice]})
            yield f"id: {index + 1}\ndata: {data}\n\n".encode()
        yield b"data: [DONE]\n\n"

    def book(self, request: _http.Request) -> _http.Response:
        page = self.pool.request("GET", self.log + "?from=0").json()
        config = json.loads(page["records"][0]["data"])
        url = config["services"]["booking"]["targets"][0]["url"]
        key = request.headers["idempotency-key"]
        if self.fault == "lose_booking":
            return _http.json_response(201, {"key": key.strip('"')})
        for _ in range(2 if self.fault == "run_twice" else 1):
            answer = self.pool.request(
                "POST",
                url + request.path.removeprefix("/services/booking"),
                headers={"Idempotency-Key": key},
                body=request.body,
            )
        return _http.Response(answer.status, answer.data)


def main() -> None:
    """Serve until SIGTERM."""
    with open(sys.argv[sys.argv.index("--settings") + 1]) as file:
        node = FakeNode(json.load(file))
    stopped = threading.Event()
    ignores = node.settings.get("ignores_sigterm")
    signal.signal(
        signal.SIGTERM, signal.SIG_IGN if ignores else lambda *_: stopped.set()
    )
    servers = []
    for name, handler in (
        ("listen", node.handle),
        ("operators_listen", node.operate),
    ):
        port = int(node.settings[name].rpartition(":")[2])
        servers.append(_http.Server(handler, port=port))
    stopped.wait()
    node.stopping = True
    for server in servers:
        server.stop()


if __name__ == "__main__":
    main()
