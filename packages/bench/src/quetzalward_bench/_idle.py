"""Cost of nodes that carry no callers: control work only."""

import time
import typing

import urllib3

from quetzalward_bench import _nodes
from quetzalward_bench import _stats
from quetzalward_bench import _system
from quetzalward_standins import cluster

NODES = 6
SETTLE_S = 10.0
MEASURE_S = 30.0


class _RelayedCluster(cluster.Cluster):
    """Nodes reach the log and the host list through counting relays."""

    relays: dict[str, _nodes.Relay]

    def start_standins(self) -> None:
        """Start the stand-ins and a relay before each of the two."""
        super().start_standins()
        self.relays = {}
        for name in ("log", "hosts"):
            port = urllib3.util.parse_url(self.standins[name]).port
            assert port is not None
            self.relays[name] = _nodes.Relay(port)
            url = f"http://127.0.0.1:{self.relays[name].port}"
            self.standins[name] = url

    def counts(self) -> dict[str, int]:
        """Return the bytes that passed each relay so far."""
        return {name: relay.count_bytes for name, relay in self.relays.items()}


def _reading_bytes(running: cluster.Cluster) -> int:
    """Return the bytes of one report and one read of cache events.

    Bodies as the engines answer them, and headers of the usual size.
    """
    hosts = running.read("hosts", "/hosts")["hosts"]
    url_by_host = {host["host"]: host["engine_url"] for host in hosts}
    target = next(iter(_system.targets(running).values()))
    url = url_by_host[target["hosts"][0]]
    size = 0
    for path in ("/report", "/cache_events?after=0"):
        answer = running.pool.request("GET", url + path)
        head = sum(len(k) + len(v) + 4 for k, v in answer.headers.items())
        # Status line, and a request of about the same size as the head.
        size += len(answer.data) + head + 20 + 180
    return size


def measure() -> dict[str, typing.Any]:
    """Return CPU share, memory and bytes of idle nodes."""
    running = _RelayedCluster(cluster.ClusterSpec(nodes=NODES))
    try:
        running.start()
        _system.wait_warm(running)
        time.sleep(SETTLE_S)
        pids = [node.pid for node in running.nodes]
        cpu = [_system.cpu_s(pid) for pid in pids]
        counts = running.counts()
        started_s = time.monotonic()
        time.sleep(MEASURE_S)
        taken_s = time.monotonic() - started_s
        shares = [
            100 * (_system.cpu_s(pid) - before) / taken_s
            for pid, before in zip(pids, cpu)
        ]
        memory = [_system.rss_mb(pid) for pid in pids]
        after = running.counts()
        by_part = {
            name: (after[name] - counts[name]) / taken_s / NODES
            for name in counts
        }
        # Each target is read once a second.
        by_part["reports"] = float(
            _reading_bytes(running) * running.spec.replicas
        )
    finally:
        running.stop()
    return {
        "nodes": NODES,
        "replicas": running.spec.replicas,
        "cpu_percent_mean": _stats.mean(shares),
        "cpu_percent_max": max(shares),
        "rss_mb_max": max(memory),
        "bytes_per_s_by_part": by_part,
        "bytes_per_s": sum(by_part.values()),
    }
