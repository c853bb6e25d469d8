"""Tests for forming, repairing and adopting serving groups."""

import unittest
from unittest import mock

import attrs
from grouping import builders
from quetzalward_core import grouping
from quetzalward_core.grouping import _lifecycle


def overlap_terms(simulation: builders.Simulation) -> None:
    """Run two coordinators at once, the second with outdated entries.

    In these, hosts are free that the first put into open groups.
    """
    simulation.run(6_000)
    stale = [
        attrs.evolve(entry, membership=None)
        for entry in simulation.fleet.entries()
    ]
    first = simulation.coordinator
    simulation.elect(before_traffic=True)
    second = simulation.coordinator
    second.configure(simulation.engine)
    for _ in range(60):
        simulation.fleet.advance(builders.TICK_MS)
        now_ms = simulation.fleet.now_ms
        for entry in stale:
            second.observe(entry, now_ms)
        for command in second.tick(now_ms):
            simulation.execute(second, command)
        simulation.tick(first)


class FormationTest(unittest.TestCase):
    """Guards against a fleet that is not serving when traffic starts."""

    def test_forms_both_models_before_traffic(self) -> None:
        """A fleet of 54 hosts forms within the 12 s before traffic."""
        simulation = builders.Simulation()
        simulation.run(6_000)
        self.assertEqual({"large": 6, "small": 6}, simulation.open_by_model())
        self.assertEqual([], simulation.fleet.violations)

    def test_spares_hold_weights(self) -> None:
        """Spare hosts are staged for a model with groups."""
        simulation = builders.Simulation()
        simulation.run(8_000)
        staged = [t.staged for t in simulation.fleet.target_by_id.values()]
        self.assertNotIn([], staged)


class UnlistedMemberTest(unittest.TestCase):
    """Guards against groups broken because the store lost members' entries.

    With 130 of 1,100 targets cut off from the store, nearly every group of 32
    lost a member's entry and was taken apart, although all of them served.
    """

    def setUp(self) -> None:
        """Start with a formed fleet under traffic."""
        self.simulation = builders.Simulation()
        self.simulation.run(8_000)
        self.simulation.start_traffic()
        self.group = next(
            g
            for g in self.simulation.coordinator.open_groups()
            if g.model == "large"
        )
        self.epoch = self.group.epoch

    def cut_off(self, rank: int) -> str:
        """Cut a member off from the store until its entry expires."""
        member = self.group.members[rank]
        self.simulation.fleet.target_by_id[member].partitioned = True
        self.simulation.run(6_000)
        return member

    def test_group_serves_while_a_member_has_no_entry(self) -> None:
        """The group keeps its epoch, also when the entry is back."""
        member = self.cut_off(2)
        self.assertIs(grouping.Phase.OPEN, self.group.phase)
        self.simulation.fleet.target_by_id[member].partitioned = False
        self.simulation.run(3_000)
        self.assertIs(grouping.Phase.OPEN, self.group.phase)
        self.assertEqual(self.epoch, self.group.epoch)
        self.assertEqual([], self.simulation.fleet.violations)

    def test_member_that_ends_later_is_replaced(self) -> None:
        """A target may leave without reporting so, and serve on until then."""
        member = self.cut_off(2)
        self.simulation.fleet.kill(member)
        self.simulation.run(6_000)
        self.assertIs(grouping.Phase.OPEN, self.group.phase)
        self.assertGreater(self.group.epoch, self.epoch)
        self.assertNotIn(member, self.group.members)
        self.assertNotIn(member, self.simulation.coordinator.host_by_id)
        self.assertEqual([], self.simulation.fleet.violations)

    def test_head_without_an_entry_is_replaced(self) -> None:
        """No request may reach a target whose entry is gone."""
        head = self.cut_off(0)
        self.assertNotEqual(head, self.group.head)
        self.assertEqual([], self.simulation.fleet.violations)


