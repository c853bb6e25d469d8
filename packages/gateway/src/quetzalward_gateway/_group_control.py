"""Runs the coordinators of the serving groups during a term."""

import collections.abc

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_gateway import _commands
from quetzalward_gateway import _faults
from quetzalward_gateway import _node_reports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings

# A group is not stalled if any node received an event within this time.
STALL_AGE_MS = 220
# Interval at which the state of the fleet is logged.
FLEET_LOG_INTERVAL_MS = 2_000


class GroupControl:
    """Coordinators by service, and the list of groups for the nodes."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        settings: _settings.Settings,
        reports: _node_reports.NodeReports,
    ) -> None:
        """Use the nodes' reports; no coordinator runs before a term."""
        self._runtime = runtime
        self._settings = settings
        self._reports = reports
        self._faults = _faults.FaultLog(runtime.log, runtime.metrics)
        self._sender = _commands.CommandSender(runtime)
        self._coordinator_by_service: dict[str, grouping.Coordinator] = {}
        self._term = 0
        self._groups = coordination.GroupList(0, (), ())
        # By label.
        self._logged_phase_by_group: dict[str, tuple[int, str]] = {}
        self._fleet_logged_ms_by_service: dict[str, clock.Millis] = {}

    def begin_term(self, term: int) -> None:
        """Start without coordinators and with an empty group list."""
        self._term = term
        self._coordinator_by_service.clear()
        self._logged_phase_by_group.clear()
        self._groups = coordination.GroupList(0, (), ())

    def end_term(self) -> None:
        """Stop coordinating."""
        self._coordinator_by_service.clear()
        self._sender.cancel()

    @property
    def is_complete(self) -> bool:
        """Tell whether the group list has all groups."""
        coordinators = self._coordinator_by_service.values()
        return bool(coordinators) and all(
            c.has_adopted_groups for c in coordinators
        )

    def group_list(self) -> coordination.GroupList:
        """Return the groups; the version grows with each change."""
        coordinators = self._coordinator_by_service.items()
        entries = tuple(
            coordination.GroupEntry(
                coordination.group_label(service, group.name),
                group.epoch,
                group.model,
                group.head,
            )
            for service, coordinator in coordinators
            for group in coordinator.open_groups()
        )
        closing = tuple(
            (coordination.group_label(service, group.name), group.epoch)
            for service, coordinator in coordinators
            for group in coordinator.closing_groups()
        )
        known = self._groups
        if (entries, closing) != (known.open, known.closing):
            self._groups = coordination.GroupList(
                known.version + 1, entries, closing
            )
        return self._groups

    def run(self, now_ms: clock.Millis) -> None:
        """Run the coordinator of each service that has an engine."""
        configuration = self._runtime.state.configuration
        if configuration is None:
            return
        group_work = self._reports.total_work(now_ms)
        producing = _keys_by_service(
            work
            for work in group_work
            if 0 <= work.event_age_ms < STALL_AGE_MS
        )
        stalled = _keys_by_service(
            work
            for work in group_work
            if work.stalled
            and (work.event_age_ms < 0 or work.event_age_ms >= STALL_AGE_MS)
        )
        suspects = self._reports.suspects()
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            coordinator = self._get_coordinator(service.name, now_ms)
            coordinator.set_producing_groups(
                frozenset(producing.get(service.name, ()))
            )
            try:
                commands = self._plan(
                    service,
                    service.engine,
                    coordinator,
                    stalled.get(service.name, ()),
                    suspects,
                    now_ms,
                )
            except Exception as error:
                self._faults.record(f"plan {service.name}", error)
                continue
            for command in commands:
                self._sender.send(coordinator, command)

    def _plan(
        self,
        service: fleet.Service,
        engine: fleet.Engine,
        coordinator: grouping.Coordinator,
        stalled: collections.abc.Iterable[tuple[str, int]],
        suspects: collections.abc.Set[str],
        now_ms: clock.Millis,
    ) -> list[grouping.Command]:
        """Return the commands of one service's coordinator."""
        coordinator.configure(engine)
        if self._reports.has_requests():
            coordinator.record_traffic()
        self._update_targets(service.name, coordinator, now_ms)
        commands: list[grouping.Command] = []
        for name, epoch in stalled:
            commands += coordinator.handle_stall(name, epoch, now_ms)
        for target_id in suspects & coordinator.host_by_id.keys():
            commands += coordinator.probe_suspect(target_id, now_ms)
        commands += coordinator.tick(now_ms)
        self._log_phases(service.name, coordinator)
        self._log_fleet(service.name, coordinator, now_ms)
        return commands

    def _get_coordinator(
        self, service: str, now_ms: clock.Millis
    ) -> grouping.Coordinator:
        coordinator = self._coordinator_by_service.get(service)
        if coordinator is None:
            coordinator = grouping.Coordinator(
                self._term,
                now_ms,
                self._settings.first_start
                and not self._runtime.state.request_count,
            )
            self._coordinator_by_service[service] = coordinator
        return coordinator

    def _update_targets(
        self,
        service: str,
        coordinator: grouping.Coordinator,
        now_ms: clock.Millis,
    ) -> None:
        present = set()
        members = {
            member
            for group in coordinator.group_by_name.values()
            for member in group.members
        }
        for target in self._runtime.state.directory.of_service(service):
            if target.withheld and target.id not in members:
                # It must not be chosen for a group.
                continue
            present.add(target.id)
            drained = self._runtime.state.notices.drained(target)
            coordinator.observe(drained, now_ms)
        for target_id in coordinator.host_by_id.keys() - present:
            coordinator.remove_target(target_id)

    def _log_fleet(
        self,
        service: str,
        coordinator: grouping.Coordinator,
        now_ms: clock.Millis,
    ) -> None:
        logged_ms = self._fleet_logged_ms_by_service.get(service, 0)
        if now_ms - logged_ms < FLEET_LOG_INTERVAL_MS:
            return
        self._fleet_logged_ms_by_service[service] = now_ms
        self._runtime.log.event(
            "fleet",
            service=service,
            nodes=len(self._reports.by_node),
            open=len(coordinator.open_groups()),
            groups=len(coordinator.group_by_name),
            spares=coordinator.spares_by_domain(),
        )

    def _log_phases(
        self, service: str, coordinator: grouping.Coordinator
    ) -> None:
        """Log each group whose phase or epoch has changed."""
        for group in coordinator.group_by_name.values():
            label = coordination.group_label(service, group.name)
            phase = (group.epoch, group.phase.value)
            if self._logged_phase_by_group.get(label) == phase:
                continue
            self._logged_phase_by_group[label] = phase
            self._runtime.log.event(
                "group",
                service=service,
                group=group.name,
                epoch=group.epoch,
                phase=group.phase.value,
                domain=group.domain,
                members=list(group.members),
            )


def _keys_by_service(
    group_work: collections.abc.Iterable[coordination.GroupWork],
) -> dict[str, list[tuple[str, int]]]:
    """Return name and epoch of groups with work, by service."""
    keys: dict[str, list[tuple[str, int]]] = {}
    for work in group_work:
        service, name = coordination.split_group_label(work.group)
        keys.setdefault(service, []).append((name, work.epoch))
    return keys
