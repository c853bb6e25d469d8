"""What a node observed of crashes and of sound answers, by prompt part."""

import collections
import hashlib
import itertools
import typing

import attrs

from quetzalward_core import clock

# Time for which a crash counts. Requests with one part may be rare.
MAX_AGE_MS = 600_000
# Time after which an answer that is still written shows that its prompt does
# not crash the target. Crashes follow the first token within a few passes.
SETTLED_MS = 400
# Weights of an attempt as evidence. Most answers that a crash cuts off were
# either waiting or had been written for a while, so one that had begun without
# a complete event is more likely to be the cause.
BEGUN_WEIGHT = 2
CONTEXT_WEIGHT = 1
# Limits of the memory; the oldest are dropped.
MAX_CRASHES = 512
MAX_SOUND_PARTS = 4_096
MAX_SOUND_TIMES = 1_000
# Parts of one prompt that are considered, and the longest id that is not
# replaced by a digest: callers choose both, and messages must hold them.
MAX_PARTS = 64
MAX_ID_CHARS = 16
# Time in which a suspicion of this node's own stands.
SUSPICION_MS = 10_000
# Crashed targets from which on a part is a suspect.
SUSPICION_CRASHES = 2
# Settled answers are counted by the age of their beginning, as a measure of
# service: intervals, and their number.
SERVICE_INTERVAL_MS = 500
SERVICE_INTERVALS = 6
SERVICE_WINDOW_MS = SERVICE_INTERVAL_MS * SERVICE_INTERVALS


def part_ids(names: typing.Iterable[str]) -> tuple[str, ...]:
    """Return ids of bounded length and number for the parts of a prompt."""
    ids = itertools.islice(dict.fromkeys(names), MAX_PARTS)
    return tuple(_part_id(name) for name in ids)


def _part_id(name: str) -> str:
    if len(name) <= MAX_ID_CHARS:
        return name
    digest = hashlib.blake2b(
        name.encode(errors="replace"), digest_size=MAX_ID_CHARS // 2
    )
    return digest.hexdigest()


@attrs.frozen
class Crash:
    """An attempt whose target crashed before the answer had settled."""

    # Id that the node gave the request, the same for all of its attempts.
    request: str
    # One life of a target: its id and the epoch of its group.
    target: str
    parts: tuple[str, ...]
    weight: int
    at_ms: clock.Millis
    # Node that sent the request.
    node: str = ""


class EvidenceLog:
    """Crashes and sound answers that this node observed."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._crashes: collections.deque[Crash] = collections.deque(
            maxlen=MAX_CRASHES
        )
        # In the order of the last update.
        self._sound_ms_by_part: dict[str, clock.Millis] = {}
        # When the last settled answers began.
        self._sound_times_ms: collections.deque[clock.Millis] = (
            collections.deque(maxlen=MAX_SOUND_TIMES)
        )

    def record_crash(self, crash: Crash) -> None:
        """Record an attempt that a crash cut off."""
        if crash.parts:
            self._crashes.append(crash)

    def record_sound(
        self,
        parts: typing.Iterable[str],
        began_ms: clock.Millis,
    ) -> None:
        """Record that an answer settled that was begun at `began_ms`."""
        self._sound_times_ms.append(began_ms)
        for part in parts:
            known_ms = self._sound_ms_by_part.pop(part, began_ms)
            self._sound_ms_by_part[part] = max(known_ms, began_ms)
        while len(self._sound_ms_by_part) > MAX_SOUND_PARTS:
            del self._sound_ms_by_part[next(iter(self._sound_ms_by_part))]

    def crashes_since(self, since_ms: clock.Millis) -> list[Crash]:
        """Return the crashes from a time on."""
        return [crash for crash in self._crashes if crash.at_ms >= since_ms]

    def sound_ms(self, part: str) -> clock.Millis | None:
        """Return when the last answer began that settled with a part."""
        return self._sound_ms_by_part.get(part)

    def sound_counts(self, now_ms: clock.Millis) -> tuple[int, ...]:
        """Return the settled answers by the age of their beginning.

        The first count is of those begun within `SERVICE_INTERVAL_MS`.
        """
        counts = [0] * SERVICE_INTERVALS
        for began_ms in self._sound_times_ms:
            index = max(0, now_ms - began_ms) // SERVICE_INTERVAL_MS
            if index < SERVICE_INTERVALS:
                counts[index] += 1
        return tuple(counts)

    def is_suspect(self, part: str, now_ms: clock.Millis) -> bool:
        """Tell whether several targets crashed under a part, none answered."""
        since_ms = now_ms - SUSPICION_MS
        sound_ms = self._sound_ms_by_part.get(part)
        if sound_ms is not None:
            since_ms = max(since_ms, sound_ms)
        targets = {
            crash.target
            for crash in self._crashes
            if crash.at_ms >= since_ms and part in crash.parts
        }
        return len(targets) >= SUSPICION_CRASHES
