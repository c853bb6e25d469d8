"""Tests of the prefix cache and its events."""

import unittest

from quetzalward_standins import _cache


class PrefixCacheTest(unittest.TestCase):
    """Guards against an unbounded cache and against events too good."""

    def test_least_recently_used_prefix_is_evicted(self) -> None:
        cache = _cache.PrefixCache(2, 0, 0.0, seed=1)
        self.assertEqual(2, cache.touch(["a", "b"], 0))
        self.assertEqual(0, cache.touch(["a"], 0))
        self.assertEqual(1, cache.touch(["c"], 0))
        self.assertIn("a", cache)
        self.assertNotIn("b", cache)
        events, following = cache.events(0, 0)
        self.assertEqual(
            [("a", "add"), ("b", "add"), ("c", "add"), ("b", "evict")],
            [(event.prefix, event.op) for event in events],
        )
        self.assertEqual(4, following)

    def test_events_are_late(self) -> None:
        cache = _cache.PrefixCache(2, 500, 0.0, seed=1)
        cache.touch(["a"], 1000)
        self.assertEqual(([], 0), cache.events(0, 1499))
        self.assertEqual(1, len(cache.events(0, 1500)[0]))

    def test_lost_events_leave_gaps_in_the_numbers(self) -> None:
        cache = _cache.PrefixCache(1000, 0, 0.3, seed=1)
        cache.touch([str(number) for number in range(100)], 0)
        numbers = [event.seq for event in cache.events(0, 0)[0]]
        self.assertEqual(sorted(set(numbers)), numbers)
        self.assertGreater(len(numbers), 50)
        self.assertLess(len(numbers), 90)
