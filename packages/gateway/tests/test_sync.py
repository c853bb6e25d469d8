"""Tests of nodes that follow the store by reading it or through a relay."""

import asyncio
import typing
import unittest

import fakes

from quetzalward_core import coordination
from quetzalward_gateway import _ports
from quetzalward_gateway import _sync


def follower(
    runtime: fakes.Runtime, holds: bool = False
) -> _sync.OperationsFollower:
    """Return a follower of the operators' topic."""
    return _sync.OperationsFollower(
        typing.cast(typing.Any, runtime), lambda: holds
    )


def read_once(reader: _sync.OperationsFollower) -> None:
    """Let a follower read the store once."""
    asyncio.run(reader._read_once())


class RelayTest(unittest.TestCase):
    """Guards against a read of the store by every node at each change.

    Every read is charged: eleven changes in a day at 75 nodes cost 830 reads.
    """

    def setUp(self) -> None:
        """Start a holder and another node that have read the first record."""
        self.holder_runtime = fakes.Runtime()
        self.node_runtime = fakes.Runtime(
            self.holder_runtime.time, self.holder_runtime.platform
        )
        self.store = self.holder_runtime.platform.store
        self.store.put("config", "1")
        self.holder = follower(self.holder_runtime, holds=True)
        self.node = follower(self.node_runtime)
        read_once(self.holder)
        read_once(self.node)
        self.initial_reads = self.store.reads

    def relay(self, transit_ms: int = 20) -> coordination.TopicView:
        """Send the holder's view, in answer to a status sent now."""
        echo_ms = self.node_runtime.boot_ms()
        view = self.holder.view()
        assert view is not None
        self.node_runtime.time.advance(transit_ms)
        self.node.apply_relayed_view(view, echo_ms)
        return view

    def version(self) -> int:
        """Return the version of the configuration in force at the node."""
        found = self.node_runtime.state.configuration
        return found.version if found else 0

    def test_relayed_configuration_is_in_force_without_a_read(self) -> None:
        """The relayed state also confirms that no newer record exists."""
        self.store.put("config", "2")
        read_once(self.holder)
        self.node_runtime.time.advance(100)
        self.relay()
        self.assertEqual(2, self.version())
        self.assertEqual(self.initial_reads + 1, self.store.reads)
        self.assertTrue(self.node._is_relay_current())
        age_ms = self.node_runtime.state.freshness.age_ms(
            self.node_runtime.boot_ms()
        )
        # 20 ms of transit and 100 ms since the holder's own read.
        self.assertEqual(120, age_ms)

    def test_lost_record_makes_the_node_read(self) -> None:
        """A record that is no longer relayed must not be skipped."""
        self.store.put("config", "2")
        read_once(self.holder)
        self.node_runtime.time.advance(_sync.RELAY_RETENTION_MS + 1)
        self.store.put("config", "3")
        read_once(self.holder)
        self.relay()
        self.assertEqual(1, self.version())
        self.assertFalse(self.node._is_relay_current())
        read_once(self.node)
        self.assertEqual(3, self.version())
        self.relay()
        self.assertTrue(self.node._is_relay_current())

    def test_large_record_is_read_by_each_node(self) -> None:
        """A larger message would be lost on a saturated link."""
        self.store.put("config", "2 " + "x" * _sync.MAX_RELAY_BYTES)
        read_once(self.holder)
        view = self.relay()
        self.assertEqual((), view.records)
        self.assertEqual(1, self.version())
        self.assertFalse(self.node._is_relay_current())

    def test_view_older_than_own_read_changes_nothing(self) -> None:
        """A holder that the store refuses may be behind other nodes."""
        self.store.put("config", "2")
        read_once(self.node)
        self.relay()
        self.assertEqual(2, self.version())

    def test_view_without_echo_does_not_confirm(self) -> None:
        """A machine that was suspended reads old datagrams on resumption."""
        view = self.holder.view()
        assert view is not None
        before = self.node_runtime.state.freshness.confirmed_ms
        self.node_runtime.time.advance(5_000)
        self.node.apply_relayed_view(view, None)
        self.assertEqual(
            before, self.node_runtime.state.freshness.confirmed_ms
        )

    def test_store_errors_are_raised(self) -> None:
        """A failed read must not be treated as a read without records."""
        self.store.is_down = True
        with self.assertRaises(_ports.StoreError):
            read_once(self.node)
