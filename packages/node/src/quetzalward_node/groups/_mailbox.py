"""Calls on workers with callbacks on the thread of the task."""

import queue
import typing

from quetzalward_node.groups import _platform

Result = typing.TypeVar("Result")


class Mailbox:
    """Runs calls on workers, and their callbacks in `deliver`."""

    def __init__(self, workers: _platform.Workers) -> None:
        """Use the given workers for all calls."""
        self._workers = workers
        self._callbacks: queue.SimpleQueue[typing.Callable[[], None]] = (
            queue.SimpleQueue()
        )

    def run(
        self,
        call: typing.Callable[[], Result],
        on_done: typing.Callable[[Result], None],
    ) -> None:
        """Run `call` on a worker, then `on_done` with its result.

        `on_done` runs in a later `deliver`, on the thread that calls it.
        """

        def work() -> None:
            result = call()
            self._callbacks.put(lambda: on_done(result))

        self._workers.submit(work)

    def deliver(self) -> None:
        """Run the callbacks of all calls that have returned."""
        while True:
            try:
                callback = self._callbacks.get_nowait()
            except queue.Empty:
                return
            callback()
