"""Prompts under which targets end, sent to real gateway processes."""

import asyncio
import pathlib
import random
import tempfile
import time
import unittest

from quetzalward_bench.soak import _callers
from quetzalward_bench.soak import _nodes
from quetzalward_bench.soak import _prompts
from quetzalward_bench.soak import _run
from quetzalward_standins import platform

SEED = 7
NODES = 3
CALLERS = 8
CRASHING_S = 14.0
# Requests with the part that callers send at least, and a bound for the time
# that this takes on a busy machine.
MIN_REQUESTS = 3 * _prompts.LEARNED_CRASHES + 1
MAX_CRASHING_S = 90.0


class CrashingPromptTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that end one target after the other."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins, gateways and callers, and await service."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = platform.Store(random.Random(SEED))
        store_port = await store.server.start()
        operator = platform.Operator(store, _run.engine())
        self.targets = platform.Targets(
            store, _run.engine(), random.Random(SEED), 3, 9, 3
        )
        await self.targets.start()
        operator.publish()
        self.outcomes = _callers.Outcomes()
        self.prompts = _prompts.Prompts(random.Random(SEED))
        self.tasks = [asyncio.create_task(self.targets.run())]
        self.nodes = [
            _nodes.NodeProcess(
                f"n{n}", f"z{n}", pathlib.Path(folder.name), store_port
            )
            for n in range(NODES)
        ]
        self.addAsyncCleanup(self.stop, store)
        for node in self.nodes:
            await node.prepare()
            node.start()
        ports = [node.front_port for node in self.nodes]
        for n in range(CALLERS):
            caller = _callers.Callers(
                ports,
                operator,
                self.outcomes,
                self.prompts,
                random.Random(f"{SEED}-{n}"),
            )
            self.tasks.append(asyncio.create_task(caller.run()))
        self.assertGreaterEqual(await _run.await_service(self.outcomes), 0)
        self.targets.fleet.has_traffic = True

    async def stop(self, store: platform.Store) -> None:
        """End the processes and the stand-ins."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            node.kill()
        store.server.close()

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
