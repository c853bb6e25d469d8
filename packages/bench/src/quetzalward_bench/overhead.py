"""What one node adds to a streamed answer, and where its limit is.

`python -m quetzalward_bench overhead [--streams N,...]`: concurrent streams
straight to the engines and through one node, in turn. The engines stamp each
token with the time they made it, on the clock that all processes share.
Afterwards an idle node's CPU time, memory and bytes.
"""

import asyncio
import itertools
import time
import typing

import attrs

from quetzalward_bench import _client
from quetzalward_bench import _idle
from quetzalward_bench import _overhead_plot
from quetzalward_bench import _results
from quetzalward_bench import _schedule
from quetzalward_bench import _stats
from quetzalward_bench import _system
from quetzalward_standins import _target
from quetzalward_standins import cluster

# 25 tokens/s a stream; 150 streams then give 3,750 tokens/s, above the 3,200
# that the design asks of a node.
TOKEN_MS = 40.0
GAP_LIMIT_MS = 46.0
RAMP_S = 2.0
MEASURE_S = 8.0
CUSTOMER = _schedule.Customer("bench", "large", 0.0)
TIMEOUT_S = 60.0


def cluster_spec(max_streams: int) -> cluster.ClusterSpec:
    """Return a cluster of one node whose limits are not in the way."""
    return cluster.ClusterSpec(
        nodes=1,
        engines=_target.EngineSettings(
            token_ms=TOKEN_MS,
            token_ms_per_running=0.0,
            prefill_block_ms=0.0,
            max_running=max_streams,
        ),
        node_settings={"threads": max_streams + 20},
        configuration={
            "customers": {
                CUSTOMER.name: {
                    "key_sha256": [cluster.sha256(CUSTOMER.api_key)],
                    "rate_per_s": 10_000.0,
                    "max_concurrency": 10_000,
                }
            },
            "limits": {"max_streams": max_streams + 20},
        },
    )


@attrs.frozen
class Step:
    """One number of streams on one path."""

    path: str
    streams: int
    urls: tuple[str, ...]
    # Processes whose CPU time is counted.
    pids: dict[str, int]


async def _run_streams(
    step: Step, numbers: typing.Iterator[int]
) -> list[_client.Record]:
    """Run the streams of a step, started one after another."""
    tokens = round((RAMP_S + MEASURE_S + 1) * 1000 / TOKEN_MS)
    tasks = []
    records = []
    for index in range(step.streams):
        number = next(numbers)
        body = _schedule.body(CUSTOMER.name, 0, number, tokens)
        body["stamped"] = True
        record = _client.Record(CUSTOMER.name, time.monotonic())
        records.append(record)
        url = step.urls[index % len(step.urls)]
        work = _client.draft(url, CUSTOMER.api_key, body, record, TIMEOUT_S)
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(RAMP_S / step.streams)
    await asyncio.gather(*tasks)
    return records


async def _watch_cpu(pids: dict[str, int], start_s: float) -> dict[str, float]:
    """Return each process's CPU time during the measured interval."""
    await asyncio.sleep(max(0.0, start_s - time.monotonic()))
    before = {name: _system.cpu_s(pid) for name, pid in pids.items()}
    await asyncio.sleep(MEASURE_S)
    return {
        name: _system.cpu_s(pid) - before[name] for name, pid in pids.items()
    }


async def _measure(
    step: Step, numbers: typing.Iterator[int]
) -> tuple[list[_client.Record], dict[str, float], float]:
    start_s = time.monotonic() + RAMP_S + 0.5
    cpu = asyncio.create_task(_watch_cpu(step.pids, start_s))
    records = await _run_streams(step, numbers)
    return records, await cpu, start_s


