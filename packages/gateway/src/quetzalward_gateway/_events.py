"""Server-sent events: whole events out of parts of a body."""

import attrs

_ID = b"id:"


class EventGap(Exception):
    """An event does not follow the one before it."""


@attrs.frozen
class Event:
    """One event's bytes, ready to forward, and its id."""

    data: bytes
    id: str | None


class EventSplitter:
    """Cuts a body into whole events, ended by an empty line."""

    def __init__(self) -> None:
        """Start with nothing buffered."""
        self._buffer = b""

    @property
    def is_clean(self) -> bool:
        """Tell whether no part of an event is left over."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now."""
        self._buffer += data
        events: list[Event] = []
        while True:
            end = _end_of_event(self._buffer)
            if end < 0:
                return events
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(raw, _event_id(raw)))


def _end_of_event(data: bytes) -> int:
    """Return where the first event ends, -1 if it is not whole."""
    plain = data.find(b"\n\n")
    returns = data.find(b"\r\n\r\n")
    if plain < 0 and returns < 0:
        return -1
    if returns < 0 or 0 <= plain < returns:
        return plain + 2
    return returns + 4


def _event_id(raw: bytes) -> str | None:
    for line in raw.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None


@attrs.define
class EventSequence:
    """Checks that the events of all runs of a stream follow each other."""

    last_id: str | None = None

    def is_next(self, event: Event) -> bool:
        """Tell whether to forward an event; false for a repeated one.

        Raises `EventGap` if an event between was lost.
        """
        if event.id is None:
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
                raise EventGap(f"event {number} after {last}")
        self.last_id = event.id
        return True
