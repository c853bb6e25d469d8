"""Prompts under which targets end, sent to real gateway processes."""

import asyncio
import time
import unittest

from functional import gateway_case

from quetzalward_bench.soak import _prompts
from quetzalward_bench.soak import _run

CRASHING_S = 14.0
# Requests with the part that callers send at least, and a bound for the time
# that this takes on a busy machine.
MIN_REQUESTS = 3 * _prompts.LEARNED_CRASHES + 1
MAX_CRASHING_S = 90.0


class CrashingPromptTest(gateway_case.GatewayCase):
    """Guards against requests that end one target after the other."""

    def sent_count(self, part: str) -> int:
        """Return how many requests with a crashing part were sent."""
        prompts = (s.prompt for s in self.outcomes.sent_by_id.values())
        return sum(p is not None and p.crashing_part == part for p in prompts)

    async def test_part_that_ends_targets_is_sent_to_few_of_them(self) -> None:
        """All nodes learn of the part; sound requests are served on."""
        part = self.prompts.add_crashing_part()
        self.targets.stream_faults.crashing_parts.add(part)
        begin_s = time.monotonic()
        await asyncio.sleep(CRASHING_S)
        while self.sent_count(part) < MIN_REQUESTS:
            await asyncio.sleep(0.5)
            self.assertLess(time.monotonic() - begin_s, MAX_CRASHING_S)
        prompts_by_attempt = {
            sent.attempt_id: sent.prompt
            for sent in self.outcomes.sent_by_id.values()
            if sent.prompt is not None
        }
        errors = _prompts.check(prompts_by_attempt, self.targets, 0.0)
        self.assertEqual([], errors)
        share = self.outcomes.success_share(time.monotonic() - 4.0, "draft")
        assert share is not None
        self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE)
        self.assertEqual([], self.outcomes.violations)


if __name__ == "__main__":
    unittest.main()
