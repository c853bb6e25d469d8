"""The platform's store, with the era of all its answers observed."""

import asyncio
import collections.abc
import typing

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_gateway import _log
from quetzalward_gateway import _ports

_Answer = typing.TypeVar("_Answer", _ports.Page, _ports.Appended)


class WatchedStore:
    """Makes the node's calls to the store, and knows its era.

    An answer from before a restore that this node knows of is an error.
    """

    def __init__(
        self,
        store: _ports.KeyedLog,
        log: _log.EventLog,
        boot_ms: collections.abc.Callable[[], clock.Millis],
    ) -> None:
        """Start without a known era."""
        self.era = coordination.StoreEra()
        self._store = store
        self._log = log
        self._boot_ms = boot_ms
        self._is_era_named = True
        self._waiting_reads: set[asyncio.Future[_ports.Page]] = set()

    async def newest(self, topic: str) -> _ports.Page:
        """Return the newest record of every key; raises as `KeyedLog`."""
        return await self._observed(self._store.newest(topic))

    async def read(
        self, topic: str, offset: int, wait_ms: clock.Millis
    ) -> _ports.Page:
        """Return the records from an offset on; raises as `KeyedLog`.

        Raises `HistoryLost` if the store was restored since the call, since
        the offset may be another record's now.
        """
        era = self.era.number
        call = asyncio.ensure_future(
            self._observed(self._store.read(topic, offset, wait_ms))
        )
        self._waiting_reads.add(call)
        try:
            await asyncio.wait({call})
        finally:
            self._waiting_reads.discard(call)
            call.cancel()
        # Retrieved in any case; asyncio reports an exception that is not.
        failure = None if call.cancelled() else call.exception()
        if call.cancelled() or self.era.number != era:
            raise _ports.HistoryLost(
                f"{topic}: the store was restored since the read began"
            ) from failure
        return call.result()

    def interrupt_reads(self) -> None:
        """End the reads that wait, since the store was restored.

        They wait for a change behind an offset of the era before.
        """
        if not self._waiting_reads:
            return
        current = asyncio.current_task()
        for call in self._waiting_reads:
            if call is not current:
                call.cancel()

    async def append(
        self, topic: str, key: str, value: bytes, at: int
    ) -> _ports.Appended:
        """Append a record if the topic ends at `at`; raises as `KeyedLog`."""
        return await self._observed(self._store.append(topic, key, value, at))

    async def _observed(
        self, call: collections.abc.Awaitable[_Answer]
    ) -> _Answer:
        sent_ms = self._boot_ms()
        try:
            answer = await call
        except _ports.StoreError as error:
            if error.era is not None:
                self._observe(error.era, sent_ms)
            raise
        self._observe(answer.era, sent_ms)
        return answer

    def _observe(self, era: int | None, sent_ms: clock.Millis) -> None:
        """Process the era of an answer; `StoreError` if it is outdated."""
        previous = self.era.number
        if (era is not None) is not self._is_era_named:
            self._is_era_named = era is not None
            if not self._is_era_named:
                self._log.event("store_era_unreadable", era=previous)
        change = self.era.observe(era, sent_ms, self._boot_ms())
        if change is coordination.EraChange.OUTDATED:
            raise _ports.StoreError(
                f"the answer is of era {era}, before era {previous}"
            )
        if self.era.number == previous:
            return
        if change is coordination.EraChange.RESTORED:
            self._log.event("store_restored", era=era, previous=previous)
            self.interrupt_reads()
        else:
            self._log.event("store_era", era=era)
