"""Task that applies the targets' entries from the platform's store."""

import asyncio
import collections
import collections.abc
import enum

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _follower
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# A read returns at the next change of any target, so reads are spaced to
# combine many changes into few calls.
READ_WAIT_MS = 2_500


class EntryChange(enum.Enum):
    """What a record changed for the choice of targets."""

    LISTED = "listed"
    DRAINING = "draining"
    GONE = "gone"
    WITHHELD = "withheld"
    # Nothing, or a property other than whether the target may be used.
    UPDATED = "updated"


_DEPARTURES = frozenset(
    (EntryChange.DRAINING, EntryChange.GONE, EntryChange.WITHHELD)
)


class TargetsFollower(_follower.Follower):
    """Applies the targets' entries."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        """Follow the targets' topic."""
        timing = coordination.RelayTiming.within(
            runtime.state.bounds.departure_ms
        )
        topic = runtime.platform.targets_topic
        super().__init__(runtime, topic, timing, is_holder)
        # Monotonic time at which the entries were last known to be complete.
        self._complete_ms: clock.Millis | None = None
        self._relayed_deferral_ms: clock.Millis = 0

    def _apply_relayed(
        self,
        records: tuple[_ports.Record, ...],
        confirmed_boot_ms: clock.Millis,
    ) -> None:
        now_ms = self._runtime.now_ms()
        confirmed_ms = now_ms - (self._runtime.boot_ms() - confirmed_boot_ms)
        directory = self._runtime.state.directory
        directory.record_relay(confirmed_ms, self._relayed_deferral_ms, now_ms)
        changes: collections.Counter[str] = collections.Counter()
        for record in records:
            changes[self._apply_record(record, now_ms).value] += 1
        if changes:
            # The holder logs each target.
            self._runtime.log.event("targets_changed", **changes)
        if self._complete_ms is None or confirmed_ms > self._complete_ms:
            self._complete_ms = confirmed_ms
        self._expire_targets()

    def _clock_ms(self) -> clock.Millis:
        return self._runtime.now_ms()

    def _confirmed_ms(self) -> clock.Millis | None:
        return self._complete_ms

    def _wait_ms(self) -> clock.Millis:
        if self._is_holder():
            return self._timing.holder_wait_ms
        return READ_WAIT_MS

    def removal_deferral_ms(self) -> clock.Millis:
        """Return the time for which removals are still deferred."""
        return self._runtime.state.directory.removal_deferral_ms(
            self._runtime.now_ms()
        )

    def set_relayed_deferral(self, deferral_ms: clock.Millis) -> None:
        """Set the time for which the holder still defers removals."""
        self._relayed_deferral_ms = deferral_ms

    async def _pause(self) -> None:
        self._expire_targets()
        interval_ms: float = self._timing.read_interval_ms
        if self._is_holder():
            interval_ms = self._runtime.state.relay_interval_ms()
        await asyncio.sleep(interval_ms / clock.MILLIS_PER_SECOND)

    def _apply_snapshot(
        self, page: _ports.Page, sent_ms: clock.Millis, is_restored: bool
    ) -> None:
        runtime = self._runtime
        now_ms = runtime.now_ms()
        runtime.state.directory.record_contact(
            self._last_read_sent_ms, now_ms, self._relied_on_relay
        )
        targets = []
        for record in page.records:
            target = self._decode(record)
            if target is not None:
                targets.append(target)
        outdated: list[str] = []
        if is_restored:
            outdated = runtime.state.directory.restore(targets, now_ms)
        else:
            runtime.state.directory.replace(targets, now_ms)
        runtime.log.event(
            "targets_read", targets=len(targets), outdated=outdated
        )
        self._complete_ms = now_ms

    def _apply_page(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        read_wait_ms: clock.Millis,
    ) -> None:
        now_ms = self._runtime.now_ms()
        self._runtime.state.directory.record_contact(
            self._last_read_sent_ms, now_ms, self._relied_on_relay
        )
        for record in page.records:
            change = self._apply_record(record, now_ms)
            if change in _DEPARTURES:
                self._runtime.state.relay_now = True
            if change is not EntryChange.UPDATED:
                self._runtime.log.event(
                    f"target_{change.value}", target=record.key
                )
        self._complete_ms = now_ms

    def _apply_record(
        self, record: _ports.Record, now_ms: clock.Millis
    ) -> EntryChange:
        """Apply one record of the topic."""
        directory = self._runtime.state.directory
        target = self._decode(record)
        known = directory.get(record.key)
        if target is None:
            if known is not None and directory.remove(record.key, now_ms):
                return EntryChange.GONE
            return EntryChange.UPDATED
        directory.put(target, now_ms)
        if known is None:
            return EntryChange.LISTED
        if target.draining and not known.draining:
            return EntryChange.DRAINING
        if target.withheld and not known.withheld:
            return EntryChange.WITHHELD
        return EntryChange.UPDATED

    def _decode(self, record: _ports.Record) -> fleet.Target | None:
        """Return the target of an entry; `None` if it names none.

        A malformed entry over that of a known target is the word of another
        writer. The target gets no new requests, but those under way and its
        group go on until it writes again or its entry is removed.
        """
        try:
            return self._runtime.platform.decode_target(record)
        except Exception as error:
            # The other records of the page hold whatever is wrong with one.
            self._runtime.log.event(
                "target_entry_invalid", key=record.key, reason=str(error)
            )
        known = self._runtime.state.directory.get(record.key)
        return None if known is None else attrs.evolve(known, withheld=True)

    def _expire_targets(self) -> None:
        directory = self._runtime.state.directory
        for target_id in directory.expire(self._runtime.now_ms()):
            self._runtime.log.event("target_gone", target=target_id)
        self._runtime.state.forget_removed_targets(self._runtime.now_ms())
