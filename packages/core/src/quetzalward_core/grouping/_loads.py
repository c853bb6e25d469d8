"""Limits the weight loads that run and start on the weight store."""

import collections

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet

# Window over which deployments limit the number of loads started.
WINDOW_MS = 5_000
# Share of the permitted rate that one coordinator uses: unanswered orders may
# start late, and the next coordinator starts with a full allowance.
RATE_SHARE = 0.5


@attrs.define
class LoadLimit:
    """Limits concurrent loads and the loads started within a window."""

    _started_ms: collections.deque[clock.Millis] = attrs.field(
        factory=collections.deque, init=False
    )

    def allows(
        self,
        engine: fleet.Engine,
        running: int,
        before_traffic: bool,
        now_ms: clock.Millis,
    ) -> bool:
        """Tell whether one more load may start.

        More than `loads_at_once` loads only slow each other down. Before
        the first request neither limit applies.
        """
        if before_traffic:
            return True
        if running >= engine.loads_at_once:
            return False
        while self._started_ms and self._started_ms[0] <= now_ms - WINDOW_MS:
            self._started_ms.popleft()
        allowed = engine.loads_per_s * WINDOW_MS / 1000 * RATE_SHARE
        return len(self._started_ms) < max(1, int(allowed))

    def record_start(self, now_ms: clock.Millis) -> None:
        """Record that a load was started."""
        self._started_ms.append(now_ms)
