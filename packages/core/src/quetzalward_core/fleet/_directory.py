"""The targets in use, folded from the platform's entries."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.fleet import _model

# Entries that lapse during an outage of the store are back within 2 s of
# its return if the target lives; so long a lapse is not believed.
RETURN_GRACE_MS = 2_000
# An outage shorter than this cannot make an entry lapse.
OUTAGE_MS = 1_500


@attrs.frozen
class Seen:
    """An entry with the time at which this node learned it."""

    target: _model.Target
    seen_ms: clock.Millis


class Directory:
    """Targets by id, with lapsed entries held back after an outage."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_id: dict[str, Seen] = {}
        self._lapsed_ms_by_id: dict[str, clock.Millis] = {}
        self._contact_ms: clock.Millis | None = None
        self._believe_ms: clock.Millis = 0
        self.complete = False

    def contacted(self, sent_ms: clock.Millis, now_ms: clock.Millis) -> None:
        """Note an answer of the store to a call sent at `sent_ms`.

        A call that waits for a change may take seconds; only the time
        without any call in progress that was answered is an outage.
        """
        last = self._contact_ms
        if last is not None and sent_ms - last >= OUTAGE_MS:
            self._believe_ms = now_ms + RETURN_GRACE_MS
        self._contact_ms = now_ms

    def put(self, target: _model.Target, now_ms: clock.Millis) -> None:
        """Take an entry; it replaces the one under the same id."""
        self._lapsed_ms_by_id.pop(target.id, None)
        self._by_id[target.id] = Seen(target, now_ms)

    def remove(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Drop an entry; false if it is held back after an outage."""
        if target_id not in self._by_id:
            return True
        if now_ms < self._believe_ms:
            self._lapsed_ms_by_id.setdefault(target_id, now_ms)
            return False
        del self._by_id[target_id]
        self._lapsed_ms_by_id.pop(target_id, None)
        return True

    def replace(
        self,
        targets: typing.Iterable[_model.Target],
        now_ms: clock.Millis,
    ) -> None:
        """Take a full list; what it lacks is removed."""
        present = set()
        for target in targets:
            present.add(target.id)
            self.put(target, now_ms)
        for target_id in set(self._by_id) - present:
            self.remove(target_id, now_ms)
        self.complete = True

    def expire(self, now_ms: clock.Millis) -> list[str]:
        """Remove lapsed entries whose time to return is over."""
        if not self._lapsed_ms_by_id or now_ms < self._believe_ms:
            return []
        gone = list(self._lapsed_ms_by_id)
        for target_id in gone:
            self._by_id.pop(target_id, None)
        self._lapsed_ms_by_id.clear()
        return gone

    def get(self, target_id: str) -> _model.Target | None:
        """Return the target of an id, if it is known."""
        seen = self._by_id.get(target_id)
        return seen.target if seen else None

    def of_service(self, service: str) -> list[_model.Target]:
        """Return the targets of a service, draining ones too."""
        return [
            seen.target
            for seen in self._by_id.values()
            if seen.target.service == service
        ]

    def all(self) -> list[_model.Target]:
        """Return all targets."""
        return [seen.target for seen in self._by_id.values()]

    def cold_left_ms(
        self, target_id: str, now_ms: clock.Millis
    ) -> clock.Millis:
        """Return how much of a target's cold start is left."""
        seen = self._by_id.get(target_id)
        if seen is None or not seen.target.cold_left_ms:
            return 0
        return max(0, seen.target.cold_left_ms - (now_ms - seen.seen_ms))
