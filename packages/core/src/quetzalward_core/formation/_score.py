"""Scores and priorities for the placement of replicas."""

import collections
import typing

from quetzalward_core.formation import _model

Score = tuple[int, int, int, int, int]


def score(
    demands: typing.Sequence[_model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
    replicas: typing.Sequence[_model.PlacedReplica],
) -> Score:
    """Return a placement's score, to be compared as a tuple; larger is better.

    In this order: importance of models that gain their first replica,
    accelerators put in service, importance of all replicas, spread over
    zones, hosts that already hold the weights.
    """
    demand_by_model = {demand.model: demand for demand in demands}
    added: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for replica in replicas:
        added[replica.model][replica.key.zone] += 1
    covered = used = importance = concentration = 0
    for model, by_zone in added.items():
        demand = demand_by_model[model]
        count = sum(by_zone.values())
        covered += demand.importance if demand.existing_count == 0 else 0
        used += count * demand.hosts_per_replica
        importance += count * demand.importance
        for zone, more in by_zone.items():
            before = demand.existing_by_zone.get(zone, 0)
            concentration += (before + more) ** 2 - before**2
    weight_holders = _weight_holders(demand_by_model, capacities, replicas)
    return covered, used, importance, -concentration, weight_holders


def _weight_holders(
    demand_by_model: typing.Mapping[str, _model.Demand],
    capacities: typing.Sequence[_model.DomainCapacity],
    replicas: typing.Sequence[_model.PlacedReplica],
) -> int:
    """Return how many hosts of the placement hold their model's weights."""
    holders_by_key = {
        capacity.key: capacity.weight_holders_by_model
        for capacity in capacities
    }
    total = 0
    for replica, count in collections.Counter(replicas).items():
        wanted = count * demand_by_model[replica.model].hosts_per_replica
        total += min(wanted, holders_by_key[replica.key].get(replica.model, 0))
    return total


def priority_order(demands: typing.Sequence[_model.Demand]) -> list[str]:
    """Return one model name per missing replica, most urgent first.

    First replicas of models come first, then replicas of more important
    models, then those of models with the smallest share of their replicas.
    """
    ranked = []
    for demand in demands:
        total = demand.existing_count + demand.count
        for index in range(demand.count):
            present = demand.existing_count + index
            ranked.append(
                (
                    present > 0,
                    -demand.importance,
                    present / total,
                    demand.model,
                )
            )
    return [entry[-1] for entry in sorted(ranked)]
