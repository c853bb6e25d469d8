"""Smoothing of measured demand, by which limits are divided."""

_MAX_SMOOTHING = 0.3
# Small counts have a larger relative variance and are smoothed for longer.
_SMOOTHING_PER_COUNT = 0.04
_SURGE_RATIO = 4.0
# The published value is above the measured one and is lowered with hysteresis,
# as each change costs a window in which the other nodes count the larger value
# and the node itself may use only the smaller one.
HEADROOM_RATIO = 1.25
LOWER_BELOW_RATIO = 0.5
# Smaller values are published as 0.
_MIN_PUBLISHED = 0.01


class DemandMeter:
    """Smooths one customer's demand on one node and publishes it in steps."""

    def __init__(self) -> None:
        """Start without demand."""
        self._smoothed = 0.0
        self._published = 0.0

    def measure(self, value: float) -> float:
        """Add the value of the last interval; return the value to publish."""
        expected_count = 1.0 + self._smoothed
        smoothing = min(_MAX_SMOOTHING, _SMOOTHING_PER_COUNT * expected_count)
        if value > _SURGE_RATIO * expected_count:
            smoothing = _MAX_SMOOTHING
        self._smoothed += smoothing * (value - self._smoothed)
        target_value = self._smoothed
        if (
            target_value > self._published
            or target_value < LOWER_BELOW_RATIO * self._published
        ):
            self._published = HEADROOM_RATIO * target_value
        if self._published < _MIN_PUBLISHED:
            self._published = 0.0
        return self._published
