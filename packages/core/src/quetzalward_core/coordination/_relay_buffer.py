"""Records of a topic that the holder relays to the other nodes."""

import collections
import itertools

import attrs

from quetzalward_core import clock
from quetzalward_core.coordination import _messages

# Maximum size of the relayed records of a topic in one message. A larger
# message delays others on a slow link; what is left out follows in the next.
MAX_RELAY_BYTES = 48_000
# Maximum size of all retained records. A node that lacks older ones reads the
# store.
MAX_RETAINED_BYTES = 400_000


@attrs.frozen
class _RetainedRecord:
    record: _messages.RelayedRecord
    # Time at which the topic was known to end before this record or at it.
    ended_ms: clock.Millis
    size: int


class RelayBuffer:
    """Retains the records of a topic that this node received last.

    Offsets are consecutive, so that a receiver needs only the records from
    the offset on that it has acknowledged.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._retained: collections.deque[_RetainedRecord] = (
            collections.deque()
        )
        self._size = 0

    def clear(self) -> None:
        """Drop all records, because others in between were not received."""
        self._retained.clear()
        self._size = 0

    def append(
        self, record: _messages.RelayedRecord, ended_ms: clock.Millis
    ) -> None:
        """Retain the next record.

        `ended_ms` is the time of the last proof that there was no record
        after the one before.
        """
        size = len(record.key) + len(record.value or "")
        self._retained.append(_RetainedRecord(record, ended_ms, size))
        self._size += size
        while self._size > MAX_RETAINED_BYTES:
            self._size -= self._retained.popleft().size

    def view(
        self,
        acknowledged: int,
        end: int,
        confirmed_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> _messages.TopicView:
        """Return what a node needs that has the records before an offset.

        The topic was known to end at `end` at `confirmed_ms`. If a record is
        not retained or too large, there are none in the view, and its end
        tells the node to read the store.
        """
        complete = _messages.TopicView(end, now_ms - confirmed_ms, ())
        if acknowledged < 0 or acknowledged >= end or not self._retained:
            return complete
        skipped = acknowledged - self._retained[0].record.offset
        if skipped < 0:
            return complete
        records: list[_messages.RelayedRecord] = []
        size = 0
        for item in itertools.islice(self._retained, skipped, None):
            size += item.size
            if size > MAX_RELAY_BYTES:
                if not records:
                    return complete
                return _messages.TopicView(
                    item.record.offset,
                    now_ms - item.ended_ms,
                    tuple(records),
                )
            records.append(item.record)
        return attrs.evolve(complete, records=tuple(records))
