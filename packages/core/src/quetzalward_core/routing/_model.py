"""Immutable inputs of routing decisions.

Ages reported by other hosts are already converted to this node's monotonic
clock: `as_of_ms` is never later than the time at which the content was true.
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
    """A serving group in the replicated state; its id is the target id."""

    group_id: str
    epoch: int
    # State of the group state chart; only `serving` may get work.
    state: str
    model: str
    hosts: tuple[HostId, ...]
    zone: str
    draining: bool = False


class EngineState(enum.StrEnum):
    """State of an engine's weights and caches, as it reports them."""

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
    # Concurrent requests that the engine tolerates; `None` if not reported.
    bearable: int | None
    as_of_ms: clock.Millis

    @property
    def load(self) -> int:
        """Return the number of requests at the engine."""
        return self.running + self.waiting


@attrs.frozen
class HostEntry:
    """One entry of the platform's host list."""

    host: str
    incarnation: str
    zone: str
    domain: str
    leaving: bool
    engine_url: str


@attrs.frozen
class HostList:
    """The latest host list that this node has read."""

    as_of_ms: clock.Millis
    hosts: typing.Mapping[str, HostEntry]
