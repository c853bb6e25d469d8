"""Rate of events, weighted towards the last seconds."""

import math

import attrs

from quetzalward_core import clock

DECAY_MS = 2_000.0


@attrs.frozen
class PoolDemand:
    """What one node needs of the targets of a pool."""

    per_s: float
    # Requests that wait for a permit.
    waiting: int = 0


class DemandRate:
    """Estimates the events a second; older ones count less."""

    def __init__(self) -> None:
        """Start without events."""
        self._weight = 0.0
        self._updated_ms: clock.Millis = 0

    def record(self, now_ms: clock.Millis) -> None:
        """Count an event."""
        self._weight = self._decayed(now_ms) + 1.0
        self._updated_ms = now_ms

    def per_s(self, now_ms: clock.Millis) -> float:
        """Return the rate in events a second."""
        return self._decayed(now_ms) * clock.MILLIS_PER_SECOND / DECAY_MS

    def _decayed(self, now_ms: clock.Millis) -> float:
        age_ms = max(0, now_ms - self._updated_ms)
        return self._weight * math.exp(-age_ms / DECAY_MS)
