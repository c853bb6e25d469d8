"""Tests of nodes whose store comes back from an older copy."""

import asyncio
import typing
import unittest

import fakes

from quetzalward_core import coordination
from quetzalward_gateway import _operations
from quetzalward_gateway import _ports


def run_read(
    node: _operations.OperationsFollower, runtime: fakes.Runtime
) -> None:
    """Let a follower read until it has an answer, as its task does."""

    async def read() -> None:
        while True:
            try:
                return await node._read_once()
            except _ports.HistoryLost:
                node._offset = None

    asyncio.run(read())
    runtime.time.advance(10)


class RestoreCase(unittest.TestCase):
    """A holder and another node that know three versions."""

    def setUp(self) -> None:
        """Start both nodes, which read the store."""
        self.holder_runtime = fakes.Runtime()
        self.node_runtime = fakes.Runtime(
            self.holder_runtime.time, self.holder_runtime.platform
        )
        self.store = self.holder_runtime.platform.store
        for version in ("1", "2", "3"):
            self.store.put("config", version)
        self.holder = self.follower(self.holder_runtime, True)
        self.node = self.follower(self.node_runtime, False)
        self.read_holder()
        self.read_node()

    @staticmethod
    def follower(
        runtime: fakes.Runtime, holds: bool
    ) -> _operations.OperationsFollower:
        """Return a follower of the operators' topic."""
        return _operations.OperationsFollower(
            typing.cast(typing.Any, runtime), lambda: holds
        )

    def read_holder(self) -> None:
        """Let the holder read the store."""
        run_read(self.holder, self.holder_runtime)

    def read_node(self) -> None:
        """Let the other node read the store."""
        run_read(self.node, self.node_runtime)

    def view(self) -> tuple[coordination.TopicView, int]:
        """Return what the holder sends to the node, with its era."""
        era = self.holder_runtime.store.era.number
        is_known = era == self.node_runtime.store.era.number
        view = self.holder.view(self.node.offset if is_known else -1)
        assert view is not None
        return view, era

    def relay(self) -> None:
        """Send the holder's view to the node."""
        self.node.apply_relayed_view(*self.view(), self.node_runtime.boot_ms())

    def version(self) -> int:
        """Return the version in force at the node."""
        found = self.node_runtime.state.configuration
        return found.version if found else 0


class EraOfOffsetsTest(RestoreCase):
    """Guards against versions that are missed since offsets are reused."""

    def test_version_at_a_reused_offset_is_read(self) -> None:
        """The read from the old offset gets no error."""
        self.store.restore(lost=2)
        self.store.put("config", "3")
        self.store.put("config", "4")
        self.read_node()
        self.assertEqual(4, self.version())

    def test_view_that_ends_at_the_old_offset_confirms_nothing(self) -> None:
        """Five of six nodes kept version 11 while 14 was in force."""
        self.store.restore(lost=1)
        self.store.put("config", "4")
        self.read_holder()
        confirmed_ms = self.node_runtime.state.freshness.confirmed_ms
        self.relay()
        self.assertEqual(
            confirmed_ms, self.node_runtime.state.freshness.confirmed_ms
        )
        self.assertFalse(self.node._is_relay_current())
        self.read_node()
        self.assertEqual(4, self.version())

    def test_view_of_before_the_restore_leaves_the_new_offset(self) -> None:
        """The old offset came back with the view of a node that was behind."""
        self.store.put("config", "4")
        self.read_holder()
        old_view, old_era = self.view()
        self.store.restore(lost=2)
        self.read_node()
        self.assertEqual(2, self.node.offset)
        self.node.apply_relayed_view(
            old_view, old_era, self.node_runtime.boot_ms()
        )
        self.assertEqual(2, self.node.offset)
        self.assertTrue(self.node._is_relay_current())

    def test_restore_that_loses_nothing_ends_the_era_as_well(self) -> None:
        """Which records a copy holds cannot be seen from its end."""
        self.store.restore(lost=0)
        self.read_node()
        self.assertEqual(2, self.node._era)
        self.assertEqual(3, self.version())

    def test_two_restores_are_followed_as_one(self) -> None:
        """A node that was cut off meanwhile sees a jump of two eras."""
        self.store.restore(lost=2)
        self.store.put("config", "5")
        self.store.restore(lost=1)
        self.store.put("config", "7")
        self.read_node()
        self.assertEqual((3, 7), (self.node._era, self.version()))

    def test_era_that_the_store_does_not_confirm_costs_one_read(self) -> None:
        """A view with a wrong era must not make the node read at each."""
        view, _ = self.view()
        self.node.apply_relayed_view(view, 9, self.node_runtime.boot_ms())
        self.assertFalse(self.node._is_relay_current())
        self.read_node()
        self.node.apply_relayed_view(view, 9, self.node_runtime.boot_ms())
        self.assertTrue(self.node._is_relay_current())

    def test_answers_without_an_era_change_nothing(self) -> None:
        """A store that names none is followed by its offsets alone."""
        self.store.era = None
        self.store.put("config", "4")
        self.read_node()
        self.assertEqual((1, 4), (self.node._era, self.version()))
        self.assertIn("store_era_unreadable", self.node_runtime.log.names)

    def test_era_that_falls_is_followed(self) -> None:
        """A store that was set up anew may count its eras anew."""
        self.store.restore(lost=0)
        self.read_node()
        self.store.era = 1
        self.store.records.clear()
        self.store.put("config", "9")
        self.read_node()
        self.assertEqual((1, 9), (self.node._era, self.version()))


if __name__ == "__main__":
    unittest.main()
