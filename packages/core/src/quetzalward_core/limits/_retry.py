"""Retry budget and the rule for hedged requests."""

import collections

from quetzalward_core import clock

BUDGET_WINDOW_MS = 10_000
# A failed replica of a small cluster holds more than 3 requests of a node.
MIN_RETRIES = 10
HEDGE_QUANTILE = 0.95
# Fewer samples give no usable p95.
MIN_HEDGE_SAMPLES = 20
_KEPT_SAMPLES = 200


class RetryBudget:
    """Bounds retries to a share of the requests of the last 10 s."""

    def __init__(self, percent: float = 10.0) -> None:
        """Allow `percent` retries per 100 requests, at least 10."""
        self._percent = percent
        self._requests: collections.deque[clock.Millis] = collections.deque()
        self._retries: collections.deque[clock.Millis] = collections.deque()

    def configure(self, percent: float) -> None:
        """Apply a changed setting to the next retry."""
        self._percent = percent

    def requested(self, now_ms: clock.Millis) -> None:
        """Count a first attempt."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def spend(self, now_ms: clock.Millis) -> bool:
        """Take one retry; false if the budget is used up."""
        self._expire(now_ms)
        share = len(self._requests) * self._percent / 100
        if len(self._retries) >= max(MIN_RETRIES, int(share)):
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: clock.Millis) -> None:
        """Forget what is older than the window."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - BUDGET_WINDOW_MS:
                times.popleft()


class HedgeRule:
    """Decides when a repeatable call gets a second attempt."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_KEPT_SAMPLES
        )

    def observe(self, latency_ms: float) -> None:
        """Note the latency of an answered attempt."""
        self._samples.append(latency_ms)

    def after_ms(self, repeatable: bool) -> float | None:
        """Return the time after which to hedge, or `None` for never.

        The hedge itself must still get a retry from the budget.
        """
        if not repeatable or len(self._samples) < MIN_HEDGE_SAMPLES:
            return None
        ranked = sorted(self._samples)
        return ranked[int(HEDGE_QUANTILE * (len(ranked) - 1))]
