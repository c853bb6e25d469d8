"""Server-sent events: an incremental parser and a formatter."""

import attrs

# An engine event holds one token; anything near this size is not an event.
MAX_EVENT_BYTES = 262_144

# Bytes at the end of a body that tell whether an event is complete.
EVENT_END_BYTES = 4
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class SseError(ValueError):
    """The bytes are not a valid event stream."""


@attrs.frozen
class Event:
    """One event; `event_id` is `None` if the event carried no id."""

    data: str
    event_id: str | None = None


@attrs.define
class SseParser:
    """Parses the bytes of one response; buffers at most one event."""

    _pending: bytearray = attrs.field(factory=bytearray)
    _data: list[str] = attrs.field(factory=list)
    _event_id: str | None = None
    _event_bytes: int = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Raises `SseError` for invalid UTF-8 and for an event over
        `MAX_EVENT_BYTES`.
        """
        # Each byte is searched once, or small parts take quadratic time.
        searched = len(self._pending)
        self._pending += data
        events = []
        while (end := self._pending.find(b"\n", searched)) >= 0:
            searched = 0
            line = bytes(self._pending[:end])
            del self._pending[: end + 1]
            event = self._parse_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        if len(self._pending) + self._event_bytes > MAX_EVENT_BYTES:
            raise SseError(f"event larger than {MAX_EVENT_BYTES} bytes")
        return events

    def _parse_line(self, line: bytes) -> Event | None:
        if not line:
            return self._end_event()
        try:
            text = line.decode()
        except UnicodeDecodeError as error:
            raise SseError("event is not valid UTF-8") from error
        self._event_bytes += len(line)
        if self._event_bytes > MAX_EVENT_BYTES:
            raise SseError(f"event larger than {MAX_EVENT_BYTES} bytes")
        field, _, value = text.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            self._data.append(value)
        elif field == "id":
            self._event_id = value
        return None

    def _end_event(self) -> Event | None:
        event = None
        if self._data:
            event = Event("\n".join(self._data), self._event_id)
        self._data = []
        self._event_id = None
        self._event_bytes = 0
        return event


def format_event(data: str, event_id: str) -> bytes:
    """Return the bytes of an event.

    Raises `ValueError` if `data` contains a line break.
    """
    if "\n" in data or "\r" in data:
        raise ValueError("event data must be a single line")
    return f"id: {event_id}\ndata: {data}\n\n".encode()


def is_event_stream(content_type: str) -> bool:
    """Tell whether a media type is that of server-sent events."""
    media_type, _, _ = content_type.partition(";")
    return media_type.strip().lower() == "text/event-stream"


def ends_with_event(tail: bytes) -> bool:
    """Tell whether a body of events is whole, from its last bytes.

    An empty line ends each event. A body without it was broken off, also if
    the end of the connection ends the body. `EVENT_END_BYTES` are enough.
    """
    return not tail.strip() or tail.endswith(_EVENT_ENDS)
