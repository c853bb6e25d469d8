"""Exchanges the nodes' messages, and coordinates while it holds the term."""

import asyncio
import random

import attrs

from quetzalward_core import clock
from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _configuration_exchange
from quetzalward_gateway import _faults
from quetzalward_gateway import _group_control
from quetzalward_gateway import _limit_control
from quetzalward_gateway import _node_reports
from quetzalward_gateway import _operations
from quetzalward_gateway import _peers
from quetzalward_gateway import _quarantine_control
from quetzalward_gateway import _runtime
from quetzalward_gateway import _settings
from quetzalward_gateway import _target_entries
from quetzalward_gateway import _terms

# A quarter of a join, which takes 0.2 s and is the shortest step of a group.
TICK_MS = 50
# Time for which a new holder writes to all nodes that it knows of. After that
# it writes to those that sent it a status.
ANNOUNCE_MS = 3_000

# Peer and term of a clock, which restarts with its process.
_ClockKey = tuple[str, int]


@attrs.frozen
class _Recipient:
    """A node to which the holder sends a message."""

    address: fleet.Address
    known: coordination.Known
    # The recipient's clock that the message echoes.
    echo_ms: int | None


class CoordinatorTask:
    """Takes part in the election; coordinates while it holds the term."""

    def __init__(
        self,
        runtime: _runtime.Runtime,
        settings: _settings.Settings,
        operations: _operations.OperationsFollower,
        targets: _target_entries.TargetsFollower,
    ) -> None:
        """Start without a known term."""
        self._operations = operations
        self._targets = targets
        self._runtime = runtime
        self._settings = settings
        self._faults = _faults.FaultLog(runtime.log, runtime.metrics)
        self._quarantine = _quarantine_control.QuarantineControl(
            runtime, settings.node
        )
        self._limits = _limit_control.LimitControl(
            runtime, settings.node, random.Random(settings.node)
        )
        self._terms = _terms.TermKeeper(runtime, settings, self._quarantine)
        self._socket = _peers.PeerSocket(self._handle_message, runtime.log)
        self._exchange = _configuration_exchange.ConfigurationExchange(
            runtime, settings.node, operations, self._socket.send
        )
        self._reports = _node_reports.NodeReports()
        self._groups = _group_control.GroupControl(
            runtime, settings, self._reports
        )
        self._peers = coordination.PeerAddresses()
        self._holder_clock = coordination.PeerClock()
        self._holder_clock_key: _ClockKey | None = None
        # The term in which this node runs the coordinators; 0 if it does not.
        self._coordinated_term = 0
        self._last_sent_ms = 0
        self._last_relayed_ms = 0

    @property
    def is_holder(self) -> bool:
        """Tell whether this node holds the current term."""
        return self._terms.is_holder

    def begin_leaving(self) -> None:
        """Let another node claim the term, because this node stops.

        As the holder, this node coordinates until that has happened.
        """
        self._terms.election.is_leaving = True
        self._runtime.state.relay_now = True

    async def run(self) -> None:
        """Run the election and exchange messages until cancelled."""
        await self._socket.start(self._settings.peers)
        while True:
            await asyncio.sleep(TICK_MS / clock.MILLIS_PER_SECOND)
            if not self._runtime.state.directory.complete:
                continue
            now_ms = self._runtime.now_ms()
            for step in (
                self._check_term,
                self._coordinate,
                self._send_due,
                self._send_limit_messages,
                self._ask_for_trials,
            ):
                try:
                    step(now_ms)
                except Exception as error:
                    self._faults.record(step.__name__.strip("_"), error)

    def _check_term(self, now_ms: clock.Millis) -> None:
        self._terms.election.node_count = self._runtime.state.node_count
        self._terms.check(now_ms)
        self._follow_term()

    def _coordinate(self, now_ms: clock.Millis) -> None:
        """Decide what is this node's to decide while it holds the term."""
        if not self.is_holder:
            return
        interval_ms = self._runtime.state.message_interval_ms()
        self._groups.run(now_ms)
        self._quarantine.run(now_ms, interval_ms)
        self._limits.run(self._terms.number, now_ms, interval_ms)

    def _send_limit_messages(self, now_ms: clock.Millis) -> None:
        if self.is_holder:
            self._send_grants(now_ms)
        elif self._runtime.state.report_demand_now:
            self._send_limit_report(now_ms)

    def _ask_for_trials(self, now_ms: clock.Millis) -> None:
        """Ask the holder for the trials that requests wait for here."""
        term = self._terms.election.term
        if term is None:
            return
        for request in self._quarantine.trial_requests(term.number):
            if self.is_holder:
                self._grant_trial(request, self._settings.peers, now_ms)
            elif term.address:
                self._send_to(term.address, request)

    def _grant_trial(
        self,
        request: coordination.TrialRequest,
        sender: fleet.Address,
        now_ms: clock.Millis,
    ) -> None:
        """Grant a trial as the holder, if that is possible now."""
        if not self._quarantine.grant_trial(request, now_ms):
            return
        if request.node == self._settings.node:
            self._runtime.state.trials.grant(request.request)
            return
        grant = coordination.TrialGrant(
            self._settings.node, self._terms.number, request.request
        )
        self._socket.send(coordination.encode(grant), sender)

    def _follow_term(self) -> None:
        """Begin or end coordinating when a term has begun or ended."""
        now_ms = self._runtime.now_ms()
        known = self._terms.election.term
        self._quarantine.follow_term(known.number if known else 0, now_ms)
        term = self._terms.number if self.is_holder else 0
        if term == self._coordinated_term:
            return
        if self._coordinated_term:
            self._runtime.log.event("duty_lost", term=self._coordinated_term)
            self._groups.end_term()
            self._quarantine.end_term()
            self._limits.end_term()
        self._reports.clear()
        self._coordinated_term = term
        if term:
            self._groups.begin_term(term)
            self._quarantine.begin_term(now_ms)
            self._limits.begin_term(term, now_ms)
            # The other nodes learn of the term from the first message.
            self._runtime.state.relay_now = True

    # Messages received.

    def _handle_message(
        self,
        message: coordination.Message,
        sender: fleet.Address,
        echo_ms: int | None,
    ) -> None:
        now_ms = self._runtime.now_ms()
        if message.node == self._settings.node:
            return
        election = self._terms.election
        election.record_peer_message(now_ms)
        if isinstance(message, coordination.Status):
            if self.is_holder:
                if not message.known.is_informed:
                    # It has just started and waits for word.
                    self._runtime.state.relay_now = True
                self._reports.record(message, sender, now_ms)
                self._exchange.compare_status(message, sender, now_ms)
            return
        if isinstance(message, coordination.ConfigurationCopy):
            self._operations.apply_copy(message)
            return
        if isinstance(message, coordination.CrashReport):
            if self.is_holder:
                self._quarantine.record(message, now_ms)
            return
        if isinstance(message, coordination.TrialRequest):
            if self.is_holder:
                self._grant_trial(message, sender, now_ms)
            return
        if isinstance(message, coordination.LimitReport):
            if self.is_holder:
                self._limits.record(message, now_ms)
            return
        if isinstance(
            message,
            (
                coordination.QuarantineView,
                coordination.HoldView,
                coordination.TrialGrant,
                coordination.LimitList,
                coordination.PermitGrant,
            ),
        ):
            known = election.term
            if known is not None and known.number == message.term:
                self._apply_from_holder(message, now_ms)
            return
        term = coordination.Term(message.term, message.node, message.address)
        if not election.accept_holder_message(
            term, now_ms, message.is_leaving
        ):
            return
        self._follow_term()
        sent_ms = self._earliest_sent_ms(message, echo_ms)
        if isinstance(message, coordination.View):
            self._peers.record(message.peers, now_ms)
            self._runtime.state.apply_view(message, now_ms)
        store = message.store
        election.update_store_age(
            store.operations.age_ms if store else None, now_ms
        )
        if store is not None:
            self._exchange.compare_view(store, sender, now_ms)
            self._operations.apply_relayed_view(
                store.operations, store.era, sent_ms
            )
            self._targets.set_relayed_deferral(store.removal_deferral_ms)
            self._targets.apply_relayed_view(store.targets, store.era, sent_ms)

    def _apply_from_holder(
        self,
        message: (
            coordination.QuarantineView
            | coordination.HoldView
            | coordination.TrialGrant
            | coordination.LimitList
            | coordination.PermitGrant
        ),
        now_ms: clock.Millis,
    ) -> None:
        """Apply a message of the holder, whose term is known already."""
        if isinstance(message, coordination.QuarantineView):
            self._quarantine.apply_view(message)
        elif isinstance(message, coordination.HoldView):
            self._quarantine.apply_holds(message, now_ms)
        elif isinstance(message, coordination.TrialGrant):
            self._runtime.state.trials.grant(message.request)
        elif isinstance(message, coordination.LimitList):
            self._limits.apply_list(message, now_ms)
        else:
            self._limits.apply_grant(message, now_ms)

    def _earliest_sent_ms(
        self,
        message: coordination.View | coordination.Relay,
        echo_ms: int | None,
    ) -> clock.Millis | None:
        """Return the time, on this node's clock, of sending at the earliest.

        `None` if it is not known, because the holder has answered no status.
        """
        key = (message.node, message.term)
        if key != self._holder_clock_key:
            self._holder_clock = coordination.PeerClock()
            self._holder_clock_key = key
            # The holder answers this node once it has a status from it.
            self._runtime.state.send_message_now = True
        if echo_ms is not None:
            self._holder_clock.record_exchange(echo_ms, message.sent_ms)
        return self._holder_clock.earliest_ms(message.sent_ms)

    # Messages sent.

    def _send_due(self, now_ms: clock.Millis) -> None:
        state = self._runtime.state
        if (
            state.send_message_now
            or now_ms - self._last_sent_ms >= state.message_interval_ms()
        ):
            state.send_message_now = False
            self._last_sent_ms = now_ms
            self._send(now_ms)
        elif self.is_holder and (
            self._quarantine.is_urgent
            or self._limits.is_urgent
            or state.relay_now
            or now_ms - self._last_relayed_ms >= state.relay_interval_ms()
        ):
            state.relay_now = False
            self._last_relayed_ms = now_ms
            self._send_to_nodes(now_ms, None)
            self._send_lists(now_ms)

    def _send(self, now_ms: clock.Millis) -> None:
        """Send a status to the holder or, as the holder, a view to all."""
        term = self._terms.election.term
        state = self._runtime.state
        status = state.take_status(
            term.number if term else 0,
            self._known(),
            now_ms,
            self._runtime.boot_ms(),
        )
        if self.is_holder:
            self._reports.record(status, self._settings.peers, now_ms)
            view = self._view(now_ms)
            state.apply_view(view, now_ms)
            state.relay_now = False
            self._last_relayed_ms = now_ms
            self._send_to_nodes(now_ms, view)
            self._send_lists(now_ms)
        elif term is not None and term.address:
            self._send_to(term.address, status)
            report = self._quarantine.report(term.number, now_ms)
            if report is not None:
                self._send_to(term.address, report)
            self._send_limit_report(now_ms)

    def _send_limit_report(self, now_ms: clock.Millis) -> None:
        """Send what the holder needs to know about limits, if anything."""
        state = self._runtime.state
        state.report_demand_now = False
        term = self._terms.election.term
        if term is None or not term.address:
            return
        report = self._limits.report(
            term.number, now_ms, state.message_interval_ms()
        )
        if report is not None:
            self._send_to(term.address, report)

    def _send_to(self, address: str, message: coordination.Message) -> None:
        """Send a message to an address that another node has named."""
        peer = self._parse_address(address)
        if peer is not None:
            self._socket.send(coordination.encode(message), peer)

    def _parse_address(self, text: str) -> fleet.Address | None:
        try:
            return fleet.parse_address(text)
        except ValueError as error:
            self._runtime.log.event("peer_address_invalid", reason=str(error))
            return None

    def _send_lists(self, now_ms: clock.Millis) -> None:
        """Send blocks, holds and limits to all other nodes if due."""
        term = self._terms.number
        for message in (
            self._quarantine.view_due(term, now_ms),
            self._quarantine.holds_due(term, now_ms),
            self._limits.list_due(term, now_ms),
        ):
            if message is None:
                continue
            data = coordination.encode(message)
            for recipient in self._recipients(now_ms):
                self._socket.send(data, recipient.address)

    def _send_grants(self, now_ms: clock.Millis) -> None:
        """Send permits to the nodes that got some."""
        grants = self._limits.grants_due(self._terms.number, now_ms)
        for node, grant in grants.items():
            report = self._reports.by_node.get(node)
            if report is not None:
                self._socket.send(coordination.encode(grant), report.address)

    def _known(self) -> coordination.Known:
        """Return what this node has applied of the holder's state."""
        term, version = self._runtime.state.known_groups()
        return coordination.Known(
            term,
            version,
            self._operations.offset,
            self._targets.offset,
            self._runtime.store.era.number,
            self._runtime.state.precedence.numbering,
            self._runtime.state.precedence.version,
            int(self._runtime.state.confirmation.is_informed),
        )

    def _send_to_nodes(
        self, now_ms: clock.Millis, view: coordination.View | None
    ) -> None:
        """Send a view, or a relay if it is `None`, to all other nodes.

        Nodes that have acknowledged the same state get the same bytes.
        """
        data_by_known: dict[coordination.Known, bytes] = {}
        for recipient in self._recipients(now_ms):
            known = recipient.known
            data = data_by_known.get(known)
            if data is None:
                message = self._message(known, view)
                data = data_by_known[known] = coordination.encode(message)
            if recipient.echo_ms is not None:
                data = coordination.with_echo(data, recipient.echo_ms)
            self._socket.send(data, recipient.address)

    def _recipients(self, now_ms: clock.Millis) -> list[_Recipient]:
        recipients = [
            _Recipient(
                report.address, report.status.known, report.status.sent_ms
            )
            for name, report in self._reports.by_node.items()
            if name != self._settings.node
        ]
        if now_ms - self._terms.began_ms > ANNOUNCE_MS:
            return recipients
        # Nodes that may not know the term yet.
        others = set(self._peers.current(now_ms))
        if self._terms.previous_address is not None:
            others.add(self._terms.previous_address)
        others.discard(str(self._settings.peers))
        others -= {str(recipient.address) for recipient in recipients}
        addresses = map(self._parse_address, sorted(others))
        return recipients + [
            _Recipient(address, coordination.Known(), None)
            for address in addresses
            if address is not None
        ]

    def _message(
        self, known: coordination.Known, view: coordination.View | None
    ) -> coordination.Message:
        """Return a message without what the recipient has acknowledged."""
        store = self._store_view(known)
        if view is None:
            return coordination.Relay(
                self._settings.node,
                self._terms.number,
                str(self._settings.peers),
                self._runtime.boot_ms(),
                store,
                self._terms.election.is_leaving,
            )
        has_groups = (known.term, known.groups_version) == (
            view.term,
            view.groups_version,
        )
        groups = None if has_groups else view.groups
        return attrs.evolve(
            view,
            groups=groups,
            store=store,
            is_leaving=self._terms.election.is_leaving,
        )

    def _view(self, now_ms: clock.Millis) -> coordination.View:
        """Return the view that the coordinator sends to all nodes."""
        self._reports.expire(now_ms)
        groups = self._groups.group_list()
        position_by_key = {key: i for i, key in enumerate(groups.keys())}
        load = tuple(
            coordination.GroupLoadRow(
                position_by_key[work.group, work.epoch],
                work.active,
                round(work.pending_prefill_tokens),
                work.event_age_ms,
                round(work.slowness, 2),
            )
            for work in self._reports.total_work(now_ms)
            if (work.group, work.epoch) in position_by_key
        )
        addresses = [
            str(report.address) for report in self._reports.by_node.values()
        ]
        nodes = len(addresses)
        if now_ms - self._terms.began_ms <= ANNOUNCE_MS:
            nodes = max(nodes, len(self._peers.current(now_ms)))
        return coordination.View(
            self._settings.node,
            self._terms.number,
            str(self._settings.peers),
            self._runtime.boot_ms(),
            nodes,
            self._groups.is_complete,
            groups.version,
            groups,
            load,
            self._reports.take_outcomes(self._settings.node),
            self._peers.next_listed(addresses),
        )

    def _store_view(
        self, known: coordination.Known
    ) -> coordination.StoreView | None:
        """Return the last reads of the store, for the other nodes."""
        era = self._runtime.store.era.number
        if known.era != era:
            # The recipient has acknowledged nothing of this era.
            known = coordination.Known()
        operations = self._operations.view(known.operations_offset)
        targets = self._targets.view(known.targets_offset)
        if operations is None or targets is None:
            return None
        state = self._runtime.state
        return coordination.StoreView(
            era,
            operations,
            targets,
            self._targets.removal_deferral_ms(),
            state.precedence.numbering,
            state.precedence.version,
            state.confirmation.is_settled(
                state.precedence, self._runtime.now_ms()
            ),
        )
