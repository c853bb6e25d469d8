"""Tests of requests to plain targets, through real connections."""

import asyncio
import random
import typing
import unittest

import attrs
import fakes
import hostile_targets

from quetzalward_core import fleet
from quetzalward_core import limits
from quetzalward_gateway import _plain
from quetzalward_gateway import _state

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# A node may use 0.7 of what cold targets tolerate: one request a second.
SERVICE = fleet.Service("s", "/", 10_000, 2.0)
LIMITED_SERVICE = fleet.Service("s", "/", 0, 0.0)


class PlainTest(unittest.IsolatedAsyncioTestCase):
    """Guards against targets that get more than they bear."""

    async def asyncSetUp(self) -> None:
        """Listen as the only target of a service, before one node."""
        self.connections = 0
        self.target = hostile_targets.HostileTarget(self.answer)
        await self.enterAsyncContext(self.target.running())
        self.runtime = fakes.Call().runtime
        settings = attrs.evolve(fakes.settings(), nodes=1)
        self.runtime.state = _state.NodeState(settings, random.Random(1))

    async def answer(self, writer: asyncio.StreamWriter) -> None:
        """Count a request and answer it."""
        self.connections += 1
        writer.write(ANSWER)
        await writer.drain()
        await asyncio.sleep(0.2)

    def put(self, cold_left_ms: int) -> fleet.Target:
        """Write the target's entry."""
        target = fleet.Target(
            "t1", "s", self.target.address, "z", False, cold_left_ms, 7
        )
        self.runtime.state.directory.put(target, self.runtime.now_ms())
        return target

    async def send(self, service: fleet.Service, count: int) -> None:
        """Send requests at the same time."""
        calls = [fakes.Call() for _ in range(count)]
        for call in calls:
            call.runtime, call.service = self.runtime, service
        await asyncio.gather(
            *(_plain.run(typing.cast(typing.Any, call)) for call in calls)
        )

    async def test_requests_that_are_connecting_count_for_a_cold_target(
        self,
    ) -> None:
        """Others are placed before the connection of the first is open."""
        self.put(5_000)
        await self.send(SERVICE, 6)
        self.assertEqual(1, self.connections)

    async def test_requests_that_are_connecting_count_for_a_limit(
        self,
    ) -> None:
        """One permit serves one of the requests that come at once."""
        target = self.put(0)
        now_ms = self.runtime.now_ms()
        target_limits = self.runtime.state.target_limits
        target_limits.observe(
            target.key, ("s", ""), limits.LimitNotice(1.0), now_ms, now_ms
        )
        target_limits.follow_term(1)
        target_limits.apply_list([], now_ms)
        permit = limits.Permit("a", 1, target.key, now_ms)
        target_limits.add_permits(1, [permit], now_ms)
        await self.send(LIMITED_SERVICE, 6)
        self.assertEqual(1, self.connections)


if __name__ == "__main__":
    unittest.main()
