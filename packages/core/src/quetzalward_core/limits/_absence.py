"""Targets that no longer exist, told apart from entries that lapsed."""

import typing

from quetzalward_core import clock
from quetzalward_core.limits import _named_limit

# Entries may lapse while the store is away, and are back soon after it.
ABSENT_MS = 10_000


class AbsenceTracker:
    """Finds targets that restarted, or are absent for `ABSENT_MS`."""

    def __init__(self) -> None:
        """Start without absent targets."""
        self._since_ms_by_key: dict[_named_limit.TargetKey, clock.Millis] = {}

    def gone(
        self,
        keys: typing.Collection[_named_limit.TargetKey],
        born_ms_by_id: typing.Mapping[str, int],
        now_ms: clock.Millis,
    ) -> list[_named_limit.TargetKey]:
        """Return which of `keys` exist no longer.

        `born_ms_by_id` has the present targets.
        """
        found = []
        for key in keys:
            target_id, born_ms = key
            present_born_ms = born_ms_by_id.get(target_id)
            if present_born_ms == born_ms:
                self._since_ms_by_key.pop(key, None)
                continue
            since_ms = self._since_ms_by_key.setdefault(key, now_ms)
            if present_born_ms is not None or now_ms - since_ms > ABSENT_MS:
                found.append(key)
        for key in set(self._since_ms_by_key) - set(keys) | set(found):
            self._since_ms_by_key.pop(key, None)
        return found
