"""Tests of the placement of replicas in domains."""

import unittest

import hypothesis
from hypothesis import strategies

from quetzalward_core import formation

ZONES = ("z0", "z1", "z2")


@strategies.composite
def small_cases(
    draw: strategies.DrawFn,
) -> tuple[list[formation.Demand], list[formation.DomainCapacity]]:
    """Draw at most three models and four domains."""
    demands = []
    for index in range(draw(strategies.integers(1, 3))):
        kept = draw(
            strategies.dictionaries(
                strategies.sampled_from(ZONES), strategies.integers(1, 2)
            )
        )
        demands.append(
            formation.Demand(
                f"m{index}",
                draw(strategies.sampled_from((2, 3, 4, 8))),
                draw(strategies.integers(1, 3)),
                draw(strategies.integers(1, 4)),
                frozenset(
                    draw(strategies.sets(strategies.sampled_from(ZONES)))
                    or ZONES
                ),
                kept,
            )
        )
    capacities = []
    for index in range(draw(strategies.integers(1, 4))):
        free = draw(strategies.integers(0, 12))
        held = {f"m{index % 3}": draw(strategies.integers(0, free))}
        key = formation.DomainKey(ZONES[index % 3], f"d{index}")
        capacities.append(formation.DomainCapacity(key, free, held))
    return demands, capacities


class PlaceTest(unittest.TestCase):
    """Guards against placements that leave accelerators unused."""

    @hypothesis.settings(
        derandomize=True, max_examples=400, deadline=None, database=None
    )
    @hypothesis.given(small_cases())
    def test_as_many_accelerators_as_the_optimum(
        self,
        case: tuple[list[formation.Demand], list[formation.DomainCapacity]],
    ) -> None:
        demands, capacities = case
        best = formation.score(
            demands,
            capacities,
            formation.place_exhaustive(demands, capacities),
        )
        placed = formation.score(
            demands, capacities, formation.place(demands, capacities)
        )
        greedy = formation.score(
            demands, capacities, formation.place_greedy(demands, capacities)
        )
        self.assertEqual(placed[:2], best[:2])
        self.assertGreaterEqual(placed, greedy)

    @hypothesis.settings(
        derandomize=True, max_examples=200, deadline=None, database=None
    )
    @hypothesis.given(small_cases())
    def test_no_domain_is_overfilled(
        self,
        case: tuple[list[formation.Demand], list[formation.DomainCapacity]],
    ) -> None:
        demands, capacities = case
        size = {demand.model: demand.hosts_per_replica for demand in demands}
        zones = {demand.model: demand.zones for demand in demands}
        free = {capacity.key: capacity.free_hosts for capacity in capacities}
        for replica in formation.place(demands, capacities):
            self.assertIn(replica.key.zone, zones[replica.model])
            free[replica.key] -= size[replica.model]
        self.assertGreaterEqual(min(free.values()), 0)

    def test_leaves_the_larger_domain_to_the_larger_model(self) -> None:
        """First fit puts the 6-host model in the only domain with 8 hosts."""
        zones = frozenset(ZONES)
        demands = [
            formation.Demand("large", 8, 1, 1, zones, {}),
            formation.Demand("small", 6, 1, 5, zones, {}),
        ]
        capacities = [
            formation.DomainCapacity(formation.DomainKey("z0", "a"), 8, {}),
            formation.DomainCapacity(formation.DomainKey("z0", "b"), 6, {}),
        ]
        self.assertEqual(len(formation.place(demands, capacities)), 2)
        self.assertEqual(len(formation.place_greedy(demands, capacities)), 1)

    def test_spreads_over_zones(self) -> None:
        zones = frozenset(ZONES)
        demands = [formation.Demand("m", 8, 3, 1, zones, {})]
        capacities = [
            formation.DomainCapacity(formation.DomainKey(zone, "a"), 24, {})
            for zone in ZONES
        ]
        placed = formation.place(demands, capacities)
        self.assertEqual({replica.key.zone for replica in placed}, set(ZONES))
