"""Nodes follow the store, by their own reads or by the coordinator's."""

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


def step(one: _sync.OperationsFollower) -> None:
    """Let a follower read once."""
    asyncio.run(one._step())


class RelayTest(unittest.TestCase):
    """Guards against configurations that each node has to read by itself.

    Eleven changes of one day at 75 nodes were 830 priced reads.
    """

    def setUp(self) -> None:
        """Start a coordinator and a node that have read the first record."""
        self.holder_runtime = fakes.Runtime()
        self.node_runtime = fakes.Runtime(
            self.holder_runtime.time, self.holder_runtime.platform
        )
        self.log = self.holder_runtime.platform.log
        self.log.put("config", "1")
        self.holder = follower(self.holder_runtime, holds=True)
        self.node = follower(self.node_runtime)
        step(self.holder)
        step(self.node)
        self.reads = self.log.reads

    def relay(self, transit_ms: int = 20) -> coordination.TopicView:
        """Send the coordinator's view, in answer to a status of now."""
        echo_ms = self.node_runtime.boot_ms()
        view = self.holder.view()
        assert view is not None
        self.node_runtime.time.advance(transit_ms)
        self.node.relayed(view, echo_ms)
        return view

    def version(self) -> int:
        """Return the version that the node has in force."""
        found = self.node_runtime.state.configuration
        return found.version if found else 0

    def test_relayed_configuration_is_in_force_without_a_read(self) -> None:
        """The record comes with the proof that nothing newer exists."""
        self.log.put("config", "2")
        step(self.holder)
        self.node_runtime.time.advance(100)
        self.relay()
        self.assertEqual(2, self.version())
        self.assertEqual(self.reads + 1, self.log.reads)
        self.assertTrue(self.node._is_relayed())
        age_ms = self.node_runtime.state.freshness.age_ms(
            self.node_runtime.boot_ms()
        )
        # The way there and the age of the coordinator's own read.
        self.assertEqual(120, age_ms)

    def test_lost_record_makes_the_node_read(self) -> None:
        """A record that is no longer relayed must not be passed over."""
        self.log.put("config", "2")
        step(self.holder)
        self.node_runtime.time.advance(_sync.RELAY_MS + 1)
        self.log.put("config", "3")
        step(self.holder)
        self.relay()
        self.assertEqual(1, self.version())
        self.assertFalse(self.node._is_relayed())
        step(self.node)
        self.assertEqual(3, self.version())
        self.relay()
        self.assertTrue(self.node._is_relayed())

    def test_large_record_is_read_by_each_node(self) -> None:
        """A message beyond the bound would be lost on a full link."""
        self.log.put("config", "2 " + "x" * _sync.RELAY_BYTES)
        step(self.holder)
        view = self.relay()
        self.assertEqual((), view.records)
        self.assertEqual(1, self.version())
        self.assertFalse(self.node._is_relayed())

    def test_view_from_before_the_own_read_changes_nothing(self) -> None:
        """A coordinator that the store turns away knows less than others."""
        self.log.put("config", "2")
        step(self.node)
        self.relay()
        self.assertEqual(2, self.version())

    def test_view_that_answers_no_status_proves_nothing(self) -> None:
        """A suspended machine reads old datagrams as if they were new."""
        view = self.holder.view()
        assert view is not None
        before = self.node_runtime.state.freshness.confirmed_ms
        self.node_runtime.time.advance(5_000)
        self.node.relayed(view, None)
        self.assertEqual(
            before, self.node_runtime.state.freshness.confirmed_ms
        )

    def test_store_errors_reach_the_caller(self) -> None:
        """A failed read must not look like an empty one."""
        self.log.is_down = True
        with self.assertRaises(_ports.StoreError):
            step(self.node)
