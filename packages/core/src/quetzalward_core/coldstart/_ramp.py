"""Slow start of a target that turned warm or whose ejection ended."""

from quetzalward_core import clock

# Without a ramp, a stale report of an idle target attracts all nodes at once.
RAMP_MS = 10_000


def ramp_load(
    load: float,
    mean_load: float,
    since_ms: clock.Millis | None,
    now_ms: clock.Millis,
    ramp_ms: int = RAMP_MS,
) -> float:
    """Return the load to assume, at least a decreasing share of the mean.

    `since_ms` is when the target turned warm or its ejection ended, `None`
    for a target that was in use when first seen.
    """
    if since_ms is None or ramp_ms <= 0:
        return load
    progress = min(1.0, max(0, now_ms - since_ms) / ramp_ms)
    return max(load, mean_load * (1.0 - progress))
