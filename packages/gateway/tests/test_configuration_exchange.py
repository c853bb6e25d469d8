"""Tests of the exchange of configurations that a restored store lacks."""

import asyncio
import typing
import unittest

import attrs
import fakes

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _configuration_exchange
from quetzalward_gateway import _operations

COORDINATOR = fleet.Address("127.0.0.1", 1)
NODE = fleet.Address("127.0.0.1", 2)


class Member:
    """A node with its follower of the operators' topic."""

    def __init__(self, runtime: fakes.Runtime, name: str) -> None:
        """Create the follower, and the exchange that sends into a list."""
        self.runtime = runtime
        self.sent: list[tuple[bytes, fleet.Address]] = []
        untyped = typing.cast(typing.Any, runtime)
        self.operations = _operations.OperationsFollower(
            untyped, lambda: name == "coordinator"
        )
        self.exchange = _configuration_exchange.ConfigurationExchange(
            untyped,
            name,
            self.operations,
            lambda data, address: self.sent.append((data, address)),
        )

    def read(self) -> None:
        """Read the store anew, as after a restore."""
        self.operations._offset = None
        asyncio.run(self.operations._read_once())

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.runtime.state.precedence.version

    def known(self) -> coordination.Known:
        """Return what the node acknowledges in its status."""
        state = self.runtime.state
        return coordination.Known(
            operations_offset=self.operations.offset,
            era=self.runtime.store.era.number,
            numbering=state.precedence.numbering,
            version=state.precedence.version,
            is_informed=1,
        )

    def view(self) -> coordination.StoreView:
        """Return what the coordinator sends of its reads of the store."""
        state = self.runtime.state
        topic = coordination.TopicView(self.operations.offset, 0, ())
        return coordination.StoreView(
            self.runtime.store.era.number,
            topic,
            topic,
            0,
            state.precedence.numbering,
            state.precedence.version,
            True,
        )


class ConfigurationExchangeTest(unittest.TestCase):
    """Guards against nodes that keep a version which others know is old."""

    def setUp(self) -> None:
        """Let one member know version 2; the store is restored to 1."""
        runtime = fakes.Runtime()
        self.store = runtime.platform.store
        self.store.put("config", "1")
        self.coordinator = Member(runtime, "coordinator")
        self.node = Member(
            fakes.Runtime(runtime.time, runtime.platform), "node"
        )
        self.node.runtime.state.node_count = 1

    def lose_version(self, informed: Member, other: Member) -> None:
        """Let only one member read a version that the store then loses."""
        other.read()
        self.store.put("config", "2")
        informed.read()
        self.store.restore(lost=1)
        informed.read()
        other.read()
        self.assertEqual((2, 1), (informed.version, other.version))

    def exchange(self) -> None:
        """Send a status and a view, and then the copies that follow."""
        now_ms = self.node.runtime.now_ms()
        status = coordination.Status(
            "node", 1, 0, 0, (), (), (), self.node.known()
        )
        self.coordinator.exchange.compare_status(status, NODE, now_ms)
        self.node.exchange.compare_view(
            self.coordinator.view(), COORDINATOR, now_ms
        )
        for sender, receiver in (
            (self.coordinator, self.node),
            (self.node, self.coordinator),
        ):
            for data, _ in sender.sent:
                copy = coordination.decode(data)
                assert isinstance(copy, coordination.ConfigurationCopy)
                receiver.operations.apply_copy(copy)

    def test_coordinator_sends_what_a_node_lacks(self) -> None:
        """The node was cut off, or has just started."""
        self.lose_version(self.coordinator, self.node)
        self.exchange()
        self.assertEqual(2, self.node.version)
        self.assertEqual(NODE, self.coordinator.sent[0][1])
        self.assertEqual([], self.node.sent)

    def test_node_sends_what_the_coordinator_lacks(self) -> None:
        """A node that was cut off may have taken the term."""
        self.lose_version(self.node, self.coordinator)
        self.exchange()
        self.assertEqual(2, self.coordinator.version)
        self.assertEqual(COORDINATOR, self.node.sent[0][1])
        self.assertEqual([], self.coordinator.sent)

    def test_nothing_is_sent_for_what_the_store_has(self) -> None:
        """A change is relayed as a record, not copied."""
        self.node.read()
        self.store.put("config", "2")
        self.coordinator.read()
        self.exchange()
        self.assertEqual([], self.coordinator.sent + self.node.sent)

    def test_copy_that_does_not_fit_a_message_is_not_sent(self) -> None:
        """The node gets it once the operators have written again."""
        self.store.put("config", "1")
        self.lose_version(self.coordinator, self.node)
        record = self.coordinator.runtime.state.configuration_record
        assert record is not None
        noise = "".join(f"{n * n * 7919 % 104729:x}" for n in range(90_000))
        self.coordinator.runtime.state.configuration_record = attrs.evolve(
            record, value=f"2 {noise}".encode()
        )
        self.exchange()
        self.assertEqual([], self.coordinator.sent)
        self.assertIn(
            "configuration_too_large_to_send",
            self.coordinator.runtime.log.names,
        )


if __name__ == "__main__":
    unittest.main()
