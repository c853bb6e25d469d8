"""Sound targets that stand still beside changes, before real gateways."""

import asyncio
import collections
import time
import unittest

from functional import gateway_case

from quetzalward_bench.soak import _callers
from quetzalward_bench.soak import _losses
from quetzalward_bench.soak import _run

SILENT_S = 1.0
CHANGES = 3
# Time from the end of a silence until requests have ended that saw it, and
# the time in which service is measured then.
SETTLED_S = 6.0
OBSERVED_S = 3.0


class SilentTargetTest(gateway_case.GatewayCase):
    """Guards against requests that are lost since their target is silent."""

    maxDiff = None
    callers = 16
    once_every = 2

    def targets_of(self, model: str) -> list[str]:
        """Return the members of all groups of a model."""
        return [
            target.id
            for target in self.targets.fleet.target_by_id.values()
            if target.membership is not None
            and target.membership.model == model
        ]

    async def check_silence(
        self, target_ids: list[str], writes_entry: bool = True
    ) -> None:
        """Silence targets beside changes, and check what all sides saw."""
        self.assertTrue(target_ids)
        began_s = time.monotonic()
        for target_id in target_ids:
            self.targets.pause(target_id, SILENT_S, writes_entry)
        for _ in range(CHANGES):
            self.operator.publish()
            await asyncio.sleep(SILENT_S / CHANGES)
        await asyncio.sleep(SETTLED_S + OBSERVED_S)
        lost = _losses.check(self.outcomes.losses, self.targets, self.nodes)
        self.assertEqual([], lost, self.summary(began_s))
        self.check_executed_once()
        self.assertEqual([], self.outcomes.violations)
        since_s = time.monotonic() - OBSERVED_S
        for kind in ("draft", "book", "stock"):
            share = self.outcomes.success_share(since_s, kind)
            assert share is not None
            self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE, kind)

    def check_executed_once(self) -> None:
        """Check that no request was executed twice that must not be."""
        count_by_attempt = collections.Counter(
            execution.attempt_id for execution in self.targets.executions
        )
        repeated = [
            attempt_id
            for attempt_id, count in count_by_attempt.items()
            if count > 1
            and not self.outcomes.sent_by_id[attempt_id].is_repeatable
        ]
        self.assertEqual([], repeated)

    def summary(self, since_s: float) -> str:
        """Return how many requests were sent in a silence, and all ends."""
        sent: list[_callers.SentAttempt] = [
            attempt
            for attempt in self.outcomes.sent_by_id.values()
            if since_s <= attempt.sent_s < since_s + SILENT_S
        ]
        answered = dict(self.outcomes.answered)
        return f"{len(sent)} sent in the silence; all outcomes: {answered}"

    async def test_quarter_of_targets_loses_no_request(self) -> None:
        """A node must not take a silence for a loss."""
        names = [*self.targets.plain_by_id, *self.targets.fleet.target_by_id]
        await self.check_silence(names[::4])

    async def test_quarter_without_entries_loses_no_request(self) -> None:
        """Its targets write no heartbeat either."""
        names = [*self.targets.plain_by_id, *self.targets.fleet.target_by_id]
        await self.check_silence(names[::4], writes_entry=False)

    async def test_plain_service_loses_no_request(self) -> None:
        """All targets of the service stand still."""
        await self.check_silence(list(self.targets.plain_by_id))

    async def test_model_loses_no_stream(self) -> None:
        """No other group of the model can take over."""
        await self.check_silence(self.targets_of("large"))


if __name__ == "__main__":
    unittest.main()
