"""Tests of many nodes before targets that stand still and go on."""

import asyncio
import unittest

import silence_simulation

from quetzalward_gateway import _settings


class SilenceAtScaleTest(unittest.TestCase):
    """Guards against a fleet that does more harm than a second of silence."""

    def check(self, nodes: int) -> None:
        """Check a silence of a quarter, half and all of the targets."""
        budget = 130 + _settings.Bounds().repeat_ratio * (
            silence_simulation.STREAMS
        )
        for share in (0.25, 0.5, 1.0):
            with self.subTest(nodes=nodes, share=share):
                result = asyncio.run(silence_simulation.run(nodes, share))
                self.assertEqual(silence_simulation.STREAMS, result.complete)
                self.assertEqual(0, result.aborted + result.refused)
                self.assertEqual(0, result.out_of_order)
                self.assertLessEqual(result.most_targets, 2)
                self.assertLessEqual(result.repeats, budget)

    def test_streams_of_7_nodes_survive(self) -> None:
        """Each node has dozens of streams."""
        self.check(7)

    def test_streams_of_64_nodes_survive(self) -> None:
        """Each node has several streams."""
        self.check(64)

    def test_streams_of_390_nodes_survive(self) -> None:
        """Each node has one stream, and a third of a retry."""
        self.check(390)


if __name__ == "__main__":
    unittest.main()
