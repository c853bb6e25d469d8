"""A bound on what the answers that are being received hold in memory."""

import collections.abc
import contextlib
import typing

import attrs

# Share of the process's memory that answers may hold while they are received.
ANSWERS_SHARE = 0.2
# Assumed where the deployment states no limit.
DEFAULT_PROCESS_BYTES = 300 * 1024 * 1024


class AnswerEvicted(Exception):
    """An answer was given up, as all answers held too much together."""


@attrs.define(eq=False)
class Holding:
    """What one answer holds."""

    _memory: "AnswerMemory"
    # Closes the connection that the answer comes from.
    _close: collections.abc.Callable[[], None]
    size_bytes: int = 0
    is_evicted: bool = False

    def resize(self, size_bytes: int) -> None:
        """Record what the answer holds now.

        Raises `AnswerEvicted` if it was given up, now or before.
        """
        if not self.is_evicted:
            self._memory.resize(self, size_bytes)
        if self.is_evicted:
            raise AnswerEvicted(
                "the answers that are being received hold more than "
                f"{self._memory.limit_bytes} bytes"
            )

    def evict(self) -> None:
        """Give the answer up."""
        self.is_evicted = True
        self._close()


class AnswerMemory:
    """Bounds the memory of all answers; the largest one has to go.

    Each answer is bounded as well, but a target in trouble may get hundreds
    of requests at once. The answers of sound targets are small beside those
    without end.
    """

    def __init__(self, process_bytes: int = DEFAULT_PROCESS_BYTES) -> None:
        """Take the memory limit of the process."""
        self.limit_bytes = round(ANSWERS_SHARE * process_bytes)
        self.held_bytes = 0
        self.evictions = 0
        self._holdings: set[Holding] = set()

    @contextlib.contextmanager
    def holding(
        self, close: collections.abc.Callable[[], None]
    ) -> typing.Iterator[Holding]:
        """Count an answer within the context.

        `close` ends its connection if the answer is given up.
        """
        holding = Holding(self, close)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._release(holding)

    def resize(self, holding: Holding, size_bytes: int) -> None:
        """Count what an answer holds; evict the largest ones if needed."""
        self.held_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes
        while self.held_bytes > self.limit_bytes:
            largest = max(self._holdings, key=lambda held: held.size_bytes)
            self._release(largest)
            self.evictions += 1
            largest.evict()

    def _release(self, holding: Holding) -> None:
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held_bytes -= holding.size_bytes
