"""Tasks that follow topics of the platform's store."""

import asyncio
import collections
import collections.abc

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# Time that a read waits for a change. Only its end confirms that the
# configuration is current, so it stays well below the limit for revoked keys.
# It is not shorter, because every read is charged.
OPERATIONS_WAIT_MS = 1_800
# A read returns at the next change of any target, so reads are spaced to
# combine many changes into few calls. The strictest limit is 2 s from the
# departure of a target until no more requests are sent to it.
TARGETS_INTERVAL_MS = 1_000
TARGETS_WAIT_MS = 2_500
# The holder's reads are shorter, since the other nodes rely on them.
HOLDER_WAIT_MS = 500
# Interval between the holder's reads, as a share of its message interval.
HOLDER_INTERVAL_SHARE = 0.4
# A node reads the store itself if the relayed state is older than this time,
# which allows for a read of the holder, plus this many message intervals.
RELAY_MAX_AGE_MS = 900
RELAY_MAX_AGE_INTERVALS = 2.5
# Interval at which a node checks the age of the relayed state.
RELAY_CHECK_INTERVAL_MS = 100
# Time for which a record is relayed; a node that missed it reads the store.
RELAY_RETENTION_MS = 1_500
# Maximum size of the relayed records of a topic. Larger messages are lost on a
# saturated link, and the nodes then consider the holder failed.
MAX_RELAY_BYTES = 40_000
# Backoff after an error, because refused calls are charged too. The holder
# retries more often, since its reads save those of the other nodes.
FIRST_RETRY_MS = 60
RETRY_FACTOR = 3
HOLDER_MAX_RETRY_MS = 400
MAX_RETRY_MS = 2_000


