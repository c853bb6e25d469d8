"""Short waits of requests whose targets lack permits only."""

import asyncio
import collections.abc
import typing

from quetzalward_core import clock
from quetzalward_core import limits
from quetzalward_core import placing
from quetzalward_gateway import _admission
from quetzalward_gateway import _runtime

POLL_INTERVAL_MS = 10

_Place = typing.TypeVar("_Place")


async def place(
    call: _runtime.Call,
    pool: limits.PoolKey,
    choose: collections.abc.Callable[[], _Place | placing.Refusal],
) -> _Place | placing.Refusal:
    """Return what `choose` finds; ask for a permit if that is `LIMITED`."""
    placed = choose()
    if placed is not _admission.LIMITED:
        return placed
    state = call.runtime.state
    target_limits = state.target_limits
    now_ms = call.runtime.now_ms()
    if target_limits.may_wait(pool, now_ms):
        end_ms = now_ms + min(limits.MAX_WAIT_MS, call.remaining_ms())
        target_limits.begin_wait(pool)
        state.report_demand_now = True
        try:
            while placed is _admission.LIMITED and now_ms < end_ms:
                await asyncio.sleep(POLL_INTERVAL_MS / clock.MILLIS_PER_SECOND)
                placed = choose()
                now_ms = call.runtime.now_ms()
        finally:
            is_placed = placed is not _admission.LIMITED
            target_limits.end_wait(pool, is_placed, now_ms)
    return placed
