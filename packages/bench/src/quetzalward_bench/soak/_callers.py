"""Callers of the soak, which check every response that they receive."""

import asyncio
import collections
import random
import time

import attrs

from quetzalward_bench.soak import _prompts
from quetzalward_bench.soak import _repeats
from quetzalward_core import fleet
import quetzalward_gateway as gateway
from quetzalward_standins import platform
from quetzalward_standins.platform import _operator

REQUEST_DEADLINE_MS = 6_000
MEAN_PAUSE_S = 0.06
# A node whose configuration may be older than this answers 503 instead of 401.
# It is 2.5 s of age and 2 s to apply a change, with a margin.
DENIED_AFTER_S = 6.0


@attrs.frozen
class SentAttempt:
    """A request attempt sent by a caller."""

    attempt_id: str
    kind: str
    tenant: str
    key: str
    sent_s: float
    prompt: _prompts.Prompt | None = None
    # The node that took it, by its port.
    port: int = 0
    # Whether it may be executed more than once.
    is_repeatable: bool = True
    # Body under which targets end, if it is such a request.
    crashing_body: bytes | None = None


@attrs.frozen
class Loss:
    """A request whose connection ended before its answer was complete."""

    sent: SentAttempt
    port: int
    at_s: float
    reason: str


@attrs.define
class Outcomes:
    """Attempts sent by callers, and their outcomes."""

    sent_by_id: dict[str, SentAttempt] = attrs.field(factory=dict)
    # Attempts whose response guarantees that they were not executed.
    not_executed: set[str] = attrs.field(factory=set)
    answered: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    losses: list[Loss] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    # Most recent outcomes: time, kind, success.
    recent: collections.deque[tuple[float, str, bool]] = attrs.field(
        factory=lambda: collections.deque(maxlen=2_000)
    )

    def senders(self) -> dict[str, platform.Sender]:
        """Return the node that took each attempt."""
        return {
            attempt_id: platform.Sender(str(sent.port), sent.sent_s)
            for attempt_id, sent in self.sent_by_id.items()
        }

    def success_share(self, since_s: float, kind: str) -> float | None:
        """Return the share of successes since a time.

        Returns `None` for fewer than three outcomes.
        """
        rows = [
            ok
            for at, name, ok in self.recent
            if at >= since_s and name == kind
        ]
        return sum(rows) / len(rows) if len(rows) >= 3 else None


