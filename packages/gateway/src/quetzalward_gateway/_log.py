"""Structured, rate-limited log on standard output that never blocks."""

import collections
import json
import os
import typing

import attrs

from quetzalward_core import clock

# Limit for the events of one name. A failed request logs a single line, so
# that the limit only takes effect on floods.
MAX_LINES_PER_S = 40
# Limit for lines that a slow reader of the output has not yet taken; above
# it, the oldest are dropped.
MAX_QUEUED_LINES = 2_000


@attrs.define
class _RateWindow:
    second: int = -1
    count: int = 0
    dropped: int = 0


class EventLog:
    """Writes each event as a line of JSON.

    The next line after dropped ones has their count: `left_out` for lines over
    the rate limit, `lines_lost` for lines that could not be written.
    """

    def __init__(
        self,
        node: str,
        time_source: clock.Clock,
        descriptor: int = 1,
    ) -> None:
        """Write to a file descriptor, which is made non-blocking."""
        self._node = node
        self._clock = time_source
        self._descriptor = descriptor
        self._rate_by_event: dict[str, _RateWindow] = {}
        self._queue: collections.deque[bytes] = collections.deque()
        self._lost_lines = 0
        os.set_blocking(descriptor, False)

    def event(self, event: str, /, **fields: typing.Any) -> None:
        """Write a line unless the event is over its rate limit."""
        rate = self._rate_by_event.setdefault(event, _RateWindow())
        second = self._clock.now_ms() // clock.MILLIS_PER_SECOND
        if rate.second != second:
            rate.second, rate.count = second, 0
        rate.count += 1
        if rate.count > MAX_LINES_PER_S:
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
        if self._lost_lines:
            line["lines_lost"], self._lost_lines = self._lost_lines, 0
        self._write(json.dumps(line, default=str).encode() + b"\n")

    def _write(self, data: bytes) -> None:
        self._queue.append(data)
        if len(self._queue) > MAX_QUEUED_LINES:
            self._queue.popleft()
            self._lost_lines += 1
        while self._queue:
            first_line = self._queue[0]
            try:
                written = os.write(self._descriptor, first_line)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed; the node continues without a log.
                self._lost_lines += len(self._queue)
                self._queue.clear()
                return
            if written < len(first_line):
                self._queue[0] = first_line[written:]
                return
            self._queue.popleft()
