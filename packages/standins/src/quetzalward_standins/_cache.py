"""The bounded prefix cache of a stand-in engine, and its late events."""

import collections
import random

import attrs

from quetzalward_core import clock

MAX_KEPT_EVENTS = 5000


@attrs.frozen
class CacheEvent:
    """One change of the cache, and when readers may see it."""

    seq: int
    prefix: str
    op: str
    visible_ms: clock.Millis


class PrefixCache:
    """Least recently used prefixes; its owner guards it.

    Events become visible late, and a share of them is lost: their sequence
    numbers are missing from what readers get.
    """

    def __init__(
        self, size: int, event_lag_ms: int, event_gap: float, seed: int
    ) -> None:
        """Start empty; `event_gap` is the share of events that are lost."""
        self._size = size
        self._event_lag_ms = event_lag_ms
        self._event_gap = event_gap
        self._random = random.Random(seed)
        self._prefixes: collections.OrderedDict[str, None]
        self._prefixes = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._seq = 0

    def __contains__(self, prefix: str) -> bool:
        """Tell whether a prefix is in the cache."""
        return prefix in self._prefixes

    def touch(self, prefixes: list[str], now_ms: clock.Millis) -> int:
        """Use prefixes, adding what is missing; return how many were."""
        missing = 0
        for prefix in prefixes:
            if prefix in self._prefixes:
                self._prefixes.move_to_end(prefix)
                continue
            missing += 1
            self._prefixes[prefix] = None
            self._note(prefix, "add", now_ms)
            if len(self._prefixes) > self._size:
                evicted, _ = self._prefixes.popitem(last=False)
                self._note(evicted, "evict", now_ms)
        return missing

    def clear(self) -> None:
        """Lose the content without events, as a failing engine does."""
        self._prefixes.clear()

    def events(
        self, after: int, now_ms: clock.Millis
    ) -> tuple[list[CacheEvent], int]:
        """Return visible events above `after`, and the next `after`."""
        found = [
            event
            for event in self._events
            if event.seq > after and event.visible_ms <= now_ms
        ]
        following = found[-1].seq if found else min(after, self._seq)
        return found, following

    def _note(self, prefix: str, op: str, now_ms: clock.Millis) -> None:
        self._seq += 1
        if self._random.random() < self._event_gap:
            return
        visible_ms = now_ms + self._event_lag_ms
        self._events.append(CacheEvent(self._seq, prefix, op, visible_ms))
