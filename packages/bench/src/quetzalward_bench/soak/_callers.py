"""Callers of the soak: they keep connections and check every answer."""

import asyncio
import collections
import random
import time

import attrs

from quetzalward_core import fleet
import quetzalward_gateway as gateway
from quetzalward_standins.platform import _operator

DEADLINE_MS = 6_000
PAUSE_S = 0.06


@attrs.frozen
class Sent:
    """One attempt of a caller."""

    attempt_id: str
    kind: str
    tenant: str
    key: str
    at_s: float


@attrs.define
class Tally:
    """What callers sent and what came back."""

    sent_by_id: dict[str, Sent] = attrs.field(factory=dict)
    # Attempts answered with a promise that they did not run.
    promised: set[str] = attrs.field(factory=set)
    answered: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    broken: list[str] = attrs.field(factory=list)
    # Outcomes of the last moments: time, kind, success.
    recent: collections.deque[tuple[float, str, bool]] = attrs.field(
        factory=lambda: collections.deque(maxlen=2_000)
    )

    def success_share(self, since_s: float, kind: str) -> float | None:
        """Return the share of successes since a time, `None` if unknown."""
        rows = [
            ok
            for at, name, ok in self.recent
            if at >= since_s and name == kind
        ]
        return sum(rows) / len(rows) if len(rows) >= 3 else None


class Callers:
    """A number of callers, each with open connections to all nodes."""

    def __init__(
        self,
        ports: list[int],
        operator: _operator.Operator,
        tally: Tally,
        draw: random.Random,
    ) -> None:
        """Call the nodes at loopback ports."""
        self._ports = ports
        self._operator = operator
        self._tally = tally
        self._draw = draw
        self._count = 0

    async def run(self) -> None:
        """Send requests one after the other until cancelled."""
        client = gateway.HttpClient(lambda: int(time.monotonic() * 1000))
        while True:
            await asyncio.sleep(PAUSE_S * self._draw.random() * 2)
            await self._request(client)

    async def _request(self, client: gateway.HttpClient) -> None:
        kind = self._draw.choice(("draft", "draft", "book", "stock"))
        tenant = self._draw.choice(sorted(self._operator.keys))
        key = self._operator.keys[tenant][-1]
        if self._operator.revoked_s_by_key and self._draw.random() < 0.2:
            key = self._draw.choice(sorted(self._operator.revoked_s_by_key))
            tenant = key.split("-")[1]
        self._count += 1
        attempt_id = f"a{id(self):x}-{self._count}"
        sent = Sent(attempt_id, kind, tenant, key, time.monotonic())
        self._tally.sent_by_id[attempt_id] = sent
        length = self._draw.randint(5, 25)
        headers = [
            (b"host", _operator.HOST.encode()),
            (b"quetzalward-attempt-id", attempt_id.encode()),
            (b"quetzalward-request-deadline", str(DEADLINE_MS).encode()),
            (b"authorization", f"Token {key}".encode()),
        ]
        if kind == "draft":
            model = self._draw.choice(("large", "small"))
            headers.append((b"quetzalward-model", model.encode()))
            tokens = f"200,{length}".encode()
            headers.append((b"quetzalward-token-count", tokens))
        port = self._draw.choice(self._ports)
        method = "GET" if kind == "stock" else "POST"
        body = b"x" * self._draw.choice((0, 40, 5_000))
        if method == "GET":
            body = b""
        try:
            answer = await client.call(
                fleet.Address("127.0.0.1", port),
                method,
                f"/{kind}/1?n={self._count}",
                headers,
                body,
                DEADLINE_MS + 1_500,
            )
        except gateway.CallFailed:
            self._note(sent, "no answer", False)
            return
        self._check(sent, answer, length)

    def _note(self, sent: Sent, outcome: str, ok: bool) -> None:
        self._tally.answered[f"{sent.kind} {outcome}"] += 1
        if sent.key not in self._operator.revoked_s_by_key:
            self._tally.recent.append((time.monotonic(), sent.kind, ok))

    def _check(
        self, sent: Sent, answer: gateway.Response, length: int
    ) -> None:
        """Check that an answer is the whole one of its request."""
        self._note(sent, str(answer.status), answer.status == 200)
        if answer.status in (408, 421, 429, 503):
            self._tally.promised.add(sent.attempt_id)
        if answer.status != 200:
            return
        expected = f"ran {sent.attempt_id}".encode()
        if sent.kind == "draft":
            expected = b"".join(
                f"id: {n}\ndata: {sent.attempt_id}:{n}\n\n".encode()
                for n in range(1, length + 1)
            )
        if answer.body != expected:
            self._tally.broken.append(
                f"{sent.attempt_id}: {sent.kind} got another body: "
                f"{answer.body[:200]!r}"
            )
