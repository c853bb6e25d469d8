"""Exponential backoff for calls to a store that does not answer."""

import attrs

from quetzalward_core import clock


@attrs.define
class Backoff:
    """Pauses that grow with each failure and are reset by a success."""

    first_ms: clock.Millis
    factor: int
    _next_pause_ms: clock.Millis = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the first pause."""
        self._next_pause_ms = self.first_ms

    def record_failure(self, max_pause_ms: clock.Millis) -> clock.Millis:
        """Return the pause before the next call, at most `max_pause_ms`."""
        pause_ms = min(self._next_pause_ms, max_pause_ms)
        self._next_pause_ms = min(
            max_pause_ms, self._next_pause_ms * self.factor
        )
        return pause_ms

    def record_success(self) -> None:
        """Reset the pause to the first one."""
        self._next_pause_ms = self.first_ms
