"""Tests of the check of requests at targets that leave or rest."""

import time
import unittest
from unittest import mock

from quetzalward_standins import platform

TARGET = "p0"


class NoticeCheckTest(unittest.TestCase):
    """Guards against a check that lets violations pass."""

    def setUp(self) -> None:
        """Begin at a time that the test advances."""
        self.now_s = 100.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.notices = platform.TargetNotices()
        self.senders: dict[str, platform.Sender] = {}
        self.outages: list[platform.Outage] = []

    def request(self, machine: str = "a", sent_ago_s: float = 0.0) -> None:
        """Let a request reach the target, which answers it."""
        attempt_id = f"r{len(self.senders)}"
        sent_s = self.now_s - sent_ago_s
        self.senders[attempt_id] = platform.Sender(machine, sent_s)
        self.notices.record_arrival(TARGET, attempt_id)
        if self.notices.rest_headers(TARGET, attempt_id) is None:
            self.notices.headers(TARGET, attempt_id)

    def violations(self) -> int:
        """Return how many violations the check finds."""
        return len(self.notices.check(self.senders, self.outages))

    def test_requests_without_notices_are_allowed(self) -> None:
        """Targets that said nothing get any number."""
        for _ in range(9):
            self.request()
        self.assertEqual(0, self.violations())

    def test_request_sent_late_to_a_leaving_target_is_found(self) -> None:
        """One of a machine that was told, sent after the bound."""
        self.notices.leave(TARGET)
        self.request()
        self.now_s += 3.0
        self.request(machine="b")
        self.request(sent_ago_s=1.0)
        self.assertEqual(0, self.violations())
        self.request()
        self.assertEqual(1, self.violations())

    def test_restart_or_freeze_excuses_a_late_request_once(self) -> None:
        """The machine is told again then; a cut is no excuse."""
        self.notices.leave(TARGET)
        self.request()
        self.outages = [platform.Outage("a", 101.0, 102.0)]
        self.now_s += 3.0
        self.request()
        self.assertEqual(0, self.violations())
        self.now_s += 3.0
        self.request()
        self.assertEqual(1, self.violations())
        self.outages = [platform.Outage("a", 101.0, 110.0, is_cut=True)]
        self.assertEqual(2, self.violations())

    def test_next_life_of_a_target_says_nothing(self) -> None:
        """Requests may reach it."""
        self.notices.leave(TARGET)
        self.request()
        self.notices.end(TARGET)
        self.now_s += 5.0
        self.request()
        self.assertEqual(0, self.violations())

    def test_third_request_at_rest_is_found(self) -> None:
        """Those of the first half second do not count."""
        self.notices.rest(TARGET, 3.0)
        for _ in range(4):
            self.request()
        self.now_s += 0.6
        self.request()
        self.request()
        self.request(machine="b")
        self.assertEqual(0, self.violations())
        self.request()
        self.assertGreater(self.violations(), 0)
        self.outages = [
            platform.Outage("a", 100.2, 100.3, is_cut=True),
        ]
        self.assertEqual(0, self.violations())

    def test_requests_after_a_rest_are_allowed(self) -> None:
        """The target serves again."""
        self.notices.rest(TARGET, 3.0)
        self.request()
        self.now_s += 3.0
        for _ in range(9):
            self.request()
        self.assertEqual(0, self.violations())


if __name__ == "__main__":
    unittest.main()
