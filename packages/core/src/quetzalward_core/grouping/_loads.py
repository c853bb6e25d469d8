"""Limit on loads from the weight store."""

import collections

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet

# The window in which deployments bound the loads that begin.
WINDOW_MS = 5_000
# Part of the allowed rate that one coordinator uses: orders without an
# answer begin late, and a successor starts with a full allowance.
USED_SHARE = 0.5


@attrs.define
class LoadLimit:
    """Bounds the loads that begin within a window, and at once."""

    _started: collections.deque[clock.Millis] = attrs.field(
        factory=collections.deque, init=False
    )

    def allows(
        self,
        engine: fleet.Engine,
        running: int,
        before_traffic: bool,
        now_ms: clock.Millis,
    ) -> bool:
        """Tell whether one more load may begin.

        More than `loads_at_once` only slow each other down. Before the
        first request neither limit applies.
        """
        if before_traffic:
            return True
        if running >= engine.loads_at_once:
            return False
        while self._started and self._started[0] <= now_ms - WINDOW_MS:
            self._started.popleft()
        allowed = engine.loads_per_s * WINDOW_MS / 1000 * USED_SHARE
        return len(self._started) < max(1, int(allowed))

    def started(self, now_ms: clock.Millis) -> None:
        """Count a load."""
        self._started.append(now_ms)
