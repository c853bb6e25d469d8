"""What a node observed of crashes and of sound answers, by trait."""

import collections
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.quarantine import _traits

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
# Limits of the memory; the oldest are dropped. A prompt may have hundreds of
# parts, so that the traits of all crashes are limited as well.
MAX_CRASHES = 512
MAX_CRASH_TRAITS = 32_768
MAX_SOUND_PARTS = 4_096
MAX_SOUND_REQUESTS = 4_096
MAX_SOUND_TIMES = 1_000
# Time in which a suspicion of this node's own stands.
SUSPICION_MS = 10_000
# Crashed targets from which on a part is a suspect.
SUSPICION_CRASHES = 2
# Settled answers are counted by the age of their beginning, as a measure of
# service: intervals, and their number.
SERVICE_INTERVAL_MS = 500
SERVICE_INTERVALS = 6
SERVICE_WINDOW_MS = SERVICE_INTERVAL_MS * SERVICE_INTERVALS


@attrs.frozen
class Crash:
    """An attempt whose target crashed before the answer had settled."""

    # Id that the node gave the request, the same for all of its attempts.
    request: str
    # One life of a target: its id and the epoch of its group.
    target: str
    traits: tuple[str, ...]
    weight: int
    at_ms: clock.Millis
    # Node that sent the request.
    node: str = ""
    # Empty in reports of nodes that do not say it.
    service: str = ""
    # The trait of the whole request, if it is known.
    repeats: frozenset[str] = attrs.field(init=False, eq=False)

    @repeats.default
    def _repeats(self) -> frozenset[str]:
        return frozenset(filter(_traits.is_request, self.traits))


class CrashTable:
    """Crashes by request and target, some dropped beyond a limit.

    The oldest are dropped, first those of requests that crashed only once: an
    outage cuts off many requests, few of them again and again.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._crash_by_key: dict[tuple[str, str], Crash] = {}
        self._trait_count = 0
        self._count_by_repeats: collections.Counter[frozenset[str]] = (
            collections.Counter()
        )

    def __contains__(self, crash: object) -> bool:
        """Tell whether a crash is known."""
        return (
            isinstance(crash, Crash)
            and (crash.request, crash.target) in self._crash_by_key
        )

    def __len__(self) -> int:
        """Return the number of crashes."""
        return len(self._crash_by_key)

    def __iter__(self) -> typing.Iterator[Crash]:
        """Return the crashes, the first added one first."""
        return iter(self._crash_by_key.values())

    def add(self, crash: Crash) -> None:
        """Add a crash unless it is known."""
        if crash in self:
            return
        self._crash_by_key[crash.request, crash.target] = crash
        self._trait_count += len(crash.traits)
        self._count_by_repeats[crash.repeats] += 1
        while (
            len(self._crash_by_key) > MAX_CRASHES
            or self._trait_count > MAX_CRASH_TRAITS
        ):
            self.remove(self._least_telling())

    def _least_telling(self) -> Crash:
        for crash in self:
            if self._count_by_repeats[crash.repeats] == 1:
                return crash
        return next(iter(self))

    def remove(self, crash: Crash) -> None:
        """Remove a crash that is known."""
        del self._crash_by_key[crash.request, crash.target]
        self._trait_count -= len(crash.traits)
        self._count_by_repeats[crash.repeats] -= 1
        if not self._count_by_repeats[crash.repeats]:
            del self._count_by_repeats[crash.repeats]


class EvidenceLog:
    """Crashes and sound answers that this node observed."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._crashes = CrashTable()
        # In the order of the last update.
        self._sound_ms_by_part: dict[str, clock.Millis] = {}
        self._sound_ms_by_request: dict[str, clock.Millis] = {}
        # When the last settled answers to prompts began.
        self._sound_times_ms: collections.deque[clock.Millis] = (
            collections.deque(maxlen=MAX_SOUND_TIMES)
        )

    def record_crash(self, crash: Crash) -> None:
        """Record an attempt that a crash cut off."""
        if crash.traits:
            self._crashes.add(crash)

    def record_sound(
        self,
        traits: typing.Iterable[str],
        began_ms: clock.Millis,
        is_prompt: bool = True,
    ) -> None:
        """Record that an answer settled that was begun at `began_ms`."""
        if is_prompt:
            self._sound_times_ms.append(began_ms)
        for trait in traits:
            known = self._sound_table(trait)
            known_ms = known.pop(trait, began_ms)
            known[trait] = max(known_ms, began_ms)
        for known, limit in (
            (self._sound_ms_by_part, MAX_SOUND_PARTS),
            (self._sound_ms_by_request, MAX_SOUND_REQUESTS),
        ):
            while len(known) > limit:
                del known[next(iter(known))]

    def _sound_table(self, trait: str) -> dict[str, clock.Millis]:
        if _traits.is_request(trait):
            return self._sound_ms_by_request
        return self._sound_ms_by_part

    def crashes_since(self, since_ms: clock.Millis) -> list[Crash]:
        """Return the crashes from a time on."""
        return [crash for crash in self._crashes if crash.at_ms >= since_ms]

    def sound_ms(self, trait: str) -> clock.Millis | None:
        """Return when the last answer began that settled with a trait."""
        return self._sound_table(trait).get(trait)

    def sound_counts(self, now_ms: clock.Millis) -> tuple[int, ...]:
        """Return the settled answers to prompts by their beginning's age.

        The first count is of those begun within `SERVICE_INTERVAL_MS`.
        """
        counts = [0] * SERVICE_INTERVALS
        for began_ms in self._sound_times_ms:
            index = max(0, now_ms - began_ms) // SERVICE_INTERVAL_MS
            if index < SERVICE_INTERVALS:
                counts[index] += 1
        return tuple(counts)

    def has_suspect(
        self, traits: typing.Iterable[str], now_ms: clock.Millis
    ) -> bool:
        """Tell whether targets crashed under a trait and none answered."""
        sought = frozenset(traits)
        targets_by_trait: dict[str, set[str]] = {}
        for crash in self._crashes:
            if crash.at_ms < now_ms - SUSPICION_MS:
                continue
            for trait in sought.intersection(crash.traits):
                sound_ms = self.sound_ms(trait)
                if sound_ms is None or crash.at_ms >= sound_ms:
                    targets = targets_by_trait.setdefault(trait, set())
                    targets.add(crash.target)
        return any(
            len(targets) >= SUSPICION_CRASHES
            for targets in targets_by_trait.values()
        )
