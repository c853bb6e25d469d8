"""Task that applies the operators' records from the platform's store."""

import collections.abc

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _follower
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# Time that a read waits for a change. Only its end confirms that the
# configuration is current, so it stays well below the limit for revoked keys.
# It is not shorter, because every read is charged.
READ_WAIT_MS = 1_800


@attrs.frozen
class _PrecedingConfiguration:
    """A configuration of the store that precedes the one in force."""

    configuration: fleet.Configuration
    record: _ports.Record
    since_ms: clock.Millis


class OperationsFollower(_follower.Follower):
    """Applies configurations and zone evacuations."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        """Follow the operators' topic."""
        bounds = runtime.state.bounds
        ready_ms = runtime.state.freshness.ready_max_age_ms
        timing = coordination.RelayTiming.within(
            min(bounds.configuration_ms, bounds.evacuation_ms), ready_ms
        )
        topic = runtime.platform.operations_topic
        super().__init__(runtime, topic, timing, is_holder)
        # Time, including suspension, at which the topic ended at the offset.
        self._complete_ms: clock.Millis | None = None
        # Evacuated zones that a restored store lacks, and until when they stay
        # evacuated unless the operators write again.
        self._lost_zones: set[str] = set()
        self._lost_zones_until_ms: clock.Millis = 0
        # The store's configuration while it precedes the one in force.
        self._preceding: _PrecedingConfiguration | None = None

    def _apply_relayed(
        self,
        records: tuple[_ports.Record, ...],
        confirmed_boot_ms: clock.Millis,
    ) -> None:
        for record in records:
            self._apply_record(record)
        self._confirm(confirmed_boot_ms)

    def _clock_ms(self) -> clock.Millis:
        return self._runtime.boot_ms()

    def _confirmed_ms(self) -> clock.Millis | None:
        return self._complete_ms

    def _wait_ms(self) -> clock.Millis:
        if self._is_holder():
            return self._timing.holder_wait_ms
        return READ_WAIT_MS

    async def _pause(self) -> None:
        """Return at once, since the read itself waits for changes."""

    def _confirm(self, at_ms: clock.Millis) -> None:
        """Record that the topic ended at the offset at a time.

        That confirms the configuration in force, unless the store may lack
        a later one.
        """
        if self._complete_ms is None or at_ms > self._complete_ms:
            self._complete_ms = at_ms
        self.confirm_complete()

    def confirm_complete(self) -> None:
        """Confirm the configuration as of the last read that was relied on.

        Called again when another node has said what it has in force.
        """
        at_ms = self._complete_ms
        if at_ms is None or self.offset < 0:
            return
        state, now_ms = self._runtime.state, self._runtime.now_ms()
        self._apply_preceding(now_ms)
        if self._lost_zones and now_ms >= self._lost_zones_until_ms:
            self._return_zones(self._lost_zones)
            self._lost_zones = set()
        if state.confirmation.is_settled(state.precedence, now_ms):
            state.freshness.confirm(at_ms)

    def _apply_snapshot(
        self, page: _ports.Page, sent_ms: clock.Millis, is_restored: bool
    ) -> None:
        zones = set()
        for record in page.records:
            change = self._apply_record(record)
            if isinstance(change, _ports.ZoneEvacuation) and change.in_force:
                zones.add(change.zone)
        missing = self._runtime.state.evacuated_zones - zones
        if is_restored:
            self._begin_era(missing)
        else:
            self._return_zones(missing - self._lost_zones)
        self._confirm(sent_ms)

    def _begin_era(self, lost_zones: set[str]) -> None:
        """Keep what the store has lost until operators write again."""
        state, now_ms = self._runtime.state, self._runtime.now_ms()
        self._lost_zones = lost_zones
        self._lost_zones_until_ms = now_ms + fleet.REWRITE_GRACE_MS
        if state.node_count > 1:
            state.confirmation.begin(now_ms, fleet.REWRITE_GRACE_MS)

    def _return_zones(self, zones: set[str]) -> None:
        for zone in zones:
            self._runtime.state.evacuated_zones.discard(zone)
            self._runtime.log.event("zone_returned", zone=zone)

    def _apply_page(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        read_wait_ms: clock.Millis,
    ) -> None:
        for record in page.records:
            self._apply_record(record)
        if page.records:
            self._runtime.state.relay_now = True
        confirmed = sent_ms
        if not page.records:
            # The store answers a read without records only after the whole
            # wait.
            elapsed = self._runtime.boot_ms() - sent_ms
            confirmed += read_wait_ms if elapsed >= read_wait_ms else 0
        self._confirm(confirmed)

    def _apply_preceding(self, now_ms: clock.Millis) -> None:
        """Follow operators who have begun to count versions anew."""
        found = self._preceding
        if found is None or now_ms - found.since_ms < fleet.RENUMBER_MS:
            return
        self._preceding = None
        self._runtime.log.event(
            "versions_begin_anew",
            version=found.configuration.version,
            after_ms=now_ms - found.since_ms,
        )
        numbering = max(
            self._runtime.store.era.number,
            self._runtime.state.precedence.numbering + 1,
        )
        self._put_in_force(found.configuration, found.record, numbering)

    def apply_copy(self, copy: coordination.ConfigurationCopy) -> None:
        """Apply the configuration of another node, if it is a later one."""
        if copy.numbering < 0 or self._runtime.store.era.number < 0:
            return
        record = _ports.Record(-1, copy.key, copy.value.encode())
        change = self._decode(record)
        if (
            isinstance(change, fleet.Configuration)
            and change.version == copy.version
            and fleet.Precedence(copy.numbering, copy.version)
            > self._runtime.state.precedence
        ):
            self._put_in_force(change, record, copy.numbering, copy.node)

    def _apply_record(
        self, record: _ports.Record
    ) -> fleet.Configuration | _ports.ZoneEvacuation | None:
        runtime = self._runtime
        change = self._decode(record)
        if isinstance(change, fleet.Configuration):
            self._put_in_force(change, record)
            self._note_preceding(change, record)
        elif isinstance(change, _ports.ZoneEvacuation):
            self._lost_zones.discard(change.zone)
            zones = runtime.state.evacuated_zones
            if change.in_force:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
            runtime.log.event(
                "zone_evacuated" if change.in_force else "zone_returned",
                zone=change.zone,
            )
        return change

    def _note_preceding(
        self, configuration: fleet.Configuration, record: _ports.Record
    ) -> None:
        """Remember since when the store's configuration precedes ours."""
        state = self._runtime.state
        is_preceding = (
            configuration.version < state.precedence.version
            and self._runtime.store.era.number > state.configuration_era
        )
        state.is_store_behind = is_preceding
        if not is_preceding:
            self._preceding = None
            return
        since_ms = self._runtime.now_ms()
        if self._preceding is not None:
            since_ms = self._preceding.since_ms
        self._preceding = _PrecedingConfiguration(
            configuration, record, since_ms
        )

    def _decode(
        self, record: _ports.Record
    ) -> fleet.Configuration | _ports.ZoneEvacuation | None:
        try:
            return self._runtime.platform.decode_operation(record)
        except Exception as error:
            # The other records of the page hold whatever is wrong with one.
            self._runtime.log.event(
                "operation_unreadable", key=record.key, reason=str(error)
            )
            return None

    def _put_in_force(
        self,
        configuration: fleet.Configuration,
        record: _ports.Record,
        numbering: int | None = None,
        sender: str | None = None,
    ) -> None:
        """Put a configuration in force unless it precedes the present one."""
        runtime = self._runtime
        era = runtime.store.era.number
        is_later = runtime.state.apply_configuration(
            configuration, record, era, numbering
        )
        runtime.log.event(
            "configuration_in_force" if is_later else "configuration_ignored",
            version=configuration.version,
            routes=len(configuration.routes),
            offset=record.offset,
            era=era,
            sender=sender,
        )
