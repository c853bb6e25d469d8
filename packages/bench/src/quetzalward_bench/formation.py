"""The formation policy against the greedy baseline on recorded failures.

`python -m quetzalward_bench formation [--days N] [--size today|target]
[--seed N] [--only VARIANT]`.
"""

import argparse
import typing

import attrs

from quetzalward_bench import _failures
from quetzalward_bench import _replay
from quetzalward_core import formation

SEED = 20
HOUR_MS = _failures.HOUR_MS
DAYS_TODAY = 10
DAYS_TARGET = 2


def variants() -> dict[str, formation.Options]:
    """Return the policy, the baseline, and the policy without each part."""
    policy = formation.DEFAULT_OPTIONS
    return {
        "policy": policy,
        "greedy": formation.Options(
            formation.place_greedy,
            reform_after_ms=0,
            retain_drained=False,
            prefer_weight_holders=False,
            rebalance=False,
        ),
        "no hysteresis": attrs.evolve(policy, reform_after_ms=0),
        "no parking": attrs.evolve(policy, retain_drained=False),
        "weights ignored": attrs.evolve(policy, prefer_weight_holders=False),
        "no rebalance": attrs.evolve(policy, rebalance=False),
        "first fit": attrs.evolve(policy, place=formation.place_greedy),
    }


def _print(
    scenario: _failures.Scenario,
    chosen: typing.Collection[str],
    seed: int,
) -> None:
    """Replay a scenario against the chosen variants."""
    fleet = scenario.fleet
    replicas = sum(model.replicas for model in fleet.models.values())
    print(
        f"{scenario.name}: {replicas} replicas, {len(fleet.hosts)} hosts,"
        f" {len(fleet.zones)} zones, {len(scenario.events)} events, seed"
        f" {seed}"
    )
    print(
        "  variant          down group-h  stranded acc-h  uncovered h"
        "  forms  store loads  plans  ms/plan  slowest ms"
    )
    for name, options in variants().items():
        if name not in chosen:
            continue
        found = _replay.Replay(scenario, options).run()
        print(
            f"  {name:16} {found.downtime_group_ms / HOUR_MS:12.1f}"
            f" {found.stranded_host_ms / HOUR_MS:15.1f}"
            f" {found.uncovered_ms / HOUR_MS:12.2f} {found.forms:6}"
            f" {found.store_loads:12} {found.plans:6}"
            f" {1000 * found.plan_s / found.plans:8.1f}"
            f" {1000 * found.slowest_plan_s:11.0f}",
            flush=True,
        )


def main(arguments: typing.Sequence[str]) -> int:
    """Print the comparison at today's size and at the target size."""
    parser = argparse.ArgumentParser(prog="quetzalward_bench formation")
    parser.add_argument("--days", type=int, default=0)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--size", choices=("today", "target"))
    parser.add_argument("--only", action="append", choices=list(variants()))
    options = parser.parse_args(arguments)
    chosen = options.only or list(variants())
    if options.size != "target":
        days = options.days or DAYS_TODAY
        _print(_failures.today(options.seed, days), chosen, options.seed)
    if options.size != "today":
        days = options.days or DAYS_TARGET
        _print(_failures.target(options.seed, days), chosen, options.seed)
    return 0
