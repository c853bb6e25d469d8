"""Targets that leave or rest, by what their own answers said."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.notices import _model

# Id of a target and the time of its start. Neither a restart of the target
# nor another one at its address inherits a notice.
_Key = tuple[str, int]

# Time without an entry after which a notice is forgotten. A restored store may
# list a target again that left long ago.
ABSENT_MS = 3_600_000


@attrs.define
class _Notices:
    is_leaving: bool = False
    rest_end_ms: clock.Millis | None = None
    absent_since_ms: clock.Millis | None = None


class TargetNotices:
    """What targets said of themselves, and what follows for requests."""

    def __init__(self) -> None:
        """Start without notices."""
        self._notices_by_key: dict[_Key, _Notices] = {}

    def admits(
        self,
        target: fleet.Target,
        evacuated_zones: typing.Collection[str],
        now_ms: clock.Millis,
    ) -> _model.Verdict:
        """Tell whether a target may receive a request now.

        Its own notices count, its entry, and the operators' evacuations. What
        lasts longest is named first.
        """
        known = self._notices_by_key.get(target.key)
        if known is not None and known.is_leaving:
            return _model.Refused(_model.Reason.LEAVING)
        if target.draining:
            return _model.Refused(_model.Reason.DRAINING)
        if target.withheld:
            return _model.Refused(_model.Reason.WITHHELD)
        if target.zone in evacuated_zones:
            return _model.Refused(_model.Reason.EVACUATED)
        if known is not None and known.rest_end_ms is not None:
            if now_ms < known.rest_end_ms:
                return _model.Refused(_model.Reason.RESTING, known.rest_end_ms)
        return _model.Allowed()

    def drained(self, target: fleet.Target) -> fleet.Target:
        """Return the entry of a target; one that leaves is draining."""
        known = self._notices_by_key.get(target.key)
        if known is None or not known.is_leaving or target.draining:
            return target
        return attrs.evolve(target, draining=True)

    def observe_leaving(self, key: _Key) -> bool:
        """Record that a target leaves; tell whether that is new.

        It ends with this life of the target only.
        """
        known = self._notices_by_key.setdefault(key, _Notices())
        is_new = not known.is_leaving
        known.is_leaving = True
        return is_new

    def observe_rest(
        self, key: _Key, rest_ms: clock.Millis, now_ms: clock.Millis
    ) -> bool:
        """Record a target's request for rest; tell whether it ends later.

        Of several the latest end counts, as each one binds.
        """
        if not 0 < rest_ms <= _model.MAX_REST_MS:
            return False
        known = self._notices_by_key.setdefault(key, _Notices())
        end_ms = now_ms + rest_ms
        if known.rest_end_ms is not None and known.rest_end_ms >= end_ms:
            return False
        known.rest_end_ms = end_ms
        return True

    def forget_gone(
        self,
        born_ms_by_id: typing.Mapping[str, int],
        now_ms: clock.Millis,
    ) -> None:
        """Forget rests that have ended, and targets absent for long.

        `born_ms_by_id` has the present targets.
        """
        for key, known in list(self._notices_by_key.items()):
            end_ms = known.rest_end_ms
            if end_ms is not None and end_ms <= now_ms:
                known.rest_end_ms = end_ms = None
            if not known.is_leaving:
                if end_ms is None:
                    del self._notices_by_key[key]
                continue
            target_id, born_ms = key
            if born_ms_by_id.get(target_id) == born_ms:
                known.absent_since_ms = None
                continue
            if known.absent_since_ms is None:
                known.absent_since_ms = now_ms
            if now_ms - known.absent_since_ms > ABSENT_MS:
                del self._notices_by_key[key]
