"""Tests of groups of several services that serve the same model."""

import typing
import unittest

import attrs
import fakes

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_gateway import _group_control
from quetzalward_gateway import _node_reports
from quetzalward_gateway import _ports
from quetzalward_gateway import _runtime

# The first name is the start of the second, the last needs quoting.
SERVICES = ("pool", "pool-next", "pool/next")
NOW_MS = 100_000
MODEL = fleet.Model("m", 1, 1.0, 1.0, 1_000, 100)


@attrs.define
class Coordinator:
    """Replaces a service's coordinator, whose only group is open."""

    service: str
    stalled: list[tuple[str, int]] = attrs.field(factory=list)
    producing: frozenset[tuple[str, int]] = frozenset()
    has_adopted_groups: bool = True
    # All coordinators give their groups the same names and epochs.
    group: grouping.Group = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Form the group."""
        self.group = grouping.Group(
            "g1.m", "m", 1, "d", 1_001, (f"t-{self.service}",), {},
            grouping.Phase.OPEN, 0,
        )  # fmt: skip

    @property
    def group_by_name(self) -> dict[str, grouping.Group]:
        """Return the only group."""
        return {self.group.name: self.group}

    @property
    def host_by_id(self) -> dict[str, None]:
        """Return the only target."""
        return {f"t-{self.service}": None}

    def open_groups(self) -> list[grouping.Group]:
        """Return the only group."""
        return [self.group]

    def closing_groups(self) -> list[grouping.Group]:
        """No group closes."""
        return []

    def set_producing_groups(self, groups: frozenset[tuple[str, int]]) -> None:
        """Keep which groups write."""
        self.producing = groups

    def handle_stall(self, name: str, epoch: int, now_ms: int) -> list[None]:
        """Keep which groups are silent."""
        self.stalled.append((name, epoch))
        return []

    def tick(self, now_ms: int) -> list[None]:
        """Order nothing."""
        return []

    def configure(self, engine: fleet.Engine) -> None:
        """Ignore the engine."""

    def observe(self, target: fleet.Target, now_ms: int) -> None:
        """Ignore the target."""

    def spares_by_domain(self) -> dict[str, int]:
        """Return no spares."""
        return {}


class GroupServicesTest(unittest.TestCase):
    """Guards against requests that run at another service.

    The list of open groups was searched by the model only, and groups of two
    services had the same name and epoch.
    """

    def setUp(self) -> None:
        """Let a coordinator list one group of each service."""
        self.runtime = fakes.Runtime()
        self.state = self.runtime.state
        engine = attrs.evolve(fakes.engine(), models_by_name={"m": MODEL})
        self.service_by_name = {
            name: fleet.Service(name, "/", 0, 0.0, engine) for name in SERVICES
        }
        configuration = attrs.evolve(
            fakes.configuration(1), service_by_name=self.service_by_name
        )
        self.state.apply_configuration(
            configuration, _ports.Record(0, "config", b""), 1
        )
        for number, name in enumerate(SERVICES):
            membership = fleet.Membership(
                "g1.m", 1_001, 0, fleet.MemberState.OPEN
            )
            self.state.directory.put(
                fleet.Target(
                    f"t-{name}", name, fakes.ADDRESS, "z", False, 0, number,
                    membership=membership,
                ),
                NOW_MS,
            )  # fmt: skip
        self.reports = _node_reports.NodeReports()
        self.control = _group_control.GroupControl(
            typing.cast(_runtime.Runtime, self.runtime),
            fakes.settings(),
            self.reports,
        )
        self.coordinators = {name: Coordinator(name) for name in SERVICES}
        self.control._coordinator_by_service = typing.cast(
            typing.Any, self.coordinators
        )

    def apply_list(self) -> coordination.GroupList:
        """Apply the coordinator's list of groups."""
        groups = self.control.group_list()
        view = coordination.View(
            "a", 1, "", NOW_MS, 1, True, groups.version, groups, (), ()
        )
        self.state.apply_view(view, NOW_MS)
        return groups

    def heads(self, service: str) -> list[str]:
        """Return the targets that a request to a service may be sent to."""
        return [
            group.head.id
            for group in self.state.open_groups(service, "m", NOW_MS)
        ]

    def test_requests_go_to_the_groups_of_their_service(self) -> None:
        """With the coordinator's list, and without it."""
        for apply_list in (False, True):
            if apply_list:
                self.apply_list()
            for name in SERVICES:
                with self.subTest(name, apply_list=apply_list):
                    self.assertEqual([f"t-{name}"], self.heads(name))

    def test_list_of_a_node_of_an_earlier_version(self) -> None:
        """Its names have no service."""
        entries = tuple(
            coordination.GroupEntry("g1.m", 1_001, "m", f"t-{name}")
            for name in SERVICES
        )
        groups = coordination.GroupList(1, entries, ())
        view = coordination.View(
            "a", 1, "", NOW_MS, 1, True, 1, groups, (), ()
        )
        self.state.apply_view(view, NOW_MS)
        for name in SERVICES:
            self.assertEqual([f"t-{name}"], self.heads(name))

    def test_loads_of_groups_are_told_apart(self) -> None:
        """Work at one service's group does not count at another one's."""
        groups = self.apply_list()
        self.assertEqual(len(SERVICES), len(set(groups.keys())))
        loads = []
        for name in SERVICES:
            (group,) = self.state.open_groups(name, "m", NOW_MS)
            loads.append(self.state.load_of(group.key))
        loads[0].started(1, NOW_MS)
        self.assertEqual([1, 0, 0], [load.active for load in loads])

    def test_group_has_one_key_with_and_without_the_list(self) -> None:
        """What is known of it stays when the coordinator is silent."""
        keys = {
            group.key for group in self.state.open_groups("pool", "m", NOW_MS)
        }
        self.apply_list()
        (group,) = self.state.open_groups("pool", "m", NOW_MS)
        self.assertEqual({group.key}, keys)

    def test_silence_is_that_of_one_service(self) -> None:
        """A silent group of one service says nothing of another's."""
        groups = self.apply_list()
        work = tuple(
            coordination.GroupWork(label, epoch, 1.0, 0.0, age_ms, age_ms < 0)
            for (label, epoch), age_ms in zip(groups.keys(), (-1, 10, 10))
        )
        unlabelled = coordination.GroupWork("g1.m", 1_001, 1.0, 0.0, -1, True)
        status = coordination.Status(
            "b", 1, NOW_MS, 0, (*work, unlabelled), (), ()
        )
        self.reports.record(status, fakes.ADDRESS, NOW_MS)
        self.control.run(NOW_MS)
        key = ("g1.m", 1_001)
        found = [
            (coordinator.stalled, coordinator.producing)
            for coordinator in self.coordinators.values()
        ]
        self.assertEqual(
            [
                ([key], frozenset()),
                ([], frozenset([key])),
                ([], frozenset([key])),
            ],
            found,
        )
        # Each service's state is logged.
        self.assertEqual(len(SERVICES), self.runtime.log.names.count("fleet"))


if __name__ == "__main__":
    unittest.main()
