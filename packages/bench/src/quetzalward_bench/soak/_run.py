"""One seed of the soak, and the promises that it checks."""

import asyncio
import contextlib
import pathlib
import random
import signal
import tempfile
import time

import attrs

from quetzalward_bench.soak import _callers
from quetzalward_bench.soak import _faults
from quetzalward_bench.soak import _nodes
from quetzalward_core import fleet
from quetzalward_standins import platform

CALLERS = 8
REVOKE_S = 5.0
DRAIN_S = 2.0
# The stand-ins share a processor with everything else; a run is noted this
# much after it was sent.
SLACK_S = 0.5
# Service must return within this time of the last fault (the deployments
# state 12 s for machines alone).
RECOVERY_S = 30.0
RECOVERED_SHARE = 0.9
_LOOK_S = 0.5


@attrs.define
class Report:
    """What a seed showed."""

    seed: int
    broken: list[str]
    answered: dict[str, int]
    faults: list[str]
    recovery_s: float


def engine() -> fleet.Engine:
    """Return an engine whose weights load in seconds."""
    models = [
        fleet.Model("large", 3, 0.6, 1.0, 2_000, 300),
        fleet.Model("small", 2, 0.4, 0.6, 1_500, 200),
    ]
    return fleet.Engine(
        8, 100_000, 7, 5.95, 0.089, 0.016, 50.7, 0.368, 2048, 4.5, 6, 1, 100,
        500, 20, {model.name: model for model in models},
    )  # fmt: skip


async def run_seed(
    seed: int, seconds: float, nodes: int, logs: str | None = None
) -> Report:
    """Run one seed and return what it showed."""
    with contextlib.ExitStack() as stack:
        folder = logs
        if folder is None:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / f"seed-{seed}"
        path.mkdir(parents=True, exist_ok=True)
        return await _run(seed, seconds, nodes, path)


async def _run(
    seed: int, seconds: float, count: int, folder: pathlib.Path
) -> Report:
    draw = random.Random(seed)
    store = platform.Store(random.Random(seed + 1))
    store_port = await store.server.start()
    operator = platform.Operator(store, engine())
    targets = platform.Targets(
        store, engine(), random.Random(seed + 2), domains=3, hosts=6, plain=3
    )
    await targets.start()
    operator.publish()
    nodes = [
        _nodes.NodeProcess(f"n{n}", f"z{n % 3}", folder, store_port)
        for n in range(count)
    ]
    tally = _callers.Tally()
    faults = _faults.Faults(nodes, store, targets, operator, draw)
    tasks = [asyncio.create_task(targets.run())]
    try:
        for node in nodes:
            await node.prepare()
            node.start()
        ports = [node.front_port for node in nodes]
        tasks += [
            asyncio.create_task(
                _callers.Callers(
                    ports, operator, tally, random.Random(f"{seed}-{n}")
                ).run()
            )
            for n in range(CALLERS)
        ]
        recovery_s = await _await_service(tally)
        targets.fleet.has_traffic = True
        if recovery_s >= 0:
            await faults.run(seconds)
            recovery_s = await _await_service(tally)
        overstayed = await _stop(nodes)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in nodes:
            node.kill()
        store.server.close()
    broken = list(tally.broken) + overstayed
    broken += _check(tally, targets, operator, faults)
    broken += [line for node in nodes for line in node.errors()]
    if recovery_s < 0:
        broken.append("service did not return after the last fault")
    return Report(
        seed, broken, dict(tally.answered), faults.history, recovery_s
    )


async def _await_service(tally: _callers.Tally) -> float:
    """Wait until each kind of request is served; -1 if it is not."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < RECOVERY_S:
        await asyncio.sleep(_LOOK_S)
        since_s = time.monotonic() - 2.0
        shares = [
            tally.success_share(since_s, kind)
            for kind in ("draft", "book", "stock")
        ]
        if all(s is not None and s >= RECOVERED_SHARE for s in shares):
            return round(time.monotonic() - started_s, 1)
    return -1.0


async def _stop(nodes: list[_nodes.NodeProcess]) -> list[str]:
    """Stop all nodes; return those that did not end in time."""
    for node in nodes:
        node.signal(signal.SIGTERM)
    late = []
    for node in nodes:
        while node.is_running and not node.overstayed():
            await asyncio.sleep(0.1)
        if node.is_running:
            late.append(f"{node.name} did not end within its time of grace")
    return late


def _check(
    tally: _callers.Tally,
    targets: platform.Targets,
    operator: platform.Operator,
    faults: _faults.Faults,
) -> list[str]:
    """Check what targets ran against what callers sent and were told."""
    broken = list(targets.fleet.violations)
    times_run: dict[str, int] = {}
    for run in targets.executions:
        times_run[run.attempt_id] = times_run.get(run.attempt_id, 0) + 1
        sent = tally.sent_by_id.get(run.attempt_id)
        if sent is None:
            broken.append(f"{run.attempt_id}: ran, and nobody sent it")
            continue
        if run.tenant != sent.tenant or run.key_header is not None:
            broken.append(f"{run.attempt_id}: ran for {run.tenant}")
        revoked_s = operator.revoked_s_by_key.get(sent.key)
        if revoked_s is not None and sent.at_s > revoked_s + REVOKE_S:
            broken.append(f"{run.attempt_id}: ran with a revoked key")
        left_s = targets.departure_s_by_id.get(run.target_id)
        calm = run.at_s > faults.disturbed_until_s
        if calm and left_s and run.at_s > left_s + DRAIN_S + SLACK_S:
            broken.append(f"{run.attempt_id}: ran at a target that left")
    for attempt_id, count in times_run.items():
        sent = tally.sent_by_id.get(attempt_id)
        if sent is None:
            continue
        if sent.kind == "book" and count > 1:
            broken.append(f"{attempt_id}: ran {count} times")
        if sent.kind == "book" and attempt_id in tally.promised:
            broken.append(f"{attempt_id}: ran, and was said not to run")
    return broken
