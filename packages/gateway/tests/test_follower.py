"""Tests of nodes that follow the store by reading it or through a relay."""

import asyncio
import typing
import unittest

import fakes

from quetzalward_core import coordination
from quetzalward_gateway import _operations
from quetzalward_gateway import _ports
from quetzalward_gateway import _target_entries


def follower(
    runtime: fakes.Runtime, holds: bool = False
) -> _operations.OperationsFollower:
    """Return a follower of the operators' topic."""
    return _operations.OperationsFollower(
        typing.cast(typing.Any, runtime), lambda: holds
    )


def read_once(reader: _operations.OperationsFollower) -> None:
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
        sent_ms = self.node_runtime.boot_ms()
        view = self.holder.view(self.node.offset)
        assert view is not None
        self.node_runtime.time.advance(transit_ms)
        self.node.apply_relayed_view(view, self.holder._era, sent_ms)
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

    def test_records_of_lost_messages_follow_in_the_next(self) -> None:
        """What a node has not acknowledged is sent again, also much later."""
        for version in ("2", "3"):
            self.store.put("config", version)
            read_once(self.holder)
            self.node_runtime.time.advance(5_000)
        reads = self.store.reads
        self.relay()
        self.assertEqual(3, self.version())
        self.assertEqual(reads, self.store.reads)

    def test_next_holder_relays_what_was_relayed_to_it(self) -> None:
        """After a change of the holder no other node has to read."""
        other_runtime = fakes.Runtime(
            self.holder_runtime.time, self.holder_runtime.platform
        )
        other = follower(other_runtime)
        read_once(other)
        self.store.put("config", "2")
        read_once(self.holder)
        self.relay()
        reads = self.store.reads
        view = self.node.view(other.offset)
        assert view is not None
        other.apply_relayed_view(view, self.node._era, other_runtime.boot_ms())
        found = other_runtime.state.configuration
        self.assertEqual(2, found.version if found else 0)
        self.assertEqual(reads, self.store.reads)

    def test_lost_record_makes_the_node_read(self) -> None:
        """A record that is no longer retained must not be skipped."""
        self.store.put("config", "2")
        read_once(self.holder)
        self.holder._buffer.clear()
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
        self.store.put("config", "2 " + "x" * coordination.MAX_RELAY_BYTES)
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
        view = self.holder.view(self.node.offset)
        assert view is not None
        before = self.node_runtime.state.freshness.confirmed_ms
        self.node_runtime.time.advance(5_000)
        self.node.apply_relayed_view(view, self.holder._era, None)
        self.assertEqual(
            before, self.node_runtime.state.freshness.confirmed_ms
        )

    def test_store_errors_are_raised(self) -> None:
        """A failed read must not be treated as a read without records."""
        self.store.is_down = True
        with self.assertRaises(_ports.StoreError):
            read_once(self.node)


