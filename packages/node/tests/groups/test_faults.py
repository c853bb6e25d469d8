"""Random faults against the group managers of three zones."""

import random
import unittest

from groups import fakes

from quetzalward_core import agreement
from quetzalward_core import clock
from quetzalward_core import config

TICK_MS = 500
ZONES = ("z0", "z1", "z2")
REPLICAS = 4
SEEDS = range(12)


class World:
    """Three nodes, three zones, and faults drawn from one seed."""

    def __init__(self, seed: int) -> None:
        """Publish a configuration and start all nodes."""
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(100_000)
        self.store = fakes.Store()
        self.platform = fakes.Platform(self.clock, 3, 2, 5)
        self.platform.honours_fencing = bool(seed % 2)
        self.members = [
            fakes.Member(self.store, self.platform, f"n{z}", f"z{z}", ZONES)
            for z in range(3)
        ]
        self.paused: set[int] = set()
        configuration = config.Configuration(
            zones={zone: config.Zone("r") for zone in ZONES},
            models={"m": config.Model(4, REPLICAS)},
        )
        document = config.to_document(configuration)
        self.publish(agreement.ConfigProposed(0, document, "op"))

    def publish(self, entry: agreement.Entry) -> None:
        """Append an operator's record."""
        self.store.append(f"op{self.store.offset}", 1, [entry])

    def set_zone(self, zone: str, state: str) -> None:
        """Take a zone out or bring it in."""
        known = self.store.fold.view().zones_by_name.get(zone)
        basis = known.changed if known else 0
        self.publish(agreement.ZoneSet(zone, state, basis, "op"))

    def run_for(self, duration_ms: int) -> None:
        """Let the nodes that are not paused tick."""
        for _ in range(duration_ms // TICK_MS):
            for index, member in enumerate(self.members):
                if index not in self.paused:
                    member.tick()
            self.clock.advance(TICK_MS)

    def disturb(self) -> None:
        """Cause or end one fault."""
        platform = self.platform
        name = self.rng.choice(sorted(platform.hosts))
        member = self.rng.randrange(3)
        fault = self.rng.choice(
            ("gone", "pause", "resume", "restart", "leaving", "zone", "node")
            + ("held", "log", "steal", "load")
        )
        if fault in ("gone", "leaving"):
            platform.state_by_host[name] = fault
        elif fault in ("pause", "resume"):
            platform.hosts[name].alive = fault == "resume"
        elif fault == "restart":
            platform.restart(name)
        elif fault == "zone":
            self.set_zone(
                self.rng.choice(ZONES), self.rng.choice(("in", "out"))
            )
        elif fault == "node":
            self.paused ^= {member}
        elif fault == "held":
            workers = self.members[member].workers
            workers.held = not workers.held
            if not workers.held:
                workers.run_held()
        elif fault == "log":
            self.store.down = not self.store.down
        elif fault == "steal":
            platform.hosts[name].target = "stale"
        else:
            for engine in platform.engines.values():
                engine.running = self.rng.randrange(3)

    def heal(self) -> None:
        """End all faults."""
        self.store.down = False
        self.paused = set()
        for member in self.members:
            member.workers.run_held()
        for name, host in self.platform.hosts.items():
            host.alive = True
            self.platform.state_by_host.pop(name, None)
        for engine in self.platform.engines.values():
            engine.running = 0
        for zone in ZONES:
            self.set_zone(zone, "in")


class FaultsTest(unittest.TestCase):
    """Guards against groups that do not recover once the faults end."""

    def check_fold(self, world: World) -> None:
        """Check that no host is in two groups."""
        names = [
            member.host
            for group in world.store.fold.view().groups_by_id.values()
            for member in group.hosts
        ]
        self.assertEqual(len(names), len(set(names)))

    def check_recovered(self, world: World) -> None:
        """Check that all replicas serve with the hosts of the fold."""
        groups = world.store.fold.view().groups_by_id.values()
        states = [group.state for group in groups]
        self.assertEqual(states.count("serving"), REPLICAS, states)
        for group in groups:
            if group.state != "serving":
                continue
            report = world.platform.report(group.hosts[0].host)
            assert report is not None
            wanted = {m.host: m.incarnation for m in group.hosts}
            self.assertEqual(report.hosts, wanted)
            self.assertEqual(report.epoch, group.epoch)
            self.assertEqual(report.state, "warm")

    def test_recovers_from_random_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(seed)
                world.run_for(20_000)
                for _ in range(30):
                    world.disturb()
                    world.run_for(world.rng.randrange(1, 20) * TICK_MS)
                    self.check_fold(world)
                world.heal()
                world.run_for(180_000)
                self.check_recovered(world)
