"""Orders to targets, their answers, and the state of a serving group."""

import enum

import attrs

from quetzalward_core import charts
from quetzalward_core import clock
from quetzalward_core import fleet

# Names of groups of one target that only keep it warm.
STANDBY_PREFIX = "standby"


@attrs.frozen
class Join:
    """Makes a target a member of a group."""

    target_id: str
    group: str
    epoch: int
    model: str
    # The first one is the head.
    members: tuple[str, ...]
    # Orders that the target must have accepted so far, or it refuses. An
    # order that another coordinator gave meanwhile, or that is carried out
    # late, cannot take a target out of its group.
    sequence: int | None = None


@attrs.frozen
class Open:
    """Makes a ready head take requests."""

    target_id: str
    group: str
    epoch: int


@attrs.frozen
class Close:
    """Stops a head; `truncate` ends what it still works on."""

    target_id: str
    group: str
    epoch: int
    truncate: bool


@attrs.frozen
class Leave:
    """Ends a target's membership at once."""

    target_id: str
    group: str
    epoch: int


@attrs.frozen
class Stage:
    """Loads a model's weights onto a target's host."""

    target_id: str
    model: str


@attrs.frozen
class Probe:
    """Asks a target for its report."""

    target_id: str


Order = Join | Open | Close | Leave | Stage
Command = Order | Probe


class OrderAnswer(enum.Enum):
    """What became of an order."""

    BEGUN = "begun"
    DONE = "done"
    # The order does not fit the target's state.
    CONFLICT = "conflict"
    # The target has seen a higher epoch.
    STALE = "stale"
    # Another target answers at the address.
    WRONG_TARGET = "wrong_target"
    INVALID = "invalid"
    # It may still be carried out, even after newer orders.
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
    # Start of each member, so that a restarted one is not taken for it.
    born_by_id: dict[str, int]
    phase: Phase
    since_ms: clock.Millis
    ready: set[str] = attrs.field(factory=set)
    ordered_ms_by_id: dict[str, clock.Millis] = attrs.field(factory=dict)
    # When each member answered the order of the present phase.
    accepted_ms_by_id: dict[str, clock.Millis] = attrs.field(factory=dict)
    # First and last report of the present stall.
    stalled_ms: clock.Millis | None = None
    stall_reported_ms: clock.Millis | None = None

    @property
    def head(self) -> str:
        """Return the id of the target that takes the requests."""
        return self.members[0]

    def step(self, event: str, now_ms: clock.Millis) -> None:
        """Move to the phase that the chart gives for an event."""
        chart = charts.load_chart("serving_group")
        self.phase = Phase(chart.step(self.phase.value, event))
        self.since_ms = now_ms
        self.stall_reported_ms = None
        self.ordered_ms_by_id.clear()

    def fail(self, now_ms: clock.Millis) -> None:
        """Note that the group cannot go on with its members."""
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
    """Return the name of a group that begins at an epoch.

    The name holds the model, because targets report no model with their
    group.
    """
    return f"g{epoch}.{model}"


def model_of(name: str) -> str:
    """Return the model of a group's name."""
    return name.partition(".")[2]


def is_standby(seat: fleet.Membership) -> bool:
    """Tell whether a membership only keeps its target warm."""
    return seat.group.startswith(STANDBY_PREFIX)


@attrs.define
class Host:
    """What the coordinator knows of one target."""

    target: fleet.Target
    membership: fleet.Membership | None
    staged: tuple[str, ...]
    # Last sign of life: an entry, a report or an answer to an order.
    alive_ms: clock.Millis
    reported_ms: clock.Millis = -1
    # Orders accepted by the target, known until the next order to it.
    sequence: int | None = None
    probed_ms: clock.Millis | None = None
    # Whether what the entry says has not been taken yet.
    has_new_entry: bool = False
    suspect_until_ms: clock.Millis = 0
    staging: str | None = None
    staging_ms: clock.Millis = 0
    # Whether the order to stage was answered, and when it last went out.
    staging_begun: bool = False
    stage_ordered_ms: clock.Millis = 0

    @property
    def id(self) -> str:
        """Return the target's id."""
        return self.target.id

    @property
    def domain(self) -> str:
        """Return the host's fabric domain, empty if it names none."""
        return self.target.domain or ""

    @property
    def kept_model(self) -> str:
        """Return the model whose weights the host holds, or nothing."""
        return self.staged[-1] if self.staged else ""

    def is_in(self, group: str, epoch: int) -> bool:
        """Tell whether the target says it is in a group and epoch."""
        seat = self.membership
        return seat is not None and seat.group == group and seat.epoch == epoch

    def take(
        self,
        membership: fleet.Membership | None,
        staged: tuple[str, ...],
    ) -> None:
        """Take what the target says of itself."""
        self.membership = membership
        self.staged = staged
        if self.staging is not None and self.staging in staged:
            self.staging = None

    @property
    def is_free(self) -> bool:
        """Tell whether the target is in no group that serves or may do so."""
        return self.membership is None or is_standby(self.membership)

    def is_free_for(self, group: str) -> bool:
        """Tell whether a join of a group takes the host from no other."""
        seat = self.membership
        return self.is_free or (seat is not None and seat.group == group)

    def note_staging(self, model: str, answer: OrderAnswer) -> None:
        """Take the answer to an order to stage."""
        if answer is OrderAnswer.BEGUN:
            self.staging_begun = True
        if answer is OrderAnswer.DONE:
            self.staged = (*self.staged, model)
        if answer is not OrderAnswer.BEGUN:
            self.staging = None
