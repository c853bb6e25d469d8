"""Forms, repairs and closes serving groups, without I/O.

One node at a time runs a coordinator. It is level-triggered: each tick
compares the planned groups with the state that the targets report and
returns the orders that are due. Two coordinators at once are harmless,
because a target refuses an epoch lower than one that it has seen and the
epochs of a later term are higher.
"""

import collections

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core.grouping import _adoption
from quetzalward_core.grouping import _conversion
from quetzalward_core.grouping import _domain_plan
from quetzalward_core.grouping import _formation
from quetzalward_core.grouping import _lifecycle
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster
from quetzalward_core.grouping import _spares

# Epochs of a term are term * EPOCHS_PER_TERM + a counter.
EPOCHS_PER_TERM = 1 << 20
# Delay from the start until existing groups are adopted, so that the first
# target entries are complete.
ADOPTION_DELAY_MS = 600
# At the first start, targets register over seconds. Groups are planned once
# no new target has registered for the first time, at the latest after the
# second one. A plan for the first targets would leave no domain with room for
# the models with large groups.
SETTLE_MS = 1_500
MAX_SETTLE_MS = 5_000

_ACCEPTED_ANSWERS = frozenset(
    (_model.OrderAnswer.BEGUN, _model.OrderAnswer.DONE)
)


