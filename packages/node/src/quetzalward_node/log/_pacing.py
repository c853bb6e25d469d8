"""Retry backoff and rate limiting of appends."""

import random
import typing

from quetzalward_core import clock

BASE_PAUSE_MS = 50
MAX_PAUSE_MS = 5_000


class Backoff:
    """Exponential backoff with decorrelated jitter.

    The jitter keeps nodes from retrying at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw the jitter from `rng`."""
        self._rng = rng
        self._previous_ms = BASE_PAUSE_MS

    def next_ms(self) -> clock.Millis:
        """Return the next pause."""
        longest_ms = min(MAX_PAUSE_MS, 3 * self._previous_ms)
        self._previous_ms = self._rng.randint(BASE_PAUSE_MS, longest_ms)
        return self._previous_ms

    def reset(self) -> None:
        """Return to the shortest pause, after a success."""
        self._previous_ms = BASE_PAUSE_MS


# Entries per second and burst size of one node, by kind of entry. The log
# accepts a few hundred appends per second from all writers; these limits keep
# a fault in one task from exhausting that capacity. Kinds that end a call are
# not limited, because each follows an intent that was.
_DEFAULT_RATE_AND_BURST = (20.0, 200.0)
RATE_AND_BURST_BY_KIND: dict[str, tuple[float, float]] = {
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
UNLIMITED_KINDS = frozenset({"call_result", "call_abandoned", "call_unknown"})


class AppendBudget:
    """Rate limiter with a token bucket per kind of entry."""

    def __init__(
        self,
        now_ms: clock.Millis,
        rate_and_burst_by_kind: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        """Create full buckets; a limit is (entries per second, burst)."""
        self._rate_and_burst_by_kind = (
            rate_and_burst_by_kind or RATE_AND_BURST_BY_KIND
        )
        self._tokens_by_kind: dict[str, float] = {}
        self._refilled_ms_by_kind: dict[str, clock.Millis] = {}
        self._started_ms = now_ms

    def take(
        self, kinds: typing.Iterable[str], now_ms: clock.Millis
    ) -> clock.Millis:
        """Take one token per entry; return 0, or the wait for missing tokens.

        No tokens are taken unless there are enough for all entries.
        """
        count_by_kind: dict[str, int] = {}
        for kind in kinds:
            if kind not in UNLIMITED_KINDS:
                count_by_kind[kind] = count_by_kind.get(kind, 0) + 1
        wait_ms = 0
        for kind, count in count_by_kind.items():
            missing = count - self._refill(kind, now_ms)
            if missing > 0:
                rate = self._rate_and_burst(kind)[0]
                wait_ms = max(
                    wait_ms, 1 + int(missing / rate * clock.MILLIS_PER_SECOND)
                )
        if not wait_ms:
            for kind, count in count_by_kind.items():
                self._tokens_by_kind[kind] -= count
        return wait_ms

    def _rate_and_burst(self, kind: str) -> tuple[float, float]:
        return self._rate_and_burst_by_kind.get(kind, _DEFAULT_RATE_AND_BURST)

    def _refill(self, kind: str, now_ms: clock.Millis) -> float:
        rate, burst = self._rate_and_burst(kind)
        elapsed_ms = now_ms - self._refilled_ms_by_kind.get(
            kind, self._started_ms
        )
        tokens = self._tokens_by_kind.get(kind, burst)
        tokens = min(
            burst, tokens + rate * elapsed_ms / clock.MILLIS_PER_SECOND
        )
        self._tokens_by_kind[kind] = tokens
        self._refilled_ms_by_kind[kind] = now_ms
        return tokens
