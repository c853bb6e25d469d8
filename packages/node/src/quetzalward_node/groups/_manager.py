"""Manager of the groups of an availability zone."""

import typing

import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import config
from quetzalward_core import errors
from quetzalward_core import formation
from quetzalward_node.groups import _admission
from quetzalward_node.groups import _fleet
from quetzalward_node.groups import _lease
from quetzalward_node.groups import _mailbox
from quetzalward_node.groups import _orders
from quetzalward_node.groups import _platform
from quetzalward_node.groups import _presence
from quetzalward_node.groups import _records
from quetzalward_node.groups import _reports
from quetzalward_node.groups import _watch
from quetzalward_node import interfaces

_LOG = logbook.Logger("groups")
APPEND_DEADLINE_MS = 2_000
# Interval of planning while nothing changes.
REPLAN_INTERVAL_MS = 5_000
# Time for another node to claim the lease and to reach the engines.
HANDOVER_PAUSE_MS = 30_000


class ZoneManager:
    """Executes the plan of one zone while it holds the zone's lease.

    `tick` must be called from one thread only. Calls to engines run on
    workers, whose results come back through a mailbox.
    """

    def __init__(
        self,
        lease: _lease.ZoneLease,
        log: interfaces.ControlLog,
        engines: _platform.EngineClient,
        workers: _platform.Workers,
        clock: clocks.Clock,
        current_configuration: typing.Callable[[], config.Configuration],
    ) -> None:
        """Manage the zone of the lease."""
        self._current_configuration = current_configuration
        self.zone = lease.zone
        self.lease = lease
        self.orders_sent = 0
        self.orders_refused = 0
        self.plans_made = 0
        self._log = log
        self._engines = engines
        self._clock = clock
        self._presence = _presence.Presence(clock)
        self._admission = _admission.Admission(self.zone, clock)
        self._calls = _mailbox.Mailbox(workers)
        self._reports = _reports.Reports(
            engines,
            self._calls,
            clock,
            self._presence,
            self._admission,
            self._reassign_hosts,
        )
        self._planned_ms = -_presence.NEVER_MS
        self._planned_tables: tuple[typing.Any, ...] = ()
        self._planned_inputs: tuple[typing.Any, ...] = ()
        self._plan = formation.Plan()
        self._config_revision = -1
        self._configuration = config.Configuration()
        self._group_id_count = 0

    def tick(self, listing: _platform.HostListing | None) -> None:
        """Renew the lease, poll engines, plan, append records, send orders."""
        self.lease.maintain()
        self._calls.deliver()
        if not self.lease.epoch:
            self._reset()
            return
        view = self._log.state()
        self._presence.observe(listing, view)
        groups = self._own_groups(view)
        self._reports.update(groups)
        self._reports.poll(groups, view)
        self._calls.deliver()
        self._reports.suspect_unresponsive(groups)
        if self._reports.should_hand_over():
            _LOG.warning(
                "{}: most engines do not respond; releasing the lease",
                self.zone,
            )
            self.lease.release(HANDOVER_PAUSE_MS)
            return
        if not self.lease.may_order():
            return
        self._make_plan(view)
        if not self._append_due_records(view):
            self._send_due_orders(view)

    def stop(self) -> None:
        """Release the lease so that a successor can take over."""
        self.lease.release()

    def _reset(self) -> None:
        """Discard the state that only the holder of the lease has."""
        self._reports.reset()
        self._presence.reset()
        self._admission.reset()
        self._planned_inputs = ()

    def _own_groups(
        self, view: agreement.ControlView
    ) -> list[agreement.Group]:
        """Return the groups of this zone."""
        return [
            group
            for group in view.groups_by_id.values()
            if group.zone == self.zone
        ]

    def _model(self, group: agreement.Group) -> config.Model | None:
        return self._configuration.models.get(group.model)

    def _reassign_hosts(
        self, group: agreement.Group, watch: _watch.Watch
    ) -> None:
        """Reassign the hosts of a group that another order took from it."""
        _LOG.warning(
            "{}: hosts were reassigned by another order",
            group.group,
        )
        current = self._log.state().groups_by_id.get(group.group)
        if current is None or current.epoch != group.epoch:
            return
        if current.state == "serving":
            self._append([self._event(current, "reload")])
        elif current.state in ("forming", "loading"):
            self._send_order("assign", current, watch)

    # Planning and records.

    def _make_plan(self, view: agreement.ControlView) -> None:
        """Plan again if the input may have changed."""
        now_ms = self._clock.now_ms()
        # The fold replaces a table on each change, so identity is sufficient.
        tables = (
            view.groups_by_id,
            view.hosts_by_id,
            view.zones_by_name,
            view.drains_by_target,
        )
        inputs = (
            view.config_revision,
            self._presence.change_count,
            tuple(
                (watch.is_drained(now_ms), watch.load_started())
                for watch in self._reports.watches.values()
            ),
        )
        unchanged = inputs == self._planned_inputs and all(
            new is old for new, old in zip(tables, self._planned_tables)
        )
        recent = now_ms - self._planned_ms < REPLAN_INTERVAL_MS
        if unchanged and recent and not self._presence.has_recent_absence():
            return
        self._planned_tables = tables
        self._planned_inputs = inputs
        self._planned_ms = now_ms
        self.plans_made += 1
        if view.config_revision != self._config_revision:
            self._config_revision = view.config_revision
            self._configuration = self._current_configuration()
        fleet = _fleet.build(
            view,
            self._configuration,
            self._presence,
            self._reports.watches,
            now_ms,
        )
        full_plan = formation.make_plan(fleet)
        self._plan = full_plan.for_zone(self.zone)

    def _append_due_records(self, view: agreement.ControlView) -> bool:
        """Append the records that are due; return whether there were any.

        A plan is valid for one view only, so it is discarded after that.
        """
        entries = self._admission.admissions()
        is_first_zone = self.zone == min(self._configuration.zones, default="")
        entries += self._admission.removals(
            view, self._presence, is_first_zone
        )
        planned = _records.for_plan(
            self._plan,
            view,
            self.lease.resource,
            self.lease.epoch,
            self._new_group_id,
        )
        changed = {
            entry.group
            for entry in planned
            if isinstance(entry, agreement.GroupStateChanged)
        }
        now_ms = self._clock.now_ms()
        for group in self._own_groups(view):
            watch = self._reports.watches[group.group]
            event = _watch.next_event(group, watch, now_ms)
            if event and group.group not in changed:
                entries.append(self._event(group, event))
        entries = planned + entries
        if not entries:
            return False
        self._append(entries[: agreement.MAX_BATCH_ENTRIES])
        self._planned_inputs = ()
        return True

    def _new_group_id(self) -> str:
        """Return a globally unique group id."""
        self._group_id_count += 1
        return f"{self.zone}-{self.lease.epoch}-{self._group_id_count}"

    def _event(
        self, group: agreement.Group, event: str
    ) -> agreement.GroupStateChanged:
        return _records.state_changed(group, event, self.lease.epoch)

    def _append(self, entries: list[agreement.Entry]) -> None:
        """Append records; the next view shows which of them took effect."""
        if not self.lease.may_order():
            return
        deadline_ms = self._clock.now_ms() + APPEND_DEADLINE_MS
        try:
            results = self._log.append(entries, deadline_ms)
        except errors.QuetzalwardError as error:
            _LOG.warning(
                "{}: control records not appended: {}", self.zone, error
            )
            return
        for entry, result in zip(entries, results):
            if isinstance(result, agreement.Void):
                _LOG.info(
                    "{}: record {} is void: {}", self.zone, entry, result
                )

    # Orders.

    def _send_due_orders(self, view: agreement.ControlView) -> None:
        """Send the orders that the groups' states and the plan require."""
        now_ms = self._clock.now_ms()
        loads = {
            action.group
            for action in self._plan.of_kind(formation.ActionKind.LOAD)
        }
        for group in self._own_groups(view):
            watch = self._reports.watches[group.group]
            kind = _watch.next_order(group, watch, now_ms)
            if kind is None and self._is_load_due(group, watch, loads):
                kind = "load"
            if kind:
                self._send_order(kind, group, watch)

    def _is_load_due(
        self,
        group: agreement.Group,
        watch: _watch.Watch,
        loads: typing.Collection[str],
    ) -> bool:
        """Return whether to send a load order now."""
        report = watch.report
        complete = _watch.match(group, report) is _watch.Match.COMPLETE
        if not complete or report is None:
            return False
        if not watch.is_order_due("load", self._clock.now_ms()):
            return False
        if group.state == "loading":
            return group.group in loads and not watch.load_started()
        return group.state == "serving" and _orders.lacks_declared_names(
            self._model(group), report.models
        )

    def _send_order(
        self, kind: str, group: agreement.Group, watch: _watch.Watch
    ) -> None:
        """Send an order on a worker, if the lease is still valid there."""
        url = self._presence.engine_url(group.hosts[0].host)
        if url is None or watch.ordering:
            return
        watch.orders_sent += 1
        order = _orders.build(
            kind,
            group,
            self._model(group),
            watch.orders_sent,
            self._log.writer(),
        )
        watch.ordering = True
        watch.ordered_ms_by_kind[kind] = self._clock.now_ms()

        def call() -> _platform.OrderAnswer:
            # Checked again, because the worker may have been delayed.
            if not self.lease.may_order():
                return _platform.OrderAnswer(0, "lease lost")
            self.orders_sent += 1
            return self._engines.order(url, order)

        self._calls.run(
            call,
            lambda answer: self._on_order_answer(kind, group, watch, answer),
        )

    def _on_order_answer(
        self,
        kind: str,
        group: agreement.Group,
        watch: _watch.Watch,
        answer: _platform.OrderAnswer,
    ) -> None:
        """Record the response to an order; reports show its effect."""
        watch.ordering = False
        watch.polled_ms = -_presence.NEVER_MS
        if answer.accepted:
            watch.unloaded |= kind == "unload"
            return
        self.orders_refused += 1
        if kind == "unload" and answer.error == "other_group":
            watch.unloaded = True
        member_by_host = {member.host: member for member in group.hosts}
        member = member_by_host.get(answer.host)
        if member is not None:
            self._presence.suspect(member.host, member.incarnation)
        _LOG.info(
            "{}: {} order was not accepted: status {}, error: {}",
            group.group,
            kind,
            answer.status,
            answer.error,
        )
