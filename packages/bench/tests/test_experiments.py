"""Tests that the experiments run and rank the policies as recorded."""

import unittest

import attrs

from quetzalward_bench import _coldstart
from quetzalward_bench import _limits
from quetzalward_bench import _retries
from quetzalward_bench import _routing


class ExperimentTest(unittest.TestCase):
    """Guards against a change that undoes a recorded advantage."""

    def test_routing_finds_caches_and_avoids_stragglers(self) -> None:
        scale = attrs.evolve(
            _routing.SMALL,
            targets=24,
            rate_per_s=150,
            length_ms=20_000,
            warm_up_ms=8_000,
        )
        present = _routing.run_one(scale, "present", 1)
        baseline = _routing.run_one(scale, "least_outstanding", 1)
        self.assertGreater(
            present["cache_hit_share"], 1.5 * baseline["cache_hit_share"]
        )
        self.assertLess(present["ttft_p95_ms"], baseline["ttft_p95_ms"])
        random_choice = _routing.run_one(scale, "random", 1)
        self.assertLess(
            present["straggler_share"], random_choice["straggler_share"] / 4
        )

    def test_runs_repeat_exactly(self) -> None:
        first = _limits.capacity_loss(3)
        self.assertEqual(first, _limits.capacity_loss(3))
        self.assertEqual(
            _retries.run("present", 3), _retries.run("present", 3)
        )

    def test_cold_target_is_never_overloaded(self) -> None:
        for moves in (False, True):
            figures = _coldstart.Trial("present", 7, moves, 1).run()
            self.assertEqual(figures["overload_events"], 0)
            self.assertGreater(figures["served_cold"], 10)

    def test_goodput_survives_the_loss_of_a_third(self) -> None:
        figures = _limits.capacity_loss(1)["figures"]
        present = figures["present"]
        # Two thirds of 150 places with 4 s requests serve 25 per second.
        self.assertGreater(present["goodput_per_s"], 0.95 * 25)
        self.assertGreater(present["good_share_small"], 0.99)
        old = figures["fifo_without_rejection"]
        self.assertLess(old["goodput_per_s"], 1)

    def test_shares_stay_within_the_limit(self) -> None:
        figures = _limits.share_table(7, 0.6, 1)["figures"]
        present = figures["present"]
        self.assertLessEqual(present["admitted_share_of_limit"], 1.0)
        self.assertGreater(
            present["admitted_share_of_limit"],
            figures["equal_parts"]["admitted_share_of_limit"],
        )

    def test_retries_stay_within_the_budget(self) -> None:
        figures = _retries.run("present", 1)
        self.assertLessEqual(figures["fault_attempts_per_request"], 1.11)
        self.assertEqual(figures["after_answered_share"], 1.0)
