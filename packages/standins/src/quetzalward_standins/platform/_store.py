"""Stand-in of the platform's store: keyed topics with conditional appends."""

import asyncio
import base64
import json
import random
import struct
import time

import attrs

from quetzalward_standins.platform import _http

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
# Topics that only operators and targets write.
RESERVED_TOPICS = frozenset(("keyed.op", "keyed.servers"))
ERA_HEADER = "store-era"


@attrs.define
class Faults:
    """Faults that are active in the store."""

    down: bool = False
    # Added to the latency of each response.
    delay_s: float = 0.0
    # Share of the appends that take effect but get no response.
    lost_response_share: float = 0.0


@attrs.define
class Topic:
    """Records of one keyed topic, oldest first."""

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    # Records before this offset were deleted.
    first_offset: int = 0
    # Monotonic time of each record's append.
    appended_s: list[float] = attrs.field(factory=list)

    def append(self, key: str, value: bytes) -> int:
        """Add a record; return its offset."""
        self.records.append((key, value))
        self.appended_s.append(time.monotonic())
        return len(self.records) - 1

    def restore(self, since_s: float) -> None:
        """Lose the records that were appended after a time."""
        while self.appended_s and self.appended_s[-1] > since_s:
            self.appended_s.pop()
            self.records.pop()
        self.first_offset = min(self.first_offset, len(self.records))

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return the newest record of each key that still has a value."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = (offset, value)
        return {key: row for key, row in found.items() if row[1]}


class Store:
    """The store, with injected faults."""

    def __init__(self, rng: random.Random) -> None:
        """Create an empty store."""
        self.faults = Faults()
        self.topic_by_name: dict[str, Topic] = {}
        self.call_count = 0
        # Rises with each restore; all responses carry it.
        self.era = 1
        self._rng = rng
        self._changed = asyncio.Event()
        self.server = _http.Server(self._handle)

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record as an operator or a target; return its offset."""
        offset = self._topic(topic).append(key, value)
        self._notify()
        return offset

    def delete(self, topic: str, key: str) -> None:
        """Delete a key if it has a value."""
        if key in self._topic(topic).newest():
            self.put(topic, key, b"")

    def compact(self, topic: str) -> None:
        """Compact a topic: only the newest record of each key stays."""
        found = self._topic(topic)
        found.first_offset = len(found.records)

    def restore(self, age_s: float) -> None:
        """Continue from a copy of `age_s` ago, in the next era.

        Operators and targets have to write their records again.
        """
        self.era += 1
        since_s = time.monotonic() - age_s
        for topic in self.topic_by_name.values():
            topic.restore(since_s)
        self._notify()

    def _topic(self, name: str) -> Topic:
        return self.topic_by_name.setdefault(name, Topic())

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, request: _http.Request, reply: _http.Reply
    ) -> None:
        self.call_count += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            self._send(reply, 503)
            return
        if request.path == "/log-append":
            self._append(request, reply)
        elif request.path == "/log-read":
            await self._read(request, reply)
        elif request.path == "/log-newest":
            self._newest(request, reply)
        else:
            self._send(reply, 404)

    def _send(
        self, reply: _http.Reply, status: int, body: bytes = b""
    ) -> None:
        reply.send(status, body, {ERA_HEADER: str(self.era)})

    def _append(self, request: _http.Request, reply: _http.Reply) -> None:
        name = request.query["topic"]
        if name in RESERVED_TOPICS:
            self._send(reply, 403)
            return
        topic = self._topic(name)
        at = request.query.get("at")
        end = len(topic.records)
        if at is not None and int(at) != end:
            self._send(reply, 412, json.dumps({"end": end}).encode())
            return
        content = request.body[_LENGTH.size :]
        size = content[0]
        offset = topic.append(
            content[1 : 1 + size].decode(), content[1 + size :]
        )
        self._notify()
        if self._rng.random() < self.faults.lost_response_share:
            reply.reset()
            return
        answer = {"offset": offset, "end": offset + 1}
        self._send(reply, 200, json.dumps(answer).encode())

    async def _read(self, request: _http.Request, reply: _http.Reply) -> None:
        topic = self._topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        if not topic.first_offset <= start <= len(topic.records):
            answer = {"first": topic.first_offset}
            self._send(reply, 410, json.dumps(answer).encode())
            return
        era = self.era
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while (
            self.era == era
            and len(topic.records) <= start
            and loop.time() < until
        ):
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        if self.faults.down or self.era != era:
            # Connections do not outlive a restore.
            reply.reset()
            return
        body = _OFFSETS.pack(len(topic.records), topic.first_offset)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += _LENGTH.pack(len(content)) + content
        self._send(reply, 200, body)

    def _newest(self, request: _http.Request, reply: _http.Reply) -> None:
        topic = self._topic(request.query["topic"])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in topic.newest().items()
        ]
        answer = {
            "items": items,
            "hasMore": False,
            "end": len(topic.records),
        }
        self._send(reply, 200, json.dumps(answer).encode())
