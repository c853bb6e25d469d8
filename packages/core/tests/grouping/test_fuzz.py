"""Random troubles of targets and coordinators against what must hold.

The world plays losses, returns, drains, cuts from the store, late orders
and coordinators that go on after they were deposed. After each step no
target may be in two groups, no incomplete group may open, and loads stay
under their ceiling; once the troubles end, the fleet serves again.
"""

import random
import unittest

from grouping import builders
from quetzalward_core import grouping

# Loads that may begin within any window (RULES of the deployment: rate x
# window x 1.1 + 3).
WINDOW_MS = 5_000
CEILING = 4.5 * 5 * 1.1 + 3
STEP_MS = 400
STEPS = 60
SEEDS = range(12)


class Troubles:
    """Draws one trouble after the other."""

    def __init__(self, seed: int) -> None:
        """Form a fleet, then start traffic."""
        self.draw = random.Random(seed)
        # Large domains hold several groups of a model, whose survivors are
        # merged.
        self.domains, hosts = (4, 9) if seed % 2 else (2, 18)
        self.world = builders.World(self.domains, hosts, seed=seed)
        self.world.run(8_000)
        self.world.start_traffic()
        self.old: list[grouping.Coordinator] = []
        self.added = 0

    def step(self) -> None:
        """Do one random thing and let time pass."""
        action = self.draw.choice(
            (
                self.kill,
                self.kill,
                self.restart,
                self.drain,
                self.unlist,
                self.cut_heads,
                self.list_again,
                self.add,
                self.add_many,
                self.elect,
                self.delay_orders,
                self.nothing,
            )
        )
        action()
        self.world.run(STEP_MS)
        for coordinator in self.old:
            if self.draw.random() < 0.5:
                self.world.tick(coordinator)

    def _pick(self, alive: bool) -> str | None:
        found = [
            t.id
            for t in self.world.fleet.target_by_id.values()
            if t.alive is alive
        ]
        return self.draw.choice(found) if found else None

    def kill(self) -> None:
        """Lose a target; a stalled stream tells the coordinator."""
        target_id = self._pick(True)
        if target_id is not None:
            self.world.fleet.kill(target_id)
            if self.draw.random() < 0.7:
                self.world.coordinator.reported(
                    target_id, None, self.world.fleet.now_ms
                )

    def restart(self) -> None:
        """Bring a lost target back under its id."""
        target_id = self._pick(False)
        if target_id is not None:
            self.world.fleet.restart(target_id)

    def drain(self) -> None:
        """Let a target announce that it leaves."""
        target_id = self._pick(True)
        if target_id is not None:
            self.world.fleet.target_by_id[target_id].draining = True

    def unlist(self) -> None:
        """Cut a target off from the store; it goes on serving."""
        target_id = self._pick(True)
        if target_id is not None:
            self.world.fleet.target_by_id[target_id].unlisted = True

    def cut_heads(self) -> None:
        """Cut all heads of a domain off from the store; they stay open."""
        domain = f"d{self.draw.randrange(self.domains)}"
        for group in self.world.coordinator.open_groups():
            if group.domain == domain:
                head = self.world.fleet.target_by_id[group.head]
                head.unlisted = True
        self.world.run(4_000)

    def list_again(self) -> None:
        """End all cuts."""
        for target in self.world.fleet.target_by_id.values():
            target.unlisted = False

    def add(self) -> None:
        """Start a new target with nothing on its host."""
        self.added += 1
        domain = f"d{self.draw.randrange(self.domains)}"
        self.world.fleet.add(f"new{self.added}", domain)

    def add_many(self) -> None:
        """Start as many new targets as a large domain holds, once."""
        if "large0" not in self.world.fleet.target_by_id:
            for number in range(36):
                self.world.fleet.add(f"large{number}", "d9")

    def elect(self) -> None:
        """Start a new term; the old coordinator may go on for a while."""
        self.old = [self.world.coordinator]
        self.world.elect()
        self.world.coordinator.requested()

    def delay_orders(self) -> None:
        """Carry some orders out late and unanswered, or end that."""
        self.world.late_share = self.draw.choice((0.0, 0.3))

    def nothing(self) -> None:
        """Let time pass."""

    def calm(self) -> None:
        """End all troubles and bring everything back."""
        self.old.clear()
        self.world.late_share = 0.0
        self.list_again()
        for target in self.world.fleet.target_by_id.values():
            if not target.alive or target.draining:
                self.world.fleet.restart(target.id)
        self.world.run(90_000)


class FuzzTest(unittest.TestCase):
    """Guards against orders that break a rule in some history."""

    def check_loads(self, loads_ms: list[int], seed: int) -> None:
        """Check the ceiling of loads in every window."""
        for start_ms in loads_ms:
            count = sum(start_ms <= t < start_ms + WINDOW_MS for t in loads_ms)
            self.assertLessEqual(count, CEILING, f"seed {seed}")

    def test_random_histories(self) -> None:
        """No history breaks a rule, and each fleet recovers."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                troubles = Troubles(seed)
                for _ in range(STEPS):
                    troubles.step()
                    self.assertEqual([], troubles.world.fleet.breaches)
                self.check_loads(troubles.world.fleet.loads_ms, seed)
                troubles.calm()
                self.assertEqual([], troubles.world.fleet.breaches)
                self.assertGreaterEqual(
                    sum(troubles.world.open_by_model().values()), 7
                )


if __name__ == "__main__":
    unittest.main()
