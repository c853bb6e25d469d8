"""Token bucket for one customer's rate on one node."""

from quetzalward_core import clock

BURST_MS = 1_000


class TokenBucket:
    """Admits a rate with bursts of one second's worth, at least one."""

    def __init__(self, now_ms: clock.Millis) -> None:
        """Start full, so that a first burst is not refused."""
        self._tokens: float | None = None
        self._filled_ms = now_ms

    def take(self, rate_per_s: float, now_ms: clock.Millis) -> int | None:
        """Take a token; return `None`, or the ms to wait if there is none."""
        burst = max(1.0, rate_per_s * BURST_MS / clock.MILLIS_PER_SECOND)
        elapsed_ms = max(0, now_ms - self._filled_ms)
        gained = rate_per_s * elapsed_ms / clock.MILLIS_PER_SECOND
        held = burst if self._tokens is None else self._tokens
        self._tokens = min(burst, held + gained)
        self._filled_ms = max(self._filled_ms, now_ms)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        if rate_per_s <= 0:
            return BURST_MS
        missing = 1.0 - self._tokens
        return max(1, int(missing * clock.MILLIS_PER_SECOND / rate_per_s))
