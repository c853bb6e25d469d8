"""Tasks that follow the platform's store."""

import asyncio
import collections.abc

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# A read waits so long for a change; its end proves the configuration fresh,
# so it stays well below the bound on revoked keys. Each read is priced.
OPERATIONS_WAIT_MS = 1_800
# A read returns with the next change of any target; reads are spaced, so
# that many changes cost few calls. A target that leaves must get nothing
# after 2 s at the strictest.
TARGETS_INTERVAL_MS = 1_000
TARGETS_WAIT_MS = 2_500
# After an error: at once, then slower; a busy store is not pressed harder.
FIRST_RETRY_MS = 60
MAX_RETRY_MS = 500


class _Follower:
    """Follows one keyed topic, over lost history and lost connections."""

    def __init__(self, runtime: _runtime.Runtime, topic: str) -> None:
        self._runtime = runtime
        self._topic = topic
        self._offset: int | None = None
        self._failing_since_ms: clock.Millis | None = None
        self._retry_ms = FIRST_RETRY_MS
        self._called_ms = 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._step()
            except _ports.HistoryLost:
                self._runtime.log.event("history_lost", topic=self._topic)
                self._offset = None
                continue
            except _ports.StoreError as error:
                await self._failed(error)
                continue
            self._succeeded()
            await self._pause()

    async def _step(self) -> None:
        log = self._runtime.platform.log
        sent_ms = self._runtime.boot_ms()
        self._called_ms = self._runtime.now_ms()
        if self._offset is None:
            page = await log.newest(self._topic)
            self._take_all(page, sent_ms)
            self._offset = page.end
            return
        wait_ms = self._wait_ms()
        page = await log.read(self._topic, self._offset, wait_ms)
        self._offset = page.end
        self._take(page, sent_ms, wait_ms)

    async def _failed(self, error: _ports.StoreError) -> None:
        now_ms = self._runtime.now_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
            self._runtime.log.event(
                "store_lost", topic=self._topic, reason=str(error)
            )
        await asyncio.sleep(self._retry_ms / clock.MILLIS_PER_SECOND)
        self._retry_ms = min(MAX_RETRY_MS, 2 * self._retry_ms)

    def _succeeded(self) -> None:
        if self._failing_since_ms is not None:
            self._runtime.log.event(
                "store_regained",
                topic=self._topic,
                after_ms=self._runtime.now_ms() - self._failing_since_ms,
            )
        self._failing_since_ms = None
        self._retry_ms = FIRST_RETRY_MS

    def _wait_ms(self) -> clock.Millis:
        raise NotImplementedError

    async def _pause(self) -> None:
        raise NotImplementedError

    def _take_all(self, page: _ports.Page, sent_ms: clock.Millis) -> None:
        raise NotImplementedError

    def _take(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        waited_ms: clock.Millis,
    ) -> None:
        raise NotImplementedError


class OperationsFollower(_Follower):
    """Takes configurations and evacuations."""

    def __init__(self, runtime: _runtime.Runtime) -> None:
        """Follow the operators' topic."""
        super().__init__(runtime, runtime.platform.operations_topic)

    def _wait_ms(self) -> clock.Millis:
        return OPERATIONS_WAIT_MS

    async def _pause(self) -> None:
        """Read on at once; the read itself waits."""

    def _take_all(self, page: _ports.Page, sent_ms: clock.Millis) -> None:
        zones = set()
        for record in page.records:
            change = self._apply(record)
            if isinstance(change, _ports.ZoneEvacuation) and change.in_force:
                zones.add(change.zone)
        state = self._runtime.state
        for zone in state.evacuated_zones - zones:
            self._runtime.log.event("zone_returned", zone=zone)
        state.evacuated_zones.intersection_update(zones)
        state.freshness.confirm(sent_ms)

    def _take(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        waited_ms: clock.Millis,
    ) -> None:
        for record in page.records:
            self._apply(record)
        confirmed = sent_ms
        if not page.records:
            # The store answers an empty read only after the whole wait.
            elapsed = self._runtime.boot_ms() - sent_ms
            confirmed += waited_ms if elapsed >= waited_ms else 0
        self._runtime.state.freshness.confirm(confirmed)

    def _apply(
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


class TargetsFollower(_Follower):
    """Takes the targets' entries."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        interval_ms: collections.abc.Callable[[], clock.Millis],
    ) -> None:
        """Follow the targets' topic, reading once an interval."""
        super().__init__(runtime, runtime.platform.targets_topic)
        self._interval_ms = interval_ms

    def _wait_ms(self) -> clock.Millis:
        return TARGETS_WAIT_MS

    async def _pause(self) -> None:
        self._expire()
        await asyncio.sleep(self._interval_ms() / clock.MILLIS_PER_SECOND)

    def _take_all(self, page: _ports.Page, sent_ms: clock.Millis) -> None:
        runtime = self._runtime
        now_ms = runtime.now_ms()
        runtime.state.directory.contacted(self._called_ms, now_ms)
        targets = []
        for record in page.records:
            target = runtime.platform.decode_target(record)
            if target is not None:
                targets.append(target)
        runtime.state.directory.replace(targets, now_ms)
        runtime.log.event("targets_read", targets=len(targets))

    def _take(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        waited_ms: clock.Millis,
    ) -> None:
        runtime = self._runtime
        now_ms = runtime.now_ms()
        directory = runtime.state.directory
        directory.contacted(self._called_ms, now_ms)
        for record in page.records:
            if record.value is None:
                if directory.remove(record.key, now_ms):
                    runtime.log.event("target_gone", target=record.key)
                continue
            target = runtime.platform.decode_target(record)
            if target is None:
                directory.remove(record.key, now_ms)
                continue
            known = directory.get(target.id)
            if known is None or known.draining != target.draining:
                runtime.log.event(
                    "target_listed",
                    target=target.id,
                    service=target.service,
                    draining=target.draining,
                )
            directory.put(target, now_ms)

    def _expire(self) -> None:
        directory = self._runtime.state.directory
        for target_id in directory.expire(self._runtime.now_ms()):
            self._runtime.log.event("target_gone", target=target_id)
        self._runtime.state.forget_gone()
