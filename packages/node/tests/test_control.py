"""Tests of the control view, direct stop orders and registration."""

import random
import unittest

import in_memory_control_log

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import testing
from quetzalward_node import control
from quetzalward_node import interfaces


def _joined(name: str, nonce: str = "1") -> agreement.NodeJoined:
    return agreement.NodeJoined(
        name,
        nonce,
        "zone-a",
        "r1",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
    )


class _FakePeerKnowledge:
    def __init__(self) -> None:
        self.basis_by_zone: dict[str, int] = {}
        self.basis_by_target: dict[str, int] = {}
        self.isolated = False

    def freshness(self) -> interfaces.Freshness:
        return interfaces.Freshness(self.isolated, not self.isolated)

    def stopped_zones(self) -> dict[str, int]:
        return self.basis_by_zone

    def stopped_targets(self) -> dict[str, int]:
        return self.basis_by_target


class _FakeFleetView:
    def __init__(self) -> None:
        self.age_ms_by_node: dict[str, int] = {}

    def status_by_node(self) -> dict[str, interfaces.PeerStatus]:
        return {
            name: interfaces.PeerStatus(0, age)
            for name, age in self.age_ms_by_node.items()
        }


class ControlViewTest(unittest.TestCase):
    """Guards against a wrong view of zones, drains and freshness."""

    def setUp(self) -> None:
        self.log = in_memory_control_log.InMemoryControlLog()
        self.peers = _FakePeerKnowledge()
        self.holder = control.ConfigurationHolder(self.log.state)
        self.source = control.ControlViewSource(
            self.log.state, self.holder, self.peers
        )

    def test_same_object_until_something_changes(self) -> None:
        first = self.source.view()
        self.assertIs(self.source.view(), first)
        self.peers.isolated = True
        self.assertTrue(self.source.view().isolated)
        self.assertIsNot(self.source.view(), first)

    def test_unchanged_groups_keep_their_views(self) -> None:
        hosts = tuple(agreement.GroupHost(f"h{n}", 1) for n in range(4))
        entries: list[agreement.Entry] = [
            agreement.HostAdmitted(host.host, 1) for host in hosts
        ]
        entries.append(agreement.LeaseClaimed("z", "w", 0, 10_000))
        self.log.append(entries, 0)
        epoch = self.log.state().leases_by_resource["z"].epoch
        for number in range(2):
            members = hosts[2 * number : 2 * number + 2]
            formed = agreement.GroupFormed(
                f"g{number}", "m", "d", "zone-a", members, "z", epoch
            )
            self.log.append([formed], 0)
        before = self.source.view().groups
        drain = agreement.TargetDrainSet("g1", True, 0, "ops")
        self.log.append([drain], 0)
        after = self.source.view().groups
        self.assertIs(after["g0"], before["g0"])
        self.assertFalse(before["g1"].draining)
        self.assertTrue(after["g1"].draining)

    def test_direct_stop_is_in_force_until_a_later_bring_back(self) -> None:
        self.peers.basis_by_zone = {"zone-a": 0}
        self.assertEqual(self.source.view().zones_out, {"zone-a"})
        self.log.append([agreement.ZoneSet("zone-a", "out", 0, "ops")], 0)
        changed = self.log.state().zones_by_name["zone-a"].changed
        self.log.append([agreement.ZoneSet("zone-a", "in", changed, "ops")], 0)
        self.assertEqual(self.source.view().zones_out, frozenset())

    def test_late_stop_on_an_old_basis_does_not_stop_again(self) -> None:
        self.log.append([agreement.ZoneSet("zone-a", "out", 0, "ops")], 0)
        changed = self.log.state().zones_by_name["zone-a"].changed
        self.log.append([agreement.ZoneSet("zone-a", "in", changed, "ops")], 0)
        self.peers.basis_by_zone = {"zone-a": 0}
        self.assertEqual(self.source.view().zones_out, frozenset())

    def test_stop_on_the_bring_back_is_in_force(self) -> None:
        self.log.append([agreement.ZoneSet("zone-a", "out", 0, "ops")], 0)
        changed = self.log.state().zones_by_name["zone-a"].changed
        self.log.append([agreement.ZoneSet("zone-a", "in", changed, "ops")], 0)
        back = self.log.state().zones_by_name["zone-a"].changed
        self.peers.basis_by_zone = {"zone-a": back}
        self.assertEqual(self.source.view().zones_out, {"zone-a"})

    def test_invalid_revision_leaves_the_previous_one_in_force(self) -> None:
        good = testing.config_document()
        self.log.append([agreement.ConfigProposed(0, good, "ops")], 0)
        revision = self.holder.revision()
        self.assertIn("draft", self.holder.current().models)
        bad = agreement.ConfigProposed(revision, {"new_section": {}}, "ops")
        self.log.append([bad], 0)
        self.assertIn("draft", self.holder.current().models)
        self.assertEqual(self.holder.revision(), revision)


class RegistrationTest(unittest.TestCase):
    """Guards against wrong expiry, which would distort the majority."""

    def setUp(self) -> None:
        self.log = in_memory_control_log.InMemoryControlLog()
        self.fleet = _FakeFleetView()
        self.time = clock.ManualClock()
        self.registration = control.Registration(
            self.log,
            _joined("node-1"),
            self.fleet,
            self.time,
            random.Random(1),
        )
        for name in ("node-1", "node-2", "node-3"):
            self.log.append([_joined(name)], 0)

    def check_and_list_nodes(self) -> set[str]:
        self.registration._check()
        return set(self.log.state().nodes_by_name)

    def test_unresponsive_node_is_expired_by_a_node_with_a_majority(
        self,
    ) -> None:
        self.check_and_list_nodes()
        self.time.advance(80_000)
        self.fleet.age_ms_by_node = {"node-2": 100, "node-3": 80_000}
        self.assertEqual(self.check_and_list_nodes(), {"node-1", "node-2"})

    def test_node_without_a_majority_expires_no_node(self) -> None:
        self.check_and_list_nodes()
        self.time.advance(80_000)
        self.fleet.age_ms_by_node = {"node-2": 80_000, "node-3": 80_000}
        self.assertEqual(
            self.check_and_list_nodes(), {"node-1", "node-2", "node-3"}
        )

    def test_node_never_heard_from_is_timed_from_first_sight(
        self,
    ) -> None:
        self.fleet.age_ms_by_node = {"node-2": 100}
        self.assertEqual(len(self.check_and_list_nodes()), 3)
        self.time.advance(80_000)
        self.assertEqual(self.check_and_list_nodes(), {"node-1", "node-2"})

    def test_expired_node_joins_again(self) -> None:
        self.log.append([agreement.NodeExpired("node-1", "1")], 0)
        self.assertFalse(self.registration.registered())
        self.assertIn("node-1", self.check_and_list_nodes())
