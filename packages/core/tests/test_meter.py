"""Tests of the smoothing of measured demand."""

import random
import unittest

from quetzalward_core import limits


class MeterTest(unittest.TestCase):
    """Guards against published demand that follows every random change."""

    def test_steady_arrivals_rarely_change_published_demand(self) -> None:
        rng = random.Random(1)
        meter = limits.DemandMeter()
        published = []
        for _ in range(300):
            count = sum(rng.random() < 0.1 for _ in range(200))
            published.append(meter.measure(float(count)))
        settled = published[50:]
        changes = sum(a != b for a, b in zip(settled, settled[1:]))
        self.assertLessEqual(changes, 5)
        self.assertTrue(20 <= settled[-1] <= 40)

    def test_surge_and_end_are_followed(self) -> None:
        meter = limits.DemandMeter()
        for _ in range(3):
            surged = meter.measure(100.0)
        self.assertGreater(surged, 60.0)
        for _ in range(200):
            ended = meter.measure(0.0)
        self.assertEqual(ended, 0.0)
