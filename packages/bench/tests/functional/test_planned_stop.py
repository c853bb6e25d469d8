"""A planned stop of one node in calm, under real gateways."""

import asyncio
import pathlib
import signal
import tempfile
import time
import unittest

import attrs
from functional import gateway_case

from quetzalward_bench.soak import _nodes
from quetzalward_core import fleet
import quetzalward_gateway as gateway
from quetzalward_standins.platform import _operator

# Time for a process to listen.
START_S = 2.0
SEND_INTERVAL_S = 0.1
DEADLINE_MS = 6_000
# Longer than what is left of the grace when the balancer has noticed the stop.
PLAIN_SERVICE_S = 5.0
SECOND_SIGNAL_AFTER_S = 1.0
TOKENS = 28
TOKEN_INTERVAL_S = 0.18
# A stream that is sent later, or that ends sooner, has no excuse.
EXCUSED_S = 3.0
# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


@attrs.define
class Sent:
    """One request, and the status that its caller received."""

    attempt_id: str
    kind: str
    # Since the signal to stop.
    at_s: float
    status: int | None = None


class PlannedStopTest(gateway_case.GatewayCase):
    """Guards against requests that are passed on and end without a status."""

    async def asyncSetUp(self) -> None:
        """Let the callers of the base end once the nodes serve."""
        await super().asyncSetUp()
        for task in self.tasks[1:]:
            task.cancel()
        self.sent: list[Sent] = []
        self.address = fleet.Address("127.0.0.1", self.nodes[0].front_port)
        self.kept_client = gateway.HttpClient(_now_ms)

    async def send(self, kind: str, reuse: bool, stopped_s: float) -> None:
        """Send a request to the node that stops."""
        sent = Sent(f"s{len(self.sent)}", kind, time.monotonic() - stopped_s)
        self.sent.append(sent)
        headers = [
            (b"host", _operator.HOST.encode()),
            (b"quetzalward-attempt-id", sent.attempt_id.encode()),
            (b"quetzalward-request-deadline", str(DEADLINE_MS).encode()),
            (b"authorization", b"Token key-north"),
        ]
        if kind == "draft":
            headers += [
                (b"quetzalward-model", b"small"),
                (b"quetzalward-token-count", f"200,{TOKENS}".encode()),
            ]
        client = self.kept_client if reuse else gateway.HttpClient(_now_ms)
        try:
            answer = await client.call(
                self.address,
                "GET" if kind == "stock" else "POST",
                f"/{kind}/1",
                headers,
                b"",
                DEADLINE_MS + 1_500,
                reuse,
            )
        except gateway.CallFailed:
            return
        sent.status = answer.status

    async def stop_under_load(self) -> float:
        """Stop the node while callers send; return the time it took.

        The platform's signal comes twice.
        """
        loop = asyncio.get_running_loop()
        self.targets.plain_service_s = PLAIN_SERVICE_S
        self.targets.token_interval_s = TOKEN_INTERVAL_S
        node = self.nodes[0]
        stopped_s = time.monotonic() + 1.0
        signals_s = [stopped_s, stopped_s + SECOND_SIGNAL_AFTER_S]
        calls = []
        while node.is_running:
            if signals_s and time.monotonic() >= signals_s[0]:
                signals_s.pop(0)
                node.signal(signal.SIGTERM)
            self.assertFalse(node.exceeded_stop_timeout())
            for kind in ("draft", "book", "stock"):
                reuse = len(self.sent) % 2 == 0
                calls.append(
                    loop.create_task(self.send(kind, reuse, stopped_s))
                )
            await asyncio.sleep(SEND_INTERVAL_S)
        took_s = time.monotonic() - stopped_s
        await asyncio.gather(*calls)
        return took_s

    async def test_requests_that_are_passed_on_get_a_status(self) -> None:
        """Whatever was taken late in the grace was cut at its end."""
        took_s = await self.stop_under_load()
        executions: dict[str, int] = {}
        for execution in self.targets.executions:
            executions.setdefault(execution.attempt_id, 0)
            executions[execution.attempt_id] += 1
        cut = [
            sent
            for sent in self.sent
            if sent.attempt_id in executions
            and sent.status is None
            and (sent.kind != "draft" or sent.at_s > EXCUSED_S)
        ]
        by_kind = {
            kind: sum(sent.kind == kind for sent in cut)
            for kind in ("draft", "book", "stock")
        }
        self.assertEqual({"draft": 0, "book": 0, "stock": 0}, by_kind)
        bookings = [sent for sent in self.sent if sent.kind == "book"]
        for sent in bookings:
            count = executions.get(sent.attempt_id, 0)
            self.assertLessEqual(count, sent.status not in NOT_RUN, sent)
        self.assertLess(took_s, _nodes.GRACE_S)


class EarlyStopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a node that cannot be stopped before it serves."""

    async def test_node_without_a_configuration_ends_in_time(self) -> None:
        """Nothing answers at the store's address."""
        with tempfile.TemporaryDirectory() as folder:
            node = _nodes.NodeProcess(
                "n", "z", pathlib.Path(folder), _nodes.free_port()
            )
            self.addCleanup(node.kill)
            await node.prepare()
            node.start()
            await asyncio.sleep(START_S)
            node.signal(signal.SIGTERM)
            async with asyncio.timeout(_nodes.GRACE_S):
                while node.is_running:
                    await asyncio.sleep(0.1)
            self.assertEqual([], node.errors())


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


if __name__ == "__main__":
    unittest.main()