class Callers:
    """Sends random requests to random nodes over persistent connections."""

    def __init__(
        self,
        ports: list[int],
        operator: _operator.Operator,
        outcomes: Outcomes,
        prompts: _prompts.Prompts,
        rng: random.Random,
        once_every: int = 0,
        crashing_requests: _repeats.CrashingRequests | None = None,
    ) -> None:
        """Send requests to the nodes at loopback ports.

        Of the caller's requests, drafts among every `once_every`th one may be
        executed only once.
        """
        self._crashing_requests = crashing_requests
        self._once_every = once_every
        self._prompts = prompts
        self._ports = ports
        self._operator = operator
        self._outcomes = outcomes
        self._rng = rng
        self._sent_count = 0

    async def run(self) -> None:
        """Send requests sequentially until cancelled."""
        client = gateway.HttpClient(lambda: int(time.monotonic() * 1000))
        while True:
            await asyncio.sleep(MEAN_PAUSE_S * self._rng.random() * 2)
            await self._request(client)

    async def _request(self, client: gateway.HttpClient) -> None:
        crashing = None
        if self._crashing_requests is not None:
            crashing = self._crashing_requests.draw()
        kind = self._rng.choice(("draft", "draft", "book", "stock"))
        tenant = self._rng.choice(sorted(self._operator.keys))
        if crashing is not None:
            kind = crashing.kind
            tenant = min(self._operator.keys)
        key = self._operator.keys[tenant][-1]
        if self._operator.revoked_s_by_key and self._rng.random() < 0.2:
            key = self._rng.choice(sorted(self._operator.revoked_s_by_key))
            tenant = key.split("-")[1]
        self._sent_count += 1
        attempt_id = f"a{id(self):x}-{self._sent_count}"
        prompt = self._prompts.draw() if kind == "draft" else None
        is_once = (
            crashing is None
            and prompt is not None
            and self._once_every > 0
            and self._sent_count % self._once_every == 0
        )
        sent = SentAttempt(
            attempt_id,
            kind,
            tenant,
            key,
            time.monotonic(),
            prompt,
            is_repeatable=kind != "book" and not is_once,
            crashing_body=crashing.body if crashing is not None else None,
        )
        event_count = self._rng.randint(5, 25)
        headers = [
            (b"host", _operator.HOST.encode()),
            (b"quetzalward-attempt-id", attempt_id.encode()),
            (
                b"quetzalward-request-deadline",
                str(REQUEST_DEADLINE_MS).encode(),
            ),
            (b"authorization", f"Token {key}".encode()),
        ]
        if prompt is not None:
            headers.append(
                (b"quetzalward-prompt-prefix", prompt.header.encode())
            )
            model = self._rng.choice(("large", "small"))
            headers.append((b"quetzalward-model", model.encode()))
            tokens = f"200,{event_count}".encode()
            headers.append((b"quetzalward-token-count", tokens))
        port = self._rng.choice(self._ports)
        sent = attrs.evolve(sent, port=port)
        self._outcomes.sent_by_id[attempt_id] = sent
        method = "GET" if kind == "stock" else "POST"
        body = b"x" * self._rng.choice((0, 40, 5_000))
        number = self._sent_count
        if method == "GET":
            body = b""
        if crashing is not None:
            body, number = crashing.body, 0
        try:
            answer = await client.call(
                fleet.Address("127.0.0.1", port),
                method,
                f"/{'once' if is_once else kind}/1?n={number}",
                headers,
                body,
                REQUEST_DEADLINE_MS + 1_500,
            )
        except gateway.CallFailed as error:
            self._record(sent, "no answer", False)
            self._outcomes.losses.append(
                Loss(sent, port, time.monotonic(), str(error))
            )
            return
        self._check(sent, answer, event_count)

    def _record(self, sent: SentAttempt, outcome: str, ok: bool) -> None:
        self._outcomes.answered[f"{sent.kind} {outcome}"] += 1
        is_crashing = sent.crashing_body is not None or (
            sent.prompt is not None and sent.prompt.crashing_part is not None
        )
        if sent.key not in self._operator.revoked_s_by_key and not is_crashing:
            self._outcomes.recent.append((time.monotonic(), sent.kind, ok))

    def _check_denial(self, sent: SentAttempt) -> None:
        """Check that a key which is not revoked is accepted in time."""
        published_s = self._operator.published_s_by_key[sent.key]
        is_revoked = sent.key in self._operator.revoked_s_by_key
        if not is_revoked and sent.sent_s > published_s + DENIED_AFTER_S:
            self._outcomes.violations.append(
                f"{sent.attempt_id}: key refused "
                f"{sent.sent_s - published_s:.1f} s after it was published"
            )

    def _check(
        self, sent: SentAttempt, answer: gateway.Response, event_count: int
    ) -> None:
        """Check that a response is complete and belongs to its request."""
        self._record(sent, str(answer.status), answer.status == 200)
        if answer.status in (408, 421, 429, 503):
            self._outcomes.not_executed.add(sent.attempt_id)
        if answer.status == 401:
            self._check_denial(sent)
        if answer.status != 200:
            return
        expected = f"ran {sent.attempt_id}".encode()
        if sent.kind == "draft":
            expected = b"".join(
                f"id: {n}\ndata: {sent.attempt_id}:{n}\n\n".encode()
                for n in range(1, event_count + 1)
            )
        if answer.body != expected:
            self._outcomes.violations.append(
                f"{sent.attempt_id}: {sent.kind} unexpected response body: "
                f"{answer.body[:200]!r}"
            )
