"""Base of the tasks that follow topics of the platform's store."""

import asyncio
import collections.abc

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_gateway import _faults
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# Backoff after an error, because refused calls are charged too. The holder
# retries more often, since its reads save those of the other nodes.
FIRST_RETRY_MS = 60
RETRY_FACTOR = 3
HOLDER_MAX_RETRY_MS = 400
MAX_RETRY_MS = 2_000


async def _wait(event: asyncio.Event, timeout_ms: clock.Millis) -> None:
    """Wait until an event is set from now on, at most for a time."""
    event.clear()
    try:
        async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
            await event.wait()
    except TimeoutError:
        # Nothing happened; the caller goes on as after a pause.
        return


def _relayed_text(value: bytes | None) -> str | None:
    """Return a value as it is relayed: empty if it cannot be read.

    With some bytes replaced it might be readable, and differ from what this
    node has read.
    """
    if value is None:
        return None
    try:
        return value.decode()
    except UnicodeDecodeError:
        return ""


class Follower:
    """Follows one keyed topic; recovers from lost history and connections.

    The holder reads the store and relays what it read. The other nodes read
    only if the relayed state is too old or lacks records.
    """

    def __init__(
        self,
        runtime: _runtime.Runtime,
        topic: str,
        timing: coordination.RelayTiming,
        is_holder: collections.abc.Callable[[], bool],
    ) -> None:
        """Follow a topic within the limits of `timing`."""
        self._runtime = runtime
        self._timing = timing
        self._is_holder = is_holder
        # Set when a relay shows that this node lacks records, and when one
        # names a later era.
        self._relay_gap = asyncio.Event()
        self._era_announced = asyncio.Event()
        self._topic = topic
        self._offset: int | None = None
        # Era of the store in which the offset was given out.
        self._era = coordination.UNKNOWN_ERA
        # A later era that the holder named and this node has not read yet.
        self._announced_era: int | None = None
        # An era that the holder named and this node did not find.
        self._refuted_era: int | None = None
        # End of the topic as last relayed by the holder, in the same era.
        self._relayed_end = -1
        # Whether relayed state was applied after the last own read.
        self._relied_on_relay = False
        self._buffer = coordination.RelayBuffer()
        self._failing_since_ms: clock.Millis | None = None
        self._backoff = coordination.Backoff(FIRST_RETRY_MS, RETRY_FACTOR)
        self._last_read_sent_ms = 0
        self._logged_failure = ""
        self._faults = _faults.FaultLog(runtime.log, runtime.metrics)

    @property
    def offset(self) -> int:
        """Return the offset of the next record to apply.

        It is -1 before a read in the present era of the store.
        """
        if self._offset is None or self._era != self._runtime.store.era.number:
            return -1
        return self._offset

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if self._is_relay_current():
                await _wait(
                    self._relay_gap, coordination.RELAY_CHECK_INTERVAL_MS
                )
                if self._announced_era is not None:
                    await self._wait_for_turn()
                continue
            try:
                await self._read_once()
            except _ports.HistoryLost as error:
                self._runtime.log.event(
                    "history_lost",
                    topic=self._topic,
                    offset=self._offset,
                    reason=str(error),
                )
                self._offset = None
                continue
            except _ports.StoreError as error:
                await self._handle_store_error(error)
                continue
            except Exception as error:
                # Records were applied in part, so that all are read again.
                self._faults.record(f"follow {self._topic}", error)
                self._offset = None
                await self._handle_store_error(
                    _ports.StoreError(f"records could not be applied: {error}")
                )
                continue
            self._record_success()
            await self._pause()

    async def _read_once(self) -> None:
        store = self._runtime.store
        self._runtime.metrics.count("store_reads", self._topic)
        sent_ms = self._runtime.boot_ms()
        self._last_read_sent_ms = self._runtime.now_ms()
        if (
            self._offset is None
            or self._era != store.era.number
            or self._announced_era is not None
        ):
            await self._read_newest(sent_ms)
            return
        wait_ms = self._wait_ms()
        page = await store.read(self._topic, self._offset, wait_ms)
        # Some of the records may have been relayed during the read.
        new_records = tuple(
            r for r in page.records if r.offset >= self._offset
        )
        ended_ms = self._confirmed_ms()
        self._offset = max(self._offset, page.end)
        self._apply_page(
            attrs.evolve(page, records=new_records), sent_ms, wait_ms
        )
        self._retain(new_records, ended_ms)
        self._relied_on_relay = False

    async def _read_newest(self, sent_ms: clock.Millis) -> None:
        """Read the newest record of every key, and go on from there."""
        store = self._runtime.store
        page = await store.newest(self._topic)
        self._runtime.log.event(
            "topic_read",
            topic=self._topic,
            end=page.end,
            era=store.era.number,
            previous_era=self._era,
            previous_offset=self._offset,
        )
        is_restored = self._era not in (
            coordination.UNKNOWN_ERA,
            store.era.number,
        )
        self._offset = page.end
        self._era = store.era.number
        self._apply_snapshot(page, sent_ms, is_restored)
        self._relayed_end = -1
        self._buffer.clear()
        self._relied_on_relay = False
        if self._announced_era not in (None, self._era):
            self._refuted_era = self._announced_era
        self._announced_era = None

    async def _handle_store_error(self, error: _ports.StoreError) -> None:
        now_ms = self._runtime.now_ms()
        # The failed call shows that the store, too, was not in reach.
        self._relied_on_relay = False
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
            self._logged_failure = ""
        if str(error) != self._logged_failure:
            self._logged_failure = str(error)
            self._runtime.log.event(
                "store_lost", topic=self._topic, reason=str(error)
            )
        max_pause_ms = (
            HOLDER_MAX_RETRY_MS if self._is_holder() else MAX_RETRY_MS
        )
        # A new era says that the store is back.
        await _wait(
            self._era_announced, self._backoff.record_failure(max_pause_ms)
        )

    def _record_success(self) -> None:
        if self._failing_since_ms is not None:
            self._runtime.log.event(
                "store_regained",
                topic=self._topic,
                after_ms=self._runtime.now_ms() - self._failing_since_ms,
            )
        self._failing_since_ms = None
        self._backoff.record_success()

    def view(self, acknowledged: int) -> coordination.TopicView | None:
        """Return what a node needs that has the records before an offset.

        `None` if this node does not know the topic's state.
        """
        confirmed_ms = self._confirmed_ms()
        offset = self.offset
        if offset < 0 or confirmed_ms is None:
            return None
        return self._buffer.view(
            acknowledged, offset, confirmed_ms, self._clock_ms()
        )

    def apply_relayed_view(
        self,
        view: coordination.TopicView,
        era: int,
        sent_ms: clock.Millis | None,
    ) -> None:
        """Apply the holder's read of the topic in an era of the store.

        The message was not sent before `sent_ms`, on this node's clock that
        includes suspension. The time of receipt does not bound its age,
        because a machine that was suspended reads datagrams late.
        """
        if era != self._era:
            # Offsets of two eras are not comparable.
            if era > self._era and era != self._refuted_era:
                if self._announced_era != era:
                    self._era_announced.set()
                    self._runtime.store.interrupt_reads()
                self._announced_era = era
                self._relay_gap.set()
            return
        self._relayed_end = view.end
        offset = self._offset
        if offset is None or view.end < offset or sent_ms is None:
            return
        new_records = [r for r in view.records if r.offset >= offset]
        offsets = [record.offset for record in new_records]
        if offsets != list(range(offset, view.end)):
            # Records are no longer retained, or one is too large.
            self._relay_gap.set()
            return
        records = tuple(
            _ports.Record(
                r.offset, r.key, None if r.value is None else r.value.encode()
            )
            for r in new_records
        )
        ended_ms = self._confirmed_ms()
        self._apply_relayed(records, sent_ms - view.age_ms)
        self._offset = view.end
        self._relied_on_relay = True
        for record in new_records:
            if ended_ms is not None:
                self._buffer.append(record, ended_ms)

    def _retain(
        self,
        records: collections.abc.Iterable[_ports.Record],
        ended_ms: clock.Millis | None,
    ) -> None:
        """Retain records that were read, for the other nodes."""
        for record in records:
            relayed = coordination.RelayedRecord(
                record.offset, record.key, _relayed_text(record.value)
            )
            if ended_ms is not None:
                self._buffer.append(relayed, ended_ms)

    def _is_relay_current(self) -> bool:
        """Tell whether the relayed state makes a read unnecessary."""
        confirmed_ms = self._confirmed_ms()
        if self._is_holder() or self.offset < 0 or confirmed_ms is None:
            return False
        if self._announced_era is not None:
            return False
        return (
            self._clock_ms() - confirmed_ms <= self._timing.max_age_ms
            and self._relayed_end <= self.offset
        )

    async def _wait_for_turn(self) -> None:
        """Wait for a random time, since all nodes read after a restore."""
        delay_ms = self._runtime.state.random_delay_ms(
            coordination.restore_read_spread_ms(self._runtime.state.node_count)
        )
        await asyncio.sleep(delay_ms / clock.MILLIS_PER_SECOND)

    def _clock_ms(self) -> clock.Millis:
        """Return the time on the clock of `_confirmed_ms`."""
        raise NotImplementedError

    def _confirmed_ms(self) -> clock.Millis | None:
        """Return the last time at which the topic ended at the offset."""
        raise NotImplementedError

    def _wait_ms(self) -> clock.Millis:
        raise NotImplementedError

    async def _pause(self) -> None:
        raise NotImplementedError

    def _apply_snapshot(
        self, page: _ports.Page, sent_ms: clock.Millis, is_restored: bool
    ) -> None:
        """Apply the newest record of every key.

        With `is_restored`, they are the first ones after a restore of the
        store, and may be older than what this node has applied.
        """
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
