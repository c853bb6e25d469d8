"""The targets in use, from the entries in the platform's store."""

import typing

import attrs

from quetzalward_core import clock
from quetzalward_core.fleet import _model

# Entries that expire during an outage of the store are written again within
# 2 s of its return if the target is alive; until then, removals are deferred.
RETURN_GRACE_MS = 2_000
# A shorter outage cannot make an entry expire.
MIN_OUTAGE_MS = 1_500
# Time for which a removed entry is remembered. A store is restored from a copy
# that is some seconds old, in which the entry may still be.
REMOVED_MAX_AGE_MS = 60_000


@attrs.frozen
class ReceivedEntry:
    """An entry and the time at which this node received it."""

    target: _model.Target
    received_ms: clock.Millis


class Directory:
    """Targets by id; defers removals after an outage of the store."""

    def __init__(self) -> None:
        """Start without targets."""
        self._entry_by_id: dict[str, ReceivedEntry] = {}
        self._expired_ms_by_id: dict[str, clock.Millis] = {}
        # Last entries of targets that were removed.
        self._removed_by_id: dict[str, ReceivedEntry] = {}
        # Entries of removed targets that a restored store lists again.
        self._returning_by_id: dict[str, _model.Target] = {}
        self._last_contact_ms: clock.Millis | None = None
        self._removals_trusted_from_ms: clock.Millis = 0
        self.complete = False

    def record_contact(
        self,
        sent_ms: clock.Millis,
        now_ms: clock.Millis,
        after_relay: bool = False,
    ) -> None:
        """Record the store's answer to a call sent at `sent_ms`.

        A call that waits for a change may take seconds. Only time that no
        answered call covers counts as an outage. With `after_relay`, the call
        is the first one since another node's reads were relayed to this one:
        the time before it shows that messages were lost, not an outage.
        """
        last_contact_ms = self._last_contact_ms
        if (
            last_contact_ms is not None
            and not after_relay
            and sent_ms - last_contact_ms >= MIN_OUTAGE_MS
        ):
            self._removals_trusted_from_ms = now_ms + RETURN_GRACE_MS
        self._last_contact_ms = now_ms

    def record_relay(
        self,
        confirmed_ms: clock.Millis,
        deferral_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        """Record the relayed read of another node, answered at `confirmed_ms`.

        That node defers removals for `deferral_ms` more, because its reads
        show an outage of the store.
        """
        if self._last_contact_ms is None:
            self._last_contact_ms = confirmed_ms
        self._last_contact_ms = max(self._last_contact_ms, confirmed_ms)
        if deferral_ms > 0:
            self._removals_trusted_from_ms = max(
                self._removals_trusted_from_ms, now_ms + deferral_ms
            )

    def removal_deferral_ms(self, now_ms: clock.Millis) -> clock.Millis:
        """Return the time for which removals are still deferred."""
        return max(0, self._removals_trusted_from_ms - now_ms)

    def put(self, target: _model.Target, now_ms: clock.Millis) -> None:
        """Add an entry; it replaces the one of the same id."""
        self._expired_ms_by_id.pop(target.id, None)
        self._returning_by_id.pop(target.id, None)
        self._entry_by_id[target.id] = ReceivedEntry(target, now_ms)

    def remove(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Remove an entry; false if that is deferred after an outage."""
        self._returning_by_id.pop(target_id, None)
        if target_id not in self._entry_by_id:
            return True
        if now_ms < self._removals_trusted_from_ms:
            self._expired_ms_by_id.setdefault(target_id, now_ms)
            return False
        self._forget(target_id, now_ms)
        self._expired_ms_by_id.pop(target_id, None)
        return True

    def _forget(self, target_id: str, now_ms: clock.Millis) -> None:
        entry = self._entry_by_id.pop(target_id, None)
        if entry is None:
            return
        self._removed_by_id.pop(target_id, None)
        self._removed_by_id[target_id] = ReceivedEntry(entry.target, now_ms)
        for removed_id, removed in list(self._removed_by_id.items()):
            if now_ms - removed.received_ms <= REMOVED_MAX_AGE_MS:
                break
            del self._removed_by_id[removed_id]

    def replace(
        self,
        targets: typing.Iterable[_model.Target],
        now_ms: clock.Millis,
    ) -> None:
        """Add the entries of a full list and remove all others."""
        listed = list(targets)
        self._returning_by_id.clear()
        self._apply_list(listed, {target.id for target in listed}, now_ms)

    def restore(
        self,
        targets: typing.Iterable[_model.Target],
        now_ms: clock.Millis,
    ) -> list[str]:
        """Apply the entries of a restored store; return the ids left out.

        An entry that is older than what this node knows of its target, or of
        an earlier life of it, is left out. That of a target which was removed
        is added only if the store still lists it when removals are trusted
        again. An entry that is missing may be written again until then.
        """
        self._removals_trusted_from_ms = max(
            self._removals_trusted_from_ms, now_ms + RETURN_GRACE_MS
        )
        current, left_out = [], []
        for target in targets:
            if self._is_older_than_known(target):
                left_out.append(target.id)
            elif self._was_removed(target):
                left_out.append(target.id)
                self._returning_by_id[target.id] = target
            else:
                current.append(target)
        self._apply_list(
            current, {*left_out, *(t.id for t in current)}, now_ms
        )
        return left_out

    def _is_older_than_known(self, target: _model.Target) -> bool:
        entry = self._entry_by_id.get(target.id)
        if entry is None:
            return False
        known = entry.target
        return (target.born_ms, target.sequence) < (
            known.born_ms,
            known.sequence,
        )

    def _was_removed(self, target: _model.Target) -> bool:
        entry = self._removed_by_id.get(target.id)
        return (
            target.id not in self._entry_by_id
            and entry is not None
            and entry.target.key == target.key
            and target.sequence <= entry.target.sequence
        )

    def _apply_list(
        self,
        targets: typing.Iterable[_model.Target],
        present_ids: set[str],
        now_ms: clock.Millis,
    ) -> None:
        for target in targets:
            self.put(target, now_ms)
        for target_id in set(self._entry_by_id) - present_ids:
            self.remove(target_id, now_ms)
        self.complete = True

    def expire(self, now_ms: clock.Millis) -> list[str]:
        """Carry out the deferred removals that are due; return their ids."""
        if now_ms < self._removals_trusted_from_ms:
            return []
        for target in list(self._returning_by_id.values()):
            self.put(target, now_ms)
        expired_ids = list(self._expired_ms_by_id)
        for target_id in expired_ids:
            self._forget(target_id, now_ms)
        self._expired_ms_by_id.clear()
        return expired_ids

    def get(self, target_id: str) -> _model.Target | None:
        """Return the target with an id, or `None`."""
        entry = self._entry_by_id.get(target_id)
        return entry.target if entry else None

    def of_service(self, service: str) -> list[_model.Target]:
        """Return the targets of a service, including draining ones."""
        return [
            entry.target
            for entry in self._entry_by_id.values()
            if entry.target.service == service
        ]

    def all(self) -> list[_model.Target]:
        """Return all targets."""
        return [entry.target for entry in self._entry_by_id.values()]

    def cold_left_ms(
        self, target_id: str, now_ms: clock.Millis
    ) -> clock.Millis:
        """Return the remaining time of a target's cold start."""
        entry = self._entry_by_id.get(target_id)
        if entry is None or not entry.target.cold_left_ms:
            return 0
        return max(0, entry.target.cold_left_ms - (now_ms - entry.received_ms))
