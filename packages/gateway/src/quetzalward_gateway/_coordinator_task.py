"""The coordinator's duty: election, groups and the shared view."""

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

# Half of the shortest step of a group, a join of 0.2 s, twice over.
TICK_MS = 50
# The holder looks for a later term this often.
CHECK_TERM_MS = 1_000
# A group counts as stalled if no node received an event for so long.
STALL_AGE_MS = 220
# A failed look at the store is repeated after this, then less often: while
# the store is down, all nodes look for a holder that reaches it.
CLAIM_RETRY_MS = 250
CLAIM_RETRY_FACTOR = 2
CLAIM_MAX_RETRY_MS = 2_000
# The state of the fleet is logged this often.
FLEET_LOG_MS = 2_000
_KEY = "coordinator"
# Below either, a machine leaves the duty to others.
WEAK_CORES = 1.0
WEAK_LINK_MBPS = 50.0


def _address(text: str) -> fleet.Address:
    host, _, port = text.rpartition(":")
    return fleet.Address(host, int(port))


class DutyTask:
    """Holds or follows the coordinator's duty."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        settings: _settings.Settings,
        operations: _sync.OperationsFollower,
        targets: _sync.TargetsFollower,
    ) -> None:
        """Start as a follower that knows no term."""
        self._operations = operations
        self._targets = targets
        self._runtime = runtime
        self._settings = settings
        weak = (
            settings.cores < WEAK_CORES or settings.link_mbps < WEAK_LINK_MBPS
        )
        stagger = zlib.crc32(settings.node.encode())
        stagger %= coordination.MAX_STAGGER_MS
        self._election = coordination.Election(
            settings.node,
            stagger + (coordination.LOW_CAPACITY_DELAY_MS if weak else 0),
            runtime.now_ms(),
        )
        self._socket = _peers.PeerSocket(self._received, runtime.log)
        self._sender = _commands.OrderSender(runtime)
        self._reports = _node_reports.NodeReports()
        self._coordinator_by_service: dict[str, grouping.Coordinator] = {}
        self._term = 0
        self._predecessor: fleet.Address | None = None
        self._phase_by_group: dict[str, tuple[int, str]] = {}
        self._sent_ms = 0
        self._fleet_ms = 0
        self._looked_ms = -CLAIM_RETRY_MS
        self._look_pause_ms = CLAIM_RETRY_MS
        self._backoff = coordination.Backoff(
            CLAIM_RETRY_MS, CLAIM_RETRY_FACTOR
        )
        self._looking: asyncio.Task[None] | None = None

    @property
    def is_holder(self) -> bool:
        """Tell whether this node coordinates."""
        return self._election.holds_term(self._term)

    async def run(self) -> None:
        """Take part until cancelled."""
        await self._socket.start(self._settings.peers)
        while True:
            await asyncio.sleep(TICK_MS / clock.MILLIS_PER_SECOND)
            if not self._runtime.state.directory.complete:
                continue
            now_ms = self._runtime.now_ms()
            self._follow_term(now_ms)
            if self.is_holder:
                self._coordinate(now_ms)
            state = self._runtime.state
            if state.is_urgent or now_ms - self._sent_ms >= state.message_ms():
                state.is_urgent = False
                self._sent_ms = now_ms
                self._send(now_ms)

    # Messages.

    def _received(
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
            self._reports.take(message, sender, now_ms)
            return
        term = coordination.Term(message.term, message.node, message.address)
        held = self.is_holder
        if not self._election.accept_holder_message(term, now_ms):
            return
        if held and not self.is_holder:
            self._resign("a later term was heard")
        self._runtime.state.apply_view(message, now_ms)
        store = message.store
        self._election.update_store_age(
            store.operations.age_ms if store else None, now_ms
        )
        if message.store is not None:
            self._operations.relayed(message.store.operations, echo_ms)
            self._targets.relayed(message.store.targets, echo_ms)

    def _send(self, now_ms: clock.Millis) -> None:
        term = self._election.term
        state = self._runtime.state
        number = term.number if term else 0
        status = state.status(number, now_ms, self._runtime.boot_ms())
        if self.is_holder:
            self._reports.take(status, self._settings.peers, now_ms)
            view = self._view(now_ms)
            state.apply_view(view, now_ms)
            data = coordination.encode(view)
            for name, report in self._reports.by_node.items():
                if name != self._settings.node:
                    echoed = coordination.with_echo(
                        data, report.status.sent_ms
                    )
                    self._socket.send(echoed, report.address)
            if self._predecessor is not None:
                self._socket.send(data, self._predecessor)
        elif term is not None and term.address:
            self._socket.send(
                coordination.encode(status), _address(term.address)
            )

    def _view(self, now_ms: clock.Millis) -> coordination.View:
        """Return what the coordinator tells all nodes."""
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
            tuple(self._reports.work(now_ms)),
            self._reports.take_outcomes(self._settings.node),
            self._store_view(),
        )

    def _store_view(self) -> coordination.StoreView | None:
        """Return what was last read from the store, for the other nodes."""
        operations = self._operations.view()
        targets = self._targets.view()
        if operations is None or targets is None:
            return None
        return coordination.StoreView(operations, targets)

    # The duty.

    def _follow_term(self, now_ms: clock.Millis) -> None:
        if self._looking is not None and not self._looking.done():
            return
        pause_ms = CHECK_TERM_MS if self.is_holder else self._look_pause_ms
        if now_ms - self._looked_ms < pause_ms:
            return
        if self.is_holder or self._election.should_read_store(now_ms):
            self._looked_ms = now_ms
            loop = asyncio.get_running_loop()
            self._looking = loop.create_task(self._look())

    async def _look(self) -> None:
        """Read the newest term and claim the next one if it is due."""
        runtime = self._runtime
        topic = runtime.platform.duty_topic
        held = self.is_holder
        try:
            page = await runtime.platform.log.newest(topic)
            self._backoff.record_success()
            self._look_pause_ms = CLAIM_RETRY_MS
            term = self._decode_term(page)
            claim = self._election.update_from_store(term, runtime.now_ms())
            if held and not self.is_holder:
                self._resign("a later term was read")
            if held or not claim:
                return
            value = {
                "node": self._settings.node,
                "address": str(self._settings.peers),
            }
            offset = await runtime.platform.log.append(
                topic, _KEY, json.dumps(value).encode(), page.end
            )
        except _ports.StoreError as error:
            runtime.log.event("duty_unknown", reason=str(error))
            self._look_pause_ms = self._backoff.record_failure(
                CLAIM_MAX_RETRY_MS
            )
            return
        self._begin(offset + 1)

    def _decode_term(self, page: _ports.Page) -> coordination.Term | None:
        for record in page.records:
            if record.key != _KEY or record.value is None:
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

    def _begin(self, number: int) -> None:
        now_ms = self._runtime.now_ms()
        term = coordination.Term(
            number, self._settings.node, str(self._settings.peers)
        )
        # The holder before does not report to this node and may be without
        # the store; a view of a later term is how it learns of its end.
        previous = self._election.term
        self._predecessor = None
        if previous is not None and previous.node != self._settings.node:
            self._predecessor = _address(previous.address)
        self._election.record_claim(term, now_ms)
        self._term = number
        self._coordinator_by_service.clear()
        self._phase_by_group.clear()
        self._reports.clear()
        self._runtime.log.event("duty_taken", term=number)

    def _resign(self, reason: str) -> None:
        self._runtime.log.event("duty_lost", term=self._term, reason=reason)
        self._coordinator_by_service.clear()
        self._reports.clear()
        self._sender.cancel()

    def _coordinate(self, now_ms: clock.Millis) -> None:
        """Run the coordinators of all services with engines."""
        configuration = self._runtime.state.configuration
        if configuration is None:
            return
        works = self._reports.work(now_ms)
        producing = frozenset(
            (work.group, work.epoch)
            for work in works
            if 0 <= work.event_age_ms < STALL_AGE_MS
        )
        stalled = [
            work
            for work in works
            if work.stalled
            and (work.event_age_ms < 0 or work.event_age_ms >= STALL_AGE_MS)
        ]
        suspects = self._reports.suspects()
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            coordinator = self._coordinator(service.name, now_ms)
            coordinator.configure(service.engine)
            coordinator.set_producing_groups(producing)
            if self._reports.has_requests():
                coordinator.record_traffic()
            self._observe(service.name, coordinator, now_ms)
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
                self._sender.start(coordinator, command)

    def _coordinator(
        self, service: str, now_ms: clock.Millis
    ) -> grouping.Coordinator:
        coordinator = self._coordinator_by_service.get(service)
        if coordinator is None:
            coordinator = grouping.Coordinator(
                self._term,
                now_ms,
                self._settings.first_start
                and not self._runtime.state.requests,
            )
            self._coordinator_by_service[service] = coordinator
        return coordinator

    def _observe(
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
        if now_ms - self._fleet_ms < FLEET_LOG_MS:
            return
        self._fleet_ms = now_ms
        self._runtime.log.event(
            "fleet",
            service=service,
            open=len(coordinator.open_groups()),
            groups=len(coordinator.group_by_name),
            spares=coordinator.spares_by_domain(),
        )

    def _log_phases(self, coordinator: grouping.Coordinator) -> None:
        """Log each group that changed its phase or epoch."""
        for group in coordinator.group_by_name.values():
            phase = (group.epoch, group.phase.value)
            if self._phase_by_group.get(group.name) == phase:
                continue
            self._phase_by_group[group.name] = phase
            self._runtime.log.event(
                "group",
                group=group.name,
                epoch=group.epoch,
                phase=group.phase.value,
                domain=group.domain,
                members=list(group.members),
            )
