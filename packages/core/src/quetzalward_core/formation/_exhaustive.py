"""The best placement of small cases, found by trying all of them."""

import typing

from quetzalward_core.formation import _model
from quetzalward_core.formation import _score


def place(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
) -> list[_model.Slot]:
    """Return a placement with the largest score.

    The time grows exponentially with domains and models.
    """
    best: list[_model.Slot] = []
    best_score = _score.score(demands, rooms, best)
    left = {demand.model: demand.count for demand in demands}
    for slots in _placements(demands, rooms, 0, left):
        value = _score.score(demands, rooms, slots)
        if value > best_score:
            best, best_score = slots, value
    return best


def _placements(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
    index: int,
    left: dict[str, int],
) -> typing.Iterator[list[_model.Slot]]:
    """Yield every placement in the domains from `index` on."""
    if index == len(rooms):
        yield []
        return
    room = rooms[index]
    for here in _fillings(demands, room, 0, room.free, left):
        rest = dict(left)
        for slot in here:
            rest[slot.model] -= 1
        for others in _placements(demands, rooms, index + 1, rest):
            yield here + others


def _fillings(
    demands: typing.Sequence[_model.Demand],
    room: _model.Room,
    index: int,
    free: int,
    left: typing.Mapping[str, int],
) -> typing.Iterator[list[_model.Slot]]:
    """Yield every choice of replicas for one domain."""
    if index == len(demands):
        yield []
        return
    demand = demands[index]
    most = 0
    if room.key.zone in demand.zones:
        most = min(left[demand.model], free // demand.size)
    for count in range(most + 1):
        here = [_model.Slot(demand.model, room.key)] * count
        rest = free - count * demand.size
        for others in _fillings(demands, room, index + 1, rest, left):
            yield here + others
