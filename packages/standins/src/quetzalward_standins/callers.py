"""Callers that check every answer, spread over nodes as a balancer would."""

import json
import random
import threading
import time
import typing
import uuid

import attrs
import urllib3

from quetzalward_standins import answers

READY_POLL_S = 0.25
READY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
# Longest silence that a caller accepts before it reconnects.
READ_TIMEOUT_S = 15.0
RETRY_S = 0.1
MAX_RETRY_AFTER_S = 2.0


class CallFailed(Exception):
    """The caller did not get what the interface promises."""


class _Retry(Exception):
    """The attempt did not run or broke off; another one is allowed."""


@attrs.frozen
class Entry:
    """A node as a caller's balancer sees it."""

    name: str
    url: str
    operators_url: str


class Balancer:
    """Knows which nodes are ready, by polling their /readyz."""

    def __init__(
        self, entries: list[Entry], pool: urllib3.PoolManager
    ) -> None:
        """Take the nodes; `start` begins to poll them."""
        self._entries = entries
        self._pool = pool
        self._ready: list[Entry] = []
        self._stopped = threading.Event()

    def start(self) -> None:
        """Poll once, then go on in a thread until `stop`."""
        self._poll()
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """End the polling."""
        self._stopped.set()

    def choose(self, avoided: str = "") -> Entry:
        """Return a ready node, another one than `avoided` if there is one."""
        ready = list(self._ready)
        others = [entry for entry in ready if entry.name != avoided]
        if not ready:
            raise _Retry("no node is ready")
        return random.choice(others or ready)

    def _run(self) -> None:
        while not self._stopped.wait(READY_POLL_S):
            self._poll()

    def _poll(self) -> None:
        self._ready = [e for e in self._entries if self._is_ready(e)]

    def _is_ready(self, entry: Entry) -> bool:
        try:
            answer = self._pool.request(
                "GET",
                f"{entry.operators_url}/readyz",
                timeout=READY_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200


@attrs.define
class Event:
    """One server-sent event."""

    id: str = ""
    name: str = ""
    data: str = ""


class EventParser:
    """Splits bytes into complete server-sent events."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = b""
        self._event = Event()

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that this chunk completes."""
        *lines, self._rest = (self._rest + chunk).split(b"\n")
        events: list[Event] = []
        for line in lines:
            text = line.rstrip(b"\r").decode()
            if not text:
                events += self._finish()
            field, _, value = text.partition(":")
            value = value.removeprefix(" ")
            if field == "id":
                self._event.id = value
            elif field == "event":
                self._event.name = value
            elif field == "data":
                self._event.data += value
        return events

    def _finish(self) -> list[Event]:
        event, self._event = self._event, Event()
        return [event] if event.data else []


class Caller:
    """Sends drafts and bookings for one customer and checks the answers."""

    def __init__(
        self,
        balancer: Balancer,
        pool: urllib3.PoolManager,
        api_key: str,
        booking_path: str,
    ) -> None:
        """Use the pool from one or several threads."""
        self._balancer = balancer
        self._pool = pool
        self._headers = {"Authorization": f"Bearer {api_key}"}
        self._booking_path = booking_path

    def draft(
        self, model: str, question: str, tokens: int, timeout_s: float
    ) -> None:
        """Stream one draft to its end, reconnecting where it breaks off.

        Raises `CallFailed` if a token is lost, repeated or wrong, if the
        answer cannot be repeated, or after `timeout_s`.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": question}],
            "max_tokens": tokens,
            "stream": True,
        }
        progress = _Progress(answers.expected(body, 0, tokens))
        self._attempt_until_done(
            timeout_s, lambda entry: self._stream(entry, body, progress)
        )

    def book(self, key: str, timeout_s: float) -> None:
        """Make one booking, repeated with its key where it is not answered.

        Raises `CallFailed` on an answer that is final but no success.
        """
        headers = {**self._headers, "Idempotency-Key": f'"{key}"'}
        self._attempt_until_done(
            timeout_s, lambda entry: self._post_booking(entry, headers, key)
        )

    def _attempt_until_done(
        self,
        timeout_s: float,
        attempt: typing.Callable[[Entry], None],
    ) -> None:
        deadline = time.monotonic() + timeout_s
        avoided, reason = "", ""
        while time.monotonic() < deadline:
            try:
                entry = self._balancer.choose(avoided)
                avoided = entry.name
                return attempt(entry)
            except (_Retry, urllib3.exceptions.HTTPError) as error:
                reason = f"{avoided}: {error!r}"
                time.sleep(RETRY_S)
        raise CallFailed(f"no whole answer in {timeout_s} s; last {reason}")

    def _post(
        self, url: str, body: typing.Any, headers: dict[str, str], stream: bool
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            "POST",
            url,
            json=body,
            headers=headers,
            timeout=urllib3.Timeout(CONNECT_TIMEOUT_S, READ_TIMEOUT_S),
            retries=False,
            preload_content=not stream,
        )

    def _stream(
        self, entry: Entry, body: dict[str, typing.Any], progress: "_Progress"
    ) -> None:
        headers = dict(self._headers)
        if progress.last_id:
            headers["Last-Event-ID"] = progress.last_id
        url = f"{entry.url}/v1/chat/completions"
        answer = self._post(url, body, headers, stream=True)
        try:
            if answer.status != 200:
                _raise_for(answer, entry)
            parser = EventParser()
            for chunk in answer.stream(65536):
                for event in parser.feed(chunk):
                    progress.take(event)
            if not progress.done:
                raise _Retry("the stream ended without [DONE]")
        finally:
            # Closes the connection if a part of the answer is unread.
            answer.close()

    def _post_booking(
        self, entry: Entry, headers: dict[str, str], key: str
    ) -> None:
        url = entry.url + self._booking_path
        answer = self._post(url, {"delivery": key}, headers, stream=False)
        if answer.status != 201:
            _raise_for(answer, entry)
        if answer.json().get("key") != key:
            raise CallFailed(f"answer of another booking: {answer.data!r}")


class _Progress:
    """How much of an expected text has arrived."""

    def __init__(self, expected: str) -> None:
        self._expected = expected
        self._position = 0
        self.last_id = ""
        self.done = False

    def take(self, event: Event) -> None:
        """Check one event and note its place."""
        if self.done:
            raise CallFailed(f"event after [DONE]: {event.data!r}")
        if event.data == "[DONE]":
            if self._position < len(self._expected):
                raise CallFailed(f"only {self._position} characters arrived")
            self.done = True
            return
        document = json.loads(event.data)
        if event.name == "error" or "choices" not in document:
            raise _Retry(f"error event {event.data}")
        for choice in document["choices"]:
            text = choice.get("delta", {}).get("content") or ""
            if not self._expected.startswith(text, self._position):
                raise CallFailed(f"got {text!r} at {self._position}")
            self._position += len(text)
        if event.id:
            self.last_id = event.id


def _raise_for(answer: urllib3.BaseHTTPResponse, entry: Entry) -> None:
    """Raise `_Retry` if the interface allows a repetition.

    Sleeps for `Retry-After`, within a bound.
    """
    try:
        problem = json.loads(answer.data)
    except ValueError:
        problem = {}
    kind, outcome = problem.get("kind"), problem.get("outcome")
    if outcome == "not_run" or kind == "call_in_progress":
        if answer.status in (400, 401, 403, 404, 405, 413, 422):
            raise CallFailed(f"{entry.name}: {answer.status} {problem}")
        wait_s = float(answer.headers.get("Retry-After", 0))
        time.sleep(min(wait_s, MAX_RETRY_AFTER_S))
        raise _Retry(f"{answer.status} {kind}")
    raise CallFailed(f"{entry.name}: {answer.status} {answer.data[:300]!r}")


@attrs.define
class Tally:
    """What callers have seen; `keys` are the acknowledged bookings."""

    drafts: int = 0
    keys: list[str] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)


class Load:
    """Threads that call until they are stopped."""

    def __init__(
        self, caller: Caller, model: str, tokens: int, timeout_s: float
    ) -> None:
        """Start with an empty tally."""
        self.tally = Tally()
        self._caller = caller
        self._model = model
        self._tokens = tokens
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, drafters: int, bookers: int, pause_s: float) -> None:
        """Start the threads; each pauses between its calls."""
        for work in [self._draft] * drafters + [self._book] * bookers:
            thread = threading.Thread(
                target=self._repeat, args=(work, pause_s), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Let every call in progress end, then return."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _repeat(self, work: typing.Callable[[], None], pause_s: float) -> None:
        while not self._stopped.wait(pause_s):
            try:
                work()
            except Exception as error:
                with self._lock:
                    self.tally.failures.append(f"{work.__name__}: {error!r}")

    def _draft(self) -> None:
        question = f"quote {uuid.uuid4()}"
        self._caller.draft(
            self._model, question, self._tokens, self._timeout_s
        )
        with self._lock:
            self.tally.drafts += 1

    def _book(self) -> None:
        key = str(uuid.uuid4())
        self._caller.book(key, self._timeout_s)
        with self._lock:
            self.tally.keys.append(key)


def check_bookings(
    keys: list[str], executions: dict[str, int]
) -> tuple[int, list[str]]:
    """Return how many bookings ran once, and what is wrong with others."""
    failures = [
        f"booking {key} ran {count} times"
        for key, count in executions.items()
        if count > 1
    ]
    lost = [key for key in keys if not executions.get(key)]
    failures += [f"booking {key} was acknowledged, not run" for key in lost]
    once = sum(executions.get(key) == 1 for key in keys)
    return once, failures
