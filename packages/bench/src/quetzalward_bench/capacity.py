"""Slopes behind docs/CAPACITY.md, each from three sizes.

`python -m quetzalward_bench capacity [PART ...]` with the parts `decision`,
`plan`, `control` and `calls`; all of them without arguments. The cost of the
exchange between nodes comes from `membership`, that of the fold from `fold`.
"""

import random
import threading
import time
import typing

import attrs

from quetzalward_bench import _stats
from quetzalward_bench import _system
from quetzalward_core import clock
from quetzalward_core import config
from quetzalward_core import formation
from quetzalward_core import limits
from quetzalward_core import routing
from quetzalward_node import dispatch
from quetzalward_node import interfaces
from quetzalward_standins import cluster

MEASURE_S = 20.0
SETTLE_S = 5.0
START_TIMEOUT_S = 120.0
DECISIONS = 2_000
# Requests of a node in the second between two reports at the target size.
REQUESTS_PER_REPORT = 12
TARGET_COUNTS = (8, 24, 96)
REPLICA_COUNTS = (6, 12, 24)
FLEET_REPLICAS = (50, 200, 710)
CALL_RATES = (0, 20, 40)
HOSTS_PER_REPLICA = 8
_MODEL = "m"


@attrs.frozen
class _Control:
    """A control source that never changes."""

    current: interfaces.ControlView

    def view(self) -> interfaces.ControlView:
        return self.current


class _NoDemand:
    """A demand exchange without other nodes."""

    def publish(self, demands: typing.Mapping[str, limits.Demand]) -> None:
        del demands

    def demands_by_node(self) -> dict[str, dict[str, limits.Demand]]:
        return {}


def slope(points: typing.Sequence[tuple[float, float]]) -> dict[str, float]:
    """Return the least-squares line through measured points."""
    mean_x = _stats.mean([x for x, _ in points])
    mean_y = _stats.mean([y for _, y in points])
    upper = sum((x - mean_x) * (y - mean_y) for x, y in points)
    lower = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = upper / lower
    return {
        "per_unit": round(per_unit, 6),
        "at_zero": round(mean_y - per_unit * mean_x, 6),
    }


def _group(number: int) -> routing.GroupView:
    hosts = tuple(
        routing.HostId(f"h{number}-{n}", "1") for n in range(HOSTS_PER_REPLICA)
    )
    return routing.GroupView(
        f"g{number}", 1, routing.SERVING, _MODEL, hosts, f"z{number % 3}"
    )


def _targets_view(
    groups: typing.Sequence[routing.GroupView], now_ms: int
) -> interfaces.TargetsView:
    reports = {
        group.group_id: routing.EngineReport(
            target_id=group.group_id,
            epoch=group.epoch,
            hosts=frozenset(group.hosts),
            state=routing.EngineState.WARM,
            models=frozenset([_MODEL]),
            running=3,
            waiting=0,
            kv_used=0.2,
            token_ms=40.0,
            bearable=96,
            as_of_ms=now_ms,
        )
        for group in groups
    }
    url = "http://127.0.0.1:1"
    entries = {
        host.host: routing.HostEntry(
            host.host, host.incarnation, group.zone, "d", False, url
        )
        for group in groups
        for host in group.hosts
    }
    return interfaces.TargetsView(
        subset=frozenset(reports),
        reports=reports,
        urls={name: url for name in reports},
        host_list=routing.HostList(now_ms, entries),
    )


def decision_us(targets: int) -> float:
    """Return the processor time of one admission, choice and release."""
    groups = [_group(n) for n in range(targets)]
    view = interfaces.ControlView(
        position=1,
        configuration=config.Configuration(
            zones={f"z{n}": config.Zone("r") for n in range(3)},
            models={_MODEL: config.Model(HOSTS_PER_REPLICA, targets)},
            customers={
                "c": config.Customer(
                    (), rate_per_s=1e6, max_concurrency=100_000
                )
            },
        ),
        groups={group.group_id: group for group in groups},
        zones_out=frozenset(),
        nodes={"n": "z0"},
        isolated=False,
        ownership_current=True,
    )
    time_source = clock.SystemClock()
    task = dispatch.DispatchTask(
        "n",
        "z0",
        _Control(view),
        _NoDemand(),
        time_source,
        random.Random(1),
        lambda target_id: None,
    )
    task.start()
    task.publish_targets(_targets_view(groups, time_source.now_ms()), ())
    started = time.process_time()
    for number in range(DECISIONS):
        now_ms = time_source.now_ms()
        if number % REQUESTS_PER_REPORT == 0:
            task.publish_targets(_targets_view(groups, now_ms), ())
        request = interfaces.RouteRequest(
            f"r{number}", "c", _MODEL, "p" * 600, 0, 16, now_ms, now_ms + 9_000
        )
        grant = task.acquire(request)
        report = interfaces.AttemptReport(
            interfaces.AttemptResult.OK, 16, 50.0, 40.0
        )
        task.release(grant, report)
        task.finish(request.request_id)
    used = time.process_time() - started
    task.stop()
    return used / DECISIONS * 1e6


def measure_decision() -> dict[str, typing.Any]:
    """Measure a routing decision with more and more targets."""
    points = [(float(n), decision_us(n)) for n in TARGET_COUNTS]
    return {"us_by_targets": dict(points), "slope": slope(points)}


