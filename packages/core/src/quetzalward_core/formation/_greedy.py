"""First-fit placement, the baseline for comparisons."""

import typing

from quetzalward_core.formation import _model
from quetzalward_core.formation import _score


def place(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
) -> list[_model.PlacedReplica]:
    """Return each replica in the first domain, by name, that can hold it."""
    demand_by_model = {demand.model: demand for demand in demands}
    ordered = sorted(
        capacities,
        key=lambda capacity: (capacity.key.zone, capacity.key.domain),
    )
    free_by_key = {capacity.key: capacity.free_hosts for capacity in ordered}
    replicas = []
    for model in _score.priority_order(demands):
        demand = demand_by_model[model]
        for key, count in free_by_key.items():
            if key.zone in demand.zones and count >= demand.hosts_per_replica:
                free_by_key[key] -= demand.hosts_per_replica
                replicas.append(_model.PlacedReplica(model, key))
                break
    return replicas
