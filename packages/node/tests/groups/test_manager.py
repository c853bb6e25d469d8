"""Tests of the group manager against a simulated platform."""

import unittest

import attrs
from groups import fakes

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_node.groups import _platform

TICK_MS = 500


class ManagerTestCase(unittest.TestCase):
    """Two nodes in two zones, with hosts for two replicas and a spare."""

    replicas = 2

    def setUp(self) -> None:
        """Publish a configuration with one model."""
        self.clock = clock.ManualClock(100_000)
        self.store = fakes.Store()
        self.platform = fakes.Platform(self.clock, 2, 1, 5)
        configuration = config.Configuration(
            zones={"z0": config.Zone("r"), "z1": config.Zone("r")},
            models={"m": config.Model(4, self.replicas)},
        )
        self.store.append(
            "operator",
            1,
            [
                agreement.ConfigProposed(
                    0, config.to_document(configuration), "op"
                )
            ],
        )
        self.nodes = [
            fakes.Node(
                self.store, self.platform, f"n{z}", f"z{z}", ("z0", "z1")
            )
            for z in range(2)
        ]

    def run_for(self, duration_ms: int) -> None:
        """Advance the time by ticks of all nodes, checking the fold."""
        for _ in range(duration_ms // TICK_MS):
            for node in self.nodes:
                node.tick()
            self.clock.advance(TICK_MS)
            self.check_fold()

    def check_fold(self) -> None:
        """Check R2 in the fold: one group per host, one domain per group."""
        seen: set[str] = set()
        for group in self.groups():
            names = {member.host for member in group.hosts}
            self.assertFalse(seen & names)
            seen |= names
            domains = {self.platform.hosts[n].row.domain for n in names}
            self.assertEqual(domains, {group.domain})

    def groups(self) -> list[agreement.Group]:
        """Return the groups of the fold."""
        return list(self.store.fold.view().groups_by_id.values())

    def states(self) -> list[str]:
        """Return the sorted states of the groups."""
        return sorted(group.state for group in self.groups())

    def serving(self) -> list[agreement.Group]:
        """Return groups that serve in the fold and at their engines."""
        found = []
        for group in self.groups():
            report = self.platform.report(group.hosts[0].host)
            wanted = {m.host: m.incarnation for m in group.hosts}
            if (
                group.state == "serving"
                and report
                and report.epoch == group.epoch
                and report.hosts == wanted
                and report.state == "warm"
            ):
                found.append(group)
        return found


class FormationTest(ManagerTestCase):
    """Guards against groups that are not formed or formed incorrectly."""

    def test_forms_loads_and_serves(self) -> None:
        self.run_for(30_000)
        self.assertEqual(len(self.serving()), 2)
        zones = {group.zone for group in self.serving()}
        self.assertEqual(zones, {"z0", "z1"})

    def test_each_zone_is_managed_by_its_own_node(self) -> None:
        self.run_for(30_000)
        leases = self.store.fold.view().leases_by_resource
        holders = {name: lease.holder for name, lease in leases.items()}
        self.assertEqual(holders, {"groups/z0": "n0", "groups/z1": "n1"})

    def test_every_order_follows_its_record(self) -> None:
        """An order without a record could outlive its sender's lease."""
        self.run_for(30_000)
        epochs = {group.group: group.epoch for group in self.groups()}
        for order in self.platform.orders:
            self.assertEqual(order.fencing, epochs[order.group])

    def test_nothing_is_sent_once_all_serve(self) -> None:
        self.run_for(30_000)
        orders = len(self.platform.orders)
        records = [
            entry
            for node in self.nodes
            for entry in node.log.appended
            if not isinstance(entry, agreement.LeaseRenewed)
        ]
        self.run_for(30_000)
        self.assertEqual(len(self.platform.orders), orders)
        later = [
            entry
            for node in self.nodes
            for entry in node.log.appended
            if not isinstance(entry, agreement.LeaseRenewed)
        ]
        self.assertEqual(later, records)

    def test_a_paused_host_is_not_admitted(self) -> None:
        """The list contains paused hosts; a group with one never serves."""
        self.platform.hosts["z0-d0-h0"].alive = False
        self.run_for(30_000)
        self.assertNotIn("z0-d0-h0", self.store.fold.view().hosts_by_id)
        self.assertEqual(len(self.serving()), 2)


class RepairTest(ManagerTestCase):
    """Guards against groups that stay broken or are broken needlessly."""

    def setUp(self) -> None:
        """Start with two serving groups."""
        super().setUp()
        self.run_for(30_000)
        self.group = next(g for g in self.groups() if g.zone == "z0")
        self.first = self.group.hosts[0].host
        self.last = self.group.hosts[-1].host

    def assert_recovered(self, epoch_changes: bool) -> None:
        """Check that two groups serve, and whether z0 has a new epoch."""
        self.assertEqual(len(self.serving()), 2)
        now = next(g for g in self.groups() if g.zone == "z0")
        self.assertEqual(now.epoch != self.group.epoch, epoch_changes)

    def test_lost_host_is_replaced_by_the_spare(self) -> None:
        self.platform.state_by_host[self.last] = "gone"
        self.run_for(30_000)
        self.assert_recovered(epoch_changes=True)

    def test_lost_first_host_is_replaced(self) -> None:
        self.platform.state_by_host[self.first] = "gone"
        self.run_for(30_000)
        self.assert_recovered(epoch_changes=True)

    def test_paused_host_that_is_still_listed_is_replaced(self) -> None:
        """Only the engine's report shows a paused host."""
        self.platform.hosts[self.last].alive = False
        self.run_for(40_000)
        self.assert_recovered(epoch_changes=True)
        self.assertNotIn(self.last, self.store.fold.view().hosts_by_id)

    def test_short_absence_changes_nothing(self) -> None:
        self.platform.state_by_host[self.last] = "gone"
        self.run_for(4_000)
        self.platform.state_by_host.pop(self.last)
        self.run_for(20_000)
        self.assert_recovered(epoch_changes=False)

    def test_restarted_host_needs_a_new_epoch(self) -> None:
        self.platform.restart(self.last)
        self.run_for(30_000)
        self.assert_recovered(epoch_changes=True)

    def test_stale_host_list_ends_no_group(self) -> None:
        self.platform.list_age_ms = 61_000
        self.platform.state_by_host[self.last] = "gone"
        self.run_for(20_000)
        self.assertEqual(self.states(), ["serving", "serving"])

    def test_stale_order_that_took_the_hosts_is_undone(self) -> None:
        """An engine that ignores fencing executes a late order."""
        order = next(o for o in self.platform.orders if o.kind == "assign")
        group = next(g for g in self.groups() if g.group == order.group)
        self.platform.hosts[group.hosts[0].host].fencing = 0
        stale = order_for_group(order, "old-group", 1)
        self.platform.order(group.hosts[0].host, stale)
        self.assertEqual(len(self.serving()), 1)
        self.run_for(40_000)
        self.assertEqual(len(self.serving()), 2)

    def test_stale_order_that_took_one_member_is_undone(self) -> None:
        member = self.group.hosts[-1]
        self.platform.hosts[member.host].target = "old-group"
        self.assertEqual(len(self.serving()), 1)
        self.run_for(40_000)
        self.assert_recovered(epoch_changes=False)

    def test_lost_weights_are_loaded_again(self) -> None:
        self.platform.engines[self.group.group].models = ()
        self.run_for(30_000)
        self.assert_recovered(epoch_changes=False)


class CutOffTest(ManagerTestCase):
    """Guards against a partitioned manager that breaks healthy groups."""

    def test_unresponsive_engines_break_no_group(self) -> None:
        self.platform = fakes.Platform(self.clock, 2, 2, 8)
        for node in self.nodes:
            node.platform = self.platform
        self.set_up_nodes()
        self.run_for(40_000)
        epochs = {g.group: g.epoch for g in self.groups()}
        self.assertEqual(len(epochs), 4)
        self.platform.partitioned = True
        self.run_for(60_000)
        self.platform.partitioned = False
        self.run_for(60_000)
        self.assertEqual({g.group: g.epoch for g in self.groups()}, epochs)
        self.assertEqual(len(self.serving()), 4)

    replicas = 4

    def set_up_nodes(self) -> None:
        """Create the nodes again, with the new platform."""
        self.nodes = [
            fakes.Node(
                self.store, self.platform, f"n{z}", f"z{z}", ("z0", "z1")
            )
            for z in range(2)
        ]


class DrainTest(ManagerTestCase):
    """Guards against planned stops that interrupt requests (R9)."""

    def setUp(self) -> None:
        """Start with two serving groups."""
        super().setUp()
        self.run_for(30_000)
        self.group = next(g for g in self.groups() if g.zone == "z0")
        self.engine = self.platform.engines[self.group.group]

    def publish(self, entry: agreement.Entry) -> None:
        """Append an operator's record."""
        self.store.append(f"op{self.store.offset}", 1, [entry])

    def state(self) -> str | None:
        """Return the state of the group in z0."""
        group = self.store.fold.view().groups_by_id.get(self.group.group)
        return group.state if group else None

    def test_leaving_host_waits_for_running_requests(self) -> None:
        self.engine.running = 1
        self.platform.state_by_host[self.group.hosts[0].host] = "leaving"
        self.run_for(60_000)
        self.assertEqual(self.state(), "draining")
        self.engine.running = 0
        self.run_for(20_000)
        self.assertNotEqual(self.state(), "draining")
        self.assertEqual(len(self.serving()), 2)

    def test_zone_out_and_in_resumes_the_same_group(self) -> None:
        self.publish(agreement.ZoneSet("z0", "out", 0, "op"))
        self.run_for(30_000)
        self.assertEqual(self.state(), "draining")
        zone = self.store.fold.view().zones_by_name["z0"]
        self.publish(agreement.ZoneSet("z0", "in", zone.changed, "op"))
        orders = len(self.platform.orders)
        self.run_for(5_000)
        self.assertEqual(self.state(), "serving")
        self.assertEqual(len(self.platform.orders), orders)

    def test_target_drain_keeps_the_hosts(self) -> None:
        """Released hosts would be formed into a group again at once."""
        target = self.group.group
        self.publish(agreement.TargetDrainSet(target, True, 0, "op"))
        self.run_for(30_000)
        self.assertEqual(self.state(), "draining")

    def test_undeclared_model_ends_after_its_requests(self) -> None:
        self.engine.running = 1
        view = self.store.fold.view()
        document = dict(view.config_document)
        document["models"] = {}
        self.publish(
            agreement.ConfigProposed(view.config_revision, document, "op")
        )
        self.run_for(30_000)
        self.assertEqual(self.state(), "draining")
        self.engine.running = 0
        self.run_for(30_000)
        self.assertEqual(self.groups(), [])
        self.assertEqual(
            {h.target for h in self.platform.hosts.values()}, {""}
        )


class LeaseTest(ManagerTestCase):
    """Guards against two active managers of one zone."""

    def holder(self, zone: str) -> str:
        """Return the holder of a zone's lease."""
        view = self.store.fold.view()
        return view.leases_by_resource[f"groups/{zone}"].holder

    def test_failed_holder_is_replaced(self) -> None:
        self.run_for(30_000)
        paused = self.nodes.pop(0)
        self.run_for(30_000)
        self.assertEqual(self.holder("z0"), "n1")
        self.nodes.append(paused)
        self.run_for(5_000)
        self.assertEqual(paused.managers["z0"].lease.epoch, 0)

    def test_no_order_after_a_pause_between_check_and_send(self) -> None:
        self.run_for(2_000)
        paused = self.nodes[0]
        paused.workers.held = True
        self.run_for(14_000)
        self.assertTrue(paused.workers.calls)
        self.nodes.pop(0)
        self.run_for(30_000)
        orders = len(self.platform.orders)
        paused.workers.run_held()
        late = self.platform.orders[orders:]
        self.assertEqual([o for o in late if o.kind == "assign"], [])

    def test_claim_whose_answer_was_lost_is_kept(self) -> None:
        for node in self.nodes:
            node.log.lose_answers = 1
        self.run_for(30_000)
        self.assertEqual(self.holder("z0"), "n0")
        self.assertEqual(len(self.serving()), 2)

    def test_log_outage_stops_orders_and_nothing_else(self) -> None:
        self.run_for(30_000)
        orders = len(self.platform.orders)
        self.store.down = True
        group = self.groups()[0]
        self.platform.state_by_host[group.hosts[0].host] = "gone"
        self.run_for(60_000)
        self.assertEqual(len(self.platform.orders), orders)
        self.store.down = False
        self.run_for(40_000)
        self.assertEqual(len(self.serving()), 2)

    def test_released_lease_is_taken_over_at_once(self) -> None:
        self.run_for(30_000)
        leaving = self.nodes.pop(0)
        for manager in leaving.managers.values():
            manager.stop()
        self.run_for(7_000)
        self.assertEqual(self.holder("z0"), "n1")


def order_for_group(
    order: _platform.Order, group: str, epoch: int
) -> _platform.Order:
    """Return the same order for another group."""
    return attrs.evolve(order, group=group, epoch=epoch, fencing=epoch)
