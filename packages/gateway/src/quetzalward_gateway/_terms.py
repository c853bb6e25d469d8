"""Reads and claims the coordinator's term in the platform's store."""

import asyncio
import json
import zlib

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _ports
from quetzalward_gateway import _quarantine_control
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings

# Interval at which the holder reads the store for a later term.
TERM_CHECK_INTERVAL_MS = 1_000
# Backoff after a failed read of the store or a failed claim. It is needed
# because all nodes read the store while the holder cannot reach it.
STORE_RETRY_MS = 250
STORE_RETRY_FACTOR = 2
STORE_MAX_RETRY_MS = 2_000
# A machine below either limit claims a term only if no other node does.
LOW_CAPACITY_CORES = 1.0
LOW_CAPACITY_LINK_MBPS = 50.0
# Above the terms of any era that the store can name.
MAX_NUMBER = 1 << 80
_TERM_KEY = "coordinator"
_CRC_RANGE = 1 << 32


def make_election(
    settings: _settings.Settings, now_ms: clock.Millis
) -> coordination.Election:
    """Return the election as this node takes part in it."""
    has_low_capacity = (
        settings.cores < LOW_CAPACITY_CORES
        or settings.link_mbps < LOW_CAPACITY_LINK_MBPS
    )
    return coordination.Election(
        settings.node,
        zlib.crc32(settings.node.encode()) / _CRC_RANGE,
        coordination.LOW_CAPACITY_DELAY_MS if has_low_capacity else 0,
        now_ms,
    )


