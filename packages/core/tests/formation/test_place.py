"""Tests of the placement of replicas in domains."""

import unittest

import hypothesis
from hypothesis import strategies

from quetzalward_core import formation

ZONES = ("z0", "z1", "z2")


@strategies.composite
def small_cases(
    draw: strategies.DrawFn,
) -> tuple[list[formation.Demand], list[formation.Room]]:
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
    rooms = []
    for index in range(draw(strategies.integers(1, 4))):
        free = draw(strategies.integers(0, 12))
        held = {f"m{index % 3}": draw(strategies.integers(0, free))}
        key = formation.DomainKey(ZONES[index % 3], f"d{index}")
        rooms.append(formation.Room(key, free, held))
    return demands, rooms


class PlaceTest(unittest.TestCase):
    """Guards against placements that leave accelerators stranded."""

    @hypothesis.settings(
        derandomize=True, max_examples=400, deadline=None, database=None
    )
    @hypothesis.given(small_cases())
    def test_as_many_accelerators_as_the_optimum(
        self, case: tuple[list[formation.Demand], list[formation.Room]]
    ) -> None:
        demands, rooms = case
        best = formation.score(
            demands, rooms, formation.place_exhaustive(demands, rooms)
        )
        placed = formation.score(
            demands, rooms, formation.place(demands, rooms)
        )
        greedy = formation.score(
            demands, rooms, formation.place_greedy(demands, rooms)
        )
        self.assertEqual(placed[:2], best[:2])
        self.assertGreaterEqual(placed, greedy)

    @hypothesis.settings(
        derandomize=True, max_examples=200, deadline=None, database=None
    )
    @hypothesis.given(small_cases())
    def test_no_domain_is_overfilled(
        self, case: tuple[list[formation.Demand], list[formation.Room]]
    ) -> None:
        demands, rooms = case
        size = {demand.model: demand.size for demand in demands}
        zones = {demand.model: demand.zones for demand in demands}
        free = {room.key: room.free for room in rooms}
        for slot in formation.place(demands, rooms):
            self.assertIn(slot.key.zone, zones[slot.model])
            free[slot.key] -= size[slot.model]
        self.assertGreaterEqual(min(free.values()), 0)

    def test_leaves_the_larger_room_to_the_larger_model(self) -> None:
        """First fit gives the only room of 8 to the model of 6."""
        zones = frozenset(ZONES)
        demands = [
            formation.Demand("large", 8, 1, 1, zones, {}),
            formation.Demand("small", 6, 1, 5, zones, {}),
        ]
        rooms = [
            formation.Room(formation.DomainKey("z0", "a"), 8, {}),
            formation.Room(formation.DomainKey("z0", "b"), 6, {}),
        ]
        self.assertEqual(len(formation.place(demands, rooms)), 2)
        self.assertEqual(len(formation.place_greedy(demands, rooms)), 1)

    def test_spreads_over_zones(self) -> None:
        zones = frozenset(ZONES)
        demands = [formation.Demand("m", 8, 3, 1, zones, {})]
        rooms = [
            formation.Room(formation.DomainKey(zone, "a"), 24, {})
            for zone in ZONES
        ]
        placed = formation.place(demands, rooms)
        self.assertEqual({slot.key.zone for slot in placed}, set(ZONES))
