"""Pauses between calls to a store that does not answer."""

import attrs

from quetzalward_core import clock


@attrs.define
class Backoff:
    """Pauses that grow with each failure and start anew after a success."""

    first_ms: clock.Millis
    factor: int
    _pause_ms: clock.Millis = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without a failure."""
        self._pause_ms = self.first_ms

    def failed(self, most_ms: clock.Millis) -> clock.Millis:
        """Return the pause before the next call, at most `most_ms`."""
        pause_ms = min(self._pause_ms, most_ms)
        self._pause_ms = min(most_ms, self._pause_ms * self.factor)
        return pause_ms

    def succeeded(self) -> None:
        """Forget the failures."""
        self._pause_ms = self.first_ms
