"""Tests for the coordinator's election and the nodes' messages."""

import contextlib
import json
import random
import unittest

import attrs
from coordination import builders
import hypothesis
from hypothesis import strategies as st

from quetzalward_core import coordination


class _Store:
    """A topic whose appends are conditional on its end offset."""

    def __init__(self) -> None:
        self.terms: list[coordination.Term] = []

    def newest(self) -> coordination.Term | None:
        """Return the last claim."""
        return self.terms[-1] if self.terms else None

    def claim(self, node: str, end: int) -> coordination.Term | None:
        """Append a claim if none was appended since `end`."""
        if len(self.terms) != end:
            return None
        number = coordination.Election(node, 0).next_number(1, end)
        term = coordination.Term(number, node, f"{node}:1")
        self.terms.append(term)
        return term


def read_and_claim(
    election: coordination.Election, store: _Store, now_ms: int
) -> None:
    """Read the store and claim the next term if that is due."""
    end = len(store.terms)
    if election.update_from_store(store.newest(), now_ms):
        term = store.claim(election.node, end)
        if term is not None:
            election.record_claim(term, now_ms)


class ElectionTest(unittest.TestCase):
    """Guards against a missing coordinator, and two lasting ones."""

    def test_first_node_takes_the_duty(self) -> None:
        """An empty topic is claimed at once, by one node only."""
        store = _Store()
        nodes = [
            coordination.Election(n, i / 500) for i, n in enumerate("abc")
        ]
        for node in nodes:
            read_and_claim(node, store, 0)
        self.assertEqual(1, sum(node.is_holder for node in nodes))

    def test_silent_holder_is_replaced(self) -> None:
        """A killed holder is replaced within two seconds."""
        store = _Store()
        first = coordination.Election("a", 0)
        read_and_claim(first, store, 0)
        second = coordination.Election("b", 0.2)
        read_and_claim(second, store, 0)
        assert first.term is not None
        second.accept_holder_message(first.term, 100)
        self.assertFalse(second.should_read_store(1_000))
        self.assertTrue(second.should_read_store(2_000))
        read_and_claim(second, store, 2_000)
        self.assertTrue(second.is_holder)

    def test_holder_resigns_to_a_later_term(self) -> None:
        """A holder that reads a later claim is no longer the holder."""
        store = _Store()
        first = coordination.Election("a", 0)
        read_and_claim(first, store, 0)
        store.claim("b", 1)
        first.update_from_store(store.newest(), 100)
        self.assertFalse(first.is_holder)

    def test_restarted_holder_begins_a_new_term(self) -> None:
        """A process that reads its own old claim has lost its state."""
        store = _Store()
        first = coordination.Election("a", 0)
        read_and_claim(first, store, 0)
        again = coordination.Election("a", 0)
        read_and_claim(again, store, 0)
        assert first.term is not None
        self.assertEqual(
            first.term.number + 1, again.term.number if again.term else None
        )

    def test_old_term_is_not_heard(self) -> None:
        """A message of a deposed holder changes nothing."""
        node = coordination.Election("c", 0)
        node.accept_holder_message(coordination.Term(5, "b", "b:1"), 0)
        self.assertFalse(
            node.accept_holder_message(coordination.Term(4, "a", "a:1"), 10)
        )

    def test_node_that_hears_nobody_does_not_keep_claiming(self) -> None:
        """A node cut off from its peers cools down after losing a term."""
        store = _Store()
        node = coordination.Election("a", 0)
        read_and_claim(node, store, 0)
        store.claim("b", 1)
        node.update_from_store(store.newest(), 500)
        self.assertFalse(node.should_read_store(3_000))

    def test_holder_without_the_store_is_replaced(self) -> None:
        """A holder that cannot read the store observes no target change."""
        store = _Store()
        first = coordination.Election("a", 0)
        read_and_claim(first, store, 0)
        second = coordination.Election("b", 0.2)
        read_and_claim(second, store, 0)
        assert first.term is not None
        for now_ms in range(0, 3_000, 150):
            second.accept_holder_message(first.term, now_ms)
            second.update_store_age(now_ms, now_ms)
        self.assertFalse(second.should_read_store(2_000))
        self.assertTrue(second.should_read_store(2_900))
        read_and_claim(second, store, 2_900)
        self.assertTrue(second.is_holder)
        self.assertFalse(
            first.accept_holder_message(second.term, 3_000) and first.is_holder
        )

    def test_holder_that_stops_is_replaced_before_it_ends(self) -> None:
        """A planned stop of the holder left the groups alone for 1 to 2 s."""
        store = _Store()
        first = coordination.Election("a", 0)
        read_and_claim(first, store, 0)
        second = coordination.Election("b", 0.2)
        read_and_claim(second, store, 0)
        assert first.term is not None
        first.is_leaving = True
        for now_ms in range(1_000, 1_400, 50):
            if not second.is_holder:
                second.accept_holder_message(first.term, now_ms, True)
                if second.should_read_store(now_ms):
                    read_and_claim(second, store, now_ms)
        self.assertTrue(second.is_holder)
        assert second.term is not None
        first.accept_holder_message(second.term, 1_400)
        self.assertFalse(first.is_holder)
        self.assertFalse(first.should_read_store(9_000))

    def test_random_histories_have_one_holder_of_each_term(self) -> None:
        """Terms are unique and the store's last claim decides."""
        rng = random.Random(7)
        store = _Store()
        nodes = [coordination.Election(n, i / 50) for i, n in enumerate("abc")]
        claims: dict[int, str] = {}
        for now_ms in range(0, 60_000, 50):
            node = rng.choice(nodes)
            if node.should_read_store(now_ms):
                read_and_claim(node, store, now_ms)
            for term in store.terms:
                self.assertEqual(
                    term.node, claims.setdefault(term.number, term.node)
                )
            holder = rng.choice(nodes)
            if holder.is_holder and holder.term and rng.random() < 0.8:
                for other in nodes:
                    if other is not holder and rng.random() < 0.7:
                        other.accept_holder_message(holder.term, now_ms)
        self.assertGreaterEqual(len(store.terms), 1)


