"""Comparison of placements."""

import collections
import typing

from quetzalward_core.formation import _model

Score = tuple[int, int, int, int, int]


def score(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
    slots: typing.Sequence[_model.Slot],
) -> Score:
    """Return a placement's value; larger is better.

    In this order: importance of models that gain their first replica,
    accelerators put in service, importance of all replicas, spread over
    zones, hosts that hold the weights already.
    """
    demand_by_model = {demand.model: demand for demand in demands}
    added: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for slot in slots:
        added[slot.model][slot.key.zone] += 1
    covered = used = importance = crowding = 0
    for model, by_zone in added.items():
        demand = demand_by_model[model]
        count = sum(by_zone.values())
        covered += demand.importance if demand.kept == 0 else 0
        used += count * demand.size
        importance += count * demand.importance
        for zone, more in by_zone.items():
            before = demand.kept_by_zone.get(zone, 0)
            crowding += (before + more) ** 2 - before**2
    held = _held(demand_by_model, rooms, slots)
    return covered, used, importance, -crowding, held


def _held(
    demand_by_model: typing.Mapping[str, _model.Demand],
    rooms: typing.Sequence[_model.Room],
    slots: typing.Sequence[_model.Slot],
) -> int:
    """Return how many hosts of the placement hold their model's weights."""
    held_by_key = {room.key: room.held_by_model for room in rooms}
    total = 0
    for slot, count in collections.Counter(slots).items():
        wanted = count * demand_by_model[slot.model].size
        total += min(wanted, held_by_key[slot.key].get(slot.model, 0))
    return total


def service_order(demands: typing.Sequence[_model.Demand]) -> list[str]:
    """Return one model name per missing replica, most urgent first.

    A model's first replica comes before every other; then importance decides,
    then the share of the model's replicas that already exist.
    """
    ranked = []
    for demand in demands:
        total = demand.kept + demand.count
        for index in range(demand.count):
            present = demand.kept + index
            ranked.append(
                (
                    present > 0,
                    -demand.importance,
                    present / total,
                    demand.model,
                )
            )
    return [entry[-1] for entry in sorted(ranked)]
