"""Gateway processes before the stand-in of the platform, with callers."""

import asyncio
import pathlib
import random
import tempfile
import unittest

from quetzalward_bench.soak import _callers
from quetzalward_bench.soak import _nodes
from quetzalward_bench.soak import _prompts
from quetzalward_bench.soak import _repeats
from quetzalward_bench.soak import _run
from quetzalward_standins import platform

SEED = 7
NODES = 3


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that send requests to real gateway processes."""

    hosts = 9
    callers = 8
    # Share of requests whose drafts may be executed only once, as a divisor.
    once_every = 0

    async def asyncSetUp(self) -> None:
        """Start the stand-ins, gateways and callers, and await service."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = store = platform.Store(random.Random(SEED))
        store_port = await store.server.start()
        self.operator = operator = platform.Operator(store, _run.engine())
        self.targets = platform.Targets(
            store, _run.engine(), random.Random(SEED), 3, self.hosts, 3
        )
        await self.targets.start()
        operator.publish()
        self.outcomes = _callers.Outcomes()
        self.prompts = _prompts.Prompts(random.Random(SEED))
        self.crashing_requests = _repeats.CrashingRequests(random.Random(SEED))
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
        for n in range(self.callers):
            caller = _callers.Callers(
                ports,
                operator,
                self.outcomes,
                self.prompts,
                random.Random(f"{SEED}-{n}"),
                self.once_every,
                self.crashing_requests,
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