class BackoffTest(unittest.TestCase):
    """Guards against frequent calls of all nodes to a failed store."""

    def test_pauses_grow_to_the_bound_and_start_anew(self) -> None:
        """Without backoff, 75 nodes read the term 290 times a second."""
        backoff = coordination.Backoff(250, 2)
        pauses = [backoff.record_failure(2_000) for _ in range(6)]
        self.assertEqual([250, 500, 1_000, 2_000, 2_000, 2_000], pauses)
        backoff.record_success()
        self.assertEqual(250, backoff.record_failure(2_000))

    def test_lower_bound_holds_at_once(self) -> None:
        """A node that becomes the holder uses the holder's limit at once."""
        backoff = coordination.Backoff(60, 3)
        for _ in range(6):
            backoff.record_failure(2_000)
        self.assertEqual(400, backoff.record_failure(400))


class MessageTest(unittest.TestCase):
    """Guards against messages that crash the node that reads them."""

    def test_messages_survive_the_wire(self) -> None:
        """Decoding an encoded message returns an equal one."""
        store = coordination.StoreView(
            2,
            coordination.TopicView(4, 100, ()),
            coordination.TopicView(
                9, 50, (coordination.RelayedRecord(8, "t", None),)
            ),
            700,
        )
        for message in (
            attrs.evolve(builders.view(), store=store),
            attrs.evolve(builders.view(), groups=None),
            coordination.Relay("a", 3, "a:1", 5_000, store, True),
            builders.status(),
            builders.crash_report(),
            coordination.QuarantineView(
                "a",
                3,
                ("p",),
                (coordination.BlockRow(("p", "q"), True),),
            ),
            coordination.HoldView(
                "a", 3, (coordination.HoldRow("request:1", 2),)
            ),
            coordination.TrialRequest("b", 3, "request:1", 2),
            coordination.TrialGrant("a", 3, "request:1"),
            *builders.limit_messages(),
        ):
            data = coordination.encode(message)
            self.assertEqual(message, coordination.decode(data))

    def test_rate_that_is_no_number_is_refused(self) -> None:
        """A node would divide by it."""
        for value in ("-1.0", '"x"', "NaN", "Infinity", "null", "1e999"):
            data = b'["limits","a",3,[["t",1,"s","m",%s]]]' % value.encode()
            with self.assertRaises(ValueError, msg=value):
                coordination.decode(data)

    def test_echo_is_split_from_any_view(self) -> None:
        """The echoed clock is split from plain and compressed views."""
        for groups in (0, 300):
            data = coordination.encode(builders.view(groups))
            self.assertEqual((None, data), coordination.split_echo(data))
            echoed = coordination.with_echo(data, 123)
            self.assertEqual((123, data), coordination.split_echo(echoed))

    def test_amount_that_overflows_is_refused(self) -> None:
        """Rounding an infinite sum of it ended the coordinator's process."""
        for value in ("Infinity", "-Infinity", "NaN", "1e999", "1e300"):
            work = b'["g",1,1,%s,5,false,1,2]' % value.encode()
            data = b'["status","b",3,4,1,[%s],[],[],[3,2,1,2]]' % work
            with self.assertRaises(ValueError, msg=value):
                coordination.decode(data)
        sound = data.replace(value.encode(), b"7")
        self.assertIsInstance(coordination.decode(sound), coordination.Status)

    def test_echo_of_many_digits_is_none(self) -> None:
        """Converting it raised `ValueError`, which no caller expects."""
        data = b"9" * 6_000 + b";[]"
        self.assertEqual((None, data), coordination.split_echo(data))

    def test_address_that_cannot_be_written_to_is_refused(self) -> None:
        """A holder's address is used for every later status."""
        for address in ("a", "a:b", ":1", "", "a:0", "a:70000", "a:\u00b2"):
            relay = coordination.Relay("a", 3, address, 0, None)
            with self.assertRaises(ValueError):
                coordination.decode(coordination.encode(relay))

    def test_fields_of_a_wrong_type_are_refused(self) -> None:
        """Such a value would fail later, where it ends the process."""
        for value in ("x", None, [], {}, 1e400):
            row = ["view", "a", 3, "a:1", 0, 7, True, 1, None]
            for field, load in (
                (value, []),
                (1, [[value, 1, 1, 1, 1]]),
                (1, [[0, 1, 1, value, 1]]),
            ):
                data = json.dumps(
                    [*row[:2], field, *row[3:], load, [], [], None]
                )
                with self.assertRaises(ValueError):
                    coordination.decode(data.encode())

    def test_evidence_of_a_wrong_type_is_refused(self) -> None:
        """A node's report must not end the holder's process."""
        rows = [
            ["crashes", "b", 3, [["r", "t", ["p"], 2, 1]], [], [], []],
            ["quarantine", "a", 3, ["p"], [[["p"], True]]],
            ["holds", "a", 3, [["p", 1]]],
            ["trial-request", "a", 3, "p", 1],
            ["trial", "a", 3, "p"],
        ]
        for row in rows:
            coordination.decode(json.dumps(row).encode())
            for index in range(2, len(row)):
                for value in (None, "x", 1.5, {}, [1], [[1]], [None], 1e400):
                    changed = [*row[:index], value, *row[index + 1 :]]
                    with contextlib.suppress(ValueError):
                        coordination.decode(json.dumps(changed).encode())

    def test_nested_message_is_refused(self) -> None:
        """Deeply nested JSON must not end in another error."""
        with self.assertRaises(ValueError):
            coordination.decode(b"[" * 50_000)

    @hypothesis.given(st.binary(max_size=80))
    def test_any_datagram_is_refused_or_read(self, data: bytes) -> None:
        """Bytes that are not a message raise only `ValueError`."""
        try:
            coordination.decode(data)
        except ValueError:
            pass


if __name__ == "__main__":
    unittest.main()
