"""Speed and failures of plain targets, and the choice between them."""

import random
import typing

import attrs

from quetzalward_core import clock
from quetzalward_core import fleet

# An answer counts for a quarter, so that three bad ones change the order.
_WEIGHT = 0.25
# Cost of a failure in milliseconds of latency: a failed request is worth
# more than any wait within its objective.
FAILURE_COST_MS = 1_500.0
# Evidence halves in this time, so that a target that recovered is tried.
HALF_LIFE_MS = 4_000
# Assumed until a target has answered; the published work is 20 to 90 ms.
START_LATENCY_MS = 60.0
# A target that could not be reached is left out for this long.
UNREACHABLE_MS = 1_500
# Cost of leaving the availability zone; below any real difference in load.
ZONE_COST_MS = 3.0


@attrs.define
class _Evidence:
    latency_ms: float = START_LATENCY_MS
    failure: float = 0.0
    updated_ms: clock.Millis = 0
    unreachable_until_ms: clock.Millis = 0
    in_flight: int = 0


class Outcomes:
    """Evidence about targets from their answers to this node and others."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._by_id: dict[str, _Evidence] = {}

    def _get(self, target_id: str) -> _Evidence:
        return self._by_id.setdefault(target_id, _Evidence())

    def started(self, target_id: str) -> None:
        """Count a request in flight."""
        self._get(target_id).in_flight += 1

    def ended(self, target_id: str) -> None:
        """End the count of a request in flight."""
        evidence = self._get(target_id)
        evidence.in_flight = max(0, evidence.in_flight - 1)

    def observe(
        self,
        target_id: str,
        ok: bool,
        latency_ms: float,
        now_ms: clock.Millis,
        count: int = 1,
    ) -> None:
        """Note answers; `count` of them when another node reports."""
        evidence = self._get(target_id)
        weight = 1 - (1 - _WEIGHT) ** max(1, count)
        failure = 0.0 if ok else 1.0
        evidence.failure += weight * (
            failure - self._failure(evidence, now_ms)
        )
        evidence.failure = min(1.0, max(0.0, evidence.failure))
        if ok:
            evidence.latency_ms += weight * (latency_ms - evidence.latency_ms)
        evidence.updated_ms = now_ms

    def unreachable(self, target_id: str, now_ms: clock.Millis) -> None:
        """Note a connection that could not be made."""
        self._get(target_id).unreachable_until_ms = now_ms + UNREACHABLE_MS

    def is_reachable(self, target_id: str, now_ms: clock.Millis) -> bool:
        """Tell whether no recent connection to the target failed."""
        evidence = self._by_id.get(target_id)
        return evidence is None or now_ms >= evidence.unreachable_until_ms

    def in_flight(self, target_id: str) -> int:
        """Return this node's requests at a target."""
        evidence = self._by_id.get(target_id)
        return evidence.in_flight if evidence else 0

    def latency_ms(self, target_id: str) -> float:
        """Return the smoothed latency of a target."""
        evidence = self._by_id.get(target_id)
        return evidence.latency_ms if evidence else START_LATENCY_MS

    def cost_ms(
        self, target_id: str, slots: int, nodes: int, now_ms: clock.Millis
    ) -> float:
        """Return the expected cost of one more request."""
        evidence = self._by_id.get(target_id)
        if evidence is None:
            return START_LATENCY_MS
        share = max(1.0, slots / max(1, nodes))
        busy = 1 + evidence.in_flight / share
        failure = self._failure(evidence, now_ms) * FAILURE_COST_MS
        return evidence.latency_ms * busy + failure

    def retain(self, target_ids: set[str]) -> None:
        """Forget targets that no longer exist."""
        for target_id in set(self._by_id) - target_ids:
            if not self._by_id[target_id].in_flight:
                del self._by_id[target_id]

    def _failure(self, evidence: _Evidence, now_ms: clock.Millis) -> float:
        age = max(0, now_ms - evidence.updated_ms)
        decayed: float = evidence.failure * 0.5 ** (age / HALF_LIFE_MS)
        return decayed


def choose_target(
    outcomes: Outcomes,
    candidates: typing.Sequence[fleet.Target],
    zone: str,
    nodes: int,
    now_ms: clock.Millis,
    draw: random.Random,
) -> fleet.Target | None:
    """Choose the plain target with the lowest expected cost.

    Answers uneven speed and partial failure of a few targets; `candidates`
    may be empty.
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
        cost *= 1 + 0.1 * draw.random()
        if target.zone != zone:
            cost += ZONE_COST_MS
        if cost < best_cost:
            best, best_cost = target, cost
    return best
