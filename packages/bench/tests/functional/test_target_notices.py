"""Targets that say that they leave or rest, before real gateways."""

import asyncio
import time
import unittest

from functional import gateway_case

from quetzalward_bench.soak import _run
from quetzalward_core import fleet

# Executions that show which targets get requests.
USED_EXECUTIONS = 40
LEAVING_S = 6.0
REST_S = 4.0
# Time from the end of a rest until all requests are served again.
RETURNED_S = 4.0


class TargetNoticeTest(gateway_case.GatewayCase):
    """Guards against requests that targets have asked not to get."""

    callers = 12

    def open_heads(self) -> list[str]:
        """Return the heads of the open groups."""
        return [
            target.id
            for target in self.targets.fleet.target_by_id.values()
            if target.membership is not None
            and target.membership.state is fleet.MemberState.OPEN
            and target.membership.members[0] == target.id
        ]

    def used_plain(self) -> str:
        """Return the plain target that was asked most lately."""
        lately = [
            execution.target_id
            for execution in self.targets.executions[-USED_EXECUTIONS:]
            if execution.target_id in self.targets.plain_by_id
        ]
        return max(set(lately), key=lately.count)

    def violations(self) -> list[str]:
        """Return what broke the rules."""
        return self.targets.notices.check(self.outcomes.senders(), [])

    async def test_leaving_target_gets_nothing_from_nodes_that_know(
        self,
    ) -> None:
        """Its entry never drains, so that only its answers say it."""
        heads = self.open_heads()
        leaving = [self.used_plain(), *heads[: len(heads) // 2]]
        lives = [self.targets.notices.leave(name) for name in leaving]
        await asyncio.sleep(LEAVING_S)
        counts = {life.target_id: len(life.leaving_answers) for life in lives}
        self.assertNotIn(0, counts.values(), counts)
        self.assertEqual([], self.violations())
        self.assertEqual([], self.outcomes.violations)

    async def test_others_serve_while_targets_rest(self) -> None:
        """A plain target and a head rest, the others are enough."""
        resting = [self.used_plain(), self.open_heads()[0]]
        lives = [self.targets.notices.rest(n, REST_S) for n in resting]
        await asyncio.sleep(REST_S)
        counts = {life.target_id: len(life.rest_answers) for life in lives}
        self.assertNotIn(0, counts.values(), counts)
        self.assertEqual([], self.violations())
        since_s = time.monotonic() - REST_S / 2
        for kind in ("book", "stock", "draft"):
            share = self.outcomes.success_share(since_s, kind)
            assert share is not None
            self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE, kind)
        self.assertEqual([], self.outcomes.violations)

    async def test_callers_are_refused_at_once_while_all_rest(self) -> None:
        """No target gets more than the bound, and all serve afterwards."""
        lives = [
            self.targets.notices.rest(name, REST_S)
            for name in self.targets.plain_by_id
        ]
        await asyncio.sleep(REST_S)
        counts = [len(life.rest_answers) for life in lives]
        self.assertNotIn(0, counts)
        self.assertEqual([], self.violations())
        refused = self.outcomes.answered["stock 503"]
        self.assertGreater(refused, sum(counts))
        self.assertEqual(0, self.outcomes.answered["stock 504"])
        await asyncio.sleep(RETURNED_S)
        since_s = time.monotonic() - RETURNED_S / 2
        for kind in ("book", "stock"):
            share = self.outcomes.success_share(since_s, kind)
            assert share is not None
            self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE, kind)


if __name__ == "__main__":
    unittest.main()