def _fleet(replicas: int) -> formation.Fleet:
    zones = [f"z{n}" for n in range(6)]
    per_zone = -(-replicas // len(zones)) * HOSTS_PER_REPLICA
    hosts = {}
    for zone in zones:
        for number in range(per_zone + HOSTS_PER_REPLICA):
            name = f"{zone}-h{number}"
            domain = f"{zone}-d{number // 32}"
            hosts[name] = formation.Host(name, zone, domain, 1)
    models = {_MODEL: config.Model(HOSTS_PER_REPLICA, replicas)}
    return formation.Fleet(models, hosts, {}, frozenset(zones))


def plan_ms(replicas: int) -> float:
    """Return the processor time of one plan for an empty fleet."""
    fleet = _fleet(replicas)
    started = time.process_time()
    plan = formation.make_plan(fleet)
    used = time.process_time() - started
    assert len(plan.actions) >= replicas, "the plan forms too few groups"
    return used * 1e3


def measure_plan() -> dict[str, typing.Any]:
    """Measure a plan from nothing, the largest that a manager makes."""
    points = [(float(n), plan_ms(n)) for n in FLEET_REPLICAS]
    return {"ms_by_replicas": dict(points), "slope": slope(points)}


def _serving(system: cluster.Cluster) -> int:
    answer = system.operate(system.nodes[0], "GET", "/groups", None)
    if answer is None or answer.status != 200:
        return 0
    return sum(g["state"] == "serving" for g in answer.json()["groups"])


def _start(spec: cluster.ClusterSpec) -> cluster.Cluster:
    system = cluster.Cluster(spec)
    system.start()
    deadline = time.monotonic() + START_TIMEOUT_S
    while _serving(system) < spec.replicas:
        if time.monotonic() > deadline:
            system.stop()
            raise cluster.ClusterError("not all groups serve")
        time.sleep(0.5)
    time.sleep(SETTLE_S)
    return system


def _usage(system: cluster.Cluster) -> dict[str, float]:
    """Return mean processor share and largest memory of all nodes."""
    pids = [node.pid for node in system.nodes]
    before = [_system.cpu_s(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(MEASURE_S)
    elapsed = time.monotonic() - started
    used = [_system.cpu_s(p) - b for p, b in zip(pids, before, strict=True)]
    return {
        "cpu_percent_mean": 100 * _stats.mean(used) / elapsed,
        "cpu_percent_max": 100 * max(used) / elapsed,
        "rss_mb_max": max(_system.rss_mb(pid) for pid in pids),
    }


def measure_control() -> dict[str, typing.Any]:
    """Measure idle nodes with more and more targets to watch."""
    rows = {}
    for replicas in REPLICA_COUNTS:
        system = _start(cluster.ClusterSpec(nodes=3, replicas=replicas))
        try:
            rows[replicas] = _usage(system)
        finally:
            system.stop()
    points = [(float(n), row["cpu_percent_mean"]) for n, row in rows.items()]
    return {"by_targets": rows, "cpu_slope": slope(points)}


def _book(
    system: cluster.Cluster, rate: float, stop: threading.Event
) -> list[int]:
    """Send bookings to the first node at a rate until told to stop."""
    statuses: list[int] = []
    url = system.nodes[0].url + system.booking_path
    number = 0
    while rate and not stop.wait(1 / rate):
        number += 1
        answer = system.pool.request(
            "POST",
            url,
            json={"number": number},
            headers={
                "Authorization": f"Bearer {system.api_key}",
                "Idempotency-Key": f"capacity-{rate}-{number}",
            },
            retries=False,
        )
        statuses.append(answer.status)
    return statuses


def measure_calls() -> dict[str, typing.Any]:
    """Measure nodes that only read the intents of another one's bookings."""
    system = _start(cluster.ClusterSpec(nodes=3, replicas=3))
    rows = {}
    try:
        for rate in CALL_RATES:
            rows[rate] = _measure_bookings(system, rate)
    finally:
        system.stop()
    points = [(r["bookings_per_s"], r["reader_cpu"]) for r in rows.values()]
    return {"by_rate": rows, "cpu_slope": slope(points)}


def _measure_bookings(
    system: cluster.Cluster, rate: int
) -> dict[str, typing.Any]:
    stop = threading.Event()
    statuses: list[int] = []
    sender = threading.Thread(
        target=lambda: statuses.extend(_book(system, rate, stop))
    )
    sender.start()
    readers = [node.pid for node in system.nodes[1:]]
    before = [_system.cpu_s(pid) for pid in readers]
    started = time.monotonic()
    time.sleep(MEASURE_S)
    elapsed = time.monotonic() - started
    used = [_system.cpu_s(p) - b for p, b in zip(readers, before, strict=True)]
    stop.set()
    sender.join()
    return {
        "bookings_per_s": len(statuses) / elapsed,
        "answers_not_201": sum(status != 201 for status in statuses),
        "reader_cpu": 100 * _stats.mean(used) / elapsed,
    }


PARTS: dict[str, typing.Callable[[], dict[str, typing.Any]]] = {
    "decision": measure_decision,
    "plan": measure_plan,
    "control": measure_control,
    "calls": measure_calls,
}


def main(*parts: str) -> None:
    """Print the measured slopes as JSON."""
    _stats.show({name: PARTS[name]() for name in parts or PARTS})
