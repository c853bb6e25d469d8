"""Load of a target between two of its reports.

A report lags, and every node reads the same one. The estimate therefore moves
from the reported value towards the mean of the model's targets as the report
ages, and adds what this node sent and took back since.
"""

import math

import attrs

from quetzalward_core import clock
from quetzalward_core.routing import _model

# After this age a report keeps 37% of its difference from the mean.
REPORT_DECAY_MS = 2_000.0


@attrs.define
class LoadTracker:
    """Work that this node has at one target."""

    # Grant id to the time it was given.
    in_flight: dict[int, clock.Millis] = attrs.field(factory=dict)
    # (sent, ended) of attempts that the last report may still count.
    _ended: list[tuple[clock.Millis, clock.Millis]] = attrs.field(factory=list)

    def sent(self, grant_id: int, now_ms: clock.Millis) -> None:
        """Count a grant."""
        self.in_flight[grant_id] = now_ms

    def ended(self, grant_id: int, now_ms: clock.Millis) -> bool:
        """Return a grant's slot; false if it was not in flight."""
        sent_ms = self.in_flight.pop(grant_id, None)
        if sent_ms is None:
            return False
        self._ended.append((sent_ms, now_ms))
        return True

    def forget_before(self, as_of_ms: clock.Millis) -> None:
        """Drop ended attempts that a newer report no longer counts."""
        self._ended = [pair for pair in self._ended if pair[1] > as_of_ms]

    def change_since(self, as_of_ms: clock.Millis) -> int:
        """Return this node's own change of the load since the report.

        What happened in the report's own millisecond counts as load.
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
    """Return the requests that the target probably holds now."""
    age_ms = max(0, now_ms - report.as_of_ms)
    weight = math.exp(-age_ms / decay_ms)
    reported = mean_load + (report.load - mean_load) * weight
    estimate = reported + tracker.change_since(report.as_of_ms)
    return max(float(len(tracker.in_flight)), estimate)
