"""A short soak of real gateway processes, and regression seeds."""

import asyncio
import unittest

from quetzalward_bench import soak

SEED = 11
SECONDS = 6.0
NODES = 3
# Seeds that failed before, each with its cause.
REGRESSIONS: dict[int, str] = {
    206: "the stand-in started a target twice after two faults killed it",
}


class SoakTest(unittest.TestCase):
    """Guards against guarantees violated under overlapping faults."""

    def run_seed(self, seed: int) -> None:
        """Run a seed and fail if it reports violations."""
        report = asyncio.run(soak.run_seed(seed, SECONDS, NODES))
        self.assertEqual([], report.broken, f"seed {seed}: {report.faults}")

    def test_seeded_run(self) -> None:
        """Processes, connections, store and targets fail at random."""
        self.run_seed(SEED)

    def test_regressions(self) -> None:
        """Each seed that failed before runs without violations."""
        for seed, cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                self.run_seed(seed)


if __name__ == "__main__":
    unittest.main()
