"""A cluster per test class, and calls to single nodes of it."""

import json
import threading
import time
import typing
import unittest

import attrs
import urllib3

from quetzalward_core import agreement
from quetzalward_standins import answers
from quetzalward_standins import callers
from quetzalward_standins import cluster

# Only bounds a wait for something that must come; no test measures it.
WAIT_S = 60.0
READ_TIMEOUT_S = 45.0
# Stated bound for the end of new work after a stop order was confirmed.
STOP_BOUND_S = 5.0
OK_STATUSES = (200, 201)

# Four files run at a time; with the usual 320 threads for each of a node's
# callers, their clusters exceed the machine's limit of threads.
NODE_THREADS = 48

Json = typing.Any


def small(**more: typing.Any) -> cluster.ClusterSpec:
    """Return a cluster of four nodes with few threads each."""
    settings = {"threads": NODE_THREADS, **more.pop("node_settings", {})}
    return cluster.ClusterSpec(
        **{"nodes": 4, "node_settings": settings, **more}
    )


def wait_for(
    condition: typing.Callable[[], typing.Any],
    what: str,
    timeout_s: float = WAIT_S,
) -> typing.Any:
    """Poll until a condition holds and return its value, or fail."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"{what} did not come in {timeout_s} s")
        time.sleep(0.05)


class BoundedCluster(cluster.Cluster):
    """A cluster whose service calls have a short deadline."""

    service_timeout_ms = 10_000

    def configuration(self) -> dict[str, Json]:
        """Return the usual document with the shorter deadline."""
        document = super().configuration()
        service = document["services"][cluster.SERVICE]
        service["timeout_ms"] = self.service_timeout_ms
        return document


@attrs.frozen
class Answer:
    """What a caller got; status 0 if the connection broke."""

    status: int
    kind: str = ""
    outcome: str = ""
    document: Json = None

    @property
    def ok(self) -> bool:
        """Tell whether this is the service's own answer."""
        return self.status in OK_STATUSES and not self.kind


