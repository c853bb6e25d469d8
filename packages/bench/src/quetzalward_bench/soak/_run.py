"""One seed of the soak, and the guarantees that it checks."""

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
from quetzalward_bench.soak import _losses
from quetzalward_bench.soak import _nodes
from quetzalward_bench.soak import _prompts
from quetzalward_bench.soak import _repeats
from quetzalward_core import fleet
from quetzalward_standins import platform

CALLERS = 8
# Of each so many requests of a caller, a draft may be executed only once.
ONCE_EVERY = 3
REVOKE_S = 5.0
DRAIN_S = 2.0
# Tolerance between sending a request and recording its execution: the
# stand-ins share a processor with all other processes.
RECORDING_TOLERANCE_S = 0.5
# Service must recover within this time after the last fault (the deployments
# state 12 s for faults of machines alone).
RECOVERY_TIMEOUT_S = 30.0
RECOVERED_SUCCESS_SHARE = 0.9
_POLL_INTERVAL_S = 0.5


@attrs.define
class Report:
    """Result of one seed."""

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
    """Run one seed and return its result."""
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
    rng = random.Random(seed)
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
    outcomes = _callers.Outcomes()
    prompts = _prompts.Prompts(random.Random(f"{seed}-prompts"))
    crashing_requests = _repeats.CrashingRequests(
        random.Random(f"{seed}-repeats")
    )
    faults = _faults.Faults(
        nodes,
        store,
        targets,
        operator,
        prompts,
        crashing_requests,
        rng,
        random.Random(f"{seed}-answers"),
        random.Random(f"{seed}-restores"),
        random.Random(f"{seed}-notices"),
        random.Random(f"{seed}-silences"),
        random.Random(f"{seed}-crashing-requests"),
    )
    tasks = [asyncio.create_task(targets.run())]
    try:
        for node in nodes:
            await node.prepare()
            node.start()
        ports = [node.front_port for node in nodes]
        tasks += [
            asyncio.create_task(
                _callers.Callers(
                    ports,
                    operator,
                    outcomes,
                    prompts,
                    random.Random(f"{seed}-{n}"),
                    ONCE_EVERY,
                    crashing_requests,
                ).run()
            )
            for n in range(CALLERS)
        ]
        recovery_s = await await_service(outcomes)
        targets.fleet.has_traffic = True
        if recovery_s >= 0:
            await faults.run(seconds)
            recovery_s = await await_service(outcomes)
        stop_errors = await _stop(nodes)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in nodes:
            node.kill()
        store.server.close()
    broken = list(outcomes.violations) + stop_errors
    broken += _check(outcomes, targets, operator, faults)
    broken += _losses.check(outcomes.losses, targets, nodes)
    broken += [line for node in nodes for line in node.errors()]
    if recovery_s < 0:
        broken.append("service did not recover after the last fault")
    return Report(
        seed, broken, dict(outcomes.answered), faults.history, recovery_s
    )


async def await_service(outcomes: _callers.Outcomes) -> float:
    """Return the seconds until each kind is served, -1 on a time-out."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < RECOVERY_TIMEOUT_S:
        await asyncio.sleep(_POLL_INTERVAL_S)
        since_s = time.monotonic() - 2.0
        shares = [
            outcomes.success_share(since_s, kind)
            for kind in ("draft", "book", "stock")
        ]
        if all(s is not None and s >= RECOVERED_SUCCESS_SHARE for s in shares):
            return round(time.monotonic() - started_s, 1)
    return -1.0


async def _stop(nodes: list[_nodes.NodeProcess]) -> list[str]:
    """Stop all nodes; return an error for each that did not end in time."""
    for node in nodes:
        node.signal(signal.SIGTERM)
    errors = []
    for node in nodes:
        while node.is_running and not node.exceeded_stop_timeout():
            await asyncio.sleep(0.1)
        if node.is_running:
            errors.append(f"{node.name} did not exit within its grace period")
    return errors


def _check(
    outcomes: _callers.Outcomes,
    targets: platform.Targets,
    operator: platform.Operator,
    faults: _faults.Faults,
) -> list[str]:
    """Check the executions against the attempts and their responses."""
    broken = list(targets.fleet.violations)
    prompts_by_attempt = {
        attempt_id: sent.prompt
        for attempt_id, sent in outcomes.sent_by_id.items()
        if sent.prompt is not None
    }
    broken += _prompts.check(
        prompts_by_attempt, targets, faults.disturbed_until_s
    )
    broken += _repeats.check(
        {
            attempt_id: sent.crashing_body
            for attempt_id, sent in outcomes.sent_by_id.items()
            if sent.crashing_body is not None
        },
        targets,
        faults.disturbed_until_s,
    )
    broken += targets.limits.check()
    broken += targets.notices.check(outcomes.senders(), faults.outages)
    execution_count_by_id: dict[str, int] = {}
    for execution in targets.executions:
        execution_count_by_id[execution.attempt_id] = (
            execution_count_by_id.get(execution.attempt_id, 0) + 1
        )
        sent = outcomes.sent_by_id.get(execution.attempt_id)
        if sent is None:
            broken.append(
                f"{execution.attempt_id}: executed, but no caller sent it"
            )
            continue
        if execution.tenant != sent.tenant or execution.key_header is not None:
            broken.append(
                f"{execution.attempt_id}: executed for {execution.tenant}"
            )
        revoked_s = operator.revoked_s_by_key.get(sent.key)
        if revoked_s is not None and sent.sent_s > revoked_s + REVOKE_S:
            broken.append(
                f"{execution.attempt_id}: executed with a revoked key"
            )
        departure_s = targets.departure_s_by_id.get(execution.target_id)
        undisturbed = execution.at_s > faults.disturbed_until_s
        if (
            undisturbed
            and departure_s
            and execution.at_s > departure_s + DRAIN_S + RECORDING_TOLERANCE_S
        ):
            broken.append(
                f"{execution.attempt_id}: executed at a departed target"
            )
    for attempt_id, count in execution_count_by_id.items():
        sent = outcomes.sent_by_id.get(attempt_id)
        if sent is None:
            continue
        if not sent.is_repeatable and count > 1:
            broken.append(f"{attempt_id}: executed {count} times")
        if not sent.is_repeatable and attempt_id in outcomes.not_executed:
            broken.append(
                f"{attempt_id}: executed, but reported as not executed"
            )
    return broken
