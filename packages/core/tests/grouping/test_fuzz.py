"""Random faults of targets and coordinators, checked against invariants.

The simulation loses, restarts, drains and adds targets, cuts them off from
the store, delays orders, and lets deposed coordinators continue. After each
step no target may be in two groups, no incomplete group may open, and loads
stay within their limit. Once the faults end, the fleet serves again.
"""

import random
import unittest

from grouping import builders
from quetzalward_core import grouping

# Loads that may start within any window (RULES of the deployment: rate x
# window x 1.1 + 3).
WINDOW_MS = 5_000
MAX_LOADS_IN_WINDOW = 4.5 * 5 * 1.1 + 3
STEP_MS = 400
STEPS = 60
SEEDS = range(12)
CONVERSION_SEEDS = range(6)


class FaultInjector:
    """Injects random faults into a simulation, one per step."""

    def __init__(self, seed: int, in_pieces: bool = False) -> None:
        """Form a fleet, then start traffic."""
        self.rng = random.Random(seed)
        # Large domains hold several groups of a model; one of these is
        # dissolved to complete the others.
        self.domains, hosts = (4, 9) if seed % 2 else (2, 18)
        engine = builders.engine()
        if in_pieces:
            # The large model fits only once the other hosts are there.
            self.domains, hosts = 4, 8
            engine = builders.engine(16, 4)
        self.simulation = builders.Simulation(
            self.domains, hosts, engine, seed=seed
        )
        self.simulation.run(8_000)
        self.simulation.start_traffic()
        self.deposed: list[grouping.Coordinator] = []
        self.added = 0

    def step(self) -> None:
        """Inject one random fault and advance the simulation."""
        action = self.rng.choice(
            (
                self.kill,
                self.kill,
                self.restart,
                self.drain,
                self.unlist,
                self.cut_heads,
                self.relist_all,
                self.add,
                self.add_many,
                self.elect,
                self.delay_orders,
                self.no_fault,
            )
        )
        action()
        self.simulation.run(STEP_MS)
        for coordinator in self.deposed:
            if self.rng.random() < 0.5:
                self.simulation.tick(coordinator)

    def _pick(self, alive: bool) -> str | None:
        found = [
            t.id
            for t in self.simulation.fleet.target_by_id.values()
            if t.alive is alive
        ]
        return self.rng.choice(found) if found else None

    def kill(self) -> None:
        """Kill a target; the coordinator may learn of it at once."""
        target_id = self._pick(True)
        if target_id is not None:
            self.simulation.fleet.kill(target_id)
            if self.rng.random() < 0.7:
                self.simulation.coordinator.record_report(
                    target_id, None, self.simulation.fleet.now_ms
                )

    def restart(self) -> None:
        """Restart a killed target under its id."""
        target_id = self._pick(False)
        if target_id is not None:
            self.simulation.fleet.restart(target_id)

    def drain(self) -> None:
        """Mark a target as draining."""
        target_id = self._pick(True)
        if target_id is not None:
            self.simulation.fleet.target_by_id[target_id].draining = True

    def unlist(self) -> None:
        """Cut a target off from the store; it continues to serve."""
        target_id = self._pick(True)
        if target_id is not None:
            self.simulation.fleet.target_by_id[target_id].partitioned = True

    def cut_heads(self) -> None:
        """Cut all heads of a domain off from the store; they stay open."""
        domain = f"d{self.rng.randrange(self.domains)}"
        for group in self.simulation.coordinator.open_groups():
            if group.domain == domain:
                head = self.simulation.fleet.target_by_id[group.head]
                head.partitioned = True
        self.simulation.run(4_000)

    def relist_all(self) -> None:
        """Reconnect all targets to the store."""
        for target in self.simulation.fleet.target_by_id.values():
            target.partitioned = False

    def add(self) -> None:
        """Start a new target without staged weights."""
        self.added += 1
        domain = f"d{self.rng.randrange(self.domains)}"
        self.simulation.fleet.add(f"new{self.added}", domain)

    def add_many(self) -> None:
        """Start 36 new targets in a domain of their own, once."""
        if "large0" not in self.simulation.fleet.target_by_id:
            for number in range(36):
                self.simulation.fleet.add(f"large{number}", "d9")

    def elect(self) -> None:
        """Start a new term; the deposed coordinator may still tick."""
        self.deposed = [self.simulation.coordinator]
        self.simulation.elect()
        self.simulation.coordinator.record_traffic()

    def delay_orders(self) -> None:
        """Start or stop executing some orders late and unanswered."""
        self.simulation.delayed_share = self.rng.choice((0.0, 0.3))

    def no_fault(self) -> None:
        """Inject no fault."""

    def add_pieces(self) -> None:
        """Start twelve more targets in each domain."""
        for domain in range(self.domains):
            for number in range(12):
                self.simulation.fleet.add(f"p{domain}-{number}", f"d{domain}")

    def clear_faults(self) -> None:
        """End all faults, restart lost targets and wait for recovery."""
        self.deposed.clear()
        self.simulation.delayed_share = 0.0
        self.relist_all()
        for target in self.simulation.fleet.target_by_id.values():
            if not target.alive or target.draining:
                self.simulation.fleet.restart(target.id)
        self.simulation.run(90_000)


class FuzzTest(unittest.TestCase):
    """Guards against orders that violate an invariant."""

    def check_loads(self, load_starts_ms: list[int], seed: int) -> None:
        """Check the limit on loads in every window."""
        for start_ms in load_starts_ms:
            count = sum(
                start_ms <= t < start_ms + WINDOW_MS for t in load_starts_ms
            )
            self.assertLessEqual(count, MAX_LOADS_IN_WINDOW, f"seed {seed}")

    def test_random_histories(self) -> None:
        """No history violates an invariant, and each fleet recovers."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                injector = FaultInjector(seed)
                for _ in range(STEPS):
                    injector.step()
                    self.assertEqual([], injector.simulation.fleet.violations)
                self.check_loads(
                    injector.simulation.fleet.load_starts_ms, seed
                )
                injector.clear_faults()
                self.assertEqual([], injector.simulation.fleet.violations)
                self.assertGreaterEqual(
                    sum(injector.simulation.open_by_model().values()), 7
                )

    def test_random_histories_with_conversions(self) -> None:
        """Groups that make room for a model violate no invariant either."""
        for seed in CONVERSION_SEEDS:
            with self.subTest(seed=seed):
                injector = FaultInjector(seed, in_pieces=True)
                injector.add_pieces()
                for _ in range(STEPS):
                    injector.step()
                    self.assertEqual([], injector.simulation.fleet.violations)
                self.check_loads(
                    injector.simulation.fleet.load_starts_ms, seed
                )
                injector.clear_faults()
                injector.simulation.run(90_000)
                self.assertEqual([], injector.simulation.fleet.violations)
                self.assertEqual(
                    {"large", "small"},
                    set(injector.simulation.open_by_model()),
                )


if __name__ == "__main__":
    unittest.main()
