"""Tests of the conditions under which host presence requires a new plan."""

import unittest

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import formation
from quetzalward_node import groups
from quetzalward_node.groups import _presence


def _listing(as_of_ms: int, *names: str) -> groups.HostListing:
    return groups.HostListing(
        as_of_ms,
        {
            name: groups.ListedHost(name, "z", "d", 1, "live", "http://x")
            for name in names
        },
    )


class PlanningLoadTest(unittest.TestCase):
    """Guards against repeated planning while nothing changes."""

    def setUp(self) -> None:
        self.time = clock.ManualClock()
        self.presence = _presence.Presence(self.time)
        fold = agreement.ControlState()
        admitted = [agreement.HostAdmitted(name, 1) for name in ("h1", "h2")]
        fold.apply_batch(0, 0, agreement.encode_batch("w#1", 1, admitted))
        self.view = fold.view()

    def test_an_equal_host_list_is_no_change(self) -> None:
        self.presence.observe(_listing(0, "h1", "h2"), self.view)
        before = self.presence.change_count
        self.presence.observe(_listing(9, "h1", "h2"), self.view)
        self.assertEqual(self.presence.change_count, before)
        self.presence.observe(_listing(9, "h1"), self.view)
        self.assertGreater(self.presence.change_count, before)

    def test_a_missing_host_settles_after_the_hysteresis(self) -> None:
        self.presence.observe(_listing(0, "h1"), self.view)
        self.assertTrue(self.presence.has_recent_absence())
        self.time.advance(formation.REFORM_AFTER_MS)
        self.assertTrue(self.presence.has_recent_absence())
        self.time.advance(60_000)
        self.assertFalse(self.presence.has_recent_absence())