class Coordinator:
    """Plans the serving groups of one service."""

    def __init__(
        self, term: int, now_ms: clock.Millis, before_traffic: bool
    ) -> None:
        """Start a term without groups; a later tick adopts existing ones."""
        self._term = term
        self._epoch_count = 0
        self._started_ms = now_ms
        self._adopted = False
        self._engine: fleet.Engine | None = None
        self._leave_sent_ms_by_id: dict[str, clock.Millis] = {}
        self._roster = _roster.Roster()
        self._lifecycle = _lifecycle.Lifecycle(self._roster)
        self._formation = _formation.Formation(self._roster, self._next_epoch)
        self._spares = _spares.Spares(self._roster, self._next_epoch)
        self._conversions = _conversion.Conversions(self._roster)
        # Weight loads are not limited until the first request of a caller.
        self.before_traffic = before_traffic

    @property
    def host_by_id(self) -> dict[str, _model.Host]:
        """Return the known targets by id."""
        return self._roster.host_by_id

    @property
    def group_by_name(self) -> dict[str, _model.Group]:
        """Return the planned groups by name."""
        return self._roster.group_by_name

    @property
    def has_adopted_groups(self) -> bool:
        """Tell whether the groups of earlier terms have been adopted."""
        return self._adopted

    # Inputs.

    def configure(self, engine: fleet.Engine) -> None:
        """Set the engine of the configuration in force."""
        self._engine = engine

    def observe(self, target: fleet.Target, now_ms: clock.Millis) -> None:
        """Update a target from its entry in the store."""
        self._roster.observe(target, now_ms)

    def remove_target(self, target_id: str) -> None:
        """Remove a target whose entry was deleted."""
        self._roster.remove_host(target_id)

    def address_of(self, target_id: str) -> fleet.Address | None:
        """Return a target's address, also if its entry was deleted."""
        host = self.host_by_id.get(target_id)
        return host.target.address if host else None

    def record_report(
        self,
        target_id: str,
        report: fleet.TargetReport | None,
        now_ms: clock.Millis,
    ) -> None:
        """Record the answer to a probe; `None` if there was none."""
        self._roster.record_report(target_id, report, now_ms)

    def record_unanswered_probe(
        self, target_id: str, now_ms: clock.Millis
    ) -> None:
        """Record that a target accepted a probe but did not answer it.

        It may only stand still for a moment.
        """
        self._roster.record_unanswered_probe(target_id, now_ms)

    def record_order_answer(
        self,
        order: _model.Order,
        answer: _model.OrderAnswer,
        now_ms: clock.Millis,
    ) -> None:
        """Record the answer to an order."""
        host = self.host_by_id.get(order.target_id)
        if host is None:
            return
        host.sequence = None
        if answer is _model.OrderAnswer.UNANSWERED:
            return
        if answer is _model.OrderAnswer.UNREACHABLE:
            host.suspect_until_ms = now_ms + _roster.SUSPECT_DURATION_MS
            host.staging = None
            return
        host.alive_ms = now_ms
        host.silent_since_ms = None
        if isinstance(order, _model.Stage):
            host.record_staging_answer(order.model, answer)
        elif isinstance(order, _model.Leave):
            if answer in _ACCEPTED_ANSWERS and host.is_in(
                order.group, order.epoch
            ):
                host.membership = None
                host.reported_ms = now_ms
                host.has_new_entry = False
        else:
            self._record_group_answer(order, answer, now_ms)

    def _record_group_answer(
        self,
        order: _model.Join | _model.Open | _model.Close,
        answer: _model.OrderAnswer,
        now_ms: clock.Millis,
    ) -> None:
        group = self.group_by_name.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        if answer is _model.OrderAnswer.STALE:
            # The target has seen a higher epoch, so this one can never be
            # complete.
            group.fail(now_ms)
        elif answer in _ACCEPTED_ANSWERS and not isinstance(
            order, _model.Close
        ):
            group.accepted_ms_by_id[order.target_id] = now_ms

    def probe_suspect(
        self, target_id: str, now_ms: clock.Millis
    ) -> list[_model.Command]:
        """Return a probe for a target that a node reported as failing."""
        commands: list[_model.Command] = []
        if self._roster.is_usable(target_id, now_ms):
            self._roster.probe(target_id, now_ms, commands)
        return commands

    def handle_stall(
        self, name: str, epoch: int, now_ms: clock.Millis
    ) -> list[_model.Command]:
        """Handle a report that a group emits no events; probe its members."""
        commands: list[_model.Command] = []
        group = self.group_by_name.get(name)
        if group is not None and group.epoch == epoch:
            self._lifecycle.handle_stall(group, now_ms, commands)
        return commands

    def set_producing_groups(self, groups: frozenset[tuple[str, int]]) -> None:
        """Set the groups, by name and epoch, that emitted recent events.

        Such a group is not failed for a member that this node cannot reach.
        """
        self._roster.producing_groups = groups

    def record_traffic(self) -> None:
        """Record that callers have sent requests."""
        self.before_traffic = False

    # Decisions.

    def tick(self, now_ms: clock.Millis) -> list[_model.Command]:
        """Return the orders and probes that are due."""
        engine = self._engine
        if engine is None:
            return []
        if not self._adopted:
            if now_ms - self._started_ms < ADOPTION_DELAY_MS:
                return []
            _adoption.adopt(self._roster, engine, now_ms)
            self._adopted = True
        commands: list[_model.Command] = []
        for group in self.group_by_name.values():
            self._lifecycle.advance(engine, group, now_ms, commands)
        self._release_unplanned_targets(now_ms, commands)
        self._reform(engine, now_ms, commands)
        for group in self._roster.in_phase(_model.Phase.FORMING):
            self._lifecycle.send_joins(group, now_ms, commands)
        return commands

    def open_groups(self) -> list[_model.Group]:
        """Return the groups that accept requests."""
        return self._roster.in_phase(_model.Phase.OPEN)

    def closing_groups(self) -> list[_model.Group]:
        """Return the groups that finish running work and accept no more."""
        return self._roster.in_phase(_model.Phase.CLOSING)

    def spares_by_domain(self) -> dict[str, dict[str, int]]:
        """Return the number of spare hosts, by domain and staged model."""
        return self._spares.by_domain()

    def _reform(
        self,
        engine: fleet.Engine,
        now_ms: clock.Millis,
        commands: list[_model.Command],
    ) -> None:
        """Repair broken groups, form new ones, and stage and warm spares."""
        hosts_by_domain = self._roster.usable_by_domain(now_ms)
        self._formation.repair(hosts_by_domain, now_ms, commands)
        if self.before_traffic and self._is_growing(now_ms):
            return
        counts_by_domain = self._roster.count_by_domain(
            self._conversions.kept_groups()
        )
        convertible = self._conversions.convertible_ids()
        total: collections.Counter[str] = collections.Counter()
        for counts in counts_by_domain.values():
            total.update(counts)
        demand = self._spares.demand(engine, now_ms)
        models = list(engine.models_by_name.values())
        staging_requests: list[_spares.StagingRequest] = []
        for domain in sorted(hosts_by_domain):
            hosts = hosts_by_domain[domain]
            existing = counts_by_domain.get(domain, {})
            plan = _domain_plan.plan_domain(
                len(hosts), existing, total, models
            )
            is_complete = self._formation.form(
                engine, hosts, plan, existing, now_ms
            )
            if is_complete:
                self._spares.warm(engine, hosts, now_ms, commands)
            staging_requests += self._spares.staging_requests(
                engine, domain, hosts, plan, demand, convertible
            )
        self._conversions.update(engine, hosts_by_domain, total, now_ms)
        self._spares.stage(
            engine, staging_requests, self.before_traffic, now_ms, commands
        )

    def _is_growing(self, now_ms: clock.Millis) -> bool:
        """Tell whether more targets are expected to register soon."""
        return (
            now_ms - self._started_ms < MAX_SETTLE_MS
            and now_ms - self._roster.grown_ms < SETTLE_MS
        )

    def _release_unplanned_targets(
        self, now_ms: clock.Millis, commands: list[_model.Command]
    ) -> None:
        """Order targets to leave groups that are not planned.

        A target must not join another group while the head of its own may
        still accept requests, and a head that cannot be observed may do so.
        A target that has left is free regardless of its former head.
        """
        for host in self.host_by_id.values():
            membership = host.membership
            if membership is None or _model.is_standby(membership):
                continue
            group = self._roster.group_by_member.get(host.id)
            if group is not None and group.name == membership.group:
                continue
            last_sent_ms = self._leave_sent_ms_by_id.get(host.id)
            if (
                last_sent_ms is None
                or now_ms - last_sent_ms >= _lifecycle.RESEND_MS
            ):
                self._leave_sent_ms_by_id[host.id] = now_ms
                commands.append(
                    _model.Leave(host.id, membership.group, membership.epoch)
                )

    def _next_epoch(self) -> int:
        self._epoch_count += 1
        return self._term * EPOCHS_PER_TERM + self._epoch_count
