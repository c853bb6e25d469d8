"""Tests of nodes whose store comes back from an older copy."""

import asyncio
import typing
import unittest

import fakes

from quetzalward_core import coordination
from quetzalward_core import fleet
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

    def test_read_that_waits_ends_when_a_restore_is_known(self) -> None:
        """It waited 2.5 s for a change behind an offset of the era before."""
        store = self.node_runtime.store
        read = self.store.read

        async def wait(*args: typing.Any) -> _ports.Page:
            await asyncio.sleep(30)
            return await read(*args)

        async def restore_meanwhile() -> None:
            self.store.read = wait  # type: ignore[method-assign]
            waiting = asyncio.create_task(self.node._read_once())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.store.restore(lost=1)
            await store.newest("targets")
            with self.assertRaises(_ports.HistoryLost):
                await asyncio.wait_for(waiting, 5)

        asyncio.run(restore_meanwhile())

    def test_era_that_falls_is_followed(self) -> None:
        """A store that was set up anew may count its eras anew."""
        self.store.restore(lost=0)
        self.read_node()
        self.store.era = 1
        self.store.records.clear()
        self.store.put("config", "9")
        self.read_node()
        self.assertEqual((1, 9), (self.node._era, self.version()))


class VersionInForceTest(RestoreCase):
    """Guards against versions that come back older after a restore."""

    def settle(self, version: int) -> None:
        """Let the node hear of the version in force at a settled holder."""
        self.node_runtime.state.confirmation.hear(
            fleet.Precedence(0, version), True, self.node_runtime.now_ms()
        )

    def is_fresh(self) -> bool:
        """Tell whether the node has confirmed its configuration just now."""
        age_ms = self.node_runtime.state.freshness.age_ms(
            self.node_runtime.boot_ms()
        )
        return age_ms is not None and age_ms < 500

    def copy(self, version: int) -> coordination.ConfigurationCopy:
        """Return another node's copy of a version."""
        return coordination.ConfigurationCopy(
            "b", 0, version, "config", str(version)
        )

    def restore(self, lost: int) -> None:
        """Restore the store, which was away for a while."""
        self.holder_runtime.time.advance(2_000)
        self.store.restore(lost)
        self.read_node()

    def test_older_version_of_the_copy_is_not_put_in_force(self) -> None:
        """Callers would get 404 for a route that was confirmed."""
        self.restore(lost=2)
        self.assertEqual(3, self.version())

    def test_copy_confirms_nothing_without_word_of_others(self) -> None:
        """The node may have missed a version that the copy lacks."""
        self.restore(lost=2)
        self.assertFalse(self.is_fresh())
        self.settle(3)
        self.read_node()
        self.assertTrue(self.is_fresh())

    def test_node_that_missed_a_version_gets_it_from_another(self) -> None:
        """It was cut off when the others applied version 4."""
        self.restore(lost=1)
        self.settle(4)
        self.read_node()
        self.assertFalse(self.is_fresh())
        self.node.apply_copy(self.copy(4))
        self.read_node()
        self.assertEqual(4, self.version())
        self.assertTrue(self.is_fresh())

    def test_node_alone_waits_for_operators_to_write_again(self) -> None:
        """Not for ever: what they wrote then is the latest."""
        self.restore(lost=2)
        self.holder_runtime.time.advance(fleet.REWRITE_GRACE_MS)
        self.read_node()
        self.assertTrue(self.is_fresh())

    def test_word_of_a_lost_version_does_not_block_for_ever(self) -> None:
        """The only node that knew it may have ended."""
        self.restore(lost=1)
        self.settle(9)
        self.holder_runtime.time.advance(2_500)
        self.read_node()
        self.assertTrue(self.is_fresh())

    def test_other_content_of_a_version_in_a_later_era_counts(self) -> None:
        """Operators may give a lost version's number to another change."""
        self.restore(lost=1)
        self.store.put("config", "3 other")
        self.read_node()
        found = self.node_runtime.state.configuration
        assert found is not None
        self.assertEqual(("3", "other"), (str(found.version), routes(found)))

    def test_same_version_with_other_content_in_one_era_is_ignored(
        self,
    ) -> None:
        """Versions rise within an era."""
        self.store.put("config", "3 other")
        self.read_node()
        found = self.node_runtime.state.configuration
        assert found is not None
        self.assertEqual("", routes(found))

    def test_versions_that_begin_anew_are_followed_in_the_end(self) -> None:
        """A version below the one in force would be ignored for ever."""
        self.restore(lost=2)
        self.settle(3)
        self.store.put("config", "2")
        for _ in range(2):
            self.read_node()
            self.assertEqual(3, self.version())
            self.holder_runtime.time.advance(fleet.RENUMBER_MS // 2)
        self.read_node()
        self.assertEqual(2, self.version())
        self.node.apply_copy(self.copy(3))
        self.assertEqual(2, self.version())

    def test_invalid_copy_changes_nothing(self) -> None:
        """A copy comes from the network and may be anything."""
        for value in ("", "x", "4"):
            copy = coordination.ConfigurationCopy("b", 0, 5, "config", value)
            self.node.apply_copy(copy)
        self.assertEqual(3, self.version())


class EvacuationTest(RestoreCase):
    """Guards against requests to a zone whose evacuation the store lost."""

    def setUp(self) -> None:
        """Evacuate a zone, and restore the store to before that."""
        super().setUp()
        self.store.put("zone/z1", "{}")
        self.read_node()
        self.store.restore(lost=1)
        self.read_node()

    def is_evacuated(self) -> bool:
        """Tell whether the node sends nothing to the zone."""
        return "z1" in self.node_runtime.state.evacuated_zones

    def test_zone_stays_evacuated_until_operators_write_again(self) -> None:
        """The operators' acknowledgement is older than the restore."""
        self.assertTrue(self.is_evacuated())
        self.store.put("zone/z1", "{}")
        self.read_node()
        self.holder_runtime.time.advance(fleet.REWRITE_GRACE_MS)
        self.read_node()
        self.assertTrue(self.is_evacuated())

    def test_zone_returns_if_operators_do_not_write_again(self) -> None:
        """They may have ended the evacuation while the store was away."""
        self.holder_runtime.time.advance(fleet.REWRITE_GRACE_MS)
        self.read_node()
        self.assertFalse(self.is_evacuated())

    def test_end_of_the_evacuation_is_applied_at_once(self) -> None:
        """What is written in the new era counts."""
        self.store.remove("zone/z1")
        self.read_node()
        self.assertFalse(self.is_evacuated())


def routes(configuration: fleet.Configuration) -> str:
    """Return what the fakes keep of a record beside its version."""
    return " ".join(configuration.customer_by_key)


if __name__ == "__main__":
    unittest.main()