class SilentMemberTest(unittest.TestCase):
    """Guards against groups given up because sound members were silent."""

    def setUp(self) -> None:
        """Start with a formed fleet under traffic."""
        self.simulation = builders.Simulation()
        self.simulation.run(8_000)
        self.simulation.start_traffic()
        self.groups = self.simulation.coordinator.open_groups()
        self.epoch_by_name = {g.name: g.epoch for g in self.groups}

    def stand_still(self, duration_ms: int, *target_ids: str) -> None:
        """Let targets be silent, and nodes report their groups as stalled."""
        simulation = self.simulation
        simulation.silent.update(target_ids)
        for _ in range(duration_ms // builders.TICK_MS):
            for group in self.groups:
                if simulation.silent.isdisjoint(group.members):
                    continue
                for command in simulation.coordinator.handle_stall(
                    group.name, group.epoch, simulation.fleet.now_ms
                ):
                    simulation.execute(simulation.coordinator, command)
            simulation.run(builders.TICK_MS)

    def check_kept(self) -> None:
        """Check that no group has been formed anew."""
        self.simulation.silent.clear()
        self.simulation.run(3_000)
        for group in self.groups:
            self.assertIs(grouping.Phase.OPEN, group.phase)
        epochs = {g.name: g.epoch for g in self.groups}
        self.assertEqual(self.epoch_by_name, epochs)

    def test_members_silent_for_a_second_keep_their_groups(self) -> None:
        """A head, other members, or all targets at once."""
        group = self.groups[0]
        for silent in (
            group.members[:1],
            group.members[1:],
            tuple(self.simulation.fleet.target_by_id),
        ):
            self.stand_still(1_000, *silent)
            self.check_kept()

    def test_reports_that_trail_a_silence_end_no_group(self) -> None:
        """Nodes report a stall for up to a message's age after its end."""
        for silence_ms in (900, 1_100, 1_400, 1_600):
            self.setUp()
            group = self.groups[0]
            self.stand_still(silence_ms, group.head)
            self.simulation.silent.clear()
            for _ in range(600 // builders.TICK_MS):
                for command in self.simulation.coordinator.handle_stall(
                    group.name, group.epoch, self.simulation.fleet.now_ms
                ):
                    self.simulation.execute(
                        self.simulation.coordinator, command
                    )
                self.simulation.run(builders.TICK_MS)
            self.check_kept()

    def test_member_that_stays_silent_is_replaced(self) -> None:
        """It accepts connections, but will not serve again."""
        group = self.groups[0]
        member = group.members[1]
        self.stand_still(3_000, member)
        self.simulation.run(3_000)
        self.assertIs(grouping.Phase.OPEN, group.phase)
        self.assertNotIn(member, group.members)


class LoadOrderTest(unittest.TestCase):
    """Guards against loads for groups that staged spares complete."""

    def test_loads_go_where_spares_do_not_suffice(self) -> None:
        """Each group of 16 lacks more members than its domain has spares.

        Four loads were ordered for a group that lacked four members, though
        three staged spares were at hand; others waited 16 s more.
        """
        simulation = builders.Simulation(3, 20, builders.engine(16, 4))
        simulation.run(9_000)
        simulation.start_traffic()
        groups = [
            g
            for g in simulation.coordinator.open_groups()
            if g.model == "large"
        ]
        self.assertEqual(2, len(groups))
        spares = 20 - 16
        for group, lost in zip(groups, (spares + 2, spares + 3), strict=True):
            for member in group.members[1 : 1 + lost]:
                simulation.fleet.kill(member)
        # The entries expire, and new targets start on other hosts.
        simulation.run(4_000)
        for group in groups:
            for number in range(8):
                simulation.fleet.add(f"n{group.domain}{number}", group.domain)
        # Five loads of 16 s run at once.
        simulation.run(16_000 + 6_000)
        self.assertEqual(2, simulation.open_by_model().get("large"))
        self.assertEqual([], simulation.fleet.violations)


class RepairTest(unittest.TestCase):
    """Guards against broken groups that stay broken."""

    def setUp(self) -> None:
        """Start with a formed fleet under traffic."""
        self.simulation = builders.Simulation()
        self.simulation.run(8_000)
        self.simulation.start_traffic()

    def test_lost_member_is_replaced_by_a_staged_spare(self) -> None:
        """A staged spare joins within its warm time, without a load."""
        member = self.simulation.member("large")
        self.kill_targets(member)
        self.simulation.run(4_500)
        self.assertEqual(
            {"large": 6, "small": 6}, self.simulation.open_by_model()
        )
        self.assertEqual([], self.simulation.fleet.violations)

    def test_warm_spare_completes_a_group_within_its_steps(self) -> None:
        """A probe sent too early delays the one that shows the change.

        Repairs then took 1.9 s, although joining and opening take 0.5 s.
        """
        simulation = self.simulation
        simulation.run(4_000)
        group = next(
            g
            for g in simulation.coordinator.open_groups()
            if g.model == "large"
        )
        lost = group.members[1]
        simulation.fleet.kill(lost)
        # The members are probed because the group emits no events.
        for command in simulation.coordinator.handle_stall(
            group.name, group.epoch, simulation.fleet.now_ms
        ):
            simulation.execute(simulation.coordinator, command)
        lost_ms = simulation.fleet.now_ms
        while group.phase is grouping.Phase.OPEN:
            simulation.run(builders.TICK_MS)
        while group.phase is not grouping.Phase.OPEN:
            simulation.run(builders.TICK_MS)
            self.assertLess(simulation.fleet.now_ms - lost_ms, 5_000)
        steps_ms = _lifecycle.JOIN_MS + simulation.engine.form_ms
        # Ticks: broken, join, its report, ready, open, its report, open.
        bound_ms = steps_ms + 7 * builders.TICK_MS
        self.assertLessEqual(simulation.fleet.now_ms - lost_ms, bound_ms)
        self.assertEqual([], simulation.fleet.violations)

    def test_no_report_is_asked_for_before_it_can_tell(self) -> None:
        """Reports lag; one requested too early hides the next entry."""
        engine = attrs.evolve(builders.engine(), report_lag_ms=200)
        simulation = builders.Simulation(engine_=engine)
        simulation.run(8_000)
        simulation.start_traffic()
        head = simulation.member("large", rank=0)
        group = next(
            g for g in simulation.coordinator.open_groups() if g.head == head
        )
        asked_ms: list[int] = []
        execute = simulation.execute

        def record(
            coordinator: grouping.Coordinator, command: grouping.Command
        ) -> None:
            is_probe = isinstance(command, grouping.Probe)
            if is_probe and group.phase is grouping.Phase.OPENING:
                asked_ms.append(simulation.fleet.now_ms - group.since_ms)
            execute(coordinator, command)

        with mock.patch.object(simulation, "execute", record):
            self.simulation = simulation
            self.kill_targets(group.members[1])
            # Entries do not change, so only reports show the open group.
            entries = simulation.fleet.entries()
            with mock.patch.object(
                simulation.fleet, "entries", lambda: entries
            ):
                simulation.run(2_000)
        self.assertIs(grouping.Phase.OPEN, group.phase)
        due_ms = engine.form_ms + engine.report_lag_ms
        self.assertGreaterEqual(min(asked_ms), due_ms)

    def kill_targets(self, *target_ids: str) -> None:
        """Kill targets and report them as unreachable."""
        now_ms = self.simulation.fleet.now_ms
        for target_id in target_ids:
            self.simulation.fleet.kill(target_id)
            self.simulation.coordinator.record_report(target_id, None, now_ms)

    def test_scarce_loads_complete_groups_that_lack_the_fewest(self) -> None:
        """Loads go first to the group that needs the fewest of them.

        When hosts fail quickly, six concurrent loads of 12 to 16 s each
        limit recovery. They went to the model with the least capacity, where
        one load may restore only a third of a group.
        """
        groups = self.simulation.coordinator.open_groups()
        group_by_domain_model = {(g.domain, g.model): g for g in groups}
        members = {member for group in groups for member in group.members}
        self.kill_targets(
            *(
                n
                for n in self.simulation.fleet.target_by_id
                if n not in members
            ),
            *group_by_domain_model["d0", "large"].members[1:],
            group_by_domain_model["d0", "small"].members[1],
            group_by_domain_model["d1", "large"].members[1],
        )
        self.simulation.run(200)
        self.simulation.fleet.add("new", "d0")
        self.simulation.run(200)
        staging = self.simulation.coordinator.host_by_id["new"].staging
        self.assertEqual("small", staging)

    def test_lost_head_is_replaced(self) -> None:
        """The survivors of a lost head re-form the group."""
        head = self.simulation.member("small", rank=0)
        self.kill_targets(head)
        self.simulation.run(4_500)
        self.assertEqual(
            {"large": 6, "small": 6}, self.simulation.open_by_model()
        )
        self.assertEqual([], self.simulation.fleet.violations)

    def test_successor_repairs_what_broke(self) -> None:
        """A new term adopts complete groups and repairs the others."""
        self.simulation.fleet.kill(self.simulation.member("large"))
        self.simulation.elect()
        self.simulation.run(8_000)
        self.assertEqual(
            {"large": 6, "small": 6}, self.simulation.open_by_model()
        )
        self.assertEqual([], self.simulation.fleet.violations)

    def test_draining_member_closes_its_group_first(self) -> None:
        """A group with a draining member is closed and re-formed."""
        member = self.simulation.member("large")
        self.simulation.fleet.target_by_id[member].draining = True
        self.simulation.run(4_000)
        self.assertEqual(
            {"large": 6, "small": 6}, self.simulation.open_by_model()
        )
        for group in self.simulation.coordinator.open_groups():
            self.assertNotIn(member, group.members)

    def test_members_leave_before_another_group_takes_them(self) -> None:
        """A head cut off from the store keeps its group open until then."""
        groups = [
            group
            for group in self.simulation.coordinator.open_groups()
            if group.domain == "d0"
        ]
        for group in groups:
            self.simulation.fleet.target_by_id[group.head].partitioned = True
        self.simulation.run(9_000)
        self.assertEqual([], self.simulation.fleet.violations)

    def test_lost_order_to_stage_is_repeated(self) -> None:
        """A lost order does not leave a host unstaged for 30 s."""
        self.simulation.fleet.add("late", "d0")
        self.simulation.delayed_share = 1.0
        self.simulation.run(1_000)
        self.simulation.delayed_share = 0.0
        self.simulation.run(2_500)
        target = self.simulation.fleet.target_by_id["late"]
        self.assertIsNotNone(target.staging)

    def test_stale_view_takes_no_host_from_its_group(self) -> None:
        """A coordinator that has not observed a join does not revert it.

        Two terms may overlap at the start of a large fleet; the later one
        observed hosts as free that the earlier one had just put into groups.
        """
        simulation = builders.Simulation()
        overlap_terms(simulation)
        self.assertEqual([], simulation.fleet.violations)

    def test_silent_group_with_living_members_is_formed_anew(self) -> None:
        """A member that lost its head still answers probes."""
        group = self.simulation.coordinator.open_groups()[0]
        epoch = group.epoch
        for _ in range(30):
            self.simulation.run(50)
            if group.epoch != epoch:
                break
            for command in self.simulation.coordinator.handle_stall(
                group.name, epoch, self.simulation.fleet.now_ms
            ):
                self.simulation.execute(self.simulation.coordinator, command)
        self.assertGreater(group.epoch, epoch)
        self.assertIs(grouping.Phase.FORMING, group.phase)


if __name__ == "__main__":
    unittest.main()
