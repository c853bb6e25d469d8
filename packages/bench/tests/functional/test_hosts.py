"""Hosts that fail, pause and come back under load."""

import random
import time

from functional import agreed
from functional import support

SEED = 11
# Largest age of a report that lets a replica serve, and the time that a
# request may be on its way: both are within the stated few seconds.
EVIDENCE_S = 3.0
DELIVERY_S = 2.0
STEPS = 12


class HostFaultsTest(support.ClusterCase):
    """Guards R1 and R2 against hosts that fail and come back."""

    spec = support.small(nodes=3, replicas=6)

    def setUp(self) -> None:
        self.addCleanup(self.revive_all)
        self.wait_until_serving(4)

    def revive_all(self) -> None:
        hosts = self.running.read("engines", "/faults")["hosts"]
        for name, host in hosts.items():
            if host["state"] != "live":
                self.running.inject("engines", action="revive", host=name)

    def total(self, count: str) -> int:
        totals = self.running.read("engines", "/stats")["totals"]
        return totals.get(count, 0)

    def check_no_late_requests(self, action: str, host_index: int) -> None:
        load = self.load(tokens=10)
        load.start(8, 0, 0.02)
        # The target has had requests, so the nodes do use it.
        busiest = support.wait_for(self.busiest, "a busy target")
        host = self.targets()[busiest]["hosts"][host_index]
        self.running.inject("engines", action=action, host=host)
        time.sleep(EVIDENCE_S + DELIVERY_S)
        before = self.total("refused_incomplete")
        time.sleep(3)
        after = self.total("refused_incomplete")
        load.stop()
        self.assertEqual(before, after)
        self.assertEqual([], load.tally.failures)
        self.assertGreater(load.tally.drafts, 0)

    def busiest(self) -> str:
        running = {
            name: target["running"]
            for name, target in self.warm_targets().items()
        }
        busy = [name for name, count in running.items() if count]
        return max(busy, key=lambda name: running[name], default="")

    def test_killed_last_host(self) -> None:
        """R1: requests go on to a replica that has lost a host."""
        self.check_no_late_requests("kill", -1)

    def test_paused_last_host(self) -> None:
        """R1: requests go on to a replica with a paused host."""
        self.check_no_late_requests("pause", -1)

    def test_killed_first_host(self) -> None:
        """R1: requests go on to a replica whose address is dead."""
        self.check_no_late_requests("kill", 0)

    def test_hosts_fail_and_return_at_random(self) -> None:
        """R1, R2, R3: a host that comes back is placed in two groups."""
        draw = random.Random(SEED)
        falls = self.total("falls")
        assignments = agreed.Assignments(self)
        load = self.load(tokens=20)
        load.start(6, 1, 0.05)
        for _ in range(STEPS):
            self.change_one_host(draw)
            time.sleep(1.5)
        self.revive_all()
        agreed.wait_for_agreement(self)
        load.stop()
        seen = assignments.stop()
        self.assertEqual([], load.tally.failures)
        formed = agreed.check_control(self)
        self.assertEqual(set(), seen - formed)
        self.assertEqual(falls, self.total("falls"))

    def change_one_host(self, draw: random.Random) -> None:
        """Fail a host, or let one come back if three are missing."""
        hosts = self.running.read("engines", "/faults")["hosts"]
        missing = [n for n, h in sorted(hosts.items()) if h["state"] != "live"]
        if len(missing) >= 3 or (missing and draw.random() < 0.4):
            host = draw.choice(missing)
            paused = hosts[host]["state"] == "paused"
            action = draw.choice(["resume", "revive"]) if paused else "revive"
        else:
            grouped = [
                name
                for name, host in sorted(hosts.items())
                if host["group"] and host["state"] == "live"
            ]
            host = draw.choice(grouped)
            action = draw.choice(["kill", "pause", "pause", "leave"])
        self.running.inject("engines", action=action, host=host)
