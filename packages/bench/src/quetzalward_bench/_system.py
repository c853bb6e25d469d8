"""Steps on a running cluster that several experiments share."""

import os
import pathlib
import threading
import time
import typing

from quetzalward_standins import cluster

WAIT_S = 60.0
POLL_S = 0.05
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def wait_until(
    condition: typing.Callable[[], bool], what: str, timeout_s: float = WAIT_S
) -> None:
    """Poll until a condition holds.

    Raises `ClusterError` naming `what` after the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise cluster.ClusterError(f"not reached: {what}")
        time.sleep(POLL_S)


def targets(running: cluster.Cluster) -> dict[str, typing.Any]:
    """Return the engines' own counts and states by target."""
    found = running.read("engines", "/stats")["targets"]
    return typing.cast(dict[str, typing.Any], found)


def wait_warm(running: cluster.Cluster) -> None:
    """Wait until every replica serves and is warm."""

    def all_warm() -> bool:
        found = targets(running).values()
        warm = sum(t["complete"] and t["state"] == "warm" for t in found)
        return warm >= running.spec.replicas

    wait_until(all_warm, "every replica is warm")


def set_zone(running: cluster.Cluster, zone: str, state: str) -> float:
    """Set a zone's state at every node, as the operators' command does.

    Returns when the last node confirmed, in seconds of the monotonic clock.
    """
    lock = threading.Lock()
    confirmed: list[str] = []

    def order(node: cluster.Node) -> None:
        document = {"state": state}
        answer = running.operate(node, "POST", f"/zones/{zone}", document)
        if answer is not None and answer.status < 300:
            with lock:
                confirmed.append(node.name)

    threads = [
        threading.Thread(target=order, args=(node,)) for node in running.nodes
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if not confirmed or (
        state == "out" and len(confirmed) < len(running.nodes)
    ):
        raise cluster.ClusterError(f"{zone} {state}: only {confirmed}")
    return time.monotonic()


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return a process's resident memory in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
