"""Pauses between retries, and the budget of appends."""

import random
import typing

from quetzalward_core import clock

BASE_PAUSE_MS = 50
MAX_PAUSE_MS = 5_000


class Backoff:
    """Growing pauses, drawn at random so that nodes do not retry together."""

    def __init__(self, rng: random.Random) -> None:
        """Draw from the given source."""
        self._rng = rng
        self._previous_ms = BASE_PAUSE_MS

    def next_ms(self) -> clock.Millis:
        """Return the next pause (decorrelated jitter)."""
        longest = min(MAX_PAUSE_MS, 3 * self._previous_ms)
        self._previous_ms = self._rng.randint(BASE_PAUSE_MS, longest)
        return self._previous_ms

    def reset(self) -> None:
        """Start again with short pauses, after a success."""
        self._previous_ms = BASE_PAUSE_MS


# Entries per second and burst of one node, by kind. The log takes a few
# hundred appends per second from all writers; these bounds keep a fault in
# one task from using them up. Kinds that end a call are not bounded, because
# each follows an intent that was.
_DEFAULT_RATE = (20.0, 200.0)
RATE_BY_KIND: dict[str, tuple[float, float]] = {
    "config_proposed": (1.0, 20.0),
    "lease_claimed": (2.0, 20.0),
    "lease_renewed": (5.0, 40.0),
    "host_admitted": (200.0, 6_000.0),
    "host_removed": (200.0, 6_000.0),
    "group_formed": (50.0, 800.0),
    "group_state_changed": (100.0, 3_000.0),
    "call_intent": (200.0, 400.0),
    "snapshot_part": (8.0, 8.0),
}
UNBOUNDED_KINDS = frozenset({"call_result", "call_abandoned", "call_unknown"})


class AppendBudget:
    """A token bucket per kind of entry."""

    def __init__(
        self,
        now_ms: clock.Millis,
        rate_by_kind: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        """Start with full buckets."""
        self._rate_by_kind = rate_by_kind or RATE_BY_KIND
        self._tokens_by_kind: dict[str, float] = {}
        self._filled_ms_by_kind: dict[str, clock.Millis] = {}
        self._started_ms = now_ms

    def take(
        self, kinds: typing.Iterable[str], now_ms: clock.Millis
    ) -> clock.Millis:
        """Spend a token per entry; return 0, or the wait if one is missing.

        Nothing is spent unless there is enough for all entries.
        """
        wanted: dict[str, int] = {}
        for kind in kinds:
            if kind not in UNBOUNDED_KINDS:
                wanted[kind] = wanted.get(kind, 0) + 1
        wait_ms = 0
        for kind, count in wanted.items():
            missing = count - self._fill(kind, now_ms)
            if missing > 0:
                rate = self._rate(kind)[0]
                wait_ms = max(
                    wait_ms, 1 + int(missing / rate * clock.MILLIS_PER_SECOND)
                )
        if not wait_ms:
            for kind, count in wanted.items():
                self._tokens_by_kind[kind] -= count
        return wait_ms

    def _rate(self, kind: str) -> tuple[float, float]:
        return self._rate_by_kind.get(kind, _DEFAULT_RATE)

    def _fill(self, kind: str, now_ms: clock.Millis) -> float:
        rate, burst = self._rate(kind)
        since_ms = now_ms - self._filled_ms_by_kind.get(kind, self._started_ms)
        tokens = self._tokens_by_kind.get(kind, burst)
        tokens = min(burst, tokens + rate * since_ms / clock.MILLIS_PER_SECOND)
        self._tokens_by_kind[kind] = tokens
        self._filled_ms_by_kind[kind] = now_ms
        return tokens
