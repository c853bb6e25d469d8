"""Fault injection tests of the group managers of three zones."""

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


class Simulation:
    """Three nodes and zones, with random faults from a seed."""

    def __init__(self, seed: int) -> None:
        """Publish a configuration and start all nodes."""
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(100_000)
        self.store = fakes.Store()
        self.platform = fakes.Platform(self.clock, 3, 2, 5)
        self.platform.honours_fencing = bool(seed % 2)
        self.nodes = [
            fakes.Node(self.store, self.platform, f"n{z}", f"z{z}", ZONES)
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
        """Append an operator's change of a zone's state."""
        known = self.store.fold.view().zones_by_name.get(zone)
        basis = known.changed if known else 0
        self.publish(agreement.ZoneSet(zone, state, basis, "op"))

    def run_for(self, duration_ms: int) -> None:
        """Advance the time by ticks of all nodes that are not paused."""
        for _ in range(duration_ms // TICK_MS):
            for index, node in enumerate(self.nodes):
                if index not in self.paused:
                    node.tick()
            self.clock.advance(TICK_MS)

    def inject_fault(self) -> None:
        """Start or end a random fault."""
        platform = self.platform
        name = self.rng.choice(sorted(platform.hosts))
        node_index = self.rng.randrange(3)
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
            self.paused ^= {node_index}
        elif fault == "held":
            workers = self.nodes[node_index].workers
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

    def clear_faults(self) -> None:
        """End all faults."""
        self.store.down = False
        self.paused = set()
        for node in self.nodes:
            node.workers.run_held()
        for name, host in self.platform.hosts.items():
            host.alive = True
            self.platform.state_by_host.pop(name, None)
        for engine in self.platform.engines.values():
            engine.running = 0
        for zone in ZONES:
            self.set_zone(zone, "in")


class FaultsTest(unittest.TestCase):
    """Guards against groups that do not recover once the faults end."""

    def check_fold(self, simulation: Simulation) -> None:
        """Check that no host is in two groups."""
        names = [
            member.host
            for group in simulation.store.fold.view().groups_by_id.values()
            for member in group.hosts
        ]
        self.assertEqual(len(names), len(set(names)))

    def check_recovered(self, simulation: Simulation) -> None:
        """Check that all replicas serve with the hosts of the fold."""
        groups = simulation.store.fold.view().groups_by_id.values()
        states = [group.state for group in groups]
        self.assertEqual(states.count("serving"), REPLICAS, states)
        for group in groups:
            if group.state != "serving":
                continue
            report = simulation.platform.report(group.hosts[0].host)
            assert report is not None
            wanted = {m.host: m.incarnation for m in group.hosts}
            self.assertEqual(report.hosts, wanted)
            self.assertEqual(report.epoch, group.epoch)
            self.assertEqual(report.state, "warm")

    def test_recovers_from_random_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run_for(20_000)
                for _ in range(30):
                    simulation.inject_fault()
                    simulation.run_for(
                        simulation.rng.randrange(1, 20) * TICK_MS
                    )
                    self.check_fold(simulation)
                simulation.clear_faults()
                simulation.run_for(180_000)
                self.check_recovered(simulation)
