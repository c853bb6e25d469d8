"""Weighted fair queue with priorities.

Start-time fair queueing (SFQ); a flow is a customer and a priority. The
priority multiplies the customer's weight and is not strict, so every flow with
a waiting request is served after a bounded amount of other work.
"""

import heapq
import typing

import attrs

MAX_PRIORITY = 3
_PRIORITY_BASE = 2.0
MIN_WEIGHT = 0.01

Item = typing.TypeVar("Item")


@attrs.define
class _Entry(typing.Generic[Item]):
    """A queued item with its SFQ start tag."""

    start_tag: float
    seq: int
    key: str
    item: Item
    removed: bool = False

    def __lt__(self, other: "_Entry[Item]") -> bool:
        """Order by start tag, then by arrival."""
        return (self.start_tag, self.seq) < (other.start_tag, other.seq)


def flow_weight(weight: float, priority: int) -> float:
    """Return the weight of a customer's flow at a priority."""
    bounded = max(-MAX_PRIORITY, min(MAX_PRIORITY, priority))
    return max(MIN_WEIGHT, weight) * _PRIORITY_BASE**bounded


class FairQueue(typing.Generic[Item]):
    """Queue of items with unique keys, served in weighted fair order."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[_Entry[Item]] = []
        self._entries: dict[str, _Entry[Item]] = {}
        self._finish_tags: dict[tuple[str, int], float] = {}
        self._virtual_time = 0.0
        self._seq = 0

    def __len__(self) -> int:
        """Return the number of queued items."""
        return len(self._entries)

    def push(
        self,
        key: str,
        item: Item,
        customer: str,
        priority: int,
        weight: float,
        cost: float,
    ) -> None:
        """Queue an item; `cost` is its relative size.

        Raises `ValueError` if `key` is already queued.
        """
        if key in self._entries:
            raise ValueError(f"{key!r} is already queued")
        flow = (customer, priority)
        start_tag = max(self._virtual_time, self._finish_tags.get(flow, 0.0))
        self._finish_tags[flow] = start_tag + cost / flow_weight(
            weight, priority
        )
        self._seq += 1
        entry = _Entry(start_tag, self._seq, key, item)
        self._entries[key] = entry
        heapq.heappush(self._heap, entry)

    def peek(self) -> Item | None:
        """Return the next item without removing it."""
        self._drop_removed()
        return self._heap[0].item if self._heap else None

    def pop(self) -> Item | None:
        """Remove and return the next item."""
        self._drop_removed()
        if not self._heap:
            return None
        entry = heapq.heappop(self._heap)
        del self._entries[entry.key]
        self._virtual_time = max(self._virtual_time, entry.start_tag)
        self._discard_idle_flows()
        return entry.item

    def remove(self, key: str) -> Item | None:
        """Remove and return an item, for example after its deadline."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        entry.removed = True
        if len(self._heap) > 2 * len(self._entries) + 16:
            self._heap = [
                queued for queued in self._heap if not queued.removed
            ]
            heapq.heapify(self._heap)
        return entry.item

    def items(self) -> list[Item]:
        """Return the queued items in the order of service."""
        entries = sorted(self._entries.values())
        return [entry.item for entry in entries]

    def position(
        self, customer: str, priority: int, weight: float, cost: float
    ) -> int:
        """Return how many items would be served before a new one."""
        start_tag = max(
            self._virtual_time,
            self._finish_tags.get((customer, priority), 0.0),
        )
        return sum(
            1
            for entry in self._entries.values()
            if entry.start_tag <= start_tag
        )

    def _drop_removed(self) -> None:
        while self._heap and self._heap[0].removed:
            heapq.heappop(self._heap)

    def _discard_idle_flows(self) -> None:
        """Discard flows whose finish tags the virtual time has passed."""
        if len(self._finish_tags) > 2 * len(self._entries) + 64:
            self._finish_tags = {
                flow: finish_tag
                for flow, finish_tag in self._finish_tags.items()
                if finish_tag > self._virtual_time
            }
