"""Retry experiment: amplification while and after targets fail."""

import random
import typing

import attrs

from quetzalward_bench import _stats
from quetzalward_core import limits

STEP_MS = 100
LENGTH_MS = 120_000
FAULT_MS = (30_000, 50_000)
# Attempts that the targets can answer in a step, and what callers send.
CAPACITY = 12
ARRIVALS = 9
FAULT_CAPACITY = 4
MAX_ATTEMPTS = 6
# A failed attempt is repeated after this time.
BACKOFF_MS = 200


@attrs.frozen
class Attempt:
    """One attempt of a request."""

    request: int
    number: int


@attrs.define
class Totals:
    """What happened in one phase."""

    requests: int = 0
    attempts: int = 0
    answered: int = 0


def overload(load: int, capacity: int) -> float:
    """Return the share of attempts answered at a load.

    An overloaded target spends work on attempts that it does not answer, so
    the answers fall as the load grows beyond the capacity.
    """
    if load <= capacity:
        return 1.0
    return (capacity / load) ** 2


def run(policy: str, seed: int) -> dict[str, float]:
    """Return amplification and answers under one retry policy."""
    rng = random.Random(seed)
    budget = limits.RetryBudget()
    due: dict[int, list[Attempt]] = {}
    phases = {"before": Totals(), "fault": Totals(), "after": Totals()}
    next_request = 0
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        phase = phases[_phase(now_ms)]
        attempts = due.pop(now_ms, [])
        for _ in range(ARRIVALS):
            next_request += 1
            budget.record_request(now_ms)
            attempts.append(Attempt(next_request, 1))
            phase.requests += 1
        phase.attempts += len(attempts)
        fault = FAULT_MS[0] <= now_ms < FAULT_MS[1]
        capacity = FAULT_CAPACITY if fault else CAPACITY
        answered = overload(len(attempts), capacity)
        for attempt in attempts:
            if rng.random() < answered:
                phase.answered += 1
            elif _repeats(policy, attempt, budget, now_ms):
                again = Attempt(attempt.request, attempt.number + 1)
                due.setdefault(now_ms + BACKOFF_MS, []).append(again)
    figures = {}
    for name, totals in phases.items():
        figures[f"{name}_attempts_per_request"] = round(
            totals.attempts / totals.requests, 3
        )
        figures[f"{name}_answered_share"] = round(
            totals.answered / totals.requests, 3
        )
    return figures


def _phase(now_ms: int) -> str:
    if now_ms < FAULT_MS[0]:
        return "before"
    return "fault" if now_ms < FAULT_MS[1] else "after"


def _repeats(
    policy: str, attempt: Attempt, budget: limits.RetryBudget, now_ms: int
) -> bool:
    """Return whether a failed attempt is repeated."""
    if attempt.number >= MAX_ATTEMPTS or policy == "no_retries":
        return False
    return policy == "unlimited_retries" or budget.try_spend(now_ms)


def main(seed: int = 1) -> None:
    """Compare retry policies over a fault of 20 s."""
    results: dict[str, dict[str, float]] = {
        policy: run(policy, seed)
        for policy in ("present", "unlimited_retries", "no_retries")
    }
    document: dict[str, typing.Any] = {
        "seed": seed,
        "figures": results,
        "ratio_to_present": _stats.ratios(results, "present"),
    }
    _stats.show(document)
