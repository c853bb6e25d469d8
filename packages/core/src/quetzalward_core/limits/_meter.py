"""Measured demand, steady enough to be divided by."""

_MAX_SMOOTHING = 0.3
# Small counts vary more, so they are smoothed over a longer time.
_SMOOTHING_PER_COUNT = 0.04
_SURGE = 4.0
# Published above the measured value and lowered late: each change costs a
# window in which nodes count the larger and claim the smaller value.
HEADROOM = 1.25
LOWER_BELOW = 0.5
# Below this the demand is nothing.
_NOTHING = 0.01


class DemandMeter:
    """Smooths one customer's demand on one node and publishes it in steps."""

    def __init__(self) -> None:
        """Start without demand."""
        self._smoothed = 0.0
        self._published = 0.0

    def measure(self, value: float) -> float:
        """Take the last interval's value and return what to publish."""
        count = 1.0 + self._smoothed
        smoothing = min(_MAX_SMOOTHING, _SMOOTHING_PER_COUNT * count)
        if value > _SURGE * count:
            smoothing = _MAX_SMOOTHING
        self._smoothed += smoothing * (value - self._smoothed)
        wanted = self._smoothed
        if wanted > self._published or wanted < LOWER_BELOW * self._published:
            self._published = HEADROOM * wanted
        if self._published < _NOTHING:
            self._published = 0.0
        return self._published
