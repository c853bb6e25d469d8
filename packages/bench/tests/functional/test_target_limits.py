"""Targets that name a limit on their requests, before real gateways."""

import asyncio
import time
import unittest

from functional import gateway_case

from quetzalward_bench.soak import _run
from quetzalward_core import fleet
from quetzalward_standins import platform

LIMIT_PER_S = 1.1
HEAD_LIMIT_PER_S = 0.25
LIMITED_S = 14.0
# Time from the end of a limit until its target gets its usual share again.
RELEASED_S = 8.0
# Share of what the plain targets offer that must be used. Callers want more
# than that, as all of them are limited.
MIN_USED_SHARE = 0.6


class TargetLimitTest(gateway_case.GatewayCase):
    """Guards against nodes that exceed a target's limit together."""

    callers = 12

    def limited_heads(self) -> list[str]:
        """Return the heads of half of the open groups."""
        heads = [
            target.id
            for target in self.targets.fleet.target_by_id.values()
            if target.membership is not None
            and target.membership.state is fleet.MemberState.OPEN
            and target.membership.members[0] == target.id
        ]
        return heads[: len(heads) // 2]

    async def limit(self) -> list[platform.Period]:
        """Let targets name a limit for a while; return the periods."""
        limits = self.targets.limits
        periods = [
            limits.name(name, LIMIT_PER_S) for name in self.targets.plain_by_id
        ]
        periods += [
            limits.name(name, HEAD_LIMIT_PER_S)
            for name in self.limited_heads()
        ]
        await asyncio.sleep(LIMITED_S)
        return periods

    async def test_nodes_together_keep_the_limit_and_use_it(self) -> None:
        """What one node is told bounds the sum over all nodes."""
        periods = await self.limit()
        self.assertEqual([], self.targets.limits.check())
        for period in periods:
            if period.target_id in self.targets.plain_by_id:
                assert period.named_s is not None, period.target_id
                limited_s = time.monotonic() - period.named_s
                used = period.count(period.named_s, time.monotonic())
                offered = LIMIT_PER_S * limited_s
                self.assertGreater(used, MIN_USED_SHARE * offered, period)
        self.assertEqual([], self.outcomes.violations)

    async def test_target_gets_requests_again_when_its_limit_ends(
        self,
    ) -> None:
        """All plain targets are limited, so that callers need them."""
        limits = self.targets.limits
        for name in self.targets.plain_by_id:
            limits.name(name, LIMIT_PER_S)
        await asyncio.sleep(LIMITED_S / 2)
        for name in self.targets.plain_by_id:
            limits.end(name)
        await asyncio.sleep(RELEASED_S)
        since_s = time.monotonic() - RELEASED_S / 2
        for kind in ("book", "stock"):
            share = self.outcomes.success_share(since_s, kind)
            assert share is not None
            self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE, kind)


if __name__ == "__main__":
    unittest.main()