class _Follower:
    """Follows one keyed topic; recovers from lost history and connections."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        topic: str,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        self._runtime = runtime
        self._is_holder = is_holder
        self._relay_gap = asyncio.Event()
        self._topic = topic
        self._offset: int | None = None
        # End of the topic as last relayed by the holder.
        self._relayed_end = -1
        # Recently read records, which the holder relays.
        self._recent_records: collections.deque[
            tuple[clock.Millis, coordination.RelayedRecord]
        ] = collections.deque()
        self._failing_since_ms: clock.Millis | None = None
        self._backoff = coordination.Backoff(FIRST_RETRY_MS, RETRY_FACTOR)
        self._last_read_sent_ms = 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if self._is_relay_current():
                await self._wait_for_relay()
                continue
            try:
                await self._read_once()
            except _ports.HistoryLost:
                self._runtime.log.event("history_lost", topic=self._topic)
                self._offset = None
                continue
            except _ports.StoreError as error:
                await self._handle_store_error(error)
                continue
            self._record_success()
            await self._pause()

    async def _read_once(self) -> None:
        store = self._runtime.platform.store
        self._runtime.metrics.count("store_reads", self._topic)
        sent_ms = self._runtime.boot_ms()
        self._last_read_sent_ms = self._runtime.now_ms()
        if self._offset is None:
            page = await store.newest(self._topic)
            self._apply_snapshot(page, sent_ms)
            self._offset = page.end
            self._recent_records.clear()
            return
        wait_ms = self._wait_ms()
        page = await store.read(self._topic, self._offset, wait_ms)
        # Some of the records may have been relayed during the read.
        new_records = [r for r in page.records if r.offset >= self._offset]
        self._offset = max(self._offset, page.end)
        self._apply_page(
            attrs.evolve(page, records=tuple(new_records)), sent_ms, wait_ms
        )
        self._retain_for_relay(new_records)

    async def _handle_store_error(self, error: _ports.StoreError) -> None:
        now_ms = self._runtime.now_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
            self._runtime.log.event(
                "store_lost", topic=self._topic, reason=str(error)
            )
        max_pause_ms = (
            HOLDER_MAX_RETRY_MS if self._is_holder() else MAX_RETRY_MS
        )
        pause_ms = self._backoff.record_failure(max_pause_ms)
        await asyncio.sleep(pause_ms / clock.MILLIS_PER_SECOND)

    def _record_success(self) -> None:
        if self._failing_since_ms is not None:
            self._runtime.log.event(
                "store_regained",
                topic=self._topic,
                after_ms=self._runtime.now_ms() - self._failing_since_ms,
            )
        self._failing_since_ms = None
        self._backoff.record_success()

    def view(self) -> coordination.TopicView | None:
        """Return the topic's state to relay; `None` if it is not known."""
        age_ms = self._age_ms()
        if self._offset is None or age_ms is None:
            return None
        self._expire_recent_records()
        kept: list[coordination.RelayedRecord] = []
        size = 0
        for _, record in reversed(self._recent_records):
            size += len(record.value or "") + len(record.key)
            if size > MAX_RELAY_BYTES:
                break
            kept.append(record)
        return coordination.TopicView(
            self._offset, age_ms, tuple(reversed(kept))
        )

    def apply_relayed_view(
        self, view: coordination.TopicView, echo_ms: clock.Millis | None
    ) -> None:
        """Apply the holder's read of the topic.

        Its age is counted from the time `echo_ms` at which this node sent the
        status that the view answers. The time of receipt does not bound the
        age, because a machine that was suspended reads datagrams late.
        """
        self._relayed_end = view.end
        offset = self._offset
        if offset is None or view.end < offset or echo_ms is None:
            return
        new_records = [r for r in view.records if r.offset >= offset]
        offsets = [record.offset for record in new_records]
        if offsets != list(range(offset, view.end)):
            # Messages were lost, or a record is too large to be relayed.
            self._relay_gap.set()
            return
        records = tuple(
            _ports.Record(
                r.offset, r.key, None if r.value is None else r.value.encode()
            )
            for r in new_records
        )
        self._apply_relayed(records, echo_ms - view.age_ms)
        self._offset = view.end

    def _retain_for_relay(
        self, records: collections.abc.Iterable[_ports.Record]
    ) -> None:
        """Retain records that were read, for the other nodes."""
        now_ms = self._runtime.now_ms()
        for record in records:
            value = record.value
            text = None if value is None else value.decode("utf-8", "replace")
            relayed = coordination.RelayedRecord(
                record.offset, record.key, text
            )
            self._recent_records.append((now_ms, relayed))
        self._expire_recent_records()

    def _expire_recent_records(self) -> None:
        oldest_ms = self._runtime.now_ms() - RELAY_RETENTION_MS
        while self._recent_records and self._recent_records[0][0] < oldest_ms:
            self._recent_records.popleft()

    def _is_relay_current(self) -> bool:
        """Tell whether the relayed state makes a read unnecessary."""
        age_ms = self._age_ms()
        if self._is_holder() or self._offset is None or age_ms is None:
            return False
        message_interval_ms = self._runtime.state.message_interval_ms()
        limit_ms = (
            RELAY_MAX_AGE_MS + RELAY_MAX_AGE_INTERVALS * message_interval_ms
        )
        return age_ms <= limit_ms and self._relayed_end <= self._offset

    def _age_ms(self) -> clock.Millis | None:
        """Return the age of the proof that the topic ended at the offset."""
        raise NotImplementedError

    async def _wait_for_relay(self) -> None:
        """Wait until the next check, or until a relay lacks records."""
        self._relay_gap.clear()
        wait_s = RELAY_CHECK_INTERVAL_MS / clock.MILLIS_PER_SECOND
        try:
            async with asyncio.timeout(wait_s):
                await self._relay_gap.wait()
        except TimeoutError:
            # No records are missing; the caller checks the age again.
            return

    def _wait_ms(self) -> clock.Millis:
        raise NotImplementedError

    async def _pause(self) -> None:
        raise NotImplementedError

    def _apply_snapshot(
        self, page: _ports.Page, sent_ms: clock.Millis
    ) -> None:
        raise NotImplementedError

    def _apply_relayed(
        self,
        records: tuple[_ports.Record, ...],
        confirmed_boot_ms: clock.Millis,
    ) -> None:
        """Apply relayed records up to the end of the topic.

        `confirmed_boot_ms` is the time, on the clock that includes
        suspension, at which the topic ended there.
        """
        raise NotImplementedError

    def _apply_page(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        read_wait_ms: clock.Millis,
    ) -> None:
        raise NotImplementedError


