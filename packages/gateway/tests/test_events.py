"""Tests of splitting a body into events and of checking event ids."""

import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalward_gateway import _events


def event(number: int) -> bytes:
    """Return an encoded event with this number as id."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class SplitterTest(unittest.TestCase):
    """Guards against events that are split or merged at read boundaries."""

    @hypothesis.given(
        st.integers(1, 8), st.lists(st.integers(0, 200), max_size=10)
    )
    def test_events_do_not_depend_on_read_boundaries(
        self, count: int, read_ends: list[int]
    ) -> None:
        """The events do not depend on the read boundaries in the body."""
        body = b"".join(event(n) for n in range(count))
        bounds = sorted(
            {min(position, len(body)) for position in read_ends}
            | {0, len(body)}
        )
        splitter = _events.EventSplitter()
        found = []
        for start, end in zip(bounds, bounds[1:]):
            found += splitter.feed(body[start:end])
        self.assertEqual([str(n) for n in range(count)], [e.id for e in found])
        self.assertEqual(body, b"".join(e.data for e in found))
        self.assertTrue(splitter.is_at_event_boundary)

    def test_body_ending_within_an_event_is_incomplete(self) -> None:
        """A body that ends within an event is reported as incomplete."""
        splitter = _events.EventSplitter()
        splitter.feed(event(1) + b"id: 2\nda")
        self.assertFalse(splitter.is_at_event_boundary)

    def test_lf_and_crlf_line_ends(self) -> None:
        """Both LF and CRLF line ends are accepted, as SSE allows."""
        splitter = _events.EventSplitter()
        found = splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\n\n")
        self.assertEqual(["1", "2"], [e.id for e in found])


class SequenceTest(unittest.TestCase):
    """Guards against events lost or duplicated when a stream is resumed."""

    def sequence(self, last_id: str | None, *ids: str) -> list[bool]:
        """Return for each event id whether the event is forwarded."""
        sequence = _events.EventSequence(last_id)
        return [sequence.accept(_events.Event(b"", i)) for i in ids]

    def test_duplicate_events_are_dropped(self) -> None:
        """Events that a resumed stream repeats are not forwarded again."""
        self.assertEqual(
            [False, False, True], self.sequence("2", "1", "2", "3")
        )

    def test_gap_is_an_error(self) -> None:
        """A resumed stream that skips an event is an error."""
        with self.assertRaises(_events.EventGap):
            self.sequence("2", "4")


if __name__ == "__main__":
    unittest.main()
