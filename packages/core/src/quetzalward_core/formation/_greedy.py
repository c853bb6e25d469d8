"""First-fit placement, the baseline of the comparisons."""

import typing

from quetzalward_core.formation import _model
from quetzalward_core.formation import _score


def place(
    demands: typing.Sequence[_model.Demand],
    rooms: typing.Sequence[_model.Room],
) -> list[_model.Slot]:
    """Place each replica in the first domain by name that has room."""
    demand_by_model = {demand.model: demand for demand in demands}
    ordered = sorted(rooms, key=lambda room: (room.key.zone, room.key.domain))
    free = {room.key: room.free for room in ordered}
    slots = []
    for model in _score.service_order(demands):
        demand = demand_by_model[model]
        for key, count in free.items():
            if key.zone in demand.zones and count >= demand.size:
                free[key] -= demand.size
                slots.append(_model.Slot(model, key))
                break
    return slots
