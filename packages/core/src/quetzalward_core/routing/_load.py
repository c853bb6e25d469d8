"""Load estimate of a target between two of its reports.

A report is out of date when read, and every node reads the same one. As it
ages, the estimate decays from the reported value towards the mean of the
model's targets. Requests that this node has sent and ended since are added.
"""

import math

import attrs

from quetzalward_core import clock
from quetzalward_core.routing import _model

# After this age a report keeps 37% of its difference from the mean.
REPORT_DECAY_MS = 2_000.0


@attrs.define
class LoadTracker:
    """Requests of this node at one target."""

    # Time of each grant, by grant id.
    in_flight: dict[int, clock.Millis] = attrs.field(factory=dict)
    # (sent, ended) times of attempts that the last report may still count.
    _ended: list[tuple[clock.Millis, clock.Millis]] = attrs.field(factory=list)

    def sent(self, grant_id: int, now_ms: clock.Millis) -> None:
        """Count a grant as in flight."""
        self.in_flight[grant_id] = now_ms

    def ended(self, grant_id: int, now_ms: clock.Millis) -> bool:
        """End a grant; return false if it was not in flight."""
        sent_ms = self.in_flight.pop(grant_id, None)
        if sent_ms is None:
            return False
        self._ended.append((sent_ms, now_ms))
        return True

    def forget_before(self, as_of_ms: clock.Millis) -> None:
        """Drop attempts that ended before a newer report."""
        self._ended = [pair for pair in self._ended if pair[1] > as_of_ms]

    def change_since(self, as_of_ms: clock.Millis) -> int:
        """Return this node's change of the load since the report.

        Events in the same millisecond as the report are resolved towards the
        higher load.
        """
        sent = sum(1 for ms in self.in_flight.values() if ms >= as_of_ms)
        gone = sum(
            1
            for sent_ms, ended_ms in self._ended
            if sent_ms < as_of_ms < ended_ms
        )
        return sent - gone


def estimate_load(
    report: _model.EngineReport,
    tracker: LoadTracker,
    mean_load: float,
    now_ms: clock.Millis,
    decay_ms: float = REPORT_DECAY_MS,
) -> float:
    """Return the estimated number of requests at the target now."""
    age_ms = max(0, now_ms - report.as_of_ms)
    weight = math.exp(-age_ms / decay_ms)
    reported = mean_load + (report.load - mean_load) * weight
    estimate = reported + tracker.change_since(report.as_of_ms)
    return max(float(len(tracker.in_flight)), estimate)