def run_step(
    step: Step, numbers: typing.Iterator[int]
) -> dict[str, typing.Any]:
    """Return the figures of one step."""
    records, cpu, start_s = asyncio.run(_measure(step, numbers))
    end_s = start_s + MEASURE_S
    gaps, delays, tokens = [], [], 0
    for record in records:
        for index, at_s in enumerate(record.arrived_s):
            if not start_s <= at_s < end_s:
                continue
            tokens += 1
            if index:
                gaps.append(record.gaps_ms[index - 1])
            if index < len(record.delays_ms):
                delays.append(record.delays_ms[index])
    firsts = [r.first_ms for r in records if r.first_ms is not None]
    figures: dict[str, typing.Any] = {
        "path": step.path,
        "streams": step.streams,
        "tokens_per_s": tokens / MEASURE_S,
        "failed": sum(not record.whole for record in records),
        "wrong": [r.wrong for r in records if r.wrong is not None],
        "cpu_cores": {name: value / MEASURE_S for name, value in cpu.items()},
    }
    for name, values in (("gap", gaps), ("delay", delays), ("first", firsts)):
        for share in (50, 95, 99):
            key = f"{name}_p{share}_ms"
            figures[key] = _stats.quantile(values, share / 100)
    if tokens and "node" in cpu:
        figures["node_cpu_s_per_1000_tokens"] = cpu["node"] * 1000 / tokens
    return figures


def _show(row: dict[str, typing.Any]) -> None:
    cores = " ".join(f"{k} {v:.2f}" for k, v in row["cpu_cores"].items())
    print(
        f"{row['path']:6} {row['streams']:4} streams"
        f" {row['tokens_per_s']:7.0f} tokens/s gap {row['gap_p50_ms']:5.1f}"
        f" {row['gap_p95_ms']:6.1f} delay {row['delay_p50_ms']:6.2f}"
        f" {row['delay_p95_ms']:7.2f} failed {row['failed']:3} cores: {cores}"
        f" cpu s/1000 {row.get('node_cpu_s_per_1000_tokens', 0):.3f}",
        flush=True,
    )


def _engine_urls(running: cluster.Cluster) -> tuple[str, ...]:
    hosts = running.read("hosts", "/hosts")["hosts"]
    url_by_host = {host["host"]: host["engine_url"] for host in hosts}
    found = _system.targets(running).values()
    return tuple(sorted(url_by_host[t["hosts"][0]] for t in found))


def _ladder(
    running: cluster.Cluster, counts: typing.Sequence[int]
) -> list[dict[str, typing.Any]]:
    """Return the rows of all steps, up to the first over the limit."""
    node = running.nodes[0]
    pids = {"node": node.pid, "engines": running.standin_pid("engines")}
    numbers = itertools.count()
    rows = []
    for streams in counts:
        for path, urls in (
            ("direct", _engine_urls(running)),
            ("node", (node.url,)),
        ):
            row = run_step(Step(path, streams, urls, pids), numbers)
            _show(row)
            rows.append(row)
        if rows[-1]["gap_p95_ms"] > GAP_LIMIT_MS:
            break
    return rows


def _added(rows: list[dict[str, typing.Any]]) -> list[dict[str, float]]:
    """Return what the node adds to the direct path, by streams."""
    keys = ("delay_p50_ms", "delay_p95_ms", "gap_p95_ms", "first_p50_ms")
    return [
        {
            "streams": node["streams"],
            **{key: node[key] - direct[key] for key in keys},
        }
        for direct, node in zip(rows[::2], rows[1::2], strict=True)
    ]


def main(
    streams: int | tuple[int, ...] = (10, 50, 100, 150, 200, 300),
    folder: str = "",
    idle: bool = True,
    name: str = "overhead",
) -> None:
    """Measure streams through one node, then an idle cluster."""
    counts = (streams,) if isinstance(streams, int) else streams
    document: dict[str, typing.Any] = _results.conditions(0)
    running = cluster.Cluster(cluster_spec(max(counts)))
    try:
        running.start()
        _system.wait_warm(running)
        rows = _ladder(running, counts)
    finally:
        running.stop()
    document["steps"] = rows
    document["added"] = _added(rows)
    print(_results.rounded(document["added"], 2))
    within = [
        r["streams"]
        for r in rows
        if r["path"] == "node" and r["gap_p95_ms"] <= GAP_LIMIT_MS
    ]
    document["streams_within_limit"] = max(within, default=0)
    if idle:
        document["idle"] = _idle.measure()
        print(_results.rounded(document["idle"], 3))
    violations = [text for row in rows for text in row["wrong"]]
    document["violations"] = violations
    _results.write(name, document, folder)
    _overhead_plot.draw(rows, _results.path(f"{name}.png", folder))
    _results.finish(violations)
