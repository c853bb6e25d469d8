"""The random histories notice faults that are put into the decisions."""

import unittest
from unittest import mock

from grouping import builders
from grouping import test_coordinator
from grouping import test_fuzz
from quetzalward_core.grouping import _coordinator
from quetzalward_core.grouping import _lifecycle
from quetzalward_core.grouping import _loads
from quetzalward_core.grouping import _model
from quetzalward_core.grouping import _roster
from quetzalward_core.grouping import _spares
from quetzalward_standins import group_targets

SEEDS = range(6)


class DeliberateFaultTest(unittest.TestCase):
    """Guards against a fuzz test that could not fail."""

    def find(self, loads: bool = False) -> bool:
        """Tell whether a rule is broken in one of the histories."""
        for seed in SEEDS:
            troubles = test_fuzz.Troubles(seed)
            for _ in range(test_fuzz.STEPS):
                troubles.step()
                if troubles.world.fleet.breaches:
                    return True
            begun = troubles.world.fleet.loads_ms
            for start_ms in begun:
                window = [
                    t
                    for t in begun
                    if start_ms <= t < start_ms + test_fuzz.WINDOW_MS
                ]
                if loads and len(window) > test_fuzz.CEILING:
                    return True
        return False

    def test_members_that_do_not_leave(self) -> None:
        """Hosts taken while their old head may be open are noticed."""

        def free(roster: _roster.Roster, hosts: list[object]) -> list[object]:
            return [
                host
                for host in hosts
                if host.id not in roster.group_by_member  # type: ignore
            ]

        with (
            mock.patch.object(_roster.Roster, "free", free),
            mock.patch.object(_coordinator.Coordinator, "_release_strangers"),
            mock.patch.object(_model.Host, "is_free_for", lambda *_: True),
        ):
            self.assertTrue(self.find())

    def test_joins_on_a_stale_view(self) -> None:
        """Joins without asking the target first are noticed."""

        def guess(*_: object) -> int:
            return 0

        world = builders.World()
        with (
            mock.patch.object(_roster.Roster, "sequence_of", guess),
            mock.patch.object(_model.Host, "is_free_for", lambda *_: True),
            mock.patch.object(
                group_targets.GroupFleet, "is_expected", lambda *_: True
            ),
        ):
            test_coordinator.overlap_terms(world)
        self.assertNotEqual([], world.fleet.breaches)

    def test_opening_before_all_are_ready(self) -> None:
        """A head opened for a group that is not whole is noticed."""
        states = _lifecycle.READY_STATES | {None}
        with mock.patch.object(_lifecycle, "READY_STATES", states):
            self.assertTrue(self.find())

    def test_loads_without_a_limit(self) -> None:
        """Loads above the ceiling of the weight store are noticed."""
        with (
            mock.patch.object(_loads.LoadLimit, "allows", return_value=True),
            mock.patch.object(_spares, "WARM_RETRY_MS", 0),
        ):
            self.assertTrue(self.find(loads=True))


if __name__ == "__main__":
    unittest.main()
