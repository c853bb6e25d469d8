"""Calls on workers whose results return to the task's own thread."""

import queue
import typing

from quetzalward_node.groups import _platform

Result = typing.TypeVar("Result")


class Mailbox:
    """Runs calls elsewhere and hands their results back in `deliver`."""

    def __init__(self, workers: _platform.Workers) -> None:
        """Run calls on the given workers."""
        self._workers = workers
        self._results: queue.SimpleQueue[typing.Callable[[], None]] = (
            queue.SimpleQueue()
        )

    def run(
        self,
        call: typing.Callable[[], Result],
        on_done: typing.Callable[[Result], None],
    ) -> None:
        """Run `call` on a worker, and `on_done` in a later `deliver`."""

        def work() -> None:
            result = call()
            self._results.put(lambda: on_done(result))

        self._workers.submit(work)

    def deliver(self) -> None:
        """Handle all results that have arrived."""
        while True:
            try:
                handle = self._results.get_nowait()
            except queue.Empty:
                return
            handle()
