"""Explores all short histories of faults around a conversion.

The decision code itself runs, on the fleet that the stand-in models. From the
moment at which hosts are staged for a model without a group, every sequence of
faults up to `DEPTH` steps is played; states that were reached before are not
explored again.
"""

import collections.abc
import copy
import unittest
from unittest import mock

import attrs
from grouping import builders
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_core.grouping import _lifecycle
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster

DEPTH = 5
# Longer than a join and the opening of a group together, so that each step of
# a group lies between two faults in some history.
STEP_MS = 350
# Bounds the time of the test; the explored histories are complete up to it.
MAX_STATES = 4_000
LATE_MS = 700

Action = collections.abc.Callable[["World"], None]


def quick_engine() -> fleet.Engine:
    """Return an engine with short loads, so that histories are short."""
    engine = builders.engine(4, 2)
    models = {
        name: attrs.evolve(model, load_ms=300, warm_ms=200)
        for name, model in engine.models_by_name.items()
    }
    return attrs.evolve(
        engine, models_by_name=models, loads_per_s=40.0, report_lag_ms=0
    )


class LateSimulation(builders.Simulation):
    """Executes some joins late and unanswered while `late_joins` is set."""

    late_joins = False

    def execute(
        self, coordinator: grouping.Coordinator, command: grouping.Command
    ) -> None:
        """Execute a command; the join of a last member may be late."""
        if not (
            self.late_joins
            and isinstance(command, grouping.Join)
            and command.target_id == command.members[-1]
        ):
            super().execute(coordinator, command)
            return
        now_ms = self.fleet.now_ms
        self._delayed.append((now_ms + LATE_MS, command))
        coordinator.record_order_answer(
            command, grouping.OrderAnswer.UNANSWERED, now_ms
        )

    @property
    def late_orders(self) -> int:
        """Return the number of orders that are still to be executed."""
        return len(self._delayed)


class World:
    """A fleet, its coordinator, and a deposed one that still acts."""

    def __init__(self) -> None:
        """Start at a conversion: the large model fits into no domain."""
        self.simulation = LateSimulation(2, 4, quick_engine())
        self.simulation.run(8_000)
        self.simulation.start_traffic()
        for domain in range(2):
            for host in (4, 5):
                self.simulation.fleet.add(f"t{domain}-{host}", f"d{domain}")
        self.simulation.run(2 * builders.TICK_MS)
        self.deposed: grouping.Coordinator | None = None

    def step(self, action: Action) -> None:
        """Play a fault and let time pass."""
        simulation = self.simulation
        simulation.late_joins = False
        action(self)
        end_ms = simulation.fleet.now_ms + STEP_MS
        while simulation.fleet.now_ms < end_ms:
            simulation.run(builders.TICK_MS)
            if self.deposed is not None:
                simulation.tick(self.deposed)

    def fingerprint(self) -> tuple[object, ...]:
        """Return what decides how the world goes on, without times."""
        targets = tuple(
            (
                t.id,
                t.alive,
                t.partitioned,
                t.draining,
                t.staging,
                tuple(t.staged),
                t.membership
                and (t.membership.group, t.membership.state.value),
            )
            for t in self.simulation.fleet.target_by_id.values()
        )
        groups = tuple(
            (g.name, g.phase.value, g.members)
            for g in self.simulation.coordinator.group_by_name.values()
        )
        return (
            targets,
            groups,
            self.simulation.term,
            self.deposed is not None,
            self.simulation.late_orders,
        )


def nothing(world: World) -> None:
    """Let time pass."""


def kill_member(world: World) -> None:
    """Kill a member of the first open group; its entry expires later."""
    groups = world.simulation.coordinator.open_groups()
    if groups:
        world.simulation.fleet.kill(groups[0].members[-1])


def cut_off_head(world: World) -> None:
    """Remove the entry of an open head that serves on."""
    for group in world.simulation.coordinator.open_groups()[:1]:
        target = world.simulation.fleet.target_by_id[group.head]
        target.partitioned = True
        target.heartbeat_ms -= 10_000


def return_all(world: World) -> None:
    """Restart what was killed and connect what was cut off."""
    for target in world.simulation.fleet.target_by_id.values():
        target.partitioned = False
        if not target.alive:
            world.simulation.fleet.restart(target.id)


def elect(world: World) -> None:
    """Begin a term; the coordinator before goes on for one more."""
    world.deposed = world.simulation.coordinator
    world.simulation.elect()
    world.simulation.coordinator.record_traffic()


def delay_joins(world: World) -> None:
    """Execute joins of this step late, after newer orders."""
    world.simulation.late_joins = True


ACTIONS: tuple[Action, ...] = (
    nothing,
    kill_member,
    cut_off_head,
    return_all,
    elect,
    delay_joins,
)


def explore(depth: int = DEPTH) -> tuple[int, list[str]]:
    """Return the number of states and the violations found, if any."""
    start = World()
    seen = {start.fingerprint()}
    frontier = [(start, "")]
    for _ in range(depth):
        following = []
        for world, path in frontier:
            for action in ACTIONS:
                if len(seen) >= MAX_STATES:
                    return len(seen), []
                successor = copy.deepcopy(world)
                successor.step(action)
                steps = f"{path} {action.__name__}"
                violations = successor.simulation.fleet.violations
                if violations:
                    return len(seen), [f"{steps}: {violations[0]}"]
                key = successor.fingerprint()
                if key not in seen:
                    seen.add(key)
                    following.append((successor, steps))
        frontier = following
    return len(seen), []


class ModelCheckTest(unittest.TestCase):
    """Guards against faults that only certain orders of events show."""

    def test_start_is_a_conversion(self) -> None:
        """The histories begin where groups are about to be given up."""
        world = World()
        self.assertEqual({"small": 2}, world.simulation.open_by_model())
        for _ in range(12):
            world.step(nothing)
        self.assertEqual(
            {"small": 2, "large": 1}, world.simulation.open_by_model()
        )

    def test_no_history_violates_an_invariant(self) -> None:
        """No incomplete group opens, and no target is in two groups."""
        states, violations = explore()
        self.assertEqual([], violations)
        self.assertGreater(states, 200)

    def test_opening_before_all_are_ready_is_found(self) -> None:
        """The search can fail: only the head is waited for."""

        def await_head(
            lifecycle: _lifecycle.Lifecycle,
            engine: fleet.Engine,
            group: _model.Group,
            now_ms: int,
            commands: list[grouping.Command],
        ) -> None:
            state = lifecycle._roster.member_state(group, group.head)
            if state in _lifecycle.READY_STATES:
                group.step("all_ready", now_ms)
                group.accepted_ms_by_id.clear()
            else:
                lifecycle._roster.probe(group.head, now_ms, commands)

        with mock.patch.object(
            _lifecycle.Lifecycle, "_await_ready", await_head
        ):
            self.assertNotEqual([], explore()[1])

    def test_members_that_do_not_leave_are_found(self) -> None:
        """The search can fail: closing groups are not waited for."""

        def free(
            roster: _roster.Roster,
            hosts: collections.abc.Iterable[_model.Host],
        ) -> list[_model.Host]:
            return list(hosts)

        with (
            mock.patch.object(_roster.Roster, "free", free),
            mock.patch.object(_model.Host, "is_free_for", lambda *_: True),
        ):
            self.assertNotEqual([], explore()[1])


if __name__ == "__main__":
    unittest.main()
