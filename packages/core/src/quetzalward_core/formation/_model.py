"""Inputs and results of a formation plan.

All ages and durations are in milliseconds. One host is one accelerator.
"""

import enum
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import config

# Shorter gaps only stop service; most of them are pauses or lost messages.
REFORM_AFTER_MS = 5_000
# An older host list proves neither presence nor absence.
HOST_LIST_MAX_AGE_MS = 60_000
DEFAULT_LOAD_SLOTS = 4


class Presence(enum.StrEnum):
    """What the newest host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    MISSING = "missing"


class GroupState(enum.StrEnum):
    """States of the group chart in which a group holds hosts."""

    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    UNLOADING = "unloading"
    BROKEN = "broken"


@attrs.frozen
class Host:
    """One host; `held_model` is the model whose weights it still holds."""

    host: str
    zone: str
    domain: str
    incarnation: int
    presence: Presence = Presence.LIVE
    missing_ms: clock.Millis = 0
    admitted: bool = True
    held_model: str | None = None


@attrs.frozen
class Group:
    """One group of hosts; `incarnations` are those that were assigned.

    `epoch` is the position of its record in the log; later groups have larger
    ones. `drained` says that no request runs on it any more, `load_started`
    that its engine fetches weights.
    """

    group: str
    model: str
    zone: str
    domain: str
    incarnations: typing.Mapping[str, int]
    state: GroupState
    epoch: int = 0
    drained: bool = False
    load_started: bool = False


@attrs.frozen
class Fleet:
    """Everything a plan depends on."""

    models: typing.Mapping[str, config.Model]
    hosts: typing.Mapping[str, Host]
    groups: typing.Mapping[str, Group]
    zones: frozenset[str]
    zones_out: frozenset[str] = frozenset()
    # Group ids of targets that operators drain.
    drained_targets: frozenset[str] = frozenset()
    host_list_age_ms: clock.Millis = 0
    # Weight loads that the weight store bears at once.
    load_slots: int = DEFAULT_LOAD_SLOTS


class Reason(enum.StrEnum):
    """Why a plan changes a group."""

    ZONE_OUT = "zone_out"
    TARGET_DRAIN = "target_drain"
    HOST_LEAVING = "host_leaving"
    HOST_LOST = "host_lost"
    SURPLUS = "surplus"
    DRAINED = "drained"
    UNDECLARED = "undeclared"
    DECLARED = "declared"
    SPREAD = "spread"
    RESTORED = "restored"
    HOSTS_REUSED = "hosts_reused"
    HOSTS_GONE = "hosts_gone"


class ActionKind(enum.StrEnum):
    """What the group manager does to a group."""

    BREAK = "break"
    REPAIR = "repair"
    DISSOLVE = "dissolve"
    FORM = "form"
    CANCEL = "cancel"
    DRAIN = "drain"
    RESUME = "resume"
    UNLOAD = "unload"
    LOAD = "load"


@attrs.frozen
class Action:
    """One step of a plan; `group` is empty for a group to be formed."""

    kind: ActionKind
    zone: str
    reason: Reason
    model: str
    group: str = ""
    domain: str = ""
    hosts: tuple[str, ...] = ()


@attrs.frozen
class Plan:
    """Steps in the order in which they are to be executed."""

    actions: tuple[Action, ...] = ()
    # Declared replicas for which no hosts were found, by model.
    unmet_by_model: typing.Mapping[str, int] = attrs.field(factory=dict)

    def of_kind(self, kind: ActionKind) -> tuple[Action, ...]:
        """Return the steps of one kind, in order."""
        return tuple(a for a in self.actions if a.kind is kind)

    def for_zone(self, zone: str) -> "Plan":
        """Return the steps that the manager of one zone executes.

        A group never spans zones, so a dissolved group and the group formed
        from its hosts are always in the same part.
        """
        kept = tuple(a for a in self.actions if a.zone == zone)
        return Plan(kept, self.unmet_by_model)


@attrs.frozen
class DomainKey:
    """A fabric domain within its availability zone."""

    zone: str
    domain: str


@attrs.frozen
class Demand:
    """Replicas of one model that have no hosts."""

    model: str
    size: int
    count: int
    importance: int
    zones: frozenset[str]
    # Replicas that stay, by zone.
    kept_by_zone: typing.Mapping[str, int]

    @property
    def kept(self) -> int:
        """Return how many replicas stay."""
        return sum(self.kept_by_zone.values())


@attrs.frozen
class Room:
    """Usable hosts of one domain, and how many hold each model's weights."""

    key: DomainKey
    free: int
    held_by_model: typing.Mapping[str, int]


@attrs.frozen
class Slot:
    """One replica placed in one domain."""

    model: str
    key: DomainKey


class PlaceFunction(typing.Protocol):
    """A way to place missing replicas in domains."""

    def __call__(
        self, demands: typing.Sequence[Demand], rooms: typing.Sequence[Room]
    ) -> list[Slot]:
        """Return the replicas to form, most urgent first."""


@attrs.frozen
class Options:
    """What a comparison varies; the defaults are the policy in force."""

    place: PlaceFunction
    reform_after_ms: clock.Millis = REFORM_AFTER_MS
    # Keep a drained group of a zone that is out, to resume without a load.
    park: bool = True
    # Choose hosts that still hold the model's weights.
    prefer_held: bool = True
    rebalance: bool = True
