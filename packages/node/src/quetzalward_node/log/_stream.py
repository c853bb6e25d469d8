"""Reader, appender and snapshot threads of one stream."""

import random
import threading
import typing

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_node.log import _appender
from quetzalward_node.log import _client
from quetzalward_node.log import _reader
from quetzalward_node.log import _snapshots

FoldT = typing.TypeVar("FoldT", bound=agreement.Fold)
_FLUSH_POLL_INTERVAL_MS = 20


class StreamTask(typing.Generic[FoldT]):
    """Reader, appender and snapshot writer of one stream."""

    def __init__(
        self,
        store: _client.LogStore,
        stream: str,
        fold_class: type[FoldT],
        writer: str,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Create the components; `start` runs their threads."""
        self.reader = _reader.StreamReader(
            store, stream, fold_class, clock, rng
        )
        self.appender = _appender.Appender(
            store, self.reader, writer, clock, rng
        )
        self.snapshots = _snapshots.SnapshotWriter(
            self.reader, self.appender, clock, rng
        )
        self._clock = clock
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start reading, appending and writing snapshots."""
        stream = self.reader.stream
        run_by_component: dict[str, typing.Callable[[], None]] = {
            "reader": lambda: self.reader.run(self._stopping),
            "appender": self.appender.run,
            "snapshots": lambda: self.snapshots.run(self._stopping),
        }
        for component, run in run_by_component.items():
            name = f"log-{stream}-{component}"
            thread = threading.Thread(target=run, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    def flush(self, deadline_ms: clocks.Millis) -> bool:
        """Wait until all queued entries are appended; false at timeout."""
        pause_s = _FLUSH_POLL_INTERVAL_MS / clocks.MILLIS_PER_SECOND
        while not self.appender.idle():
            if self._clock.now_ms() >= deadline_ms:
                return False
            self._stopping.wait(pause_s)
        return True

    def begin_stop(self) -> None:
        """Signal all threads to stop, without waiting for them."""
        self._stopping.set()
        self.appender.stop()

    def stop(self) -> None:
        """Stop all threads and wait for them."""
        self.begin_stop()
        for thread in self._threads:
            thread.join()
        self._threads.clear()
