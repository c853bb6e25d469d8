"""Time in milliseconds.

Decision code takes times as arguments or a `Clock`; only `SystemClock` reads
the system's clock.
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
        """Return time since the Unix epoch, for stamps that people read."""


class SystemClock:
    """The system's clocks."""

    def now_ms(self) -> Millis:
        """Return the monotonic clock in milliseconds."""
        return time.monotonic_ns() // _NANOS_PER_MILLI

    def wall_ms(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NANOS_PER_MILLI


class ManualClock:
    """A clock that only a test or a replay moves."""

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
        """Move both times forward by `delta_ms` (not negative)."""
        if delta_ms < 0:
            raise ValueError("a clock cannot move backwards")
        self._now_ms += delta_ms
        self._wall_ms += delta_ms
