"""Streams of several runs are joined without gaps or repeats."""

import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalward_gateway import _events


def event(number: int) -> bytes:
    """Return an event with an id."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class SplitterTest(unittest.TestCase):
    """Guards against events that are cut or glued together."""

    @hypothesis.given(
        st.integers(1, 8), st.lists(st.integers(0, 200), max_size=10)
    )
    def test_any_cut_gives_the_same_events(
        self, count: int, cuts: list[int]
    ) -> None:
        """Where the network cuts the body makes no difference."""
        body = b"".join(event(n) for n in range(count))
        bounds = sorted({min(c, len(body)) for c in cuts} | {0, len(body)})
        splitter = _events.EventSplitter()
        found = []
        for start, end in zip(bounds, bounds[1:]):
            found += splitter.feed(body[start:end])
        self.assertEqual([str(n) for n in range(count)], [e.id for e in found])
        self.assertEqual(body, b"".join(e.data for e in found))
        self.assertTrue(splitter.is_clean)

    def test_half_an_event_is_left_over(self) -> None:
        """A body that ends within an event is not complete."""
        splitter = _events.EventSplitter()
        splitter.feed(event(1) + b"id: 2\nda")
        self.assertFalse(splitter.is_clean)

    def test_line_ends_of_both_kinds(self) -> None:
        """Events may end in CRLF."""
        splitter = _events.EventSplitter()
        found = splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\n\n")
        self.assertEqual(["1", "2"], [e.id for e in found])


class SequenceTest(unittest.TestCase):
    """Guards against events that are lost or sent twice on a resume."""

    def sequence(self, last_id: str | None, *ids: str) -> list[bool]:
        """Return which of some events are to be forwarded."""
        sequence = _events.EventSequence(last_id)
        return [sequence.is_next(_events.Event(b"", i)) for i in ids]

    def test_repeated_events_are_dropped(self) -> None:
        """A run that starts too early adds nothing twice."""
        self.assertEqual(
            [False, False, True], self.sequence("2", "1", "2", "3")
        )

    def test_gap_is_an_error(self) -> None:
        """A run that starts too late cannot be joined."""
        with self.assertRaises(_events.EventGap):
            self.sequence("2", "4")


if __name__ == "__main__":
    unittest.main()
