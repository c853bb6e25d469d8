"""Model of the targets' serving groups, driven by a manual clock.

Tests of the grouping logic use it directly; the platform stand-in serves it
over HTTP. It records each violation of the invariants of groups.
"""

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import grouping

HEARTBEAT_MS = 1_200
# An entry expires after three missed heartbeats.
ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS
REJOIN_MS = 200
STALL_MS = 5_000
# Without traffic, a model loads in a tenth of its load time.
IDLE_LOAD_FACTOR = 0.1

_SERVING_STATES = (fleet.MemberState.OPEN, fleet.MemberState.CLOSING)


@attrs.define
class TargetMembership:
    """A target's membership of a group, with its internal state."""

    group: str
    epoch: int
    members: tuple[str, ...]
    model: str
    state: fleet.MemberState
    # End of the current join or opening.
    transition_end_ms: clock.Millis = 0
    opening: bool = False
    # Number of requests under way at the head.
    active: int = 0
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
    membership: TargetMembership | None = None
    highest_epoch: int = 0
    last_model: str | None = None
    staged: list[str] = attrs.field(factory=list)
    staging: str | None = None
    staging_until_ms: clock.Millis = 0
    heartbeat_ms: clock.Millis = 0
    # Number of orders begun since the target started.
    sequence: int = 0
    # Cut off from the store: alive and open, but its entry expires.
    partitioned: bool = False
    # Stands still: only its entry may go on.
    silent: bool = False


