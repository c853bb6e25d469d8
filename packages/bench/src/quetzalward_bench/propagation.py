"""Time until a change is in force on every node.

`python -m quetzalward_bench propagation [--nodes 6,24] [--repeats N]`:
published configurations until each node has them in force, and take-outs of a
zone until its last new request, with the log as usual, slow and (take-outs
only) down. A take-out is given to one node, which must tell the others.
"""

import asyncio
import itertools
import threading
import time
import typing

import attrs

from quetzalward_bench import _client
from quetzalward_bench import _propagation_plot
from quetzalward_bench import _results
from quetzalward_bench import _schedule
from quetzalward_bench import _stats
from quetzalward_bench import _system
from quetzalward_standins import _target
from quetzalward_standins import cluster

ZONE = "zone-b"
SLOW_LOG_MS = 1_000
# The design's limits: a configuration everywhere, and a zone without work.
CONFIG_LIMIT_MS = 15_000.0
TAKE_OUT_LIMIT_MS = 5_000.0
LOAD_PER_S = 40.0
LOAD_TOKENS = 4
CHANGE_PAUSE_S = 0.5
# Watched after a take-out; longer than its limit.
AWAY_S = 6.5
RETURN_S = 1.5
POLL_S = 0.01
TIMEOUT_S = 60.0
CUSTOMER = _schedule.Customer("bench", "large", LOAD_PER_S)


@attrs.frozen
class Scenario:
    """State of the log during the changes."""

    name: str
    fault: dict[str, typing.Any]
    publishes: bool = True


SCENARIOS = (
    Scenario("usual", {}),
    Scenario("slow_log", {"slow_ms": SLOW_LOG_MS}),
    Scenario("log_outage", {"outage": True}, publishes=False),
)
NO_FAULT = {"slow_ms": 0, "outage": False}


