"""Tests of event ids, event framing and token positions."""

import time
import unittest

import hypothesis
from hypothesis import strategies

from quetzalward_core import errors
from quetzalward_core import streams

STREAM_ID = streams.make_stream_id("0123456789abcdef", 77)
SIGNER = streams.EventSigner(b"secret", "north", "hash")
POSITION = streams.Position(5, streams.Phase.TOKENS)

fixed = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None, database=None
)


class EventIdTest(unittest.TestCase):
    """Guards against continuing a stream that is not the caller's own."""

    def assert_refused(self, signer, event_id):
        with self.assertRaises(errors.QuetzalwardError) as raised:
            signer.check(event_id)
        kind = errors.ErrorKind.BAD_CONTINUATION
        self.assertIs(kind, raised.exception.kind)

    def test_id_names_stream_position_and_phase(self):
        for phase in streams.Phase:
            position = streams.Position(5, phase)
            event_id = SIGNER.event_id(STREAM_ID, position)
            self.assertEqual((STREAM_ID, position), SIGNER.check(event_id))
            self.assertTrue(event_id.startswith(f"{STREAM_ID}.5."))
        self.assertEqual(77, streams.seed_from_stream_id(STREAM_ID))

    def test_id_of_another_customer_request_or_cluster_is_refused(self):
        event_id = SIGNER.event_id(STREAM_ID, POSITION)
        for signer in (
            streams.EventSigner(b"secret", "south", "hash"),
            streams.EventSigner(b"secret", "north", "other"),
            streams.EventSigner(b"another", "north", "hash"),
            # The same bytes, split differently between the two fields.
            streams.EventSigner(b"secret", "northh", "ash"),
        ):
            self.assert_refused(signer, event_id)

    @fixed
    @hypothesis.given(strategies.data())
    def test_any_changed_id_is_refused(self, data):
        event_id = SIGNER.event_id(STREAM_ID, POSITION)
        at = data.draw(strategies.integers(0, len(event_id) - 1))
        new = data.draw(strategies.characters())
        changed = event_id[:at] + new + event_id[at + 1 :]
        if changed != event_id:
            self.assert_refused(SIGNER, changed)

    @fixed
    @hypothesis.given(strategies.text())
    def test_any_text_is_refused(self, text):
        self.assert_refused(SIGNER, text)


class SseTest(unittest.TestCase):
    """Guards against events that depend on how the bytes are split."""

    @fixed
    @hypothesis.given(strategies.lists(strategies.integers(1, 12)))
    def test_events_do_not_depend_on_read_sizes(self, read_sizes):
        data = b": hello\nid: 0\r\ndata: a\n\ndata: b\ndata: c\n\nid: 9\n\n"
        parser = streams.SseParser()
        events = []
        for size in read_sizes:
            events += parser.feed(data[:size])
            data = data[size:]
        events += parser.feed(data)
        self.assertEqual(
            [streams.Event("a", "0"), streams.Event("b\nc")], events
        )

    def test_formatted_event_parses_back(self):
        data = streams.format_event('{"a": "\\n"}', "s.1.m")
        self.assertEqual(
            [streams.Event('{"a": "\\n"}', "s.1.m")],
            streams.SseParser().feed(data),
        )
        with self.assertRaises(ValueError):
            streams.format_event("a\nb", "s.1.m")

    def test_oversized_event_and_invalid_utf8_are_rejected(self):
        parser = streams.SseParser()
        with self.assertRaises(streams.SseError):
            for _ in range(10):
                parser.feed(b"data: " + b"x" * 65_536)
        parser = streams.SseParser()
        with self.assertRaises(streams.SseError):
            for _ in range(10):
                parser.feed(b"data: " + b"x" * 65_536 + b"\n")
        with self.assertRaises(streams.SseError):
            streams.SseParser().feed(b"data: \xff\n")


class SmallPartsTest(unittest.TestCase):
    """Guards against work that grows with the square of the parts."""

    def test_large_event_byte_by_byte(self):
        parser = streams.SseParser()
        began_s = time.thread_time()
        for _ in range(250_000):
            parser.feed(b"x")
        # It took some seconds.
        self.assertLess(time.thread_time() - began_s, 1.0)
        self.assertEqual([], parser.feed(b"\n"))


class TokenPositionsTest(unittest.TestCase):
    """Guards against lost, repeated and foreign tokens."""

    @fixed
    @hypothesis.given(
        strategies.integers(0, 20),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 8),
                strategies.booleans(),
                strategies.booleans(),
            ),
            max_size=6,
        ),
    )
    def test_each_token_is_sent_once_over_all_attempts(self, start, attempts):
        positions = streams.TokenPositions(sent=start)
        sent = []
        for count, numbered, resumes in attempts:
            attempt = positions.begin_attempt()
            # An engine that does not resume must number its tokens.
            first = positions.sent if resumes or not numbered else 0
            for index in range(first, first + count):
                action = positions.record_token(
                    attempt, index if numbered else None
                )
                if action is streams.FrameAction.SEND:
                    sent.append(index)
        self.assertEqual(list(range(start, positions.sent)), sent)

    def test_frames_of_an_abandoned_attempt_are_dropped(self):
        positions = streams.TokenPositions()
        first = positions.begin_attempt()
        positions.record_token(first, 0)
        second = positions.begin_attempt()
        for numbered in (1, None, 7):
            action = positions.record_token(first, numbered)
            self.assertIs(streams.FrameAction.DROP, action)
        self.assertIs(
            streams.FrameAction.SEND, positions.record_token(second, 1)
        )
        self.assertEqual(2, positions.sent)

    def test_gap_is_refused(self):
        positions = streams.TokenPositions(sent=3)
        attempt = positions.begin_attempt()
        with self.assertRaises(streams.UnexpectedFrameError):
            positions.record_token(attempt, 4)

    def test_changed_answer_id_is_refused(self):
        positions = streams.TokenPositions()
        first = positions.begin_attempt()
        positions.check_answer(first, "a")
        positions.check_answer(first, None)
        with self.assertRaises(streams.UnexpectedFrameError):
            positions.check_answer(first, "b")
        positions.check_answer(positions.begin_attempt(), "b")
