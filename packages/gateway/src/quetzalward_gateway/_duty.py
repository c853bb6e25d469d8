"""The coordinator's duty: election, groups and the shared view."""

import asyncio
import json
import zlib

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_core import placing
from quetzalward_gateway import _http
from quetzalward_gateway import _peers
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings
from quetzalward_gateway import _sync

TICK_MS = 50
# A node that was silent for so long no longer counts.
NODE_MAX_AGE_MS = 2_500
# Work that a node reported longer ago has mostly ended.
WORK_MAX_AGE_MS = 1_200
# The holder looks for a later term this often.
CHECK_TERM_MS = 1_000
# A group counts as stalled if no node received an event for so long.
STALL_AGE_MS = 220
ORDER_TIMEOUT_MS = 1_200
PROBE_TIMEOUT_MS = 250
CLAIM_RETRY_MS = 250
# The state of the fleet is logged this often.
FLEET_LOG_MS = 2_000
_KEY = "coordinator"
# Below either, a machine leaves the duty to others.
WEAK_CORES = 1.0
WEAK_LINK_MBPS = 50.0


@attrs.define
class _Node:
    status: coordination.Status
    address: fleet.Address
    heard_ms: clock.Millis


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
            stagger + (coordination.WEAK_DELAY_MS if weak else 0),
            runtime.now_ms(),
        )
        self._socket = _peers.PeerSocket(self._received, runtime.log)
        self._client = _http.HttpClient(runtime.now_ms)
        self._node_by_name: dict[str, _Node] = {}
        self._coordinator_by_service: dict[str, grouping.Coordinator] = {}
        self._term = 0
        self._predecessor: fleet.Address | None = None
        self._phase_by_group: dict[str, tuple[int, str]] = {}
        self._orders: set[asyncio.Task[None]] = set()
        self._slowness_by_group: dict[tuple[str, int], float] = {}
        self._sent_ms = 0
        self._fleet_ms = 0
        self._checked_ms = 0
        self._looked_ms = -CLAIM_RETRY_MS
        self._looking: asyncio.Task[None] | None = None

    @property
    def is_holder(self) -> bool:
        """Tell whether this node coordinates."""
        return self._election.holds(self._term)

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
        self._election.heard_peer(now_ms)
        if isinstance(message, coordination.Status):
            self._node_by_name[message.node] = _Node(message, sender, now_ms)
            self._learn_pace(message)
            return
        term = coordination.Term(message.term, message.node, message.address)
        held = self.is_holder
        if not self._election.heard(term, now_ms):
            return
        if held and not self.is_holder:
            self._resign("a later term was heard")
        self._runtime.state.apply_view(message, now_ms)
        store = message.store
        self._election.store_age(
            store.operations_age_ms if store else None, now_ms
        )
        if message.store is not None:
            self._operations.relayed(message.store, echo_ms)
            self._targets.relayed(message.store, echo_ms)

    def _learn_pace(self, status: coordination.Status) -> None:
        """Take a node's measured pauses; it alone sees too few of them."""
        for work in status.work:
            if work.paces:
                key = (work.group, work.epoch)
                known = self._slowness_by_group.get(key, 1.0)
                self._slowness_by_group[key] = placing.smooth(
                    known, work.slowness, work.paces
                )

    def _send(self, now_ms: clock.Millis) -> None:
        term = self._election.term
        state = self._runtime.state
        number = term.number if term else 0
        status = state.status(number, now_ms, self._runtime.boot_ms())
        if self.is_holder:
            own = _Node(status, self._settings.peers, now_ms)
            self._learn_pace(status)
            self._node_by_name[self._settings.node] = own
            view = self._view(now_ms)
            state.apply_view(view, now_ms)
            data = coordination.encode(view)
            for node in self._node_by_name.values():
                if node is not own:
                    echoed = coordination.with_echo(data, node.status.sent_ms)
                    self._socket.send(echoed, node.address)
            if self._predecessor is not None:
                self._socket.send(data, self._predecessor)
        elif term is not None and term.address:
            self._socket.send(
                coordination.encode(status), _address(term.address)
            )

    def _view(self, now_ms: clock.Millis) -> coordination.View:
        """Return what the coordinator tells all nodes."""
        for name, node in list(self._node_by_name.items()):
            if now_ms - node.heard_ms > NODE_MAX_AGE_MS:
                del self._node_by_name[name]
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
        outcomes: list[coordination.Outcome] = []
        for node in self._node_by_name.values():
            if node.status.node != self._settings.node:
                outcomes += node.status.outcomes
                node.status = attrs.evolve(node.status, outcomes=())
        return coordination.View(
            self._settings.node,
            self._term,
            str(self._settings.peers),
            len(self._node_by_name),
            bool(coordinators) and all(c.is_settled for c in coordinators),
            groups,
            closing,
            tuple(self._work(now_ms)),
            tuple(outcomes),
            self._store_view(),
        )

    def _store_view(self) -> coordination.StoreView | None:
        """Return what was last read from the store, for the other nodes."""
        operations = self._operations.position()
        targets = self._targets.position()
        if operations is None or targets is None:
            return None
        return coordination.StoreView(
            *operations, *targets, self._targets.recent()
        )

    def _work(self, now_ms: clock.Millis) -> list[coordination.GroupWork]:
        """Return the work of all nodes by group."""
        by_key: dict[tuple[str, int], coordination.GroupWork] = {}
        for node in self._node_by_name.values():
            age_ms = now_ms - node.heard_ms
            if age_ms > WORK_MAX_AGE_MS:
                continue
            for work in node.status.work:
                event_ms = work.event_age_ms
                if event_ms >= 0:
                    event_ms += age_ms
                key = (work.group, work.epoch)
                known = by_key.get(key)
                if known is None:
                    by_key[key] = attrs.evolve(
                        work,
                        event_age_ms=event_ms,
                        slowness=self._slowness_by_group.get(key, 1.0),
                        paces=0,
                    )
                    continue
                ages = [a for a in (known.event_age_ms, event_ms) if a >= 0]
                by_key[key] = coordination.GroupWork(
                    work.group,
                    work.epoch,
                    known.active + work.active,
                    known.unread_tokens + work.unread_tokens,
                    min(ages) if ages else -1,
                    known.stalled or work.stalled,
                    known.slowness,
                )
        return list(by_key.values())

    # The duty.

    def _follow_term(self, now_ms: clock.Millis) -> None:
        if self._looking is not None and not self._looking.done():
            return
        if self.is_holder:
            due = now_ms - self._checked_ms >= CHECK_TERM_MS
        else:
            due = (
                self._election.should_look(now_ms)
                and now_ms - self._looked_ms >= CLAIM_RETRY_MS
            )
        if due:
            self._checked_ms = self._looked_ms = now_ms
            loop = asyncio.get_running_loop()
            self._looking = loop.create_task(self._look())

    async def _look(self) -> None:
        """Read the newest term and claim the next one if it is due."""
        runtime = self._runtime
        topic = runtime.platform.duty_topic
        held = self.is_holder
        try:
            page = await runtime.platform.log.newest(topic)
            term = self._decode_term(page)
            claim = self._election.read(term, runtime.now_ms())
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
        self._election.claimed(term, now_ms)
        self._term = number
        self._coordinator_by_service.clear()
        self._phase_by_group.clear()
        self._slowness_by_group.clear()
        self._runtime.log.event("duty_taken", term=number)

    def _resign(self, reason: str) -> None:
        self._runtime.log.event("duty_lost", term=self._term, reason=reason)
        self._coordinator_by_service.clear()
        self._node_by_name.clear()
        for task in self._orders:
            task.cancel()

    def _coordinate(self, now_ms: clock.Millis) -> None:
        """Run the coordinators of all services with engines."""
        configuration = self._runtime.state.configuration
        if configuration is None:
            return
        works = self._work(now_ms)
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
        suspects: set[str] = set()
        requests = 0
        for node in self._node_by_name.values():
            suspects.update(node.status.suspects)
            requests += node.status.requests
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            coordinator = self._coordinator(service.name, now_ms)
            coordinator.configure(service.engine)
            coordinator.producing(producing)
            if requests:
                coordinator.requested()
            commands = self._observe(service.name, coordinator, now_ms)
            for work in stalled:
                commands += coordinator.stalled(work.group, work.epoch, now_ms)
            for target_id in suspects & coordinator.host_by_id.keys():
                commands += coordinator.doubt(target_id, now_ms)
            commands += coordinator.tick(now_ms)
            self._log_phases(coordinator)
            if now_ms - self._fleet_ms >= FLEET_LOG_MS:
                self._fleet_ms = now_ms
                self._runtime.log.event(
                    "fleet",
                    service=service.name,
                    open=len(coordinator.open_groups()),
                    groups=len(coordinator.group_by_name),
                    spares=coordinator.spares_by_domain(),
                )
            for command in commands:
                self._start(coordinator, command)

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
    ) -> list[grouping.Command]:
        present = set()
        for target in self._runtime.state.directory.of_service(service):
            present.add(target.id)
            coordinator.observe(target, now_ms)
        for target_id in coordinator.host_by_id.keys() - present:
            coordinator.lose(target_id)
        return []

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

    def _start(
        self, coordinator: grouping.Coordinator, command: grouping.Command
    ) -> None:
        if isinstance(command, grouping.Probe):
            work = self._probe(coordinator, command)
        else:
            work = self._order(coordinator, command)
        task = asyncio.get_running_loop().create_task(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _probe(
        self, coordinator: grouping.Coordinator, command: grouping.Probe
    ) -> None:
        runtime = self._runtime
        target = runtime.state.directory.get(command.target_id)
        if target is None:
            return
        method, path = runtime.platform.report_call()
        runtime.metrics.count("reports")
        report = None
        try:
            answer = await self._client.call(
                target.address,
                method,
                path,
                [],
                b"",
                PROBE_TIMEOUT_MS,
                reuse=False,
            )
            report = runtime.platform.decode_report(answer)
        except _http.CallFailed as error:
            runtime.log.event(
                "report_missing", target=target.id, reason=str(error)
            )
        coordinator.reported(target.id, report, runtime.now_ms())

    async def _order(
        self, coordinator: grouping.Coordinator, order: grouping.Order
    ) -> None:
        runtime = self._runtime
        target = runtime.state.directory.get(order.target_id)
        if target is None or not self.is_holder:
            return
        method, path, body = runtime.platform.order_call(order)
        headers = [(b"content-type", b"application/json")]
        runtime.metrics.count("orders", type(order).__name__)
        reason = ""
        try:
            answer = await self._client.call(
                target.address,
                method,
                path,
                headers,
                body,
                ORDER_TIMEOUT_MS,
                reuse=False,
            )
            result = runtime.platform.decode_order_answer(answer.status)
        except _http.CallFailed as error:
            result = grouping.OrderAnswer.UNREACHABLE
            if error.sent:
                result = grouping.OrderAnswer.UNANSWERED
            reason = str(error)
        runtime.log.event(
            "order",
            order=type(order).__name__,
            result=result.value,
            reason=reason,
            **attrs.asdict(order),
        )
        coordinator.answered(order, result, runtime.now_ms())
