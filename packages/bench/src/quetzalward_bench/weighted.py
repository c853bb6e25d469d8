"""One weighted table for each operator from the results of experiments.

`python -m quetzalward_bench weighted [--replay_failures]` reads the results
`zone.json` and `formation.json`; `--replay_failures` first replays the
recorded failures of `formation` with the policy and its greedy baseline, and
writes the latter.

Each row compares a cost of the system with that of the baseline; its gain is
`(baseline - present) / max(baseline, present)`, from -1 to 1, and the score
of an operator is the sum of gains times weights.
"""

import typing

from quetzalward_bench import _failures
from quetzalward_bench import _replay
from quetzalward_bench import _results
from quetzalward_bench import formation

# Cedarline weighs quality of service during changes of an availability zone
# most, Rohrdämm group downtime and stranded accelerators.
WEIGHTS: dict[str, dict[str, float]] = {
    "Cedarline": {
        "answers not good": 0.30,
        "first token p95": 0.20,
        "cold overloads": 0.20,
        "group downtime": 0.15,
        "stranded accelerators": 0.15,
    },
    "Rohrdämm": {
        "answers not good": 0.10,
        "first token p95": 0.10,
        "cold overloads": 0.10,
        "group downtime": 0.35,
        "stranded accelerators": 0.35,
    },
}
ZONE_BASELINES = ("random", "direct")
CHANGE_PHASES = ("away", "after")

Costs = dict[str, float]


def replay() -> _results.Document:
    """Return downtime and stranded hosts of the policy and the baseline."""
    document: _results.Document = {"seed": formation.SEED, "figures": {}}
    scenarios = (
        _failures.today(formation.SEED, formation.DAYS_TODAY),
        _failures.target(formation.SEED, formation.DAYS_TARGET),
    )
    for scenario in scenarios:
        rows = {}
        for name in ("policy", "greedy"):
            options = formation.variants()[name]
            found = _replay.Replay(scenario, options).run()
            rows[name] = {
                "group downtime": found.downtime_group_ms / formation.HOUR_MS,
                "stranded accelerators": (
                    found.stranded_host_ms / formation.HOUR_MS
                ),
            }
        document["figures"][scenario.name] = rows
    return document


def zone_costs(figures: _results.Document) -> Costs:
    """Return the costs of one policy while the zone is away and after."""
    rows = [
        row
        for phase in CHANGE_PHASES
        for row in figures["phases"][phase].values()
    ]
    offered = sum(row["offered_per_s"] for row in rows)
    good = sum(row["goodput_per_s"] for row in rows)
    return {
        "answers not good": 1 - good / offered,
        # The worst of customer sizes and phases.
        "first token p95": max(row["first_p95_ms"] for row in rows),
        "cold overloads": float(sum(figures["cold_overloads"].values())),
    }


def gain(present: float, baseline: float) -> float:
    """Return how much of the larger cost is saved, negative if lost."""
    larger = max(present, baseline)
    return (baseline - present) / larger if larger else 0.0


def table(present: Costs, baseline: Costs) -> dict[str, dict[str, typing.Any]]:
    """Return the gains, and each operator's score."""
    gains = {key: gain(present[key], baseline[key]) for key in present}
    scores = {
        operator: sum(weights[key] * gains[key] for key in gains)
        for operator, weights in WEIGHTS.items()
    }
    return {"gains": gains, "scores": scores}


def _print(
    title: str, present: Costs, baseline: Costs, found: typing.Any
) -> None:
    print(title)
    names = list(WEIGHTS)
    print(
        f"  {'cost':22} {'present':>9} {'baseline':>9} {'gain':>6} "
        + " ".join(f"{'weight ' + name:>16}" for name in names)
    )
    for key in present:
        weights = " ".join(f"{WEIGHTS[name][key]:16.2f}" for name in names)
        print(
            f"  {key:22} {present[key]:9.3f} {baseline[key]:9.3f}"
            f" {found['gains'][key]:6.2f} {weights}"
        )
    scores = " ".join(f"{found['scores'][name]:16.2f}" for name in names)
    print(f"  {'score':22} {'':9} {'':9} {'':6} {scores}")


def main(replay_failures: bool = False, folder: str = "") -> None:
    """Print and write the weighted tables."""
    if replay_failures:
        _results.write("formation", replay(), folder)
    zone = _results.read("zone", folder)["figures"]
    groups = _results.read("formation", folder)["figures"]
    document: _results.Document = {"weights": WEIGHTS, "tables": {}}
    for size, rows in groups.items():
        for name in ZONE_BASELINES:
            present = zone_costs(zone["cost"]) | rows["policy"]
            baseline = zone_costs(zone[name]) | rows["greedy"]
            found = table(present, baseline)
            title = f"{name} and greedy, failures of {size}"
            document["tables"][title] = found
            _print(title, present, baseline, found)
    _results.write("weighted", document, folder)
