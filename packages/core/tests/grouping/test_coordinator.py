"""Groups are formed, repaired and handed over without breaking a rule."""

import unittest
from unittest import mock

import attrs
from grouping import builders
from quetzalward_core import grouping
from quetzalward_core.grouping import _lifecycle


def overlap_terms(world: builders.World) -> None:
    """Run two coordinators, the later one with a view from before.

    It saw hosts as free that the earlier one has put into open groups.
    """
    world.run(6_000)
    stale = [
        attrs.evolve(entry, membership=None) for entry in world.fleet.entries()
    ]
    early = world.coordinator
    world.elect(before_traffic=True)
    late = world.coordinator
    late.configure(world.engine)
    for _ in range(60):
        world.fleet.advance(builders.TICK_MS)
        now_ms = world.fleet.now_ms
        for entry in stale:
            late.observe(entry, now_ms)
        for command in late.tick(now_ms):
            world.carry_out(late, command)
        world.tick(early)


class FormationTest(unittest.TestCase):
    """Guards against a fleet that is not serving when traffic starts."""

    def test_forms_both_models_before_traffic(self) -> None:
        """A fleet of 54 hosts forms in less than the 12 s of the lead."""
        world = builders.World()
        world.run(6_000)
        self.assertEqual({"large": 6, "small": 6}, world.open_by_model())
        self.assertEqual([], world.fleet.breaches)

    def test_spares_hold_weights(self) -> None:
        """Hosts out of groups are staged for a model with groups."""
        world = builders.World()
        world.run(8_000)
        staged = [t.staged for t in world.fleet.target_by_id.values()]
        self.assertNotIn([], staged)


