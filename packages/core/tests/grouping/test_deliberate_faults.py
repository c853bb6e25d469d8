"""The random fault histories detect faults injected into the code."""

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


class FaultDetectionTest(unittest.TestCase):
    """Guards against a fuzz test that cannot fail."""

    def detects_breach(self, loads: bool = False) -> bool:
        """Tell whether one of the histories violates an invariant."""
        for seed in SEEDS:
            injector = test_fuzz.FaultInjector(seed)
            for _ in range(test_fuzz.STEPS):
                injector.step()
                if injector.simulation.fleet.violations:
                    return True
            begun = injector.simulation.fleet.load_starts_ms
            for start_ms in begun:
                window = [
                    t
                    for t in begun
                    if start_ms <= t < start_ms + test_fuzz.WINDOW_MS
                ]
                if loads and len(window) > test_fuzz.MAX_LOADS_IN_WINDOW:
                    return True
        return False

    def test_members_that_do_not_leave(self) -> None:
        """Assigning hosts whose old head may still be open is detected."""

        def free(roster: _roster.Roster, hosts: list[object]) -> list[object]:
            return [
                host
                for host in hosts
                if host.id not in roster.group_by_member  # type: ignore
            ]

        with (
            mock.patch.object(_roster.Roster, "free", free),
            mock.patch.object(
                _coordinator.Coordinator, "_release_unplanned_targets"
            ),
            mock.patch.object(_model.Host, "is_free_for", lambda *_: True),
        ):
            self.assertTrue(self.detects_breach())

    def test_joins_on_a_stale_view(self) -> None:
        """Joins without a prior probe of the target are detected."""

        def zero_sequence(*_: object) -> int:
            return 0

        simulation = builders.Simulation()
        with (
            mock.patch.object(
                _roster.Roster, "accepted_sequence", zero_sequence
            ),
            mock.patch.object(_model.Host, "is_free_for", lambda *_: True),
            mock.patch.object(
                group_targets.GroupFleet, "meets_precondition", lambda *_: True
            ),
        ):
            test_coordinator.overlap_terms(simulation)
        self.assertNotEqual([], simulation.fleet.violations)

    def test_opening_before_all_are_ready(self) -> None:
        """Opening the head of an incomplete group is detected."""
        states = _lifecycle.READY_STATES | {None}
        with mock.patch.object(_lifecycle, "READY_STATES", states):
            self.assertTrue(self.detects_breach())

    def test_loads_without_a_limit(self) -> None:
        """Loads above the limit of the weight store are detected."""
        with (
            mock.patch.object(_loads.LoadLimit, "allows", return_value=True),
            mock.patch.object(_spares, "WARM_RETRY_MS", 0),
        ):
            self.assertTrue(self.detects_breach(loads=True))


if __name__ == "__main__":
    unittest.main()