class TermKeeper:
    """Keeps track of the term; at most one call to the store at a time."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        settings: _settings.Settings,
        quarantine: _quarantine_control.QuarantineControl,
    ) -> None:
        """Start without a known term."""
        self._quarantine = quarantine
        self._runtime = runtime
        self._settings = settings
        self.election = make_election(settings, runtime.now_ms())
        # The last term that this process claimed.
        self.number = 0
        self.began_ms: clock.Millis = 0
        self.previous_address: str | None = None
        self._last_read_ms = -STORE_RETRY_MS
        self._read_interval_ms = STORE_RETRY_MS
        self._backoff = coordination.Backoff(
            STORE_RETRY_MS, STORE_RETRY_FACTOR
        )
        # Latest era of the store in which a holder has seen all records, as
        # the record of the stored term says.
        self._stored_era = coordination.UNKNOWN_ERA
        self._task: asyncio.Task[None] | None = None
        self._has_considered_restore = False

    @property
    def is_holder(self) -> bool:
        """Tell whether this node holds the current term."""
        return self.election.holds_term(self.number)

    def check(self, now_ms: clock.Millis) -> None:
        """Read the store if that is due, and claim the next term."""
        if self._task is not None and not self._task.done():
            return
        interval_ms = (
            TERM_CHECK_INTERVAL_MS
            if self.is_holder
            else self._read_interval_ms
        )
        if self.is_holder and self._quarantine.next_write() is not None:
            interval_ms = self._read_interval_ms
        if now_ms - self._last_read_ms < interval_ms:
            return
        # A node that starts asks the holder, if there is one, at once.
        if (
            self.is_holder
            or not self._has_considered_restore
            or self.election.should_read_store(now_ms)
        ):
            self._last_read_ms = now_ms
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._read_or_claim())

    async def _read_or_claim(self) -> None:
        """Read the newest term and claim the next one if it is due."""
        runtime = self._runtime
        topic = runtime.platform.election_topic
        was_holder = self.is_holder
        runtime.metrics.count("store_reads", topic)
        try:
            page = await runtime.store.newest(topic)
            self._backoff.record_success()
            self._read_interval_ms = STORE_RETRY_MS
            term = self._decode(page)
            self._consider_restore(term)
            claim = self.election.update_from_store(term, runtime.now_ms())
            self._quarantine.apply_records(page.records, was_holder)
            if was_holder:
                await self._write_again(term, page.end)
                return
            if not claim:
                return
            era = runtime.store.era.number
            number = self.election.next_number(era, page.end)
            was_complete = term is None or self._stored_era == era
            await self._append_term(
                number, page.end, era if was_complete else era - 1
            )
            if runtime.store.era.number != era:
                # The store was restored meanwhile: in the next era the same
                # number may be another node's.
                runtime.log.event("claim_dropped", term=number, era=era)
                return
        except _ports.StoreError as error:
            runtime.log.event("duty_unknown", reason=str(error))
            self._read_interval_ms = self._backoff.record_failure(
                STORE_MAX_RETRY_MS
            )
            return
        if was_complete:
            # An earlier holder has seen all records in this era. If all nodes
            # have started at once, there is nobody to wait for.
            runtime.state.confirmation.settle()
        self._begin(number)

    def _consider_restore(self, stored: coordination.Term | None) -> None:
        """Tell a node that has started whether a restore may be recent.

        If no holder has seen all records in the present era, the store was
        restored since, perhaps just now. Without any term, no node has run
        before.
        """
        state, era = self._runtime.state, self._runtime.store.era.number
        gate = state.confirmation
        if self._has_considered_restore:
            return
        self._has_considered_restore = True
        state.send_message_now = True
        if gate.is_informed:
            return
        if stored is None:
            gate.settle()
        elif self._stored_era != era:
            gate.begin(self._runtime.now_ms(), fleet.REWRITE_GRACE_MS)

    async def _append_term(self, number: int, end: int, era: int) -> None:
        """Append the record of a term of this node.

        `era` is the latest one in which a holder has seen all records.
        """
        value = {
            "node": self._settings.node,
            "address": str(self._settings.peers),
            "number": number,
            "era": era,
        }
        topic = self._runtime.platform.election_topic
        await self._runtime.store.append(
            topic, _TERM_KEY, json.dumps(value).encode(), end
        )

    def _completed_era(self) -> int:
        """Return the latest era in which this node has seen all records.

        It is an earlier one until operators have written again after a
        restore, so that nodes which start then know of it.
        """
        state, era = self._runtime.state, self._runtime.store.era.number
        if state.confirmation.is_informed and not state.is_store_behind:
            return era
        return era - 1

    async def _write_again(
        self, stored: coordination.Term | None, end: int
    ) -> None:
        """Append one of this holder's records that the store does not have.

        A restored store may lack the term and blocks.
        """
        if not self.is_holder:
            return
        era = self._completed_era()
        own = (self.number, self._settings.node, era)
        if (
            stored is None
            or (stored.number, stored.node, self._stored_era) != own
        ):
            await self._append_term(self.number, end, era)
            self._runtime.log.event("duty_written_again", term=self.number)
            return
        write = self._quarantine.next_write()
        if write is None:
            return
        runtime = self._runtime
        key, value = write
        topic = runtime.platform.election_topic
        await runtime.store.append(topic, key, value, end)
        self._quarantine.confirm_write(key)

    def _decode(self, page: _ports.Page) -> coordination.Term | None:
        for record in page.records:
            if record.key != _TERM_KEY or record.value is None:
                continue
            try:
                value = json.loads(record.value)
                era = int(value.get("era", coordination.UNKNOWN_ERA))
                # Records of earlier versions have no number.
                number = int(value.get("number", record.offset + 1))
                if not 0 < number < MAX_NUMBER or not abs(era) < MAX_NUMBER:
                    raise ValueError("the term or its era is out of range")
                term = coordination.Term(
                    number,
                    str(value["node"]),
                    str(fleet.parse_address(str(value["address"]))),
                )
                self._stored_era = era
                return term
            except (
                ValueError,
                KeyError,
                TypeError,
                AttributeError,
                OverflowError,
                RecursionError,
            ) as error:
                self._runtime.log.event("duty_unreadable", reason=str(error))
        return None

    def _begin(self, number: int) -> None:
        now_ms = self._runtime.now_ms()
        term = coordination.Term(
            number, self._settings.node, str(self._settings.peers)
        )
        # The previous holder sends this node no status and may have lost the
        # store, so it learns only from a message that its term has ended.
        previous = self.election.term
        self.previous_address = None
        if previous is not None and previous.node != self._settings.node:
            self.previous_address = previous.address
        self.election.record_claim(term, now_ms)
        self.number = number
        self.began_ms = now_ms
        self._runtime.log.event("duty_taken", term=number)
