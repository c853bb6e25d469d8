"""Optimal placement by exhaustive search, for small cases only."""

import typing

from quetzalward_core.formation import _model
from quetzalward_core.formation import _score


def place(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
) -> list[_model.PlacedReplica]:
    """Return a placement with the largest score.

    Run time grows exponentially with the numbers of domains and models.
    """
    best: list[_model.PlacedReplica] = []
    best_score = _score.score(demands, capacities, best)
    remaining_by_model = {demand.model: demand.count for demand in demands}
    for replicas in _enumerate_placements(
        demands, capacities, 0, remaining_by_model
    ):
        value = _score.score(demands, capacities, replicas)
        if value > best_score:
            best, best_score = replicas, value
    return best


def _enumerate_placements(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
    index: int,
    remaining_by_model: dict[str, int],
) -> typing.Iterator[list[_model.PlacedReplica]]:
    """Yield every placement in the domains from `index` on."""
    if index == len(capacities):
        yield []
        return
    capacity = capacities[index]
    for in_domain in _enumerate_domain_placements(
        demands, capacity, 0, capacity.free_hosts, remaining_by_model
    ):
        rest = dict(remaining_by_model)
        for replica in in_domain:
            rest[replica.model] -= 1
        for others in _enumerate_placements(
            demands, capacities, index + 1, rest
        ):
            yield in_domain + others


def _enumerate_domain_placements(
    demands: typing.Sequence[_model.Demand],
    capacity: _model.DomainCapacity,
    index: int,
    free: int,
    remaining_by_model: typing.Mapping[str, int],
) -> typing.Iterator[list[_model.PlacedReplica]]:
    """Yield every set of replicas that fits in one domain.

    Considers the models from `index` on and `free` hosts.
    """
    if index == len(demands):
        yield []
        return
    demand = demands[index]
    max_count = 0
    if capacity.key.zone in demand.zones:
        max_count = min(
            remaining_by_model[demand.model], free // demand.hosts_per_replica
        )
    for count in range(max_count + 1):
        in_domain = [_model.PlacedReplica(demand.model, capacity.key)] * count
        rest = free - count * demand.hosts_per_replica
        for others in _enumerate_domain_placements(
            demands, capacity, index + 1, rest, remaining_by_model
        ):
            yield in_domain + others
