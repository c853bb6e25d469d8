"""The coordinator's table of targets' limits, from what all nodes report."""

import typing

from quetzalward_core import clock
from quetzalward_core.limits import _absence
from quetzalward_core.limits import _named_limit
from quetzalward_core.limits import _target_limits

# Time for which the end of a limit is remembered, in case that a report of an
# older answer is late.
ENDED_MEMORY_MS = 10_000


class LimitTable:
    """Limits by target, and which of them have ended."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limit_by_key: dict[
            _named_limit.TargetKey, _named_limit.NamedLimit
        ] = {}
        self._absences = _absence.AbsenceTracker()
        # When the requests were sent whose answers ended a limit.
        self._ended_ms_by_key: dict[_named_limit.TargetKey, clock.Millis] = {}

    def adopt(
        self,
        listed: typing.Iterable[_target_limits.ListedLimit],
        now_ms: clock.Millis,
    ) -> None:
        """Take over the limits of the coordinator before."""
        for row in listed:
            self._limit_by_key[row.key] = _named_limit.NamedLimit(
                row.pool, row.per_s, now_ms
            )

    def record(
        self, node: str, seen: _target_limits.Observation
    ) -> float | None:
        """Record what a node's answers said, by this node's clock.

        Returns the limit if it is new.
        """
        row = seen.limit
        limit = self._limit_by_key.get(row.key)
        if seen.named_ms is not None:
            if limit is not None:
                limit.record_named(row.pool, row.per_s, seen.named_ms)
            elif seen.named_ms > self._ended_ms_by_key.get(row.key, -1):
                self._limit_by_key[row.key] = _named_limit.NamedLimit(
                    row.pool, row.per_s, seen.named_ms
                )
                return row.per_s
        if limit is not None:
            limit.record_unnamed(node, seen.unnamed_sent_ms)
        return None

    def take_ended(self, now_ms: clock.Millis) -> list[_named_limit.TargetKey]:
        """Remove the limits that have ended and return their targets."""
        ended = [k for k, v in self._limit_by_key.items() if v.has_ended]
        for key in ended:
            limit = self._limit_by_key.pop(key)
            self._ended_ms_by_key[key] = max(limit.unnamed_sent_ms())
        for key, ended_ms in list(self._ended_ms_by_key.items()):
            if now_ms - ended_ms > ENDED_MEMORY_MS:
                del self._ended_ms_by_key[key]
        return ended

    def listed(self) -> list[_target_limits.ListedLimit]:
        """Return all limits in force."""
        return [
            _target_limits.ListedLimit(key, limit.pool, limit.per_s)
            for key, limit in self._limit_by_key.items()
        ]

    def forget_gone(
        self,
        born_ms_by_id: typing.Mapping[str, int],
        now_ms: clock.Millis,
    ) -> None:
        """Forget targets that are gone or have restarted."""
        keys = self._limit_by_key
        for key in self._absences.gone(keys, born_ms_by_id, now_ms):
            del self._limit_by_key[key]
