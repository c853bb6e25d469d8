"""Retry budget and policy for hedged requests."""

import collections

from quetzalward_core import clock

BUDGET_WINDOW_MS = 10_000
# Applies at low request rates: a failed replica of a small cluster holds
# more than 3 requests of one node.
MIN_RETRIES = 10
HEDGE_QUANTILE = 0.95
# Fewer samples give no usable 95th percentile.
MIN_HEDGE_SAMPLES = 20
_MAX_HEDGE_SAMPLES = 200


class RetryBudget:
    """Limits retries to a percentage of the requests of the last 10 s."""

    def __init__(self, percent: float = 10.0) -> None:
        """Allow `percent` retries per 100 requests, or 10 if that is more."""
        self._percent = percent
        self._requests: collections.deque[clock.Millis] = collections.deque()
        self._retries: collections.deque[clock.Millis] = collections.deque()

    def configure(self, percent: float) -> None:
        """Change the percentage, from the next retry on."""
        self._percent = percent

    def record_request(self, now_ms: clock.Millis) -> None:
        """Count a first attempt."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_spend(self, now_ms: clock.Millis) -> bool:
        """Use one retry; return false if the budget is exhausted."""
        self._expire(now_ms)
        allowed = len(self._requests) * self._percent / 100
        if len(self._retries) >= max(MIN_RETRIES, int(allowed)):
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: clock.Millis) -> None:
        """Discard entries older than the window."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - BUDGET_WINDOW_MS:
                times.popleft()


class HedgePolicy:
    """Decides when a repeatable call gets a second, parallel attempt."""

    def __init__(self) -> None:
        """Start without samples."""
        self._latencies_ms: collections.deque[float] = collections.deque(
            maxlen=_MAX_HEDGE_SAMPLES
        )

    def observe(self, latency_ms: float) -> None:
        """Record the latency of an answered attempt."""
        self._latencies_ms.append(latency_ms)

    def delay_ms(self, repeatable: bool) -> float | None:
        """Return the delay before the second attempt; `None` for no attempt.

        The second attempt also needs a retry from the budget.
        """
        if not repeatable or len(self._latencies_ms) < MIN_HEDGE_SAMPLES:
            return None
        ranked = sorted(self._latencies_ms)
        return ranked[int(HEDGE_QUANTILE * (len(ranked) - 1))]