class Stream:
    """One streamed draft on one node, read event by event."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        """Take the answer whose body is unread."""
        self.status = response.status
        self.texts: list[str] = []
        self.last_id = ""
        self.done = False
        self.error: Json = None
        self._response = response
        self._parser = callers.EventParser()
        self._chunks = response.stream(1024)
        self._events: list[callers.Event] = []

    @property
    def text(self) -> str:
        """Return the text of the events read so far."""
        return "".join(self.texts)

    def read(self, events: int) -> None:
        """Read events that carry text until there are so many."""
        while len(self.texts) < events and self._step():
            pass

    def read_all(self) -> None:
        """Read up to the end of the body, or of the connection."""
        while self._step():
            pass

    def close(self) -> None:
        """Close the connection, also with a part unread."""
        self._response.close()

    def _step(self) -> bool:
        while not self._events:
            try:
                self._events += self._parser.feed(next(self._chunks))
            except (StopIteration, urllib3.exceptions.HTTPError):
                return False
        self._take(self._events.pop(0))
        return True

    def _take(self, event: callers.Event) -> None:
        if event.data == "[DONE]":
            self.done = True
            return
        document = json.loads(event.data)
        if "choices" not in document:
            self.error = document
            return
        for choice in document["choices"]:
            text = choice.get("delta", {}).get("content") or ""
            if text:
                self.texts.append(text)
        if event.id:
            self.last_id = event.id


class ClusterCase(unittest.TestCase):
    """Runs one cluster for all tests of a class."""

    spec: typing.ClassVar[cluster.ClusterSpec]
    service_timeout_ms: typing.ClassVar[int] = 10_000
    running: typing.ClassVar[BoundedCluster]
    pool: typing.ClassVar[urllib3.PoolManager]

    @classmethod
    def setUpClass(cls) -> None:
        cls.pool = urllib3.PoolManager(num_pools=64, maxsize=64)
        cls.running = BoundedCluster(cls.spec)
        cls.running.service_timeout_ms = cls.service_timeout_ms
        cls.addClassCleanup(cls.running.stop)
        cls.running.start()

    def load(self, tokens: int = 40) -> callers.Load:
        """Return callers on all ready nodes, not started yet."""
        entries = [
            callers.Entry(node.name, node.url, node.operators_url)
            for node in self.running.nodes
        ]
        balancer = callers.Balancer(entries, self.pool)
        balancer.start()
        self.addCleanup(balancer.stop)
        caller = callers.Caller(
            balancer,
            self.pool,
            self.running.api_key,
            self.running.booking_path,
        )
        return callers.Load(caller, self.running.model, tokens, WAIT_S)

    def post(
        self,
        node: cluster.Node,
        path: str,
        body: Json,
        headers: dict[str, str],
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Send one POST to one node."""
        headers = {
            "Authorization": f"Bearer {self.running.api_key}",
            **headers,
        }
        return self.pool.request(
            "POST",
            node.url + path,
            json=body,
            headers=headers,
            timeout=READ_TIMEOUT_S,
            retries=False,
            preload_content=not stream,
        )

    def book(self, node: cluster.Node, key: str | None) -> Answer:
        """Send one booking to one node, without a repetition."""
        headers = {"Idempotency-Key": f'"{key}"'} if key else {}
        try:
            response = self.post(
                node, self.running.booking_path, {"delivery": key}, headers
            )
        except urllib3.exceptions.HTTPError:
            return Answer(0)
        return to_answer(response)

    def body(self, question: str, tokens: int) -> dict[str, Json]:
        """Return the body of a streamed draft."""
        return {
            "model": self.running.model,
            "messages": [{"role": "user", "content": question}],
            "max_tokens": tokens,
            "stream": True,
        }

    def open_stream(
        self,
        node: cluster.Node,
        body: dict[str, Json],
        last_id: str = "",
        api_key: str = "",
    ) -> Stream:
        """Start a streamed draft on one node."""
        headers = {"Last-Event-ID": last_id} if last_id else {}
        if api_key:
            headers["Authorization"] = f"Bearer {api_key}"
        stream = Stream(
            self.post(node, "/v1/chat/completions", body, headers, stream=True)
        )
        self.addCleanup(stream.close)
        return stream

    def wait_until_serving(self, targets: int) -> None:
        """Wait until every node sees enough targets that are warm."""

        def serving() -> bool:
            warm = self.warm_targets()
            return len(warm) >= targets and all(
                self.drafts_on(node) for node in self.running.nodes
            )

        wait_for(serving, f"{targets} warm targets")

    def drafts_on(self, node: cluster.Node) -> bool:
        """Tell whether one node answers a short draft whole."""
        body = self.body("ready", 1) | {"stream": False}
        path = "/v1/chat/completions"
        try:
            return self.post(node, path, body, {}).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def warm_targets(self) -> dict[str, Json]:
        """Return the stand-ins' rows of complete targets that are warm."""
        return {
            name: target
            for name, target in self.targets().items()
            if target["complete"] and target["state"] == "warm"
        }

    def targets(self) -> dict[str, Json]:
        """Return the stand-ins' row of every target."""
        return self.running.read("engines", "/stats")["targets"]

    def requests_by_target(self, zone: str = "") -> dict[str, int]:
        """Return how many requests each target got since it was formed."""
        return {
            name: target["counts"].get("requests", 0)
            for name, target in self.targets().items()
            if zone in ("", target["zone"])
        }

    def executions(self) -> dict[str, int]:
        """Return how often each key ran."""
        return self.running.read("service", "/executions")

    def records(self, stream: str, start: int = 0) -> list[Json]:
        """Return the records of a stream of the log from an offset on."""
        found: list[Json] = []
        while True:
            offset = found[-1]["offset"] + 1 if found else start
            page = self.running.read(
                "log", f"/v1/streams/{stream}/records?from={offset}"
            )
            found += page["records"]
            if not page["records"]:
                return found

    def control(self) -> agreement.ControlView:
        """Return the fold of the whole control stream."""
        return fold(self.records(agreement.CONTROL_STREAM))

    def kill(self, node: cluster.Node) -> None:
        """End a node with SIGKILL."""
        assert node.process
        node.process.kill()
        node.process.wait()

    def restart(self, node: cluster.Node) -> None:
        """Start a node again and wait until it is ready."""
        self.running.start_node(node)
        self.running.wait_ready(node)

    def status(self, node: cluster.Node) -> Json:
        """Return a node's status, or `None` if it did not answer."""
        return self.get(node, "/status")

    def get(self, node: cluster.Node, path: str) -> Json:
        """Return what a node's operators' API answers to a GET."""
        answer = self.running.operate(node, "GET", path, None)
        return answer.json() if answer and answer.status == 200 else None


def fold(records: typing.Iterable[Json]) -> agreement.ControlView:
    """Return the fold of records of the control stream from its start on."""
    state = agreement.ControlState()
    for record in records:
        state.apply_batch(record["offset"], record["time_ms"], record["data"])
    return state.view()


def to_answer(response: urllib3.BaseHTTPResponse) -> Answer:
    """Return status, error kind and outcome of a node's answer."""
    try:
        document = json.loads(response.data)
    except ValueError:
        document = None
    fields = document if isinstance(document, dict) else {}
    return Answer(
        response.status,
        fields.get("kind", ""),
        fields.get("outcome", ""),
        document,
    )


def expected(body: dict[str, Json]) -> str:
    """Return the whole text that a draft must have."""
    return answers.expected(body, 0, body["max_tokens"])


class Background:
    """Calls in threads whose results are collected."""

    def __init__(self) -> None:
        """Start without calls."""
        self._threads: list[threading.Thread] = []
        self.results: list[typing.Any] = []
        self.errors: list[BaseException] = []

    def start(self, work: typing.Callable[[], typing.Any]) -> None:
        """Call `work` in a thread of its own."""

        def run() -> None:
            try:
                self.results.append(work())
            except BaseException as error:
                self.errors.append(error)

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def join(self) -> list[typing.Any]:
        """Wait for all calls and return their results.

        Raises the first error of a call.
        """
        for thread in self._threads:
            thread.join(2 * WAIT_S)
            if thread.is_alive():
                raise AssertionError("a call did not end")
        if self.errors:
            raise self.errors[0]
        return self.results
