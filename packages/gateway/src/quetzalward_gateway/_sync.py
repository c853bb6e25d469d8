"""Tasks that follow the platform's store."""

import asyncio
import collections
import collections.abc

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
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
# The coordinator's reads are shorter, since the other nodes rely on them.
HOLDER_WAIT_MS = 500
# Its reads are spaced by this part of the interval between its messages.
HOLDER_INTERVAL_SHARE = 0.4
# A node reads by itself if what the coordinator relays is older than a read
# of the coordinator and this many intervals between messages.
RELAY_MAX_AGE_MS = 900
RELAY_MAX_INTERVALS = 2.5
# A node looks this often whether the relay has grown too old.
RELAY_LOOK_MS = 100
# Records are relayed for so long; a node that missed more reads the store.
RELAY_MS = 1_500
# Records of a topic beyond this are not relayed: larger messages are lost on
# a full link, and the coordinator with them.
RELAY_BYTES = 40_000
# After an error: soon, then slower; refused calls are priced too. The
# coordinator tries oftener, and what it reads spares the others their calls.
FIRST_RETRY_MS = 60
RETRY_FACTOR = 3
HOLDER_MAX_RETRY_MS = 400
MAX_RETRY_MS = 2_000


class _Follower:
    """Follows one keyed topic, over lost history and lost connections."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        topic: str,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        self._runtime = runtime
        self._is_holder = is_holder
        self._wake = asyncio.Event()
        self._topic = topic
        self._offset: int | None = None
        # End of the topic as the coordinator last told it.
        self._relayed_end = -1
        # What was read lately, to be relayed.
        self._recent: collections.deque[
            tuple[clock.Millis, coordination.RelayedRecord]
        ] = collections.deque()
        self._failing_since_ms: clock.Millis | None = None
        self._backoff = coordination.Backoff(FIRST_RETRY_MS, RETRY_FACTOR)
        self._called_ms = 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if self._is_relayed():
                await self._rest()
                continue
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
        self._runtime.metrics.count("store_reads", self._topic)
        sent_ms = self._runtime.boot_ms()
        self._called_ms = self._runtime.now_ms()
        if self._offset is None:
            page = await log.newest(self._topic)
            self._take_all(page, sent_ms)
            self._offset = page.end
            self._recent.clear()
            return
        wait_ms = self._wait_ms()
        page = await log.read(self._topic, self._offset, wait_ms)
        # The coordinator may have relayed some of the records meanwhile.
        fresh = [r for r in page.records if r.offset >= self._offset]
        self._offset = max(self._offset, page.end)
        self._take(attrs.evolve(page, records=tuple(fresh)), sent_ms, wait_ms)
        self._remember(fresh)

    async def _failed(self, error: _ports.StoreError) -> None:
        now_ms = self._runtime.now_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
            self._runtime.log.event(
                "store_lost", topic=self._topic, reason=str(error)
            )
        most_ms = HOLDER_MAX_RETRY_MS if self._is_holder() else MAX_RETRY_MS
        pause_ms = self._backoff.record_failure(most_ms)
        await asyncio.sleep(pause_ms / clock.MILLIS_PER_SECOND)

    def _succeeded(self) -> None:
        if self._failing_since_ms is not None:
            self._runtime.log.event(
                "store_regained",
                topic=self._topic,
                after_ms=self._runtime.now_ms() - self._failing_since_ms,
            )
        self._failing_since_ms = None
        self._backoff.record_success()

    def view(self) -> coordination.TopicView | None:
        """Return what the other nodes are told of the topic."""
        age_ms = self._age_ms()
        if self._offset is None or age_ms is None:
            return None
        self._forget_old()
        kept: list[coordination.RelayedRecord] = []
        size = 0
        for _, record in reversed(self._recent):
            size += len(record.value or "") + len(record.key)
            if size > RELAY_BYTES:
                break
            kept.append(record)
        return coordination.TopicView(
            self._offset, age_ms, tuple(reversed(kept))
        )

    def relayed(
        self, view: coordination.TopicView, echo_ms: clock.Millis | None
    ) -> None:
        """Take what the coordinator read of the topic.

        Its age counts from when this node sent the status that the view
        answers; when the view arrived proves nothing, since a suspended
        machine reads it late.
        """
        self._relayed_end = view.end
        offset = self._offset
        if offset is None or view.end < offset or echo_ms is None:
            return
        fresh = [r for r in view.records if r.offset >= offset]
        numbers = [record.offset for record in fresh]
        if numbers != list(range(offset, view.end)):
            # Messages were lost, or a record is too large.
            self._wake.set()
            return
        records = tuple(
            _ports.Record(
                r.offset, r.key, None if r.value is None else r.value.encode()
            )
            for r in fresh
        )
        self._take_relayed(records, echo_ms - view.age_ms)
        self._offset = view.end

    def _remember(
        self, records: collections.abc.Iterable[_ports.Record]
    ) -> None:
        """Keep records that were read for the other nodes."""
        now_ms = self._runtime.now_ms()
        for record in records:
            value = record.value
            text = None if value is None else value.decode("utf-8", "replace")
            relayed = coordination.RelayedRecord(
                record.offset, record.key, text
            )
            self._recent.append((now_ms, relayed))
        self._forget_old()

    def _forget_old(self) -> None:
        bound_ms = self._runtime.now_ms() - RELAY_MS
        while self._recent and self._recent[0][0] < bound_ms:
            self._recent.popleft()

    def _is_relayed(self) -> bool:
        """Tell whether the coordinator's reads make an own one needless."""
        age_ms = self._age_ms()
        if self._is_holder() or self._offset is None or age_ms is None:
            return False
        message_ms = self._runtime.state.message_ms()
        limit_ms = RELAY_MAX_AGE_MS + RELAY_MAX_INTERVALS * message_ms
        return age_ms <= limit_ms and self._relayed_end <= self._offset

    def _age_ms(self) -> clock.Millis | None:
        """Return how long ago the topic was known to end at the offset."""
        raise NotImplementedError

    async def _rest(self) -> None:
        """Wait a moment, or until the coordinator reads something new."""
        self._wake.clear()
        wait_s = RELAY_LOOK_MS / clock.MILLIS_PER_SECOND
        try:
            async with asyncio.timeout(wait_s):
                await self._wake.wait()
        except TimeoutError:
            # Nothing new; the caller looks again.
            return

    def _wait_ms(self) -> clock.Millis:
        raise NotImplementedError

    async def _pause(self) -> None:
        raise NotImplementedError

    def _take_all(self, page: _ports.Page, sent_ms: clock.Millis) -> None:
        raise NotImplementedError

    def _take_relayed(
        self, records: tuple[_ports.Record, ...], known_ms: clock.Millis
    ) -> None:
        """Take records after which the topic ended at `known_ms`."""
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

    def __init__(
        self,
        runtime: _runtime.Runtime,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        """Follow the operators' topic."""
        super().__init__(runtime, runtime.platform.operations_topic, is_holder)

    def _take_relayed(
        self, records: tuple[_ports.Record, ...], known_ms: clock.Millis
    ) -> None:
        for record in records:
            self._apply(record)
        self._runtime.state.freshness.confirm(known_ms)

    def _age_ms(self) -> clock.Millis | None:
        return self._runtime.state.freshness.age_ms(self._runtime.boot_ms())

    def _wait_ms(self) -> clock.Millis:
        return HOLDER_WAIT_MS if self._is_holder() else OPERATIONS_WAIT_MS

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
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        """Follow the targets' topic."""
        super().__init__(runtime, runtime.platform.targets_topic, is_holder)
        # When the entries were last known to be complete.
        self._proven_ms: clock.Millis | None = None

    def _take_relayed(
        self, records: tuple[_ports.Record, ...], known_ms: clock.Millis
    ) -> None:
        now_ms = self._runtime.now_ms()
        as_of_ms = now_ms - (self._runtime.boot_ms() - known_ms)
        self._runtime.state.directory.record_contact(as_of_ms, now_ms)
        for record in records:
            self._apply(record, now_ms)
        if self._proven_ms is None or as_of_ms > self._proven_ms:
            self._proven_ms = as_of_ms
        self._expire()

    def _age_ms(self) -> clock.Millis | None:
        if self._proven_ms is None:
            return None
        return self._runtime.now_ms() - self._proven_ms

    def _wait_ms(self) -> clock.Millis:
        return HOLDER_WAIT_MS if self._is_holder() else TARGETS_WAIT_MS

    async def _pause(self) -> None:
        self._expire()
        state_ms = self._runtime.state.message_ms()
        interval_ms: float = TARGETS_INTERVAL_MS
        if self._is_holder():
            interval_ms = HOLDER_INTERVAL_SHARE * state_ms
        await asyncio.sleep(interval_ms / clock.MILLIS_PER_SECOND)

    def _take_all(self, page: _ports.Page, sent_ms: clock.Millis) -> None:
        runtime = self._runtime
        now_ms = runtime.now_ms()
        runtime.state.directory.record_contact(self._called_ms, now_ms)
        targets = []
        for record in page.records:
            target = runtime.platform.decode_target(record)
            if target is not None:
                targets.append(target)
        runtime.state.directory.replace(targets, now_ms)
        runtime.log.event("targets_read", targets=len(targets))
        self._proven_ms = now_ms

    def _take(
        self,
        page: _ports.Page,
        sent_ms: clock.Millis,
        waited_ms: clock.Millis,
    ) -> None:
        now_ms = self._runtime.now_ms()
        self._runtime.state.directory.record_contact(self._called_ms, now_ms)
        for record in page.records:
            self._apply(record, now_ms)
        self._proven_ms = now_ms

    def _apply(self, record: _ports.Record, now_ms: clock.Millis) -> None:
        """Take one record of the topic."""
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

    def _expire(self) -> None:
        directory = self._runtime.state.directory
        for target_id in directory.expire(self._runtime.now_ms()):
            self._runtime.log.event("target_gone", target=target_id)
        self._runtime.state.forget_gone()
