"""Parsing and de-duplication of server-sent events (SSE)."""

import re

import attrs

_ID = b"id:"
# A comment, or a field with its value.
_LINE = re.compile(rb":|[a-z][a-z0-9-]*:|(?:data|event|id|retry)$")
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
_EVENT_END_BYTES = 4
# Maximum size of one event. A target in trouble may send bytes without end
# that never complete an event.
MAX_EVENT_BYTES = 1024 * 1024


class EventGap(Exception):
    """The id of an event is not the successor of the last one."""


class NotAnEvent(Exception):
    """A part of a stream's body is no event, such as an error's text."""


class EventTooLarge(Exception):
    """An event is larger than `MAX_EVENT_BYTES`."""


@attrs.frozen
class Event:
    """The raw bytes of one event, ready to forward, and its id."""

    data: bytes
    id: str | None

    @property
    def is_comment(self) -> bool:
        """Tell whether the event has nothing but comments."""
        lines = self.data.splitlines()
        return all(line.startswith(b":") for line in lines if line)


class EventSplitter:
    """Splits a body into complete events, each ended by an empty line."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        # No event ends before this position. Each byte is searched once, or a
        # body in small parts would take quadratic time.
        self._searched = 0

    @property
    def is_at_event_boundary(self) -> bool:
        """Tell whether the buffer holds no incomplete event."""
        return not self._buffer.strip()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add a part of the body; return the events that it completes.

        Raises `EventTooLarge` if the incomplete event grows too large.
        """
        self._buffer += data
        events: list[Event] = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer, self._searched):
            raw = bytes(self._buffer[start : end.end()])
            events.append(Event(raw, _event_id(raw)))
            start = end.end()
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        # An end may lie across the parts.
        self._searched = max(0, len(self._buffer) - _EVENT_END_BYTES + 1)
        return events


def _event_id(raw: bytes) -> str | None:
    for line in raw.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None


@attrs.define
class EventSequence:
    """Checks event ids over all attempts that serve one stream.

    Integer ids must ascend by one. Events with another id are always
    accepted, those without an id as long as none had an integer one.
    """

    last_id: str | None = None

    def accept(self, event: Event) -> bool:
        """Return whether to forward an event; false for a duplicate.

        Raises `EventGap` if ids between the last event and this one are
        missing, and `NotAnEvent`.
        """
        lines = [line for line in event.data.splitlines() if line]
        if not all(_LINE.match(line) for line in lines):
            raise NotAnEvent(f"no event: {event.data[:80]!r}")
        if event.id is None:
            if not event.is_comment and (self.last_id or "").isdigit():
                raise NotAnEvent(
                    f"no id, but the last event was {self.last_id}"
                )
            return True
        try:
            number = int(event.id)
            last = int(self.last_id) if self.last_id is not None else None
        except ValueError:
            self.last_id = event.id
            return True
        if last is not None:
            if number <= last:
                return False
            if number != last + 1:
                raise EventGap(
                    f"received event {number}, but the last event was {last}"
                )
        self.last_id = event.id
        return True
