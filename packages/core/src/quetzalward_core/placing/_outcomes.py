"""Latency and failure statistics of plain targets, and target selection."""

import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet

# Smoothing weight of one answer: three bad ones change the order of targets.
_OUTCOME_WEIGHT = 0.25
# Latency that a failure is equivalent to: a failed request is worse than any
# wait within the latency objective.
FAILURE_COST_MS = 1_500.0
# The failure rate decays, so that a target that has recovered is retried.
HALF_LIFE_MS = 4_000
# Assumed until a target answers; published service times are 20 to 90 ms.
INITIAL_LATENCY_MS = 60.0
# A target is excluded for this long after a failed connection attempt.
UNREACHABLE_MS = 1_500
# Penalty for a target in another availability zone; smaller than the effect of
# any significant difference in load.
CROSS_ZONE_COST_MS = 3.0


@attrs.define
class _TargetStats:
    latency_ms: float = INITIAL_LATENCY_MS
    failure_rate: float = 0.0
    updated_ms: clock.Millis = 0
    unreachable_until_ms: clock.Millis = 0
    in_flight: int = 0


class OutcomeTracker:
    """Latency and failures of targets, from answers to all nodes."""

    def __init__(self) -> None:
        """Start without statistics."""
        self._by_id: dict[str, _TargetStats] = {}

    def _get(self, target_id: str) -> _TargetStats:
        return self._by_id.setdefault(target_id, _TargetStats())

    def started(self, target_id: str) -> None:
        """Count a request as in flight."""
        self._get(target_id).in_flight += 1

    def ended(self, target_id: str) -> None:
        """Remove a request from those in flight."""
        stats = self._get(target_id)
        stats.in_flight = max(0, stats.in_flight - 1)

    def observe(
        self,
        target_id: str,
        ok: bool,
        latency_ms: float,
        now_ms: clock.Millis,
        count: int = 1,
    ) -> None:
        """Record `count` answers, several if another node reports them."""
        stats = self._get(target_id)
        weight = 1 - (1 - _OUTCOME_WEIGHT) ** max(1, count)
        failure = 0.0 if ok else 1.0
        stats.failure_rate += weight * (
            failure - self._decayed_failure_rate(stats, now_ms)
        )
        stats.failure_rate = min(1.0, max(0.0, stats.failure_rate))
        if ok:
            stats.latency_ms += weight * (latency_ms - stats.latency_ms)
        stats.updated_ms = now_ms

    def mark_unreachable(self, target_id: str, now_ms: clock.Millis) -> None:
        """Exclude a target after a failed connection attempt."""
        self._get(target_id).unreachable_until_ms = now_ms + UNREACHABLE_MS

    def is_reachable(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Return whether no recent connection attempt failed."""
        stats = self._by_id.get(target_id)
        return stats is None or now_ms >= stats.unreachable_until_ms

    def in_flight(self, target_id: str) -> int:
        """Return the number of this node's requests at a target."""
        stats = self._by_id.get(target_id)
        return stats.in_flight if stats else 0

    def latency_ms(self, target_id: str) -> float:
        """Return the smoothed latency of a target."""
        stats = self._by_id.get(target_id)
        return stats.latency_ms if stats else INITIAL_LATENCY_MS

    def cost_ms(
        self, target_id: str, slots: int, nodes: int, now_ms: clock.Millis
    ) -> float:
        """Return the expected cost of one more request in milliseconds."""
        stats = self._by_id.get(target_id)
        if stats is None:
            return INITIAL_LATENCY_MS
        slots_per_node = max(1.0, slots / max(1, nodes))
        load_factor = 1 + stats.in_flight / slots_per_node
        failure_cost_ms = (
            self._decayed_failure_rate(stats, now_ms) * FAILURE_COST_MS
        )
        return stats.latency_ms * load_factor + failure_cost_ms

    def retain(self, target_ids: set[str]) -> None:
        """Forget targets that no longer exist."""
        for target_id in set(self._by_id) - target_ids:
            if not self._by_id[target_id].in_flight:
                del self._by_id[target_id]

    def _decayed_failure_rate(
        self, stats: _TargetStats, now_ms: clock.Millis
    ) -> float:
        age_ms = max(0, now_ms - stats.updated_ms)
        decayed: float = stats.failure_rate * 0.5 ** (age_ms / HALF_LIFE_MS)
        return decayed


def choose_target(
    outcomes: OutcomeTracker,
    candidates: typing.Sequence[fleet.Target],
    zone: str,
    nodes: int,
    now_ms: clock.Millis,
    rng: random.Random,
) -> fleet.Target | None:
    """Choose the plain target with the lowest expected cost.

    This handles uneven latency and partial failure among a few targets.
    Returns `None` if `candidates` is empty.
    """
    best: fleet.Target | None = None
    best_cost = float("inf")
    reachable = [
        target
        for target in candidates
        if outcomes.is_reachable(target.id, now_ms)
    ]
    for target in reachable or candidates:
        cost = outcomes.cost_ms(target.id, target.slots, nodes, now_ms)
        cost *= 1 + 0.1 * rng.random()
        if target.zone != zone:
            cost += CROSS_ZONE_COST_MS
        if cost < best_cost:
            best, best_cost = target, cost
    return best
