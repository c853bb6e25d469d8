"""Election of the coordinator, control of the groups and the shared view."""

import asyncio
import json
import zlib

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_gateway import _commands
from quetzalward_gateway import _node_reports
from quetzalward_gateway import _peers
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings
from quetzalward_gateway import _sync

# A quarter of a join, which takes 0.2 s and is the shortest step of a group.
TICK_MS = 50
# Interval at which the holder reads the store for a later term.
TERM_CHECK_INTERVAL_MS = 1_000
# A group is not stalled if any node received an event within this time.
STALL_AGE_MS = 220
# Backoff after a failed read of the store or a failed claim. It is needed
# because all nodes read the store while the holder cannot reach it.
STORE_RETRY_MS = 250
STORE_RETRY_FACTOR = 2
STORE_MAX_RETRY_MS = 2_000
# Interval at which the state of the fleet is logged.
FLEET_LOG_INTERVAL_MS = 2_000
_TERM_KEY = "coordinator"
# A machine below either limit claims a term only if no other node does.
LOW_CAPACITY_CORES = 1.0
LOW_CAPACITY_LINK_MBPS = 50.0


def _parse_address(text: str) -> fleet.Address:
    host, _, port = text.rpartition(":")
    return fleet.Address(host, int(port))


class CoordinatorTask:
    """Takes part in the election; coordinates while it holds the term."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        settings: _settings.Settings,
        operations: _sync.OperationsFollower,
        targets: _sync.TargetsFollower,
    ) -> None:
        """Start without a known term."""
        self._operations = operations
        self._targets = targets
        self._runtime = runtime
        self._settings = settings
        has_low_capacity = (
            settings.cores < LOW_CAPACITY_CORES
            or settings.link_mbps < LOW_CAPACITY_LINK_MBPS
        )
        stagger_ms = zlib.crc32(settings.node.encode())
        stagger_ms %= coordination.MAX_STAGGER_MS
        self._election = coordination.Election(
            settings.node,
            stagger_ms
            + (coordination.LOW_CAPACITY_DELAY_MS if has_low_capacity else 0),
            runtime.now_ms(),
        )
        self._socket = _peers.PeerSocket(self._handle_message, runtime.log)
        self._sender = _commands.CommandSender(runtime)
        self._reports = _node_reports.NodeReports()
        self._coordinator_by_service: dict[str, grouping.Coordinator] = {}
        self._term = 0
        self._previous_holder_address: fleet.Address | None = None
        self._logged_phase_by_group: dict[str, tuple[int, str]] = {}
        self._last_sent_ms = 0
        self._fleet_logged_ms = 0
        self._last_store_read_ms = -STORE_RETRY_MS
        self._store_read_interval_ms = STORE_RETRY_MS
        self._backoff = coordination.Backoff(
            STORE_RETRY_MS, STORE_RETRY_FACTOR
        )
        self._store_read_task: asyncio.Task[None] | None = None

    @property
    def is_holder(self) -> bool:
        """Tell whether this node holds the current term."""
        return self._election.holds_term(self._term)

    async def run(self) -> None:
        """Run the election and exchange messages until cancelled."""
        await self._socket.start(self._settings.peers)
        while True:
            await asyncio.sleep(TICK_MS / clock.MILLIS_PER_SECOND)
            if not self._runtime.state.directory.complete:
                continue
            now_ms = self._runtime.now_ms()
            self._check_term(now_ms)
            if self.is_holder:
                self._run_coordinators(now_ms)
            state = self._runtime.state
            if (
                state.send_message_now
                or now_ms - self._last_sent_ms >= state.message_interval_ms()
            ):
                state.send_message_now = False
                self._last_sent_ms = now_ms
                self._send(now_ms)

    # Messages.

    def _handle_message(
        self,
        message: _peers.Message,
        sender: fleet.Address,
        echo_ms: int | None,
    ) -> None:
        now_ms = self._runtime.now_ms()
        if message.node == self._settings.node:
            return
        self._election.record_peer_message(now_ms)
        if isinstance(message, coordination.Status):
            self._reports.record(message, sender, now_ms)
            return
        term = coordination.Term(message.term, message.node, message.address)
        was_holder = self.is_holder
        if not self._election.accept_holder_message(term, now_ms):
            return
        if was_holder and not self.is_holder:
            self._end_term("received a view of a later term")
        self._runtime.state.apply_view(message, now_ms)
        store = message.store
        self._election.update_store_age(
            store.operations.age_ms if store else None, now_ms
        )
        if message.store is not None:
            self._operations.apply_relayed_view(
                message.store.operations, echo_ms
            )
            self._targets.apply_relayed_view(message.store.targets, echo_ms)

    def _send(self, now_ms: clock.Millis) -> None:
        term = self._election.term
        state = self._runtime.state
        number = term.number if term else 0
        status = state.take_status(number, now_ms, self._runtime.boot_ms())
        if self.is_holder:
            self._reports.record(status, self._settings.peers, now_ms)
            view = self._view(now_ms)
            state.apply_view(view, now_ms)
            data = coordination.encode(view)
            for name, report in self._reports.by_node.items():
                if name != self._settings.node:
                    datagram = coordination.with_echo(
                        data, report.status.sent_ms
                    )
                    self._socket.send(datagram, report.address)
            if self._previous_holder_address is not None:
                self._socket.send(data, self._previous_holder_address)
        elif term is not None and term.address:
            self._socket.send(
                coordination.encode(status), _parse_address(term.address)
            )

    def _view(self, now_ms: clock.Millis) -> coordination.View:
        """Return the view that the coordinator sends to all nodes."""
        self._reports.expire(now_ms)
        coordinators = self._coordinator_by_service.values()
        closing = tuple(
            (group.name, group.epoch)
            for coordinator in coordinators
            for group in coordinator.closing_groups()
        )
        groups = tuple(
            coordination.GroupEntry(
                group.name, group.epoch, group.model, group.head
            )
            for coordinator in coordinators
            for group in coordinator.open_groups()
        )
        return coordination.View(
            self._settings.node,
            self._term,
            str(self._settings.peers),
            len(self._reports.by_node),
            bool(coordinators)
            and all(c.has_adopted_groups for c in coordinators),
            groups,
            closing,
            tuple(self._reports.total_work(now_ms)),
            self._reports.take_outcomes(self._settings.node),
            self._store_view(),
        )

    def _store_view(self) -> coordination.StoreView | None:
        """Return the last reads of the store, for the other nodes."""
        operations = self._operations.view()
        targets = self._targets.view()
        if operations is None or targets is None:
            return None
        return coordination.StoreView(operations, targets)

    # Term.

    def _check_term(self, now_ms: clock.Millis) -> None:
        if (
            self._store_read_task is not None
            and not self._store_read_task.done()
        ):
            return
        interval_ms = (
            TERM_CHECK_INTERVAL_MS
            if self.is_holder
            else self._store_read_interval_ms
        )
        if now_ms - self._last_store_read_ms < interval_ms:
            return
        if self.is_holder or self._election.should_read_store(now_ms):
            self._last_store_read_ms = now_ms
            loop = asyncio.get_running_loop()
            self._store_read_task = loop.create_task(
                self._read_or_claim_term()
            )

    async def _read_or_claim_term(self) -> None:
        """Read the newest term and claim the next one if it is due."""
        runtime = self._runtime
        topic = runtime.platform.election_topic
        was_holder = self.is_holder
        try:
            page = await runtime.platform.store.newest(topic)
            self._backoff.record_success()
            self._store_read_interval_ms = STORE_RETRY_MS
            term = self._decode_term(page)
            claim = self._election.update_from_store(term, runtime.now_ms())
            if was_holder and not self.is_holder:
                self._end_term("read a later term from the store")
            if was_holder or not claim:
                return
            value = {
                "node": self._settings.node,
                "address": str(self._settings.peers),
            }
            offset = await runtime.platform.store.append(
                topic, _TERM_KEY, json.dumps(value).encode(), page.end
            )
        except _ports.StoreError as error:
            runtime.log.event("duty_unknown", reason=str(error))
            self._store_read_interval_ms = self._backoff.record_failure(
                STORE_MAX_RETRY_MS
            )
            return
        self._begin_term(offset + 1)

    def _decode_term(self, page: _ports.Page) -> coordination.Term | None:
        for record in page.records:
            if record.key != _TERM_KEY or record.value is None:
                continue
            try:
                value = json.loads(record.value)
                return coordination.Term(
                    record.offset + 1,
                    str(value["node"]),
                    str(value["address"]),
                )
            except (ValueError, KeyError, TypeError) as error:
                self._runtime.log.event("duty_unreadable", reason=str(error))
        return None

    def _begin_term(self, number: int) -> None:
        now_ms = self._runtime.now_ms()
        term = coordination.Term(
            number, self._settings.node, str(self._settings.peers)
        )
        # The previous holder sends this node no status and may have lost the
        # store, so it learns only from a view that its term has ended.
        previous_term = self._election.term
        self._previous_holder_address = None
        if (
            previous_term is not None
            and previous_term.node != self._settings.node
        ):
            self._previous_holder_address = _parse_address(
                previous_term.address
            )
        self._election.record_claim(term, now_ms)
        self._term = number
        self._coordinator_by_service.clear()
        self._logged_phase_by_group.clear()
        self._reports.clear()
        self._runtime.log.event("duty_taken", term=number)

    def _end_term(self, reason: str) -> None:
        self._runtime.log.event("duty_lost", term=self._term, reason=reason)
        self._coordinator_by_service.clear()
        self._reports.clear()
        self._sender.cancel()

    def _run_coordinators(self, now_ms: clock.Millis) -> None:
        """Run the coordinator of each service that has an engine."""
        configuration = self._runtime.state.configuration
        if configuration is None:
            return
        group_work = self._reports.total_work(now_ms)
        producing = frozenset(
            (work.group, work.epoch)
            for work in group_work
            if 0 <= work.event_age_ms < STALL_AGE_MS
        )
        stalled = [
            work
            for work in group_work
            if work.stalled
            and (work.event_age_ms < 0 or work.event_age_ms >= STALL_AGE_MS)
        ]
        suspects = self._reports.suspects()
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            coordinator = self._get_coordinator(service.name, now_ms)
            coordinator.configure(service.engine)
            coordinator.set_producing_groups(producing)
            if self._reports.has_requests():
                coordinator.record_traffic()
            self._update_targets(service.name, coordinator, now_ms)
            commands: list[grouping.Command] = []
            for work in stalled:
                commands += coordinator.handle_stall(
                    work.group, work.epoch, now_ms
                )
            for target_id in suspects & coordinator.host_by_id.keys():
                commands += coordinator.probe_suspect(target_id, now_ms)
            commands += coordinator.tick(now_ms)
            self._log_phases(coordinator)
            self._log_fleet(service.name, coordinator, now_ms)
            for command in commands:
                self._sender.send(coordinator, command)

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
        for target in self._runtime.state.directory.of_service(service):
            present.add(target.id)
            coordinator.observe(target, now_ms)
        for target_id in coordinator.host_by_id.keys() - present:
            coordinator.remove_target(target_id)

    def _log_fleet(
        self,
        service: str,
        coordinator: grouping.Coordinator,
        now_ms: clock.Millis,
    ) -> None:
        if now_ms - self._fleet_logged_ms < FLEET_LOG_INTERVAL_MS:
            return
        self._fleet_logged_ms = now_ms
        self._runtime.log.event(
            "fleet",
            service=service,
            open=len(coordinator.open_groups()),
            groups=len(coordinator.group_by_name),
            spares=coordinator.spares_by_domain(),
        )

    def _log_phases(self, coordinator: grouping.Coordinator) -> None:
        """Log each group whose phase or epoch has changed."""
        for group in coordinator.group_by_name.values():
            phase = (group.epoch, group.phase.value)
            if self._logged_phase_by_group.get(group.name) == phase:
                continue
            self._logged_phase_by_group[group.name] = phase
            self._runtime.log.event(
                "group",
                group=group.name,
                epoch=group.epoch,
                phase=group.phase.value,
                domain=group.domain,
                members=list(group.members),
            )