class GroupFleet:
    """Targets, their entries in the store, and checks of invariants."""

    def __init__(self, engine: fleet.Engine, service: str = "pool") -> None:
        """Create a fleet without targets."""
        self.engine = engine
        self.service = service
        self.now_ms: clock.Millis = 0
        self.has_traffic = False
        self.target_by_id: dict[str, GroupTarget] = {}
        self.ready_memberships: set[tuple[str, str, int, tuple[str, ...]]] = (
            set()
        )
        self.violations: list[str] = []
        self.load_starts_ms: list[clock.Millis] = []
        self._entry_by_id: dict[str, fleet.Target] = {}

    def add(self, target_id: str, domain: str, zone: str = "z") -> None:
        """Start a target without staged weights on its host."""
        self.target_by_id[target_id] = GroupTarget(
            target_id, domain, zone, self.now_ms + 1
        )
        self.target_by_id[target_id].heartbeat_ms = self.now_ms

    def kill(self, target_id: str) -> None:
        """Stop a target abruptly; its entry stays until it expires."""
        self.target_by_id[target_id].alive = False

    def restart(self, target_id: str) -> None:
        """Restart a target under its id; its staged weights remain."""
        target = self.target_by_id[target_id]
        target.alive = True
        target.draining = False
        target.membership = None
        target.highest_epoch = 0
        target.sequence = 0
        target.last_model = None
        target.staging = None
        target.born_ms = self.now_ms + 1
        target.heartbeat_ms = self.now_ms

    # Entries in the store.

    def entries(self) -> list[fleet.Target]:
        """Return the entries as the store lists them now.

        A heartbeat without a change writes no record, so an unchanged entry
        does not show that its target is alive.
        """
        listed = []
        for target in self.target_by_id.values():
            if self.now_ms - target.heartbeat_ms >= ENTRY_EXPIRY_MS:
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
        membership = target.membership
        if membership is None:
            return None
        rank = membership.members.index(target.id)
        return fleet.Membership(
            membership.group, membership.epoch, rank, membership.state
        )

    def report(self, target_id: str) -> fleet.TargetReport | None:
        """Return a target's report, `None` if it is unknown or not alive."""
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
            target.membership.active if target.membership else 0,
            1.0,
        )

    # Clock.

    def advance(self, delta_ms: clock.Millis) -> None:
        """Advance the clock in steps of at most 10 ms."""
        end_ms = self.now_ms + delta_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 10)
            for target in self.target_by_id.values():
                if target.alive:
                    self._step(target)

    def _step(self, target: GroupTarget) -> None:
        if not target.partitioned:
            if self.now_ms - target.heartbeat_ms >= HEARTBEAT_MS:
                target.heartbeat_ms = self.now_ms
        if target.silent:
            return
        if target.staging and self.now_ms >= target.staging_until_ms:
            self._add_staged(target, target.staging)
            target.staging = None
        membership = target.membership
        if membership is None:
            return
        if membership.state is fleet.MemberState.JOINING:
            if self.now_ms >= membership.transition_end_ms:
                membership.state = fleet.MemberState.READY
                self.ready_memberships.add(
                    self._membership_key(target.id, membership)
                )
        elif (
            membership.opening and self.now_ms >= membership.transition_end_ms
        ):
            membership.opening = False
            membership.state = fleet.MemberState.OPEN
            self._check_members_ready(membership)
        elif (
            membership.state is fleet.MemberState.CLOSING
            and not membership.active
        ):
            membership.state = fleet.MemberState.READY
        elif membership.state in _SERVING_STATES:
            self._detect_stall(membership)

    def _add_staged(self, target: GroupTarget, model: str) -> None:
        if model in target.staged:
            target.staged.remove(model)
        target.staged.append(model)
        del target.staged[: -self.engine.keeps]

    @staticmethod
    def _membership_key(
        target_id: str, membership: TargetMembership
    ) -> tuple[str, str, int, tuple[str, ...]]:
        return (
            target_id,
            membership.group,
            membership.epoch,
            membership.members,
        )

    def _detect_stall(self, membership: TargetMembership) -> None:
        """Mark a head broken once a member is missing for `STALL_MS`."""
        complete = all(
            self._is_present(member, membership)
            for member in membership.members
        )
        if complete:
            membership.stalled_ms = None
        elif membership.stalled_ms is None:
            membership.stalled_ms = self.now_ms
        elif self.now_ms - membership.stalled_ms >= STALL_MS:
            membership.state = fleet.MemberState.BROKEN

    def _is_present(self, member: str, membership: TargetMembership) -> bool:
        other = self.target_by_id.get(member)
        return (
            other is not None
            and other.alive
            and other.membership is not None
            and (other.membership.group, other.membership.epoch)
            == (membership.group, membership.epoch)
        )

    # Orders.

    def order(self, order: grouping.Order) -> grouping.OrderAnswer:
        """Apply an order and return its answer."""
        answer = self._apply(order)
        if answer is grouping.OrderAnswer.BEGUN:
            self.target_by_id[order.target_id].sequence += 1
        return answer

    def _apply(self, order: grouping.Order) -> grouping.OrderAnswer:
        target = self.target_by_id.get(order.target_id)
        if target is None or not target.alive:
            return grouping.OrderAnswer.UNREACHABLE
        if isinstance(order, grouping.Stage):
            return self._stage(target, order.model)
        if isinstance(order, grouping.Join):
            return self._join(target, order)
        membership = target.membership
        if membership is None or (membership.group, membership.epoch) != (
            order.group,
            order.epoch,
        ):
            return grouping.OrderAnswer.CONFLICT
        if isinstance(order, grouping.Leave):
            target.membership = None
            return grouping.OrderAnswer.BEGUN
        if isinstance(order, grouping.Close):
            return self._close(membership, order.truncate)
        return self._open(membership, target)

    @staticmethod
    def _close(
        membership: TargetMembership, truncate: bool
    ) -> grouping.OrderAnswer:
        if membership.state is fleet.MemberState.OPEN or (
            membership.state is fleet.MemberState.CLOSING and truncate
        ):
            is_at_work = membership.active and not truncate
            membership.state = (
                fleet.MemberState.CLOSING
                if is_at_work
                else fleet.MemberState.READY
            )
            return grouping.OrderAnswer.BEGUN
        return grouping.OrderAnswer.DONE

    def _stage(self, target: GroupTarget, model: str) -> grouping.OrderAnswer:
        if model in target.staged:
            return grouping.OrderAnswer.DONE
        target.staging = model
        target.staging_until_ms = self.now_ms + self._load_ms(model)
        return grouping.OrderAnswer.BEGUN

    def _load_ms(self, model: str) -> clock.Millis:
        load_ms = self.engine.models_by_name[model].load_ms
        if not self.has_traffic:
            return int(load_ms * IDLE_LOAD_FACTOR)
        self.load_starts_ms.append(self.now_ms)
        return load_ms

    def _join(
        self, target: GroupTarget, order: grouping.Join
    ) -> grouping.OrderAnswer:
        membership = target.membership
        if order.epoch < target.highest_epoch:
            return grouping.OrderAnswer.STALE
        if not self.meets_precondition(target, order):
            return grouping.OrderAnswer.CONFLICT
        if membership is not None and (membership.group, membership.epoch) == (
            order.group,
            order.epoch,
        ):
            if membership.members != order.members:
                return grouping.OrderAnswer.STALE
            return grouping.OrderAnswer.DONE
        if membership is not None and membership.group != order.group:
            self._check_previous_group(target, membership, order.group)
        target.highest_epoch = order.epoch
        if order.model == target.last_model:
            wait_ms = REJOIN_MS
        elif order.model in target.staged:
            wait_ms = self.engine.models_by_name[order.model].warm_ms
        else:
            wait_ms = self._load_ms(order.model)
            self._add_staged(target, order.model)
        target.last_model = order.model
        target.membership = TargetMembership(
            order.group,
            order.epoch,
            order.members,
            order.model,
            fleet.MemberState.JOINING,
            self.now_ms + wait_ms,
        )
        return grouping.OrderAnswer.BEGUN

    @staticmethod
    def meets_precondition(target: GroupTarget, order: grouping.Join) -> bool:
        """Tell whether a target's sequence is the one the order expects."""
        return order.sequence in (None, target.sequence)

    def _open(
        self, membership: TargetMembership, target: GroupTarget
    ) -> grouping.OrderAnswer:
        if membership.state in _SERVING_STATES:
            return grouping.OrderAnswer.DONE
        if (
            membership.state is not fleet.MemberState.READY
            or membership.members[0] != target.id
        ):
            return grouping.OrderAnswer.CONFLICT
        if not membership.opening:
            membership.opening = True
            membership.transition_end_ms = self.now_ms + self.engine.form_ms
        return grouping.OrderAnswer.BEGUN

    # Invariants.

    def _check_members_ready(self, membership: TargetMembership) -> None:
        size = self.engine.models_by_name[membership.model].group_size
        if len(membership.members) != size:
            self.violations.append(
                f"{membership.group} opened with the wrong number of members"
            )
        for member in membership.members:
            if (
                self._membership_key(member, membership)
                not in self.ready_memberships
            ):
                self.violations.append(
                    f"{membership.group} opened although "
                    f"{member} was never ready"
                )

    def _check_previous_group(
        self, target: GroupTarget, membership: TargetMembership, group: str
    ) -> None:
        head = self.target_by_id.get(membership.members[0])
        if head is None or not head.alive or head.membership is None:
            return
        if (head.membership.group, head.membership.epoch) != (
            membership.group,
            membership.epoch,
        ):
            return
        if head.membership.state in _SERVING_STATES or head.membership.opening:
            self.violations.append(
                f"{target.id} joined {group} while "
                f"{membership.group} was open"
            )
