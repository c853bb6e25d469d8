"""Model of the targets' serving groups, driven by a manual clock.

Tests of decisions use it directly; the platform stand-in serves it over
HTTP. It records each breach of what must always hold of groups.
"""

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import grouping

HEARTBEAT_MS = 1_200
# An entry lapses after three missed heartbeats.
LAPSE_MS = 3 * HEARTBEAT_MS
REJOIN_MS = 200
STALL_MS = 5_000
# A load outside of traffic takes a tenth of its time.
QUIET_LOAD_SHARE = 0.1

_TAKING = (fleet.MemberState.OPEN, fleet.MemberState.CLOSING)


@attrs.define
class Seat:
    """A target's place in a group."""

    group: str
    epoch: int
    members: tuple[str, ...]
    model: str
    state: fleet.MemberState
    # End of the join or of the opening under way.
    until_ms: clock.Millis = 0
    opening: bool = False
    stalled_ms: clock.Millis | None = None


@attrs.define
class GroupTarget:
    """One target and its host."""

    id: str
    domain: str
    zone: str
    born_ms: int
    alive: bool = True
    draining: bool = False
    seat: Seat | None = None
    epoch_seen: int = 0
    last_model: str | None = None
    staged: list[str] = attrs.field(factory=list)
    staging: str | None = None
    staging_until_ms: clock.Millis = 0
    heartbeat_ms: clock.Millis = 0
    # Orders that began something in this life.
    sequence: int = 0
    # A cut from the store: alive and open, but its entry lapses.
    unlisted: bool = False


