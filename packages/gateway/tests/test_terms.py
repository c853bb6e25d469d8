"""Tests of the coordinator's terms in a store that is restored."""

import asyncio
import json
import typing
import unittest

import attrs
import fakes

from quetzalward_core import coordination
from quetzalward_core import fleet
from quetzalward_gateway import _coordinator_task
from quetzalward_gateway import _ports
from quetzalward_gateway import _quarantine_control
from quetzalward_gateway import _terms


class TermRestoreTest(unittest.TestCase):
    """Guards against two nodes that coordinate under one number."""

    def setUp(self) -> None:
        """Start without a term; records before it are other topics' blocks."""
        self.first_runtime = fakes.Runtime()
        self.time = self.first_runtime.time
        self.store = self.first_runtime.platform.store
        self.second_runtime = fakes.Runtime(
            self.time, self.first_runtime.platform
        )
        self.first = self.keeper(self.first_runtime, "a")
        self.second = self.keeper(self.second_runtime, "b")

    @staticmethod
    def keeper(runtime: fakes.Runtime, node: str) -> _terms.TermKeeper:
        """Return the keeper of a node's terms."""
        settings = attrs.evolve(fakes.settings(), node=node)
        untyped = typing.cast(typing.Any, runtime)
        return _terms.TermKeeper(
            untyped,
            settings,
            _quarantine_control.QuarantineControl(untyped, node),
        )

    def check(self, keeper: _terms.TermKeeper) -> None:
        """Let a node read the store once it may claim a term."""
        self.time.advance(5_000)
        asyncio.run(keeper._read_or_claim())

    def test_term_after_a_restore_is_above_all_before(self) -> None:
        """The second node has never heard of the first one's terms."""
        self.check(self.first)
        self.store.put("block/x", "{}")
        self.check(self.first)
        number = self.first.number
        self.assertTrue(self.first.is_holder)
        self.store.restore(lost=2)
        self.check(self.second)
        self.assertTrue(self.second.is_holder)
        self.assertGreater(self.second.number, number)

    def test_holder_writes_its_lost_term_again_once(self) -> None:
        """Nodes that start learn of the holder from the store."""
        self.check(self.first)
        number = self.first.number
        self.store.restore(lost=1)
        self.check(self.first)
        self.check(self.first)
        self.assertEqual(1, len(self.store.records))
        self.assertEqual(number, self.first.number)
        self.check(self.second)
        term = self.second.election.term
        assert term is not None
        self.assertEqual((number, "a"), (term.number, term.node))

    def test_nodes_that_all_start_wait_only_behind_a_restore(self) -> None:
        """Nothing is served while they wait for word of others."""
        self.check(self.first)
        for lost, is_settled in ((None, True), (0, False)):
            if lost is not None:
                self.store.restore(lost)
            runtime = fakes.Runtime(self.time, self.first_runtime.platform)
            gate = runtime.state.confirmation
            gate.begin(self.time.now_ms() + 5_000, 1_000)
            starter = self.keeper(runtime, "a")
            self.check(starter)
            self.assertTrue(starter.is_holder)
            self.assertEqual(
                is_settled,
                gate.is_settled(fleet.Precedence(), self.time.now_ms()),
            )

    def test_claim_during_a_restore_begins_no_term(self) -> None:
        """Its number may be that of another node in the next era."""
        append = self.store.append

        async def restore_first(*args: typing.Any) -> typing.Any:
            self.store.restore(lost=0)
            return await append(*args)

        self.store.append = restore_first  # type: ignore[method-assign]
        self.check(self.first)
        self.assertFalse(self.first.is_holder)
        self.assertIn("claim_dropped", self.first_runtime.log.names)

    def test_record_of_another_type_is_ignored(self) -> None:
        """A term that cannot be read leaves the node running."""
        for value in (
            "[]",
            "1",
            '{"node": "x", "address": "y", "number": {}}',
            '{"node": "x", "address": "y", "number": 1e999}',
        ):
            self.store.put("coordinator", value)
            self.check(self.second)
        self.assertIn("duty_unreadable", self.second_runtime.log.names)


class OddTermTest(unittest.TestCase):
    """Guards against a record of another writer that ends every node."""

    def setUp(self) -> None:
        """Start a node that knows no term."""
        self.runtime = fakes.Runtime()
        self.keeper = TermRestoreTest.keeper(self.runtime, "b")

    def test_term_that_names_no_address_is_no_term(self) -> None:
        """Sending a status there raised an error in the main task."""
        sound = {"node": "a", "address": "127.0.0.1:1", "number": 5, "era": 1}
        for changes in (
            {"address": "nowhere"},
            {"address": "127.0.0.1:70000"},
            {"address": "127.0.0.1\0:1"},
            {"address": "localhost:1"},
            {"address": None},
            {"number": 10**300},
            {"number": -1},
            {"era": 10**300},
        ):
            value = json.dumps({**sound, **changes}).encode()
            page = _ports.Page((_ports.Record(0, "coordinator", value),), 1)
            self.assertIsNone(self.keeper._decode(page), changes)
            self.assertIn("duty_unreadable", self.runtime.log.names)
        self.assertEqual(-1, self.keeper._stored_era)

    def test_message_to_an_odd_address_is_not_sent(self) -> None:
        """A message of another writer may name it as the holder's."""
        untyped: typing.Any = self.runtime
        task = _coordinator_task.CoordinatorTask(
            untyped, fakes.settings(), *[typing.cast(typing.Any, None)] * 2
        )
        message = coordination.LimitList("a", 3, ())
        for text in ("a:1", "127.0.0.1:70000", "nowhere", ""):
            task._send_to(text, message)
        self.assertEqual(["peer_address_invalid"] * 4, self.runtime.log.names)


if __name__ == "__main__":
    unittest.main()
