"""Token bucket for a customer's request rate on one node."""

from quetzalward_core import clock

BURST_MS = 1_000


class TokenBucket:
    """Admits a rate with bursts of up to one second of requests, or one."""

    def __init__(self, now_ms: clock.Millis) -> None:
        """Start full, so that a first burst is admitted."""
        self._tokens: float | None = None
        self._refilled_ms = now_ms

    def take(self, rate_per_s: float, now_ms: clock.Millis) -> int | None:
        """Take a token.

        Returns `None`, or the time until the next token, in milliseconds, if
        there is none.
        """
        burst = max(1.0, rate_per_s * BURST_MS / clock.MILLIS_PER_SECOND)
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        refilled = rate_per_s * elapsed_ms / clock.MILLIS_PER_SECOND
        tokens = burst if self._tokens is None else self._tokens
        self._tokens = min(burst, tokens + refilled)
        self._refilled_ms = max(self._refilled_ms, now_ms)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        if rate_per_s <= 0:
            return BURST_MS
        missing = 1.0 - self._tokens
        return max(1, int(missing * clock.MILLIS_PER_SECOND / rate_per_s))
