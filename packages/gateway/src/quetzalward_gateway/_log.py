"""Structured log lines on standard output, bounded and never blocking."""

import collections
import json
import os
import typing

import attrs

from quetzalward_core import clock

# Lines a second of one kind; a request that fails has one line, so the
# bound only cuts floods.
LINES_PER_S = 40
# Lines that wait for a reader of the output that does not keep up.
MAX_WAITING = 2_000


@attrs.define
class _Rate:
    second: int = -1
    count: int = 0
    dropped: int = 0


class EventLog:
    """Writes one JSON line an event, with the count of lines left out."""

    def __init__(
        self,
        node: str,
        time_source: clock.Clock,
        descriptor: int = 1,
    ) -> None:
        """Write to a descriptor, which is made non-blocking."""
        self._node = node
        self._clock = time_source
        self._descriptor = descriptor
        self._rates: dict[str, _Rate] = {}
        self._waiting: collections.deque[bytes] = collections.deque()
        self._lost = 0
        os.set_blocking(descriptor, False)

    def event(self, event: str, /, **fields: typing.Any) -> None:
        """Write a line unless its kind is over its rate."""
        rate = self._rates.setdefault(event, _Rate())
        second = self._clock.now_ms() // clock.MILLIS_PER_SECOND
        if rate.second != second:
            rate.second, rate.count = second, 0
        rate.count += 1
        if rate.count > LINES_PER_S:
            rate.dropped += 1
            return
        line = {
            "time_ms": self._clock.wall_ms(),
            "node": self._node,
            "event": event,
            **fields,
        }
        if rate.dropped:
            line["left_out"], rate.dropped = rate.dropped, 0
        if self._lost:
            line["lines_lost"], self._lost = self._lost, 0
        self._write(json.dumps(line, default=str).encode() + b"\n")

    def _write(self, data: bytes) -> None:
        self._waiting.append(data)
        if len(self._waiting) > MAX_WAITING:
            self._waiting.popleft()
            self._lost += 1
        while self._waiting:
            head = self._waiting[0]
            try:
                written = os.write(self._descriptor, head)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; the node goes on.
                self._lost += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(head):
                self._waiting[0] = head[written:]
                return
            self._waiting.popleft()
