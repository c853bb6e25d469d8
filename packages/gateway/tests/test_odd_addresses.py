"""Tests of addresses that cannot be those of a target or a node."""

import asyncio
import typing
import unittest

import fakes

from quetzalward_core import clock
from quetzalward_core import fleet
from quetzalward_core import grouping
from quetzalward_gateway import _channel
from quetzalward_gateway import _commands
from quetzalward_gateway import _http

ODD_ADDRESSES = (
    fleet.Address("127.0.0.1", 70_000),
    fleet.Address("127.0.0.1", -1),
    fleet.Address("127.0.0.1", 10**300),
    fleet.Address("127.0.0.1\0", 80),
    fleet.Address("\0", 80),
    fleet.Address("l" * 300, 80),
    fleet.Address("\ud800", 80),
)
COMMANDS: tuple[grouping.Command, ...] = (
    grouping.Probe("t"),
    grouping.Join("t", "g", 1, "m", ("t",)),
)


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    """Guards against errors that no caller of `connect` expects."""

    async def test_odd_address_is_a_failed_connection(self) -> None:
        """Requests were answered with an internal error."""
        for address in ODD_ADDRESSES:
            with self.assertRaises(_channel.ChannelReset, msg=address):
                await _channel.connect(address, 500)

    async def test_call_to_an_odd_address_was_not_sent(self) -> None:
        """The request may be sent to another target."""
        client = _http.HttpClient(clock.SystemClock().now_ms)
        for address in ODD_ADDRESSES:
            with self.assertRaises(_http.CallFailed) as caught:
                await client.call(address, "GET", "/", [], b"", 500)
            self.assertFalse(caught.exception.sent)


class _Coordinator:
    """Records the results of commands."""

    def __init__(self) -> None:
        self.results: list[object] = []

    def address_of(self, target_id: str) -> fleet.Address:
        """Return the address of any target."""
        return fakes.ADDRESS

    def record_report(self, *result: object) -> None:
        """Record the answer to a probe."""
        self.results.append(result[1])

    def record_order_answer(self, *result: object) -> None:
        """Record the answer to an order."""
        self.results.append(result[1])


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Guards against commands whose result the coordinator never gets."""

    async def test_fault_is_logged_and_counts_as_no_answer(self) -> None:
        """The task ended without a result."""
        runtime = fakes.Runtime(clock.SystemClock())
        untyped: typing.Any = runtime
        untyped.platform.probe_request = lambda: ("GET", "/")
        untyped.platform.order_request = lambda order: ("GET", "/", None)
        sender = _commands.CommandSender(untyped)
        coordinator: typing.Any = _Coordinator()

        async def fail(*arguments: object, **options: object) -> None:
            raise ArithmeticError

        sender._client.call = fail  # type: ignore[assignment]
        for command in COMMANDS:
            sender.send(coordinator, command)
        await asyncio.gather(*sender._tasks)
        self.assertEqual(
            [None, grouping.OrderAnswer.UNANSWERED], coordinator.results
        )
        self.assertEqual(2, runtime.log.names.count("internal_error"))


if __name__ == "__main__":
    unittest.main()
