"""Tests of what a stopping node still takes on."""

import unittest

from quetzalward_core import draining

DRAIN = draining.Drain(10_000, 8_000)


class DrainTest(unittest.TestCase):
    """Guards against requests that the end of the grace cuts."""

    def test_request_begins_if_it_ends_before_the_last_answers(self) -> None:
        """The same request is refused a moment later."""
        latest_ms = DRAIN.answer_ms - 1_000
        self.assertTrue(DRAIN.may_begin(1_000, latest_ms))
        self.assertFalse(DRAIN.may_begin(1_000, latest_ms + 1))

    def test_stream_begins_only_while_the_stop_is_new(self) -> None:
        """A stream that has begun cannot be given a status any more."""
        self.assertTrue(DRAIN.may_begin_stream(100, 12_500))
        self.assertFalse(DRAIN.may_begin_stream(100, 12_501))
        self.assertFalse(DRAIN.may_begin_stream(7_000, 11_000))

    def test_times_are_in_order_within_a_short_grace(self) -> None:
        """The balancer may need longer than half of the grace."""
        drain = draining.Drain(0, 2_000)
        self.assertLess(0, drain.removed_ms)
        self.assertLess(drain.removed_ms, drain.answer_ms)
        self.assertLess(drain.answer_ms, drain.end_ms)
        self.assertLess(drain.end_ms, 2_000)


if __name__ == "__main__":
    unittest.main()
