"""Tests of restarts and silences of the platform stand-in's targets."""

import asyncio
import random
import socket
import unittest

from quetzalward_core import fleet
from quetzalward_standins import platform

TARGET = "t0-0"
SILENT_S = 0.4


def engine() -> fleet.Engine:
    """Return an engine without models."""
    return fleet.Engine(
        slots=2,
        kv_tokens=1_000,
        stride=1,
        step_ms=1.0,
        per_sequence_ms=0.0,
        context_ms_per_k=0.0,
        read_tokens_per_ms=10.0,
        pairs_ms_per_m=0.0,
        chunk_tokens=100,
        loads_per_s=1.0,
        loads_at_once=1,
        keeps=1,
        form_ms=10,
        typical_prompt_tokens=10,
        typical_answer_tokens=10,
        models_by_name={},
    )


class TargetCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests of two targets."""

    async def asyncSetUp(self) -> None:
        """Start two targets."""
        self.targets = platform.Targets(
            platform.Store(random.Random(2)),
            engine(),
            random.Random(1),
            1,
            1,
            1,
        )
        await self.targets.start()
        self.addCleanup(self.stop)

    def stop(self) -> None:
        """Stop all targets."""
        for name in (TARGET, "p0"):
            self.targets.kill(name)

    def port(self, name: str) -> int:
        """Return the port that a target listens on."""
        return self.targets._port_by_id[name]


class RestartTest(TargetCase):
    """Guards against a failed restart after overlapping faults.

    Two faults kill one target; the second restart must not fail because the
    target already listens on its port.
    """

    async def accepts_connections(self, name: str) -> bool:
        """Tell whether a target accepts connections."""
        try:
            _, writer = await asyncio.open_connection(
                "127.0.0.1", self.port(name)
            )
        except ConnectionError:
            return False
        writer.close()
        return True

    async def test_overlapping_faults_restart_a_target_once(self) -> None:
        """Targets of both kinds listen after two kills and restarts."""
        for name in (TARGET, "p0"):
            self.targets.kill(name)
            self.targets.kill(name)
            self.assertFalse(await self.accepts_connections(name))
            await self.targets.restart(name)
            await self.targets.restart(name)
            self.assertTrue(await self.accepts_connections(name))

    async def test_taken_port_gives_the_target_another_address(self) -> None:
        """Another process may bind the port while the target is down."""
        port = self.port(TARGET)
        self.targets.kill(TARGET)
        with socket.create_server(("127.0.0.1", port)):
            await self.targets.restart(TARGET)
            self.assertNotEqual(port, self.port(TARGET))
            self.assertTrue(await self.accepts_connections(TARGET))


class SilenceTest(TargetCase):
    """Guards against a silence that ends or loses what it only delays."""

    async def request(self, name: str, path: str) -> bytes:
        """Send a request to a target; return the status line."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port(name)
        )
        head = (
            f"GET {path} HTTP/1.1\r\nHost: t\r\n"
            f"Quetzalward-Attempt-Id: a1\r\n"
            f"Quetzalward-Expect-Replica: {name}\r\n\r\n"
        )
        writer.write(head.encode())
        try:
            return await reader.readline()
        finally:
            writer.close()

    async def test_silent_target_answers_when_it_goes_on(self) -> None:
        """A new connection is accepted, and its request waits."""
        for name, path in ((TARGET, "/report"), ("p0", "/book/1")):
            self.targets.pause(name, SILENT_S)
            task = asyncio.create_task(self.request(name, path))
            await asyncio.sleep(SILENT_S / 2)
            self.assertFalse(task.done())
            self.assertIn(b" 200 ", await task)
        self.assertEqual(["a1"], [e.attempt_id for e in self.executed()])

    async def test_request_of_a_caller_that_left_runs_afterwards(self) -> None:
        """A silent target cannot notice that a connection has ended."""
        self.targets.pause("p0", SILENT_S)
        task = asyncio.create_task(self.request("p0", "/book/1"))
        await asyncio.sleep(SILENT_S / 2)
        task.cancel()
        await asyncio.sleep(SILENT_S)
        self.assertEqual(["a1"], [e.attempt_id for e in self.executed()])

    async def test_killed_target_runs_nothing_that_it_had_read(self) -> None:
        """Its end also ends the silence."""
        self.targets.pause("p0", SILENT_S)
        task = asyncio.create_task(self.request("p0", "/book/1"))
        await asyncio.sleep(SILENT_S / 2)
        self.targets.kill("p0")
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(SILENT_S)
        self.assertEqual([], self.executed())

    async def test_request_refused_at_rest_has_not_arrived(self) -> None:
        """The soak took its target for the one that had to answer."""
        self.targets.notices.rest("p0", 5.0)
        self.assertIn(b" 503 ", await self.request("p0", "/book/1"))
        self.assertEqual([], self.targets.arrivals)

    def executed(self) -> list[platform.Execution]:
        """Return what the targets ran."""
        return self.targets.executions
