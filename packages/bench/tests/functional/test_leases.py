"""Holders of a zone's lease that stand still and go on unaware."""

import os
import random
import signal
import time

from functional import agreed
from functional import support

from quetzalward_core import agreement
from quetzalward_standins import _target
from quetzalward_standins import cluster

SEED = 5
ZONES = ("zone-a", "zone-b", "zone-c")
ROUNDS = 2
# Longer than a lease with its margin, so that another node claims it.
PAUSE_S = agreement.LEASE_DURATION_MS / 1000 + 4


class PausedHolderTest(support.ClusterCase):
    """Guards R2 against a holder that acts after it lost its lease."""

    spec = support.small(
        replicas=6,
        engines=_target.EngineSettings(honours_fencing=False),
    )

    def holder(self, zone: str) -> cluster.Node | None:
        lease = self.control().leases_by_resource.get(f"groups/{zone}")
        if lease is None:
            return None
        name, _ = agreement.split_writer(lease.holder)
        name = name or lease.holder
        found = [n for n in self.running.nodes if n.name == name]
        return found[0] if found else None

    def resume_all(self) -> None:
        for node in self.running.nodes:
            os.kill(node.pid, signal.SIGCONT)

    def test_holder_stands_still_while_groups_change(self) -> None:
        """R2: orders of two holders leave a host in two groups."""
        self.addCleanup(self.resume_all)
        self.wait_until_serving(4)
        draw = random.Random(SEED)
        assignments = agreed.Assignments(self)
        load = self.load(tokens=20)
        load.start(6, 0, 0.05)
        for number in range(ROUNDS):
            self.change_holder(ZONES[number % len(ZONES)], draw)
        agreed.wait_for_agreement(self)
        drafts = load.tally.drafts
        support.wait_for(lambda: load.tally.drafts > drafts, "more drafts")
        load.stop()
        seen = assignments.stop()
        self.assertEqual([], load.tally.failures)
        formed = agreed.check_control(self)
        self.assertEqual(set(), seen - formed)

    def change_holder(self, zone: str, draw: random.Random) -> None:
        """Stop a zone's holder while it repairs a group, and resume it."""
        holder = support.wait_for(lambda: self.holder(zone), "a holder")
        host = self.fail_host(zone, draw)
        # The holder re-forms the group from 5 s on; a pause that begins
        # then falls among its checks, records and orders.
        time.sleep(draw.uniform(4.5, 7))
        os.kill(holder.pid, signal.SIGSTOP)
        self.running.inject("engines", action="revive", host=host)
        second = self.fail_host(zone, draw)
        support.wait_for(
            lambda: self.holder(zone) not in (None, holder), "a successor"
        )
        time.sleep(PAUSE_S / 2)
        os.kill(holder.pid, signal.SIGCONT)
        self.running.inject("engines", action="revive", host=second)

    def fail_host(self, zone: str, draw: random.Random) -> str:
        """Kill a host of a serving replica of the zone."""

        def candidates() -> list[str]:
            return sorted(
                host
                for target in self.targets().values()
                if target["zone"] == zone and target["complete"]
                for host in target["hosts"]
            )

        host = draw.choice(support.wait_for(candidates, f"a replica {zone}"))
        self.running.inject("engines", action="kill", host=host)
        return host
