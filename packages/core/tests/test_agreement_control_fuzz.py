"""Fuzz test of the control fold, leases and groups against oracles."""

import math
import typing
import unittest

import attrs
from hypothesis import stateful
from hypothesis import strategies

import agreement_node
import agreement_oracle
import agreement_world
from quetzalward_core import agreement

LEASE = agreement_node.LEASE
DURATION_MS = agreement_node.DURATION_MS
HOSTS = tuple(f"h{number}" for number in range(5))
GROUPS = ("g1", "g2", "g3")
EVENTS = sorted(
    {
        event
        for by_event in agreement_oracle.NEXT_STATE_BY_EVENT_BY_STATE.values()
        for event in by_event
    }
)
NODES = agreement_world.NODES
FAULT = agreement_world.FAULT


@attrs.frozen
class Order:
    """An order that the engine accepted."""

    epoch: int
    sent_ms: int
    paused: bool


class ControlMachine(agreement_world.FaultMachine):
    """Nodes that append, read, pause, restart and lose their lease."""

    fold_class = agreement.ControlState

    def prepare(self) -> None:
        self.oracle = agreement_oracle.ControlOracle()
        self.log.result_listeners.append(self.oracle.check)
        self.orders: list[Order] = []

    def make_node(self, number: int, start: int) -> agreement_node.SimNode:
        return agreement_node.SimNode(self.log, number, start)

    @stateful.rule(number=NODES)
    def advance_to_the_claim(self, number: int) -> None:
        node = self.nodes[number]
        lease = node.lease()
        if lease is None:
            return
        due = (
            agreement.with_clock_margin(lease.duration_ms)
            + node.watch.observed_ms
        )
        due_ms = math.ceil(due / node.clock_rate)
        self.log.time_ms = max(self.log.time_ms, due_ms)

    # Entries.

    @stateful.rule(number=NODES, fault=FAULT)
    def take_over(self, number: int, fault: str) -> None:
        """Claim the lease at the earliest time that the rules allow."""
        node = self.nodes[number]
        node.read(100)
        self.advance_to_the_claim(number)
        self.claim(number, fault)
        node.read(100)

    @stateful.rule(first=NODES, second=NODES)
    def hand_over(self, first: int, second: int) -> None:
        """A holder stops after a renewal, and a challenger takes over."""
        self.manage(first, 1, ["none"])
        self.nodes[second].read(100)
        self.take_over(second, "none")

    @stateful.initialize(admitted=strategies.integers(3, len(HOSTS)))
    def admit_hosts(self, admitted: int) -> None:
        node = self.nodes[0]
        hosts = HOSTS[:admitted]
        node.submit("none", *(agreement.HostAdmitted(h, 1) for h in hosts))
        for other in self.nodes:
            other.read(10)

    @stateful.rule(
        number=NODES,
        turns=strategies.integers(1, 7),
        faults=strategies.lists(FAULT, min_size=7, max_size=7),
    )
    def manage(self, number: int, turns: int, faults: list[str]) -> None:
        """Claim or renew every 1.5 s, read and order, as a healthy node."""
        for fault in faults[:turns]:
            self.claim(number, fault)
            self.nodes[number].read(100)
            self.log.time_ms += 1_500
            self.renew(number, fault)
            self.nodes[number].read(100)
            self.order_at_once(number)

    @stateful.rule(number=NODES, fault=FAULT)
    def claim(self, number: int, fault: str) -> None:
        node = self.nodes[number]
        lease = node.lease()
        if node.held is not None:
            return
        if not node.watch.may_claim(lease, node.now_ms()):
            return
        expected = lease.renewed if lease else 0
        entry = agreement.LeaseClaimed(
            LEASE, node.writer.name, expected, DURATION_MS
        )
        self.submit_lease(node, fault, entry)

    @stateful.rule(number=NODES, fault=FAULT)
    def renew(self, number: int, fault: str) -> None:
        node = self.nodes[number]
        if node.held is not None:
            entry = agreement.LeaseRenewed(
                LEASE, node.writer.name, node.held.epoch
            )
            self.submit_lease(node, fault, entry)

    def submit_lease(
        self, node: agreement_node.SimNode, fault: str, entry: agreement.Entry
    ) -> None:
        started_ms = node.now_ms()
        seq = node.submit(fault, entry)
        if seq is not None:
            node.started_ms_by_seq[seq] = started_ms

    @stateful.rule(number=NODES, fault=FAULT)
    def release(self, number: int, fault: str) -> None:
        node = self.nodes[number]
        if node.held is None or node.writer.pending is not None:
            return
        entry = agreement.LeaseReleased(
            LEASE, node.writer.name, node.held.epoch
        )
        if node.submit(fault, entry) is not None:
            node.held = None

    @stateful.rule(
        number=NODES,
        fault=FAULT,
        wanted=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(GROUPS),
                strategies.lists(strategies.sampled_from(HOSTS), max_size=3),
            ),
            min_size=1,
            max_size=3,
        ),
        stale=strategies.integers(0, 9),
    )
    def form(
        self,
        number: int,
        fault: str,
        wanted: list[tuple[str, list[str]]],
        stale: int,
    ) -> None:
        """Form groups in one batch; their hosts may overlap."""
        node = self.nodes[number]
        if node.lease() is None:
            self.claim(number, fault)
            node.read(100)
        hosts_by_id = node.reader.fold.view().hosts_by_id
        lease = node.lease()
        epoch = lease.epoch if lease and stale else stale
        entries = []
        for group, hosts in wanted:
            known = [hosts_by_id.get(host) for host in hosts]
            members = tuple(
                agreement.GroupHost(name, host.incarnation if host else 1)
                for name, host in zip(hosts, known, strict=True)
            )
            entries.append(
                agreement.GroupFormed(
                    group, "m", "d", "a", members, LEASE, epoch
                )
            )
        node.submit(fault, *entries)

    @stateful.rule(
        number=NODES,
        fault=FAULT,
        choices=strategies.lists(
            strategies.integers(0, 20), min_size=1, max_size=5
        ),
    )
    def step_groups(self, number: int, fault: str, choices: list[int]) -> None:
        """Append state change events, mostly ones that the chart accepts."""
        node = self.nodes[number]
        if choices[0] % 3:
            node.read(100)
        lease = node.lease()
        groups = list(node.reader.fold.view().groups_by_id.values())
        entries = []
        for choice in choices if groups else ():
            group = groups[choice % len(groups)]
            event = EVENTS[choice % len(EVENTS)]
            if choice % 4:
                listed = sorted(
                    agreement_oracle.NEXT_STATE_BY_EVENT_BY_STATE[group.state]
                )
                event = listed[choice % len(listed)]
            epoch = lease.epoch if lease else 0
            entries.append(
                agreement.GroupStateChanged(
                    group.group, group.epoch, event, epoch
                )
            )
        if entries:
            node.submit(fault, *entries)
            node.read(100)

    @stateful.rule(
        number=NODES,
        hosts=strategies.permutations(HOSTS),
        choices=strategies.lists(
            strategies.integers(0, 20), min_size=1, max_size=12
        ),
    )
    def manage_groups(
        self, number: int, hosts: list[str], choices: list[int]
    ) -> None:
        """Form groups and change their states, as a holder without faults."""
        node = self.nodes[number]
        self.take_over(number, "none")
        wanted = [("g1", hosts[:2]), ("g2", hosts[1:3]), ("g3", hosts[3:])]
        self.form(number, "none", wanted, 1)
        for choice in choices:
            node.read(100)
            self.step_groups(number, "none", [choice])

    @stateful.rule(number=NODES, fault=FAULT, data=strategies.data())
    def operate(self, number: int, fault: str, data: typing.Any) -> None:
        """Append entries that operators or the host list cause."""
        node = self.nodes[number]
        view = node.reader.fold.view()
        zone = view.zones_by_name.get("a")
        drain = view.drains_by_target.get("t")
        # Sometimes the basis is not the last change.
        shift = data.draw(strategies.sampled_from((0, 0, 1)))
        host = data.draw(strategies.sampled_from(HOSTS[2:]))
        incarnation = data.draw(strategies.integers(1, 3))
        nonce = data.draw(strategies.sampled_from(("1", "2")))
        entries: list[agreement.Entry] = [
            agreement.ConfigProposed(
                view.config_revision - shift, {"by": node.name}, node.name
            ),
            agreement.ZoneSet("a", "out", 0, node.name),
            agreement.ZoneSet(
                "a", "in", (zone.changed if zone else 0) + shift, "o"
            ),
            agreement.TargetDrainSet("t", True, 0, "o"),
            agreement.TargetDrainSet(
                "t", False, (drain.changed if drain else 0) + shift, "o"
            ),
            agreement.HostAdmitted(host, incarnation),
            agreement.HostAdmitted(host, incarnation),
            agreement.HostRemoved(host, incarnation),
            agreement.NodeJoined("n", nonce, "a", "r", "c", "p", "o"),
            agreement.NodeLeft("n", nonce),
            agreement.NodeExpired("n", nonce),
            agreement.CallUnknown("x/1", "c", "k"),
        ]
        chosen = data.draw(
            strategies.lists(
                strategies.sampled_from(entries), min_size=1, max_size=4
            )
        )
        node.submit(fault, *chosen)

    # Orders to an engine that honours the fencing token.

    @stateful.rule(number=NODES)
    def check_order(self, number: int) -> None:
        node = self.nodes[number]
        if node.may_order():
            assert node.held is not None
            node.checked_epochs.append(node.held.epoch)

    @stateful.rule(number=NODES)
    def send_checked_order(self, number: int) -> None:
        """Send an order after a pause of any length between check and send."""
        node = self.nodes[number]
        if node.checked_epochs:
            self.submit_order_to_engine(node.checked_epochs.pop(0), True)

    @stateful.rule(number=NODES)
    def order_at_once(self, number: int) -> None:
        node = self.nodes[number]
        if node.may_order():
            assert node.held is not None
            assert self.submit_order_to_engine(
                node.held.epoch, False
            ), "order with the current epoch refused"

    def submit_order_to_engine(self, epoch: int, paused: bool) -> bool:
        if self.orders and epoch < max(o.epoch for o in self.orders):
            return False
        now_ms = self.log.time_ms
        for order in self.orders:
            if order.epoch < epoch and not order.paused and not paused:
                # The earlier order must have expired also on an engine that
                # ignores the token.
                ended_ms = order.sent_ms + agreement.ORDER_LIFETIME_MS
                assert ended_ms <= now_ms, "orders of two holders overlap"
        self.orders.append(Order(epoch, now_ms, paused))
        return True

    @stateful.invariant()
    def one_holder(self) -> None:
        holders = [
            node.name
            for node in self.nodes
            if node.held is not None and node.held.is_unexpired(node.now_ms())
        ]
        assert len(holders) <= 1, f"two holders: {holders}"

    @stateful.invariant()
    def no_host_in_two_groups(self) -> None:
        view = self.log.reference.view()
        hosts = [
            member.host
            for group in view.groups_by_id.values()
            for member in group.hosts
        ]
        assert len(hosts) == len(set(hosts)), f"host in two groups: {hosts}"
        for host in hosts:
            assert view.group_of_host(host) is not None


class ControlFuzzTest(unittest.TestCase):
    """Checks R2, R10, lease exclusivity and equal folds under drawn faults."""

    def test_control(self) -> None:
        agreement_world.run_machine(ControlMachine)


if __name__ == "__main__":
    unittest.main()
