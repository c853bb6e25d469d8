"""Bounds on how long the work on one message keeps the event loop."""

import asyncio
import contextlib
import time
import typing

from quetzalward_core import clock

# Work on one message after which other tasks run.
SLICE_MS = 2.0
# Work without progress after which a message counts as costly. A whole answer
# of some megabytes takes less, unless it comes in very small parts.
COSTLY_MS = 50.0
# Share of the event loop that all costly messages get together.
COSTLY_SHARE = 0.25


def _now_ms() -> float:
    return time.monotonic() * clock.MILLIS_PER_SECOND


class CostlyWork:
    """Shares a part of the event loop out among costly messages."""

    def __init__(self) -> None:
        """Start without costly messages."""
        self._next_turn_ms = 0.0

    def wait_ms(self, work_ms: float, now_ms: float) -> float:
        """Return the wait before the next turn of a message.

        Turns follow each other in the order of the calls. `work_ms` is the
        work of the turn that has ended.
        """
        turn_ms = max(self._next_turn_ms, now_ms)
        self._next_turn_ms = turn_ms + work_ms / COSTLY_SHARE
        return self._next_turn_ms - now_ms


class Pacer:
    """Lets other tasks run during the work on one message.

    A peer decides how much work its message is: one that sends small parts at
    a high rate always has the next part ready, so that reading never waits.
    """

    def __init__(self, costly_work: CostlyWork | None = None) -> None:
        """Start without work; without `costly_work` no message is costly."""
        self._costly_work = costly_work
        self._working_since_ms = _now_ms()
        # Work since other tasks last ran, and since the last progress.
        self._slice_ms = 0.0
        self._fruitless_ms = 0.0

    def restart(self) -> None:
        """Begin the work on another message."""
        self._working_since_ms = _now_ms()
        self._slice_ms = self._fruitless_ms = 0.0

    def record_progress(self) -> None:
        """Record that the work has produced a part of the answer."""
        self._fruitless_ms = 0.0

    @contextlib.contextmanager
    def waiting(self) -> typing.Iterator[None]:
        """Count the time within the context not as work."""
        self._count_work()
        try:
            yield
        finally:
            self._working_since_ms = _now_ms()

    async def pause_if_due(self) -> None:
        """Let other tasks run if the work has taken a slice."""
        self._count_work()
        if self._slice_ms < SLICE_MS:
            return
        wait_ms = 0.0
        if self._costly_work is not None and self._fruitless_ms > COSTLY_MS:
            wait_ms = self._costly_work.wait_ms(self._slice_ms, _now_ms())
        self._slice_ms = 0.0
        with self.waiting():
            await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)

    def _count_work(self) -> None:
        now_ms = _now_ms()
        work_ms = now_ms - self._working_since_ms
        self._working_since_ms = now_ms
        self._slice_ms += work_ms
        self._fruitless_ms += work_ms