class GroupFleet:
    """Targets, the store's list of them, and the rules they must keep."""

    def __init__(self, engine: fleet.Engine, service: str = "pool") -> None:
        """Start without targets."""
        self.engine = engine
        self.service = service
        self.now_ms: clock.Millis = 0
        self.in_traffic = False
        self.target_by_id: dict[str, GroupTarget] = {}
        self.ready_seats: set[tuple[str, str, int, tuple[str, ...]]] = set()
        self.breaches: list[str] = []
        self.loads_ms: list[clock.Millis] = []
        self._entry_by_id: dict[str, fleet.Target] = {}

    def add(self, target_id: str, domain: str, zone: str = "z") -> None:
        """Start a target with nothing on its host."""
        self.target_by_id[target_id] = GroupTarget(
            target_id, domain, zone, self.now_ms + 1
        )
        self.target_by_id[target_id].heartbeat_ms = self.now_ms

    def kill(self, target_id: str) -> None:
        """Stop a target without a word."""
        self.target_by_id[target_id].alive = False

    def restart(self, target_id: str) -> None:
        """Start a target again under its id; its host keeps its weights."""
        target = self.target_by_id[target_id]
        target.alive = True
        target.draining = False
        target.seat = None
        target.epoch_seen = 0
        target.sequence = 0
        target.last_model = None
        target.staging = None
        target.born_ms = self.now_ms + 1
        target.heartbeat_ms = self.now_ms

    # The store's list.

    def entries(self) -> list[fleet.Target]:
        """Return the entries as the store lists them now.

        A heartbeat that changes nothing leaves no record, so that an
        unchanged entry says little about its target.
        """
        listed = []
        for target in self.target_by_id.values():
            if self.now_ms - target.heartbeat_ms >= LAPSE_MS:
                continue
            entry = self.entry(target)
            known = self._entry_by_id.get(target.id)
            if known is None or (target.alive and known != entry):
                known = self._entry_by_id[target.id] = entry
            listed.append(known)
        return listed

    def entry(self, target: GroupTarget) -> fleet.Target:
        """Return a target's entry."""
        return fleet.Target(
            target.id,
            self.service,
            fleet.Address("127.0.0.1", 1),
            target.zone,
            target.draining,
            0,
            target.born_ms,
            self.engine.slots,
            target.domain,
            tuple(target.staged),
            self._membership(target),
        )

    @staticmethod
    def _membership(target: GroupTarget) -> fleet.Membership | None:
        seat = target.seat
        if seat is None:
            return None
        rank = seat.members.index(target.id)
        return fleet.Membership(seat.group, seat.epoch, rank, seat.state)

    def report(self, target_id: str) -> fleet.TargetReport | None:
        """Return a target's report, `None` if it is not there."""
        target = self.target_by_id.get(target_id)
        if target is None or not target.alive:
            return None
        return fleet.TargetReport(
            target.born_ms,
            tuple(target.staged),
            self._membership(target),
            target.staging is not None,
            target.sequence,
            0,
            0,
            1.0,
        )

    # Time.

    def advance(self, delta_ms: clock.Millis) -> None:
        """Let time pass in steps that no change outlasts."""
        end_ms = self.now_ms + delta_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 10)
            for target in self.target_by_id.values():
                if target.alive:
                    self._step(target)

    def _step(self, target: GroupTarget) -> None:
        if not target.unlisted:
            if self.now_ms - target.heartbeat_ms >= HEARTBEAT_MS:
                target.heartbeat_ms = self.now_ms
        if target.staging and self.now_ms >= target.staging_until_ms:
            self._keep(target, target.staging)
            target.staging = None
        seat = target.seat
        if seat is None:
            return
        if seat.state is fleet.MemberState.JOINING:
            if self.now_ms >= seat.until_ms:
                seat.state = fleet.MemberState.READY
                self.ready_seats.add(self._seat_key(target.id, seat))
        elif seat.opening and self.now_ms >= seat.until_ms:
            seat.opening = False
            seat.state = fleet.MemberState.OPEN
            self._check_whole(seat)
        elif seat.state in _TAKING:
            self._watch(seat)

    def _keep(self, target: GroupTarget, model: str) -> None:
        if model in target.staged:
            target.staged.remove(model)
        target.staged.append(model)
        del target.staged[: -self.engine.keeps]

    @staticmethod
    def _seat_key(
        target_id: str, seat: Seat
    ) -> tuple[str, str, int, tuple[str, ...]]:
        return (target_id, seat.group, seat.epoch, seat.members)

    def _watch(self, seat: Seat) -> None:
        """Break a head that has stood still for too long."""
        whole = all(self._is_with(member, seat) for member in seat.members)
        if whole:
            seat.stalled_ms = None
        elif seat.stalled_ms is None:
            seat.stalled_ms = self.now_ms
        elif self.now_ms - seat.stalled_ms >= STALL_MS:
            seat.state = fleet.MemberState.BROKEN

    def _is_with(self, member: str, seat: Seat) -> bool:
        other = self.target_by_id.get(member)
        return (
            other is not None
            and other.alive
            and other.seat is not None
            and (other.seat.group, other.seat.epoch)
            == (seat.group, seat.epoch)
        )

    # Orders.

    def order(self, order: grouping.Order) -> grouping.OrderAnswer:
        """Carry out an order and return its answer."""
        answer = self._carry_out(order)
        if answer is grouping.OrderAnswer.BEGUN:
            self.target_by_id[order.target_id].sequence += 1
        return answer

    def _carry_out(self, order: grouping.Order) -> grouping.OrderAnswer:
        target = self.target_by_id.get(order.target_id)
        if target is None or not target.alive:
            return grouping.OrderAnswer.UNREACHABLE
        if isinstance(order, grouping.Stage):
            return self._stage(target, order.model)
        if isinstance(order, grouping.Join):
            return self._join(target, order)
        seat = target.seat
        if seat is None or (seat.group, seat.epoch) != (
            order.group,
            order.epoch,
        ):
            return grouping.OrderAnswer.CONFLICT
        if isinstance(order, grouping.Leave):
            target.seat = None
            return grouping.OrderAnswer.BEGUN
        if isinstance(order, grouping.Close):
            if seat.state in _TAKING:
                seat.state = fleet.MemberState.READY
                return grouping.OrderAnswer.BEGUN
            return grouping.OrderAnswer.DONE
        return self._open(seat, target)

    def _stage(self, target: GroupTarget, model: str) -> grouping.OrderAnswer:
        if model in target.staged:
            return grouping.OrderAnswer.DONE
        target.staging = model
        target.staging_until_ms = self.now_ms + self._load_ms(model)
        return grouping.OrderAnswer.BEGUN

    def _load_ms(self, model: str) -> clock.Millis:
        load_ms = self.engine.models_by_name[model].load_ms
        if not self.in_traffic:
            return int(load_ms * QUIET_LOAD_SHARE)
        self.loads_ms.append(self.now_ms)
        return load_ms

    def _join(
        self, target: GroupTarget, order: grouping.Join
    ) -> grouping.OrderAnswer:
        seat = target.seat
        if order.epoch < target.epoch_seen:
            return grouping.OrderAnswer.STALE
        if not self.is_expected(target, order):
            return grouping.OrderAnswer.CONFLICT
        if seat is not None and (seat.group, seat.epoch) == (
            order.group,
            order.epoch,
        ):
            if seat.members != order.members:
                return grouping.OrderAnswer.STALE
            return grouping.OrderAnswer.DONE
        if seat is not None and seat.group != order.group:
            self._check_released(target, seat, order.group)
        target.epoch_seen = order.epoch
        if order.model == target.last_model:
            wait_ms = REJOIN_MS
        elif order.model in target.staged:
            wait_ms = self.engine.models_by_name[order.model].warm_ms
        else:
            wait_ms = self._load_ms(order.model)
            self._keep(target, order.model)
        target.last_model = order.model
        target.seat = Seat(
            order.group,
            order.epoch,
            order.members,
            order.model,
            fleet.MemberState.JOINING,
            self.now_ms + wait_ms,
        )
        return grouping.OrderAnswer.BEGUN

    @staticmethod
    def is_expected(target: GroupTarget, order: grouping.Join) -> bool:
        """Tell whether a target has accepted what the order expects."""
        return order.sequence in (None, target.sequence)

    def _open(self, seat: Seat, target: GroupTarget) -> grouping.OrderAnswer:
        if seat.state in _TAKING:
            return grouping.OrderAnswer.DONE
        if (
            seat.state is not fleet.MemberState.READY
            or seat.members[0] != target.id
        ):
            return grouping.OrderAnswer.CONFLICT
        if not seat.opening:
            seat.opening = True
            seat.until_ms = self.now_ms + self.engine.form_ms
        return grouping.OrderAnswer.BEGUN

    # What must always hold.

    def _check_whole(self, seat: Seat) -> None:
        size = self.engine.models_by_name[seat.model].group_size
        if len(seat.members) != size:
            self.breaches.append(f"{seat.group} opened with a wrong size")
        for member in seat.members:
            if self._seat_key(member, seat) not in self.ready_seats:
                self.breaches.append(
                    f"{seat.group} opened though {member} was never ready"
                )

    def _check_released(
        self, target: GroupTarget, seat: Seat, group: str
    ) -> None:
        head = self.target_by_id.get(seat.members[0])
        if head is None or not head.alive or head.seat is None:
            return
        if (head.seat.group, head.seat.epoch) != (seat.group, seat.epoch):
            return
        if head.seat.state in _TAKING or head.seat.opening:
            self.breaches.append(
                f"{target.id} joined {group} while {seat.group} was open"
            )
