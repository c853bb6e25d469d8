"""Time in milliseconds.

Decision code receives times as arguments or uses a `Clock`; only `SystemClock`
reads the operating system's clocks.
"""

import time
import typing

Millis = int

MILLIS_PER_SECOND = 1000
_NANOS_PER_MILLI = 1_000_000


class Clock(typing.Protocol):
    """Source of time in milliseconds."""

    def now_ms(self) -> Millis:
        """Return monotonic time, for ages, deadlines and leases."""

    def wall_ms(self) -> Millis:
        """Return time since the Unix epoch, for timestamps shown to people."""


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> Millis:
        """Return the monotonic clock in milliseconds."""
        return time.monotonic_ns() // _NANOS_PER_MILLI

    def wall_ms(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NANOS_PER_MILLI


class ManualClock:
    """A clock that advances only on request, for tests and replays."""

    def __init__(self, now_ms: Millis = 0, wall_ms: Millis = 0) -> None:
        """Start at the given monotonic and wall times."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms

    def now_ms(self) -> Millis:
        """Return the current monotonic time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> Millis:
        """Return the current wall time in milliseconds."""
        return self._wall_ms

    def advance(self, delta_ms: Millis) -> None:
        """Advance both times by `delta_ms`.

        Raises `ValueError` if `delta_ms` is negative.
        """
        if delta_ms < 0:
            raise ValueError("delta_ms must not be negative")
        self._now_ms += delta_ms
        self._wall_ms += delta_ms
