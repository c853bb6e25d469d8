"""Times at which refused callers may return, spread over what is offered."""

from quetzalward_core import clock


class ReturnSchedule:
    """Books a time for each refused request, one after the other."""

    def __init__(self) -> None:
        """Start without bookings."""
        self._next_ms = 0.0

    def book(
        self, per_s: float, max_ms: clock.Millis, now_ms: clock.Millis
    ) -> clock.Millis:
        """Return the time until a request may return.

        Bookings are `1 / per_s` seconds apart; none is later than `max_ms`.
        """
        interval_ms = clock.MILLIS_PER_SECOND / per_s if per_s > 0 else max_ms
        next_ms = max(self._next_ms, float(now_ms)) + interval_ms
        self._next_ms = min(next_ms, float(now_ms + max_ms))
        return round(self._next_ms - now_ms)
