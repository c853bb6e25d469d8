"""Task that applies the operators' records from the platform's store."""

import collections.abc

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

    def _apply_relayed(
        self,
        records: tuple[_ports.Record, ...],
        confirmed_boot_ms: clock.Millis,
    ) -> None:
        for record in records:
            self._apply_record(record)
        self._runtime.state.freshness.confirm(confirmed_boot_ms)

    def _clock_ms(self) -> clock.Millis:
        return self._runtime.boot_ms()

    def _confirmed_ms(self) -> clock.Millis | None:
        return self._runtime.state.freshness.confirmed_ms

    def _wait_ms(self) -> clock.Millis:
        if self._is_holder():
            return self._timing.holder_wait_ms
        return READ_WAIT_MS

    async def _pause(self) -> None:
        """Return at once, since the read itself waits for changes."""

    def _apply_snapshot(
        self, page: _ports.Page, sent_ms: clock.Millis
    ) -> None:
        zones = set()
        for record in page.records:
            change = self._apply_record(record)
            if isinstance(change, _ports.ZoneEvacuation) and change.in_force:
                zones.add(change.zone)
        state = self._runtime.state
        for zone in state.evacuated_zones - zones:
            self._runtime.log.event("zone_returned", zone=zone)
        state.evacuated_zones.intersection_update(zones)
        state.freshness.confirm(sent_ms)

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
        self._runtime.state.freshness.confirm(confirmed)

    def _apply_record(
        self, record: _ports.Record
    ) -> fleet.Configuration | _ports.ZoneEvacuation | None:
        runtime = self._runtime
        try:
            change = runtime.platform.decode_operation(record)
        except ValueError as error:
            runtime.log.event(
                "operation_unreadable", key=record.key, reason=str(error)
            )
            return None
        if isinstance(change, fleet.Configuration):
            if runtime.state.apply_configuration(change):
                runtime.log.event(
                    "configuration_in_force",
                    version=change.version,
                    routes=len(change.routes),
                    offset=record.offset,
                )
            else:
                runtime.log.event(
                    "configuration_ignored",
                    version=change.version,
                    offset=record.offset,
                )
        elif isinstance(change, _ports.ZoneEvacuation):
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
