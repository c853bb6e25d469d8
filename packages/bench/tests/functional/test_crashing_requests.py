"""Requests under which targets end, sent again to real gateway processes."""

import asyncio
import time
import unittest

from functional import gateway_case

from quetzalward_bench.soak import _repeats
from quetzalward_bench.soak import _run

CRASHING_S = 14.0
# Repeats that callers send at least, and a bound for the time that this takes
# on a busy machine.
MIN_REPEATS = 3 * _repeats.LEARNED_CRASHES + 1
MAX_CRASHING_S = 90.0


class CrashingRequestTest(gateway_case.GatewayCase):
    """Guards against a request that is repeated and ends each target."""

    def bodies(self) -> dict[str, bytes]:
        """Return the bodies of the repeats, by attempt."""
        return {
            attempt_id: sent.crashing_body
            for attempt_id, sent in self.outcomes.sent_by_id.items()
            if sent.crashing_body is not None
        }

    async def check(self, kind: str, others: tuple[str, ...]) -> None:
        """Let a request come until it should be refused everywhere."""
        request = self.crashing_requests.add(kind)
        self.targets.stream_faults.crashing_bodies.add(request.body)
        begin_s = time.monotonic()
        await asyncio.sleep(CRASHING_S)
        while len(self.bodies()) < MIN_REPEATS:
            await asyncio.sleep(0.5)
            self.assertLess(time.monotonic() - begin_s, MAX_CRASHING_S)
        self.assertGreaterEqual(
            len(self.targets.crashes), _repeats.LEARNED_CRASHES
        )
        errors = _repeats.check(self.bodies(), self.targets, 0.0)
        self.assertEqual([], errors)
        for name in others:
            share = self.outcomes.success_share(time.monotonic() - 4.0, name)
            assert share is not None
            self.assertGreaterEqual(share, _run.RECOVERED_SUCCESS_SHARE, name)
        self.assertEqual([], self.outcomes.violations)

    async def test_repeated_stream_ends_few_targets(self) -> None:
        """Sound streams with the same part and customer are served on."""
        await self.check("draft", ("draft", "book", "stock"))

    async def test_repeatable_call_ends_few_targets(self) -> None:
        """Three targets serve it, so that one arrival could end them all."""
        await self.check("stock", ("draft", "book", "stock"))

    async def test_call_that_runs_once_ends_few_targets(self) -> None:
        """Each arrival ends one target; only the caller repeats it."""
        await self.check("book", ("draft", "book", "stock"))


if __name__ == "__main__":
    unittest.main()
