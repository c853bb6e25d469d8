"""Election by conditional records, and the nodes' messages."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalward_core import coordination


class _Store:
    """A topic whose appends are conditional on its end."""

    def __init__(self) -> None:
        self.terms: list[coordination.Term] = []

    def newest(self) -> coordination.Term | None:
        """Return the last claim."""
        return self.terms[-1] if self.terms else None

    def claim(self, node: str, end: int) -> coordination.Term | None:
        """Append a claim if none came since `end`."""
        if len(self.terms) != end:
            return None
        term = coordination.Term(end + 1, node, f"{node}:1")
        self.terms.append(term)
        return term


def look(election: coordination.Election, store: _Store, now_ms: int) -> None:
    """Read the store and claim the duty if it is due."""
    end = len(store.terms)
    if election.read(store.newest(), now_ms):
        term = store.claim(election.node, end)
        if term is not None:
            election.claimed(term, now_ms)


class ElectionTest(unittest.TestCase):
    """Guards against fleets without a coordinator, or with two for long."""

    def test_first_node_takes_the_duty(self) -> None:
        """An empty topic is claimed at once, by one node only."""
        store = _Store()
        nodes = [coordination.Election(n, i) for i, n in enumerate("abc")]
        for node in nodes:
            look(node, store, 0)
        self.assertEqual(1, sum(node.is_holder for node in nodes))

    def test_silent_holder_is_replaced(self) -> None:
        """A killed holder is followed within two seconds."""
        store = _Store()
        first = coordination.Election("a", 0)
        look(first, store, 0)
        second = coordination.Election("b", 100)
        look(second, store, 0)
        assert first.term is not None
        second.heard(first.term, 100)
        self.assertFalse(second.should_look(1_000))
        self.assertTrue(second.should_look(2_000))
        look(second, store, 2_000)
        self.assertTrue(second.is_holder)

    def test_holder_resigns_to_a_later_term(self) -> None:
        """A holder that reads a later claim no longer holds the duty."""
        store = _Store()
        first = coordination.Election("a", 0)
        look(first, store, 0)
        store.claim("b", 1)
        first.read(store.newest(), 100)
        self.assertFalse(first.is_holder)

    def test_restarted_holder_begins_a_new_term(self) -> None:
        """A process that finds its own old claim knows nothing of it."""
        store = _Store()
        look(coordination.Election("a", 0), store, 0)
        again = coordination.Election("a", 0)
        look(again, store, 0)
        self.assertEqual(2, again.term.number if again.term else None)

    def test_old_term_is_not_heard(self) -> None:
        """A message of a deposed holder changes nothing."""
        node = coordination.Election("c", 0)
        node.heard(coordination.Term(5, "b", "b:1"), 0)
        self.assertFalse(node.heard(coordination.Term(4, "a", "a:1"), 10))

    def test_node_that_hears_nobody_does_not_keep_claiming(self) -> None:
        """A node cut off from its peers rests after it was deposed."""
        store = _Store()
        node = coordination.Election("a", 0)
        look(node, store, 0)
        store.claim("b", 1)
        node.read(store.newest(), 500)
        self.assertFalse(node.should_look(3_000))

    def test_holder_without_the_store_is_replaced(self) -> None:
        """A coordinator that the store turns away sees no target change."""
        store = _Store()
        first = coordination.Election("a", 0)
        look(first, store, 0)
        second = coordination.Election("b", 100)
        look(second, store, 0)
        assert first.term is not None
        for now_ms in range(0, 3_000, 150):
            second.heard(first.term, now_ms)
            second.store_age(now_ms, now_ms)
        self.assertFalse(second.should_look(2_000))
        self.assertTrue(second.should_look(2_900))
        look(second, store, 2_900)
        self.assertTrue(second.is_holder)
        self.assertFalse(first.heard(second.term, 3_000) and first.is_holder)

    def test_random_histories_have_one_holder_of_each_term(self) -> None:
        """Terms are unique and the store's last claim decides."""
        draw = random.Random(7)
        store = _Store()
        nodes = [coordination.Election(n, 10 * i) for i, n in enumerate("abc")]
        claims: dict[int, str] = {}
        for now_ms in range(0, 60_000, 50):
            node = draw.choice(nodes)
            if node.should_look(now_ms):
                look(node, store, now_ms)
            for term in store.terms:
                self.assertEqual(
                    term.node, claims.setdefault(term.number, term.node)
                )
            holder = draw.choice(nodes)
            if holder.is_holder and holder.term and draw.random() < 0.8:
                for other in nodes:
                    if other is not holder and draw.random() < 0.7:
                        other.heard(holder.term, now_ms)
        self.assertGreaterEqual(len(store.terms), 1)


class BackoffTest(unittest.TestCase):
    """Guards against a store that is asked by all nodes while it is down."""

    def test_pauses_grow_to_the_bound_and_start_anew(self) -> None:
        """75 nodes asked 290 times a second for a holder of the duty."""
        backoff = coordination.Backoff(250, 2)
        pauses = [backoff.failed(2_000) for _ in range(6)]
        self.assertEqual([250, 500, 1_000, 2_000, 2_000, 2_000], pauses)
        backoff.succeeded()
        self.assertEqual(250, backoff.failed(2_000))

    def test_lower_bound_holds_at_once(self) -> None:
        """A node that takes the duty asks as often as a holder does."""
        backoff = coordination.Backoff(60, 3)
        for _ in range(6):
            backoff.failed(2_000)
        self.assertEqual(400, backoff.failed(400))


class MessageTest(unittest.TestCase):
    """Guards against messages that stop a node that reads them."""

    def test_view_survives_the_wire(self) -> None:
        """What is encoded is decoded as it was."""
        view = coordination.View(
            "a",
            3,
            "a:1",
            7,
            True,
            (coordination.GroupEntry("g", 1, "m", "t"),),
            (("h", 4),),
            (coordination.GroupWork("g", 1, 2.0, 30.0, 5, False),),
            (coordination.Outcome("t", 3, 1, 20.0),),
            coordination.StoreView(
                coordination.TopicView(4, 100, ()),
                coordination.TopicView(
                    9, 50, (coordination.RelayedRecord(8, "t", None),)
                ),
            ),
        )
        self.assertEqual(view, coordination.decode(coordination.encode(view)))

    def test_echo_is_split_from_any_view(self) -> None:
        """The repeated clock is found before plain and compressed views."""
        for groups in (0, 300):
            entry = coordination.GroupEntry("g", 1, "m", "t")
            view = coordination.View(
                "a", 3, "a", 7, True, (entry,) * groups, (), (), ()
            )
            data = coordination.encode(view)
            self.assertEqual((None, data), coordination.split_echo(data))
            echoed = coordination.with_echo(data, 123)
            self.assertEqual((123, data), coordination.split_echo(echoed))

    @hypothesis.given(st.binary(max_size=80))
    def test_any_datagram_is_refused_or_read(self, data: bytes) -> None:
        """Bytes that are no message raise `ValueError` and nothing else."""
        try:
            coordination.decode(data)
        except ValueError:
            pass


if __name__ == "__main__":
    unittest.main()
