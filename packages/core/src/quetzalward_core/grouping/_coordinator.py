"""Forms, repairs and closes serving groups; pure decisions.

One node at a time runs a coordinator. It is level-triggered: each tick
compares the groups it plans with what the targets say of themselves and
returns the orders that are due. Two coordinators at once are harmless,
because a target refuses an epoch lower than one that it has seen and the
epochs of a later term are higher.
"""

import collections

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _adoption
from quetzalward_core.grouping import _domain_plan
from quetzalward_core.grouping import _formation
from quetzalward_core.grouping import _lifecycle
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster
from quetzalward_core.grouping import _spares

# Epochs of a term: term * EPOCHS_PER_TERM + count.
EPOCHS_PER_TERM = 1 << 20
# At the start, waits for this long for the first entries to be complete.
SETTLE_MS = 600

_CARRIED_OUT = frozenset((_model.OrderAnswer.BEGUN, _model.OrderAnswer.DONE))


class Coordinator:
    """Plans the serving groups of one service."""

    def __init__(
        self, term: int, now_ms: clock.Millis, before_traffic: bool
    ) -> None:
        """Start a term without groups; the first ticks adopt those there."""
        self._term = term
        self._count = 0
        self._started_ms = now_ms
        self._adopted = False
        self._engine: fleet.Engine | None = None
        self._left_ms_by_id: dict[str, clock.Millis] = {}
        self._roster = _roster.Roster()
        self._lifecycle = _lifecycle.Lifecycle(self._roster)
        self._formation = _formation.Formation(self._roster, self._next_epoch)
        self._spares = _spares.Spares(self._roster, self._next_epoch)
        # Loads are unlimited until the first request of a caller.
        self.before_traffic = before_traffic

    @property
    def host_by_id(self) -> dict[str, _model.Host]:
        """Return the targets."""
        return self._roster.host_by_id

    @property
    def group_by_name(self) -> dict[str, _model.Group]:
        """Return the planned groups."""
        return self._roster.group_by_name

    @property
    def is_settled(self) -> bool:
        """Tell whether the groups that stood before are known."""
        return self._adopted

    # What is known of the targets.

    def configure(self, engine: fleet.Engine) -> None:
        """Take the engine of the configuration in force."""
        self._engine = engine

    def observe(self, target: fleet.Target, now_ms: clock.Millis) -> None:
        """Take a target's entry."""
        self._roster.observe(target, now_ms)

    def lose(self, target_id: str) -> None:
        """Drop a target whose entry is gone."""
        self._roster.host_by_id.pop(target_id, None)

    def reported(
        self,
        target_id: str,
        report: fleet.TargetReport | None,
        now_ms: clock.Millis,
    ) -> None:
        """Take the answer to a probe; `None` if there was none."""
        self._roster.reported(target_id, report, now_ms)

    def answered(
        self,
        order: _model.Order,
        answer: _model.OrderAnswer,
        now_ms: clock.Millis,
    ) -> None:
        """Take what became of an order."""
        host = self.host_by_id.get(order.target_id)
        if host is None:
            return
        host.sequence = None
        if answer is _model.OrderAnswer.UNANSWERED:
            return
        if answer is _model.OrderAnswer.UNREACHABLE:
            host.suspect_until_ms = now_ms + _roster.SUSPECT_MS
            host.staging = None
            return
        host.alive_ms = now_ms
        if isinstance(order, _model.Stage):
            host.note_staging(order.model, answer)
        elif isinstance(order, _model.Leave):
            if answer in _CARRIED_OUT and host.is_in(order.group, order.epoch):
                host.membership = None
                host.reported_ms = now_ms
                host.has_new_entry = False
        else:
            self._group_answered(order, answer, now_ms)

    def _group_answered(
        self,
        order: _model.Join | _model.Open | _model.Close,
        answer: _model.OrderAnswer,
        now_ms: clock.Millis,
    ) -> None:
        group = self.group_by_name.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        if answer is _model.OrderAnswer.STALE:
            # A higher epoch is known there: this one can never be complete.
            group.fail(now_ms)
        elif answer in _CARRIED_OUT and not isinstance(order, _model.Close):
            group.accepted_ms_by_id[order.target_id] = now_ms

    def doubt(
        self, target_id: str, now_ms: clock.Millis
    ) -> list[_model.Command]:
        """Take word that a target does not work; asks it for a report."""
        commands: list[_model.Command] = []
        if self._roster.is_usable(target_id, now_ms):
            self._roster.probe(target_id, now_ms, commands)
        return commands

    def stalled(
        self, name: str, epoch: int, now_ms: clock.Millis
    ) -> list[_model.Command]:
        """Take word that a group makes no events; asks its members."""
        commands: list[_model.Command] = []
        group = self.group_by_name.get(name)
        if group is not None and group.epoch == epoch:
            self._lifecycle.stalled(group, now_ms, commands)
        return commands

    def producing(self, groups: frozenset[tuple[str, int]]) -> None:
        """Take the groups, by name and epoch, that just made events.

        A member that this node cannot reach is no loss to such a group.
        """
        self._roster.producing = groups

    def requested(self) -> None:
        """Note the first request of a caller."""
        self.before_traffic = False

    # Decisions.

    def tick(self, now_ms: clock.Millis) -> list[_model.Command]:
        """Return the orders and probes that are due."""
        engine = self._engine
        if engine is None:
            return []
        if not self._adopted:
            if now_ms - self._started_ms < SETTLE_MS:
                return []
            _adoption.adopt(self._roster, engine, now_ms)
            self._adopted = True
        commands: list[_model.Command] = []
        for group in self.group_by_name.values():
            self._lifecycle.advance(engine, group, now_ms, commands)
        self._release_strangers(now_ms, commands)
        self._reform(engine, now_ms, commands)
        for group in self._roster.in_phase(_model.Phase.FORMING):
            self._lifecycle.send_joins(group, now_ms, commands)
        return commands

    def open_groups(self) -> list[_model.Group]:
        """Return the groups that take requests."""
        return self._roster.in_phase(_model.Phase.OPEN)

    def closing_groups(self) -> list[_model.Group]:
        """Return the groups that finish their work and take none."""
        return self._roster.in_phase(_model.Phase.CLOSING)

    def spares_by_domain(self) -> dict[str, dict[str, int]]:
        """Return the hosts out of groups, by domain and kept model."""
        return self._spares.by_domain()

    def _reform(
        self,
        engine: fleet.Engine,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Repair broken groups, form new ones, stage and warm spares."""
        hosts_by_domain = self._roster.usable_by_domain(now_ms)
        self._formation.repair(hosts_by_domain, now_ms, commands)
        counts_by_domain = self._roster.count_by_domain()
        total: collections.Counter[str] = collections.Counter()
        for counts in counts_by_domain.values():
            total.update(counts)
        needs = self._spares.needs(engine, now_ms)
        models = list(engine.models_by_name.values())
        wishes: list[_spares.Wish] = []
        for domain in sorted(hosts_by_domain):
            hosts = hosts_by_domain[domain]
            standing = counts_by_domain.get(domain, {})
            pattern = _domain_plan.plan_domain(
                len(hosts), standing, total, models
            )
            is_whole = self._formation.form(
                engine, hosts, pattern, standing, now_ms
            )
            if is_whole:
                self._spares.warm(engine, hosts, now_ms, commands)
            wishes += self._spares.wishes(
                engine, domain, hosts, pattern, needs
            )
        self._spares.stage(
            engine, wishes, self.before_traffic, now_ms, commands
        )

    def _release_strangers(
        self, now_ms: clock.Millis, commands: list[_model.Command]
    ) -> None:
        """Make targets leave groups that nobody plans.

        A target must not join another group while the head of its own may
        still take requests, and a head that cannot be seen may do so; once
        it has left, it is free whatever its head does.
        """
        for host in self.host_by_id.values():
            seat = host.membership
            if seat is None or _model.is_standby(seat):
                continue
            group = self._roster.group_by_member.get(host.id)
            if group is not None and group.name == seat.group:
                continue
            last = self._left_ms_by_id.get(host.id)
            if last is None or now_ms - last >= _lifecycle.RESEND_MS:
                self._left_ms_by_id[host.id] = now_ms
                commands.append(_model.Leave(host.id, seat.group, seat.epoch))

    def _next_epoch(self) -> int:
        self._count += 1
        return self._term * EPOCHS_PER_TERM + self._count
