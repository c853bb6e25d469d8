"""Orders to targets, their answers, and the state of a serving group."""

import enum

import attrs

from quetzalward_core import charts
from quetzalward_core import clock
from quetzalward_core import fleet

# Prefix of the names of standby groups: single targets kept warm.
STANDBY_PREFIX = "standby"


@attrs.frozen
class Join:
    """Order to a target to join a group."""

    target_id: str
    group: str
    epoch: int
    model: str
    # The first one is the head.
    members: tuple[str, ...]
    # Number of orders that the target must have accepted so far, or it
    # refuses. This keeps a stale or delayed join from taking a target out of
    # a group that another coordinator's order put it in.
    sequence: int | None = None


@attrs.frozen
class Open:
    """Order to a ready head to accept requests."""

    target_id: str
    group: str
    epoch: int


@attrs.frozen
class Close:
    """Order to a head to stop; `truncate` ends running work."""

    target_id: str
    group: str
    epoch: int
    truncate: bool


@attrs.frozen
class Leave:
    """Order to a target to end its membership immediately."""

    target_id: str
    group: str
    epoch: int


@attrs.frozen
class Stage:
    """Order to load a model's weights onto a target's host."""

    target_id: str
    model: str


@attrs.frozen
class Probe:
    """Request for a target's report."""

    target_id: str


Order = Join | Open | Close | Leave | Stage
Command = Order | Probe


class OrderAnswer(enum.Enum):
    """Outcome of an order."""

    BEGUN = "begun"
    DONE = "done"
    # The order is not valid in the target's state.
    CONFLICT = "conflict"
    # The target has seen a higher epoch.
    STALE = "stale"
    # Another target answers at the address.
    WRONG_TARGET = "wrong_target"
    INVALID = "invalid"
    # The order may still be executed, even after newer ones.
    UNANSWERED = "unanswered"
    UNREACHABLE = "unreachable"


class Phase(enum.Enum):
    """States of the chart `serving_group`."""

    FORMING = "forming"
    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.define
class Group:
    """A serving group as its coordinator plans it."""

    name: str
    model: str
    size: int
    domain: str
    epoch: int
    members: tuple[str, ...]
    # Start time of each member; detects a restart under the same id.
    born_by_id: dict[str, int]
    phase: Phase
    since_ms: clock.Millis
    ready: set[str] = attrs.field(factory=set)
    ordered_ms_by_id: dict[str, clock.Millis] = attrs.field(factory=dict)
    # When each member accepted the order of the current phase.
    accepted_ms_by_id: dict[str, clock.Millis] = attrs.field(factory=dict)
    # First and last report of the current stall.
    stalled_ms: clock.Millis | None = None
    stall_reported_ms: clock.Millis | None = None
    # Whether a member was silent during the current stall.
    had_silent_member: bool = False
    # Whether the group closes for good, to make room for another model.
    retiring: bool = False

    @property
    def head(self) -> str:
        """Return the id of the target that accepts the requests."""
        return self.members[0]

    def step(self, event: str, now_ms: clock.Millis) -> None:
        """Apply an event of the chart `serving_group`."""
        chart = charts.load_chart("serving_group")
        self.phase = Phase(chart.step(self.phase.value, event))
        self.since_ms = now_ms
        self.stall_reported_ms = None
        self.ordered_ms_by_id.clear()

    def fail(self, now_ms: clock.Millis) -> None:
        """Mark the group as broken; it must be re-formed."""
        if self.phase is not Phase.BROKEN:
            self.step("member_lost", now_ms)
            self.accepted_ms_by_id.clear()


def make_group(
    name: str,
    model: fleet.Model,
    hosts: "list[Host]",
    epoch: int,
    phase: Phase,
    now_ms: clock.Millis,
) -> Group:
    """Return a group of hosts of one domain, the head first."""
    return Group(
        name,
        model.name,
        model.group_size,
        hosts[0].domain,
        epoch,
        tuple(host.id for host in hosts),
        {host.id: host.target.born_ms for host in hosts},
        phase,
        now_ms,
    )


def group_name(epoch: int, model: str) -> str:
    """Return the name of a group first formed at an epoch.

    The name includes the model, because targets do not report the model of
    their group.
    """
    return f"g{epoch}.{model}"


def model_of(name: str) -> str:
    """Return the model that a group's name includes."""
    return name.partition(".")[2]


def is_standby(membership: fleet.Membership) -> bool:
    """Tell whether a membership is of a standby group."""
    return membership.group.startswith(STANDBY_PREFIX)


@attrs.define
class Host:
    """The coordinator's state of one target."""

    target: fleet.Target
    membership: fleet.Membership | None
    staged: tuple[str, ...]
    # Time of the last entry, report or answer to an order.
    alive_ms: clock.Millis
    reported_ms: clock.Millis = -1
    # Number of orders that the target has accepted; unknown once an order to
    # it was answered, until the next report.
    sequence: int | None = None
    probed_ms: clock.Millis | None = None
    # Whether the entry has a newer state that was not applied yet.
    has_new_entry: bool = False
    suspect_until_ms: clock.Millis = 0
    # When the first and the last probe since the last answer were given up.
    silent_since_ms: clock.Millis | None = None
    unanswered_ms: clock.Millis = 0
    staging: str | None = None
    staging_ms: clock.Millis = 0
    # Whether the target's entry is gone while its group still serves.
    unlisted: bool = False
    # Whether the order to stage was answered, and when it was last sent.
    staging_begun: bool = False
    stage_ordered_ms: clock.Millis = 0

    @property
    def id(self) -> str:
        """Return the target's id."""
        return self.target.id

    @property
    def domain(self) -> str:
        """Return the host's fabric domain, empty if it has none."""
        return self.target.domain or ""

    @property
    def staged_model(self) -> str:
        """Return the model staged last on the host, empty if none."""
        return self.staged[-1] if self.staged else ""

    def is_in(self, group: str, epoch: int) -> bool:
        """Tell whether the target reports this group and epoch."""
        membership = self.membership
        return (
            membership is not None
            and membership.group == group
            and membership.epoch == epoch
        )

    def update(
        self,
        membership: fleet.Membership | None,
        staged: tuple[str, ...],
    ) -> None:
        """Apply the state that the target reports."""
        self.membership = membership
        self.staged = staged
        if self.staging is not None and self.staging in staged:
            self.staging = None

    @property
    def is_free(self) -> bool:
        """Tell whether the target is in no group other than a standby one."""
        return self.membership is None or is_standby(self.membership)

    def is_free_for(self, group: str) -> bool:
        """Tell whether the host can join a group without leaving another."""
        membership = self.membership
        return self.is_free or (
            membership is not None and membership.group == group
        )

    def record_staging_answer(self, model: str, answer: OrderAnswer) -> None:
        """Record the answer to an order to stage."""
        if answer is OrderAnswer.BEGUN:
            self.staging_begun = True
        if answer is OrderAnswer.DONE:
            self.staged = (*self.staged, model)
        if answer is not OrderAnswer.BEGUN:
            self.staging = None
