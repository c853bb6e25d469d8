"""Inputs and results of formation planning.

All ages and durations are in milliseconds. A host counts as one accelerator.
"""

import enum
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import config

# A group is re-formed once a host is missing this long. Most shorter gaps are
# process pauses or lost messages; the group only stops serving meanwhile.
REFORM_AFTER_MS = 5_000
# An older host list is evidence neither of presence nor of absence.
HOST_LIST_MAX_AGE_MS = 60_000
DEFAULT_LOAD_SLOTS = 4


class Presence(enum.StrEnum):
    """Status of a host in the newest host list."""

    LIVE = "live"
    LEAVING = "leaving"
    MISSING = "missing"


class GroupState(enum.StrEnum):
    """States of the group state machine in which a group holds hosts."""

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
    """One group of hosts.

    `incarnations` maps each host to its incarnation at assignment. `epoch` is
    the position of the group's record in the log, so later groups have larger
    ones. `drained` is set when no request runs on the group any more,
    `load_started` when its engine has begun to fetch weights.
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
    """Complete input of a plan."""

    models: typing.Mapping[str, config.Model]
    hosts: typing.Mapping[str, Host]
    groups: typing.Mapping[str, Group]
    zones: frozenset[str]
    zones_out: frozenset[str] = frozenset()
    # Group ids of targets that an operator is draining.
    drained_targets: frozenset[str] = frozenset()
    host_list_age_ms: clock.Millis = 0
    # Concurrent weight loads that the weight store can sustain.
    load_slots: int = DEFAULT_LOAD_SLOTS


class Reason(enum.StrEnum):
    """Reason for a change to a group."""

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
    """Kind of change that the group manager makes to a group."""

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
    """One action of a plan; `group` is empty for a group to be formed."""

    kind: ActionKind
    zone: str
    reason: Reason
    model: str
    group: str = ""
    domain: str = ""
    hosts: tuple[str, ...] = ()


@attrs.frozen
class Plan:
    """Actions in the order in which they must be executed."""

    actions: tuple[Action, ...] = ()
    # Declared replicas for which no hosts were found, by model.
    unmet_by_model: typing.Mapping[str, int] = attrs.field(factory=dict)

    def of_kind(self, kind: ActionKind) -> tuple[Action, ...]:
        """Return the actions of one kind, in order."""
        return tuple(a for a in self.actions if a.kind is kind)

    def for_zone(self, zone: str) -> "Plan":
        """Return the part of the plan that one zone's manager executes.

        A group never spans zones, so a dissolved group and the group formed
        from its hosts are always in the same part.
        """
        actions = tuple(a for a in self.actions if a.zone == zone)
        return Plan(actions, self.unmet_by_model)


@attrs.frozen
class DomainKey:
    """A fabric domain within its availability zone."""

    zone: str
    domain: str


@attrs.frozen
class Demand:
    """Replicas of one model that need hosts."""

    model: str
    hosts_per_replica: int
    count: int
    importance: int
    zones: frozenset[str]
    # Number of existing replicas that the plan keeps, by zone.
    existing_by_zone: typing.Mapping[str, int]

    @property
    def existing_count(self) -> int:
        """Return how many existing replicas the plan keeps."""
        return sum(self.existing_by_zone.values())


@attrs.frozen
class DomainCapacity:
    """Usable hosts of one domain.

    `weight_holders_by_model` counts those that hold each model's weights.
    """

    key: DomainKey
    free_hosts: int
    weight_holders_by_model: typing.Mapping[str, int]


@attrs.frozen
class PlacedReplica:
    """A replica of a model, placed in one domain."""

    model: str
    key: DomainKey


class PlaceFunction(typing.Protocol):
    """Signature of an algorithm that places missing replicas in domains."""

    def __call__(
        self,
        demands: typing.Sequence[Demand],
        capacities: typing.Sequence[DomainCapacity],
    ) -> list[PlacedReplica]:
        """Return the replicas to form, most urgent first."""


@attrs.frozen
class Options:
    """Planning policy; the defaults are the policy used in production.

    Benchmarks vary these options.
    """

    place: PlaceFunction
    reform_after_ms: clock.Millis = REFORM_AFTER_MS
    # Keep the hosts and weights of groups that were drained because their
    # zone is out or an operator drains their target, so that they can resume
    # without a weight load.
    retain_drained: bool = True
    # Prefer hosts that still hold the model's weights.
    prefer_weight_holders: bool = True
    rebalance: bool = True