class Load:
    """Short answers in a steady rhythm over all nodes, on a thread."""

    def __init__(self, running: cluster.Cluster) -> None:
        """Prepare; `start` begins to send."""
        self._urls = [node.url for node in running.nodes]
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._run())
        )
        self.records: list[_client.Record] = []

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the answers."""
        self._stopped.set()
        self._thread.join()

    async def _run(self) -> None:
        tasks: set[asyncio.Task[None]] = set()
        start_s = time.monotonic()
        for number in itertools.count():
            planned_s = start_s + number / LOAD_PER_S
            await asyncio.sleep(max(0.0, planned_s - time.monotonic()))
            if self._stopped.is_set():
                break
            record = _client.Record(CUSTOMER.name, planned_s)
            self.records.append(record)
            body = _schedule.body(CUSTOMER.name, 0, number, LOAD_TOKENS)
            url = self._urls[number % len(self._urls)]
            work = _client.draft(url, CUSTOMER.api_key, body, record)
            task = asyncio.create_task(work)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)


class Trial:
    """One size of cluster in all scenarios."""

    def __init__(self, nodes: int, repeats: int) -> None:
        """Prepare the cluster; `run` starts it."""
        self._repeats = repeats
        self._cluster = cluster.Cluster(
            cluster.ClusterSpec(
                nodes=nodes,
                engines=_target.EngineSettings(prefill_block_ms=0.0),
                configuration={
                    "customers": {
                        CUSTOMER.name: {
                            "key_sha256": [cluster.sha256(CUSTOMER.api_key)]
                        }
                    }
                },
            )
        )
        self._changes = itertools.count(1)
        self.violations: list[str] = []

    def run(self) -> dict[str, typing.Any]:
        """Return the times of every scenario."""
        try:
            self._cluster.start()
            _system.wait_warm(self._cluster)
            load = Load(self._cluster)
            load.start()
            try:
                found = {s.name: self._scenario(s) for s in SCENARIOS}
            finally:
                load.stop()
        finally:
            self._cluster.stop()
        self.violations += [
            f"wrong token: {r.wrong}" for r in load.records if r.wrong
        ]
        failed = sum(not record.whole for record in load.records)
        found["load"] = {"requests": len(load.records), "failed": failed}
        return found

    def _scenario(self, scenario: Scenario) -> dict[str, typing.Any]:
        configs: list[float] = []
        self._cluster.inject("log", **scenario.fault)
        try:
            if scenario.publishes:
                for _ in range(self._repeats):
                    configs += self._publish()
                    time.sleep(CHANGE_PAUSE_S)
        finally:
            self._cluster.inject("log", **NO_FAULT)
        take_outs = [self._take_out(scenario) for _ in range(self._repeats)]
        over = sum(ms > CONFIG_LIMIT_MS for ms in configs)
        if over:
            text = f"{over} configurations over the limit"
            self.violations.append(f"{scenario.name}: {text}")
        return {
            "config_ms": _quantiles(configs),
            "last_request_ms": _quantiles([ms for ms, _ in take_outs]),
            "confirmed_ms": _quantiles([ms for _, ms in take_outs]),
        }

    def _publish(self) -> list[float]:
        """Publish a change; return when each node had it, in ms."""
        node = self._cluster.nodes[0]
        shown = self._cluster.operate(node, "GET", "/config", None)
        assert shown is not None
        current = shown.json()
        document = dict(current["document"])
        document["limits"] = {"max_queue_ms": 5_000 + next(self._changes)}
        body = {"base_revision": current["revision"], "document": document}
        started_s = time.monotonic()
        found: list[float] = []
        threads = [
            threading.Thread(
                target=self._await_revision,
                args=(one, current["revision"], started_s, found),
            )
            for one in self._cluster.nodes
        ]
        for thread in threads:
            thread.start()
        answer = self._cluster.operate(node, "POST", "/config", body)
        for thread in threads:
            thread.join()
        if answer is None or answer.status != 200:
            raise cluster.ClusterError(f"configuration not taken: {answer}")
        if len(found) < len(threads):
            self.violations.append("a node never had the configuration")
        return found

    def _await_revision(
        self,
        node: cluster.Node,
        before: int,
        started_s: float,
        found: list[float],
    ) -> None:
        while time.monotonic() < started_s + TIMEOUT_S:
            answer = self._cluster.operate(node, "GET", "/status", None)
            now_s = time.monotonic()
            if answer and answer.json()["config_revision"] > before:
                found.append((now_s - started_s) * 1000)
                return
            time.sleep(POLL_S)

    def _take_out(self, scenario: Scenario) -> tuple[float, float]:
        """Return when the last new request came, and the confirmation."""
        node = self._cluster.nodes[next(self._changes) % 2]
        path = f"/zones/{ZONE}"
        self._cluster.inject("log", **scenario.fault)
        started_s = time.monotonic()
        try:
            self._cluster.operate(node, "POST", path, {"state": "out"})
            confirmed_ms = (time.monotonic() - started_s) * 1000
            time.sleep(max(0.0, started_s + AWAY_S - time.monotonic()))
            last_ms = self._last_request_ms(started_s)
        finally:
            self._cluster.inject("log", **NO_FAULT)
        if last_ms > confirmed_ms + TAKE_OUT_LIMIT_MS:
            text = f"request {last_ms:.0f} ms after the take-out"
            self.violations.append(f"{scenario.name}: {text}")
        self._bring_back()
        return last_ms, confirmed_ms

    def _last_request_ms(self, started_s: float) -> float:
        ages = [
            target["last_request_age_ms"]
            for target in _system.targets(self._cluster).values()
            if target["zone"] == ZONE
            and target["last_request_age_ms"] is not None
        ]
        last_s = time.monotonic() - min(ages) / 1000
        return max(0.0, (last_s - started_s) * 1000)

    def _bring_back(self) -> None:
        def on_log(state: str) -> bool:
            for node in self._cluster.nodes:
                answer = self._cluster.operate(node, "GET", "/zones", None)
                rows = answer.json()["zones"] if answer else []
                if {"zone": ZONE, "state": state} not in [
                    {"zone": r["zone"], "state": r["state"]} for r in rows
                ]:
                    return False
            return True

        _system.wait_until(lambda: on_log("out"), "take-out on the log")
        _system.set_zone(self._cluster, ZONE, "in")
        _system.wait_until(lambda: on_log("in"), "return on the log")
        requests = self._zone_requests()
        _system.wait_until(
            lambda: self._zone_requests() > requests, "work in the zone again"
        )
        time.sleep(RETURN_S)

    def _zone_requests(self) -> int:
        return sum(
            target["counts"].get("requests", 0)
            for target in _system.targets(self._cluster).values()
            if target["zone"] == ZONE
        )


def _quantiles(values: list[float]) -> dict[str, float]:
    if not values:
        return {"count": 0}
    return {
        "count": len(values),
        "p50": _stats.quantile(values, 0.5),
        "p95": _stats.quantile(values, 0.95),
        "max": max(values),
    }


def main(
    nodes: int | tuple[int, ...] = (6, 24),
    repeats: int = 8,
    folder: str = "",
) -> None:
    """Measure the times for each number of nodes."""
    sizes = (nodes,) if isinstance(nodes, int) else nodes
    document: dict[str, typing.Any] = _results.conditions(0)
    document["figures"] = {}
    document["violations"] = []
    for size in sizes:
        trial = Trial(size, repeats)
        figures = trial.run()
        document["figures"][str(size)] = figures
        document["violations"] += [f"{size}: {v}" for v in trial.violations]
        for name, row in figures.items():
            print(size, name, _results.rounded(row, 0), flush=True)
    _results.write("propagation", document, folder)
    file = _results.path("propagation.png", folder)
    _propagation_plot.draw(document["figures"], file)
    _results.finish(document["violations"])