class RepairTest(unittest.TestCase):
    """Guards against broken groups that stay broken."""

    def setUp(self) -> None:
        """Start with a formed fleet under traffic."""
        self.world = builders.World()
        self.world.run(8_000)
        self.world.start_traffic()

    def test_lost_member_is_replaced_by_a_staged_spare(self) -> None:
        """A spare joins within its warm time, without a load."""
        member = self.world.member("large")
        self.lose(member)
        self.world.run(4_500)
        self.assertEqual({"large": 6, "small": 6}, self.world.open_by_model())
        self.assertEqual([], self.world.fleet.breaches)

    def test_warm_spare_completes_a_group_within_its_steps(self) -> None:
        """Reports asked for too early put off the ones that matter.

        A repair took 1.9 s where join and opening take half a second.
        """
        world = self.world
        world.run(4_000)
        group = next(
            g for g in world.coordinator.open_groups() if g.model == "large"
        )
        lost = group.members[1]
        world.fleet.kill(lost)
        # The members are asked because the group is silent.
        for command in world.coordinator.stalled(
            group.name, group.epoch, world.fleet.now_ms
        ):
            world.carry_out(world.coordinator, command)
        lost_ms = world.fleet.now_ms
        while group.phase is grouping.Phase.OPEN:
            world.run(builders.TICK_MS)
        while group.phase is not grouping.Phase.OPEN:
            world.run(builders.TICK_MS)
            self.assertLess(world.fleet.now_ms - lost_ms, 5_000)
        steps_ms = _lifecycle.JOIN_MS + world.engine.form_ms
        # Ticks: broken, join, its report, ready, open, its report, open.
        bound_ms = steps_ms + 7 * builders.TICK_MS
        self.assertLessEqual(world.fleet.now_ms - lost_ms, bound_ms)
        self.assertEqual([], world.fleet.breaches)

    def test_no_report_is_asked_for_before_it_can_tell(self) -> None:
        """Reports are old; one that comes too early hides the next entry."""
        engine = attrs.evolve(builders.engine(), report_lag_ms=200)
        world = builders.World(engine_=engine)
        world.run(8_000)
        world.start_traffic()
        head = world.member("large", rank=0)
        group = next(
            g for g in world.coordinator.open_groups() if g.head == head
        )
        asked_ms: list[int] = []
        carry_out = world.carry_out

        def record(
            coordinator: grouping.Coordinator, command: grouping.Command
        ) -> None:
            is_probe = isinstance(command, grouping.Probe)
            if is_probe and group.phase is grouping.Phase.OPENING:
                asked_ms.append(world.fleet.now_ms - group.since_ms)
            carry_out(coordinator, command)

        with mock.patch.object(world, "carry_out", record):
            self.world = world
            self.lose(group.members[1])
            # Nothing but reports tells that the group is open.
            entries = world.fleet.entries()
            with mock.patch.object(world.fleet, "entries", lambda: entries):
                world.run(2_000)
        self.assertIs(grouping.Phase.OPEN, group.phase)
        due_ms = engine.form_ms + engine.report_lag_ms
        self.assertGreaterEqual(min(asked_ms), due_ms)

    def lose(self, *target_ids: str) -> None:
        """Kill targets; the coordinator learns of it at once."""
        now_ms = self.world.fleet.now_ms
        for target_id in target_ids:
            self.world.fleet.kill(target_id)
            self.world.coordinator.reported(target_id, None, now_ms)

    def test_scarce_loads_complete_groups_that_lack_the_fewest(self) -> None:
        """A load brings back a whole group, or a third of one.

        Six loads at a time of 12 to 16 s are what binds on days that lose
        hosts quickly; the model with the least capacity got them first.
        """
        groups = self.world.coordinator.open_groups()
        group_by_seat = {(g.domain, g.model): g for g in groups}
        members = {member for group in groups for member in group.members}
        self.lose(
            *(n for n in self.world.fleet.target_by_id if n not in members),
            *group_by_seat["d0", "large"].members[1:],
            group_by_seat["d0", "small"].members[1],
            group_by_seat["d1", "large"].members[1],
        )
        self.world.run(200)
        self.world.fleet.add("new", "d0")
        self.world.run(200)
        staging = self.world.coordinator.host_by_id["new"].staging
        self.assertEqual("small", staging)

    def test_lost_head_is_replaced(self) -> None:
        """The survivors of a dead head form the group anew."""
        head = self.world.member("small", rank=0)
        self.lose(head)
        self.world.run(4_500)
        self.assertEqual({"large": 6, "small": 6}, self.world.open_by_model())
        self.assertEqual([], self.world.fleet.breaches)

    def test_successor_repairs_what_broke(self) -> None:
        """A new term adopts whole groups and repairs the others."""
        self.world.fleet.kill(self.world.member("large"))
        self.world.elect()
        self.world.run(8_000)
        self.assertEqual({"large": 6, "small": 6}, self.world.open_by_model())
        self.assertEqual([], self.world.fleet.breaches)

    def test_draining_member_closes_its_group_first(self) -> None:
        """A group with a leaving member is closed and formed anew."""
        member = self.world.member("large")
        self.world.fleet.target_by_id[member].draining = True
        self.world.run(4_000)
        self.assertEqual({"large": 6, "small": 6}, self.world.open_by_model())
        for group in self.world.coordinator.open_groups():
            self.assertNotIn(member, group.members)

    def test_members_leave_before_another_group_takes_them(self) -> None:
        """A head cut off from the store keeps its group open meanwhile."""
        groups = [
            group
            for group in self.world.coordinator.open_groups()
            if group.domain == "d0"
        ]
        for group in groups:
            self.world.fleet.target_by_id[group.head].unlisted = True
        self.world.run(9_000)
        self.assertEqual([], self.world.fleet.breaches)

    def test_lost_order_to_stage_is_repeated(self) -> None:
        """A host does not wait for half a minute for an order that is lost."""
        self.world.fleet.add("late", "d0")
        self.world.late_share = 1.0
        self.world.run(1_000)
        self.world.late_share = 0.0
        self.world.run(2_500)
        late = self.world.fleet.target_by_id["late"]
        self.assertIsNotNone(late.staging)

    def test_stale_view_takes_no_host_from_its_group(self) -> None:
        """A coordinator that has not seen a join yet does not undo it.

        Two terms overlap at the start of a large fleet: the later one saw
        the hosts as free that the earlier one had just put into groups.
        """
        world = builders.World()
        overlap_terms(world)
        self.assertEqual([], world.fleet.breaches)

    def test_silent_group_with_living_members_is_formed_anew(self) -> None:
        """A member that lost its head is not found by asking it."""
        group = self.world.coordinator.open_groups()[0]
        epoch = group.epoch
        for _ in range(30):
            self.world.run(50)
            if group.epoch != epoch:
                break
            for command in self.world.coordinator.stalled(
                group.name, epoch, self.world.fleet.now_ms
            ):
                self.world.carry_out(self.world.coordinator, command)
        self.assertGreater(group.epoch, epoch)
        self.assertIs(grouping.Phase.FORMING, group.phase)


if __name__ == "__main__":
    unittest.main()
