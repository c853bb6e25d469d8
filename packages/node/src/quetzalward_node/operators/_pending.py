"""Stop orders that are in force on this node but not yet on the log.

A stop order takes effect at once. This task appends it to the log, and retries
during a log outage until the log holds the order or a newer change.
"""

import threading

import attrs
import logbook

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import errors
from quetzalward_core import membership
from quetzalward_node import interfaces

_LOG = logbook.Logger(__name__)
APPEND_TIMEOUT_MS = 2_000
RETRY_INTERVAL_S = 1.0

Stop = agreement.ZoneSet | agreement.TargetDrainSet


def last_change(state: agreement.ControlView, stop: Stop) -> tuple[int, bool]:
    """Return the position of the last change and whether it is a stop."""
    if isinstance(stop, agreement.ZoneSet):
        zone = state.zones_by_name.get(stop.zone)
        return (zone.changed, zone.state == "out") if zone else (0, False)
    drain = state.drains_by_target.get(stop.target)
    return (drain.changed, drain.draining) if drain else (0, False)


@attrs.define
class PendingStops:
    """Appends stop orders to the log, retrying until each is on it."""

    _control: interfaces.ControlLog
    _clock: clock.Clock
    _pending: list[Stop] = attrs.field(factory=list)
    _wakeup: threading.Condition = attrs.field(factory=threading.Condition)
    _stopped: bool = False
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the task's thread."""
        self._thread = threading.Thread(
            target=self._run, name="pending-stops", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; discards the orders that are not on the log."""
        with self._wakeup:
            self._stopped = True
            self._wakeup.notify_all()
        if self._thread:
            self._thread.join()

    def submit(self, stop: Stop) -> bool:
        """Append a stop order, or queue it for a retry if that fails.

        Returns whether the order, or a newer change, is on the log.
        """
        # An append to a log that is known to be down would delay the
        # operator's order to the next node by the append's timeout.
        reachable = (
            self._control.head_age_ms() <= membership.FRESHNESS_LIMIT_MS
        )
        if reachable and self._try_append(stop):
            return True
        with self._wakeup:
            self._pending.append(stop)
            self._wakeup.notify_all()
        _LOG.warning(
            "stop order is in force but not on the log yet; will retry: {!r}",
            stop,
        )
        return False

    def count(self) -> int:
        """Return the number of orders that are not on the log yet."""
        with self._wakeup:
            return len(self._pending)

    def _try_append(self, stop: Stop) -> bool:
        changed, stopped = last_change(self._control.state(), stop)
        # A newer change on the log supersedes an order with an older basis.
        if stopped or changed > stop.basis:
            return True
        deadline_ms = self._clock.now_ms() + APPEND_TIMEOUT_MS
        try:
            self._control.append([stop], deadline_ms)
        except errors.QuetzalwardError:
            return False
        return True

    def _run(self) -> None:
        while True:
            with self._wakeup:
                self._wakeup.wait_for(self._has_work, RETRY_INTERVAL_S)
                if self._stopped:
                    return
                waiting = list(self._pending)
            appended = [stop for stop in waiting if self._try_append(stop)]
            with self._wakeup:
                self._pending = [s for s in self._pending if s not in appended]
                if self._pending and not self._stopped:
                    self._wakeup.wait(RETRY_INTERVAL_S)

    def _has_work(self) -> bool:
        return self._stopped or bool(self._pending)
