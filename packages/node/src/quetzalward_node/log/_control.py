"""The control stream, as used by the other tasks of the node."""

import collections.abc
import random

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node import interfaces
from quetzalward_node.log import _client
from quetzalward_node.log import _stream


class ControlLogTask:
    """Implements `interfaces.ControlLog`."""

    def __init__(
        self,
        store: _client.LogStore,
        writer: str,
        clock: clocks.Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Prepare to follow the control stream; `start` runs the threads."""
        self.task = _stream.StreamTask(
            store,
            agreement.CONTROL_STREAM,
            agreement.ControlState,
            writer,
            clock,
            rng or random.Random(),
        )
        self._writer = writer
        self._clock = clock
        # The reader thread replaces it atomically, so no lock is needed.
        self._view = self.task.reader.fold.view()
        self.task.reader.publish = self._publish

    def start(self) -> None:
        """Start the stream's threads."""
        self.task.start()

    def stop(self) -> None:
        """Stop the stream's threads."""
        self.task.stop()

    def writer(self) -> str:
        """Return this node's writer name."""
        return self._writer

    def state(self) -> agreement.ControlView:
        """Return the newest immutable view of the control state."""
        return self._view

    def append(
        self,
        entries: collections.abc.Sequence[agreement.Entry],
        deadline_ms: clocks.Millis,
    ) -> list[agreement.EntryResult]:
        """Append entries in one batch; see `interfaces.ControlLog`."""
        appender = self.task.appender
        return appender.wait(appender.submit(entries, deadline_ms))

    def head_age_ms(self) -> clocks.Millis:
        """Return the time since the last read of the head was sent."""
        return self.task.reader.head_age_ms()

    def ready(self) -> bool:
        """Return whether the head was ever read."""
        return self.head_age_ms() < interfaces.HEAD_NEVER_READ_MS

    def wait_for(
        self, position: int, deadline_ms: clocks.Millis
    ) -> agreement.ControlView | None:
        """Wait until `state()` covers a position; `None` at the deadline."""
        offset = agreement.offset_of(position)
        timeout_ms = deadline_ms - self._clock.now_ms()
        reached = self.task.reader.wait_until(
            lambda: self._view.next_offset > offset, timeout_ms
        )
        return self._view if reached else None

    def _publish(self, fold: agreement.ControlState) -> None:
        self._view = fold.view()