class OperationsFollower(_Follower):
    """Applies configurations and zone evacuations."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        """Follow the operators' topic."""
        super().__init__(runtime, runtime.platform.operations_topic, is_holder)

    def _apply_relayed(
        self,
        records: tuple[_ports.Record, ...],
        confirmed_boot_ms: clock.Millis,
    ) -> None:
        for record in records:
            self._apply_record(record)
        self._runtime.state.freshness.confirm(confirmed_boot_ms)

    def _age_ms(self) -> clock.Millis | None:
        return self._runtime.state.freshness.age_ms(self._runtime.boot_ms())

    def _wait_ms(self) -> clock.Millis:
        return HOLDER_WAIT_MS if self._is_holder() else OPERATIONS_WAIT_MS

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
    """Applies the targets' entries."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        """Follow the targets' topic."""
        super().__init__(runtime, runtime.platform.targets_topic, is_holder)
        # Monotonic time at which the entries were last known to be complete.
        self._confirmed_ms: clock.Millis | None = None

    def _apply_relayed(
        self,
        records: tuple[_ports.Record, ...],
        confirmed_boot_ms: clock.Millis,
    ) -> None:
        now_ms = self._runtime.now_ms()
        confirmed_ms = now_ms - (self._runtime.boot_ms() - confirmed_boot_ms)
        self._runtime.state.directory.record_contact(confirmed_ms, now_ms)
        for record in records:
            self._apply_record(record, now_ms)
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms
        self._expire_targets()

    def _age_ms(self) -> clock.Millis | None:
        if self._confirmed_ms is None:
            return None
        return self._runtime.now_ms() - self._confirmed_ms

    def _wait_ms(self) -> clock.Millis:
        return HOLDER_WAIT_MS if self._is_holder() else TARGETS_WAIT_MS

    async def _pause(self) -> None:
        self._expire_targets()
        message_interval_ms = self._runtime.state.message_interval_ms()
        interval_ms: float = TARGETS_INTERVAL_MS
        if self._is_holder():
            interval_ms = HOLDER_INTERVAL_SHARE * message_interval_ms
        await asyncio.sleep(interval_ms / clock.MILLIS_PER_SECOND)

    def _apply_snapshot(
        self, page: _ports.Page, sent_ms: clock.Millis
    ) -> None:
        runtime = self._runtime
        now_ms = runtime.now_ms()
        runtime.state.directory.record_contact(self._last_read_sent_ms, now_ms)
        targets = []
        for record in page.records:
            target = runtime.platform.decode_target(record)
            if target is not None:
                targets.append(target)
        runtime.state.directory.replace(targets, now_ms)
        runtime.log.event("targets_read", targets=len(targets))
        self._confirmed_ms = now_ms

    def _apply_page(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        read_wait_ms: clock.Millis,
    ) -> None:
        now_ms = self._runtime.now_ms()
        self._runtime.state.directory.record_contact(
            self._last_read_sent_ms, now_ms
        )
        for record in page.records:
            self._apply_record(record, now_ms)
        self._confirmed_ms = now_ms

    def _apply_record(
        self, record: _ports.Record, now_ms: clock.Millis
    ) -> None:
        """Apply one record of the topic."""
        runtime = self._runtime
        directory = runtime.state.directory
        target = runtime.platform.decode_target(record)
        if target is None:
            if directory.remove(record.key, now_ms):
                runtime.log.event("target_gone", target=record.key)
            return
        known = directory.get(target.id)
        if known is None or known.draining != target.draining:
            runtime.log.event(
                "target_listed",
                target=target.id,
                service=target.service,
                draining=target.draining,
            )
        directory.put(target, now_ms)

    def _expire_targets(self) -> None:
        directory = self._runtime.state.directory
        for target_id in directory.expire(self._runtime.now_ms()):
            self._runtime.log.event("target_gone", target=target_id)
        self._runtime.state.forget_removed_targets()
