"""Unexpected errors in steps that repeat, which must not end the process."""

import traceback

from quetzalward_gateway import _log
from quetzalward_gateway import _metrics


class FaultLog:
    """Counts errors, and logs each kind of error of a step once.

    The next round would meet the same error again, on this node and on the
    next coordinator, so that ending the process would end every node in turn.
    """

    def __init__(self, log: _log.EventLog, metrics: _metrics.Metrics) -> None:
        """Start without errors."""
        self._log = log
        self._metrics = metrics
        self._logged: set[tuple[str, str]] = set()

    def record(self, step: str, error: Exception) -> None:
        """Record an error that was raised in a step."""
        self._metrics.count("faults", step)
        key = (step, repr(error))
        if key in self._logged:
            return
        self._logged.add(key)
        self._log.event(
            "step_failed",
            step=step,
            error=repr(error),
            reason="".join(traceback.format_exception(error)),
        )
