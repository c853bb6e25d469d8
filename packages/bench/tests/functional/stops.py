"""A cluster whose zones and nodes come back after each test."""

import os
import signal

from functional import support

from quetzalward_standins import cluster

ZONE = "zone-b"


class StopCase(support.ClusterCase):
    """Brings every zone and node back after each test."""

    spec = support.small(
        replicas=6,
        # No replacement for a stopped target can be formed, so the target
        # itself must come back.
        spare_hosts_per_zone=0,
    )

    def setUp(self) -> None:
        self.addCleanup(self.bring_back)
        self.wait_until_serving(5)

    def bring_back(self) -> None:
        self.running.inject("log", outage=False, cut_clients=[])
        self.running.inject("service", cut_clients=[])
        for node in self.running.nodes:
            os.kill(node.pid, signal.SIGCONT)
        for node in self.running.nodes:
            self.running.wait_ready(node)
        support.wait_for(
            lambda: self.set_zone(self.running.nodes[0], "in"), "bring-back"
        )

    def set_zone(self, node: cluster.Node, state: str) -> bool:
        answer = self.running.operate(
            node, "POST", f"/zones/{ZONE}", {"state": state}
        )
        return answer is not None and answer.status == 200

    def check_no_new_work(self, before: dict[str, int]) -> None:
        """Check that targets got no request since an earlier reading."""
        late = {
            name: count - before.get(name, 0)
            for name, count in self.requests_by_target(ZONE).items()
            if name in before and count > before[name]
        }
        self.assertEqual({}, late)

    def wait_for_work(self) -> None:
        """Wait until targets of the zone get requests."""
        before = self.requests_by_target(ZONE)
        support.wait_for(
            lambda: any(
                count > before.get(name, 0)
                for name, count in self.requests_by_target(ZONE).items()
            ),
            f"new work in {ZONE}",
        )