class DepartureTest(unittest.TestCase):
    """Guards against requests to a target that has left (64 nodes, DRAIN).

    A node that got no message for 1.5 s took the silence for an outage of the
    store and deferred the removal of a target by 2 s.
    """

    def setUp(self) -> None:
        """Start a holder and another node that know one target."""
        self.holder_runtime = fakes.Runtime()
        self.node_runtime = fakes.Runtime(
            self.holder_runtime.time, self.holder_runtime.platform
        )
        self.store = self.holder_runtime.platform.store
        self.store.put("t", "one")
        self.holder = self.follower(self.holder_runtime, True)
        self.node = self.follower(self.node_runtime, False)
        read_once(self.holder)
        read_once(self.node)

    def follower(
        self, runtime: fakes.Runtime, holds: bool
    ) -> _target_entries.TargetsFollower:
        """Return a follower of the targets' topic."""
        return _target_entries.TargetsFollower(
            typing.cast(typing.Any, runtime), lambda: holds
        )

    def relay(self) -> None:
        """Send the holder's view."""
        view = self.holder.view(self.node.offset)
        assert view is not None
        self.node.set_relayed_deferral(self.holder.removal_deferral_ms())
        self.node.apply_relayed_view(
            view, self.holder._era, self.node_runtime.boot_ms()
        )

    def is_listed(self) -> bool:
        """Tell whether the node still knows the target."""
        return self.node_runtime.state.directory.get("t") is not None

    def pass_time(self, duration_ms: int) -> None:
        """Let time pass in which the holder reads the store."""
        for _ in range(duration_ms // 500):
            self.node_runtime.time.advance(500)
            read_once(self.holder)

    def test_removal_is_relayed_after_lost_messages(self) -> None:
        """The holder reads all the time, so the store had no outage."""
        self.relay()
        self.pass_time(2_500)
        self.store.remove("t")
        read_once(self.holder)
        self.relay()
        self.assertFalse(self.is_listed())

    def test_removal_is_read_after_lost_messages(self) -> None:
        """A node that reads after the holder fell silent removes at once."""
        self.relay()
        self.pass_time(2_500)
        self.store.remove("t")
        read_once(self.node)
        self.assertFalse(self.is_listed())

    def test_failed_read_shows_an_outage(self) -> None:
        """An entry may lapse in an outage, so its removal is deferred."""
        self.relay()
        self.node_runtime.time.advance(1_500)
        self.store.is_down = True
        with self.assertRaises(_ports.StoreError):
            read_once(self.node)
        asyncio.run(
            self.node._handle_store_error(_ports.StoreError("no answer"))
        )
        self.node_runtime.time.advance(1_500)
        self.store.is_down = False
        self.store.remove("t")
        read_once(self.node)
        self.assertTrue(self.is_listed())

    def test_deferral_of_the_holder_is_relayed(self) -> None:
        """The other nodes made no calls that could show the outage."""
        self.relay()
        self.node_runtime.time.advance(4_000)
        self.store.remove("t")
        read_once(self.holder)
        self.relay()
        self.assertTrue(self.is_listed())
        self.node_runtime.time.advance(2_000)
        self.relay()
        self.assertFalse(self.is_listed())

    def test_odd_entry_does_not_stop_the_following(self) -> None:
        """The records beside it, and those after it, are applied."""
        for key, value in (("odd", "{"), ("u", "two")):
            self.store.put(key, value)
        read_once(self.holder)
        self.relay()
        self.store.remove("t")
        read_once(self.holder)
        self.relay()
        for runtime in (self.holder_runtime, self.node_runtime):
            directory = runtime.state.directory
            self.assertEqual(["u"], [t.id for t in directory.all()])
            self.assertIn("target_entry_invalid", runtime.log.names)

    def test_any_error_of_one_record_does_not_stop_the_following(self) -> None:
        """The main task ended, and with it the process."""
        platform: typing.Any = self.holder_runtime.platform
        decode = platform.decode_target

        def fail(record: _ports.Record) -> object:
            if record.key == "odd":
                raise RecursionError
            return decode(record)

        platform.decode_target = platform.decode_operation = fail
        for key in ("odd", "u"):
            self.store.put(key, "two")
        read_once(self.holder)
        self.assertIsNotNone(self.holder_runtime.state.directory.get("u"))
        read_once(follower(self.holder_runtime))
        self.assertIn("operation_unreadable", self.holder_runtime.log.names)

    def test_entry_that_is_not_utf8_is_not_relayed_as_another(self) -> None:
        """A node used a target that the holder did not."""
        record = _ports.Record(len(self.store.records), "odd", b"a\xffb")
        self.store.records.append(record)
        read_once(self.holder)
        view = self.holder.view(self.node.offset)
        assert view is not None
        self.assertEqual([""], [one.value for one in view.records])
        self.relay()
        self.assertIsNone(self.node_runtime.state.directory.get("odd"))

    def test_odd_entry_over_that_of_a_target_does_not_remove_it(self) -> None:
        """It was removed, and its group's streams were cut."""
        self.store.put("t", "{")
        read_once(self.holder)
        self.relay()
        self.node._offset = None
        for is_read_in_full in (False, True):
            if is_read_in_full:
                read_once(self.node)
            target = self.node_runtime.state.directory.get("t")
            assert target is not None
            self.assertFalse(target.draining)
            self.assertFalse(self.node_runtime.state.is_usable(target, 0))
        self.store.put("t", "one")
        read_once(self.node)
        target = self.node_runtime.state.directory.get("t")
        assert target is not None
        self.assertTrue(self.node_runtime.state.is_usable(target, 0))


if __name__ == "__main__":
    unittest.main()
