"""Facts that routing decides on, as immutable values.

Ages from other hosts are converted to this node's monotonic clock before they
get here: `as_of_ms` is never later than the time the content was true.
"""

import enum
import typing

import attrs

from quetzalward_core import clock

SERVING = "serving"


@attrs.frozen(order=True)
class HostId:
    """A host and the incarnation that was admitted."""

    host: str
    incarnation: str


@attrs.frozen
class GroupView:
    """A serving group as the fold has it; the target id is the group id."""

    group_id: str
    epoch: int
    # State of the group chart; only `serving` may get work.
    state: str
    model: str
    hosts: tuple[HostId, ...]
    zone: str
    draining: bool = False


class EngineState(enum.StrEnum):
    """What an engine says about its weights and caches."""

    COLD = "cold"
    WARM = "warm"
    LOADING = "loading"
    EMPTY = "empty"


@attrs.frozen
class EngineReport:
    """An engine's own load report."""

    target_id: str
    epoch: int
    hosts: frozenset[HostId]
    state: EngineState
    models: frozenset[str]
    running: int
    waiting: int
    kv_used: float
    token_ms: float
    # Concurrent requests the engine can bear; `None` if it names none.
    bearable: int | None
    as_of_ms: clock.Millis

    @property
    def load(self) -> int:
        """Return the requests that the engine holds."""
        return self.running + self.waiting


@attrs.frozen
class HostEntry:
    """One host of the platform's host list."""

    host: str
    incarnation: str
    zone: str
    domain: str
    leaving: bool
    engine_url: str


@attrs.frozen
class HostList:
    """The newest host list this node read."""

    as_of_ms: clock.Millis
    hosts: typing.Mapping[str, HostEntry]
